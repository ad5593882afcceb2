//! Stand-ins for what medlarspool meets, and what the benches share; nothing here is shipped.

mod page_digests;
mod repair_cost;
mod repair_trial;
mod repair_way;
mod sample_lists;
mod stand_in_platform;
mod stand_in_platform_error;

pub use crate::{
    page_digests::PageDigests, repair_cost::RepairCost, repair_trial::RepairTrial,
    repair_way::RepairWay, sample_lists::SampleLists, stand_in_platform::StandInPlatform,
    stand_in_platform_error::StandInPlatformError,
};
