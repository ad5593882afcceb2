use medlarspool_spread::SpreadPeer;
use medlarspool_types::Address;

/// How many regions and availability zones a fleet is spread over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConvergenceLayout {
    /// The number of regions.
    pub regions: usize,
    /// The number of availability zones in all regions together.
    pub zones: usize,
}

impl ConvergenceLayout {
    /// The present layout of Nounou Atlas.
    pub const ATLAS: Self = Self {
        regions: 1,
        zones: 4,
    };
    /// The present layout of the Trust.
    pub const TRUST: Self = Self {
        regions: 1,
        zones: 3,
    };
    /// The layout that is expected in two years.
    pub const TWO_YEARS: Self = Self {
        regions: 6,
        zones: 14,
    };

    /// Returns one daemon of the fleet. Daemons are assigned to zones, and zones to regions, round robin.
    ///
    /// # Panics
    ///
    /// Panics if the generated names aren't valid ids.
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
