use serde::{Deserialize, Serialize};

use crate::SpreadPeer;

/// The class of link that control bytes cross; classes differ in price and in delay.
///
/// The derived order goes from far to near, and the nearest peers are asked first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkClass {
    /// Between two regions.
    BetweenRegions,
    /// Between two availability zones of one region.
    BetweenZones,
    /// Inside one availability zone.
    SameZone,
    /// Between a daemon and the platform.
    Store,
}

impl LinkClass {
    /// Every class, in the order of printed reports.
    pub const ALL: [Self; 4] = [
        Self::SameZone,
        Self::BetweenZones,
        Self::BetweenRegions,
        Self::Store,
    ];

    /// Returns the class of the link between two daemons.
    #[must_use]
    pub fn between(one: &SpreadPeer, other: &SpreadPeer) -> Self {
        if one.region != other.region {
            Self::BetweenRegions
        } else if one.availability_zone == other.availability_zone {
            Self::SameZone
        } else {
            Self::BetweenZones
        }
    }
}
