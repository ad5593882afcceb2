//! The ids, the clock and the verdict that all packages share.
//!
//! They are a package of their own so that the decision packages depend on no sockets and no
//! serialisation library. See `docs/design/overview.md`.

mod address;
mod availability_zone;
mod call_id;
mod change_id;
mod clock;
mod config_digest;
mod config_head;
mod config_version;
mod customer_id;
mod id_error;
mod incarnation;
mod instance_id;
mod manual_clock;
mod plan_id;
mod region;
mod service_name;
mod system_clock;
mod text_id;
mod verdict;

pub use crate::{
    address::Address, availability_zone::AvailabilityZone, call_id::CallId, change_id::ChangeId,
    clock::Clock, config_digest::ConfigDigest, config_head::ConfigHead,
    config_version::ConfigVersion, customer_id::CustomerId, id_error::IdError,
    incarnation::Incarnation, instance_id::InstanceId, manual_clock::ManualClock, plan_id::PlanId,
    region::Region, service_name::ServiceName, system_clock::SystemClock, verdict::Verdict,
};
