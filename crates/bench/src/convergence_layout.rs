use medlarspool_spread::SpreadPeer;
use medlarspool_types::Address;

/// How many regions and availability zones a fleet is spread over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConvergenceLayout {
    /// The number of regions.
    pub region_count: usize,
    /// The number of availability zones in all regions together.
    pub zone_count: usize,
}

impl ConvergenceLayout {
    /// The present layout of Nounou Atlas.
    pub const ATLAS: Self = Self {
        region_count: 1,
        zone_count: 4,
    };
    /// The present layout of the Trust.
    pub const TRUST: Self = Self {
        region_count: 1,
        zone_count: 3,
    };
    /// The layout for the fleet that the users expect in two years, of [`crate::DAEMONS_IN_TWO_YEARS`] daemons.
    pub const TWO_YEARS: Self = Self {
        region_count: 6,
        zone_count: 14,
    };

    /// Returns one daemon of the fleet. Daemons are assigned to zones, and zones to regions, round robin.
    ///
    /// # Panics
    ///
    /// Panics if the generated names aren't valid ids.
    #[must_use]
    pub fn peer(&self, index: usize, address: Address) -> SpreadPeer {
        let zone = index % self.zone_count;
        SpreadPeer {
            address,
            availability_zone: format!("zone-{zone}").parse().expect("a valid id"),
            instance: format!("daemon-{index:04}").parse().expect("a valid id"),
            region: format!("region-{}", zone % self.region_count)
                .parse()
                .expect("a valid id"),
        }
    }
}
