use medlarspool_spread::SpreadPeer;
use medlarspool_types::Address;

/// How many regions and availability zones a fleet stands in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConvergenceLayout {
    /// The regions.
    pub regions: usize,
    /// The availability zones of all regions together.
    pub zones: usize,
}

impl ConvergenceLayout {
    /// Nounou Atlas today.
    pub const ATLAS: Self = Self {
        regions: 1,
        zones: 4,
    };
    /// The Trust today.
    pub const TRUST: Self = Self {
        regions: 1,
        zones: 3,
    };
    /// The size in two years.
    pub const TWO_YEARS: Self = Self {
        regions: 6,
        zones: 14,
    };

    /// Returns one daemon of the fleet; zones and regions are filled in turn.
    ///
    /// # Panics
    ///
    /// If the names of the sample break the rules of ids.
    #[must_use]
    pub fn peer(&self, index: usize, address: Address) -> SpreadPeer {
        let zone = index % self.zones;
        SpreadPeer {
            address,
            availability_zone: format!("zone-{zone}").parse().expect("a valid id"),
            instance: format!("daemon-{index:04}").parse().expect("a valid id"),
            region: format!("region-{}", zone % self.regions)
                .parse()
                .expect("a valid id"),
        }
    }
}
