//! Stand-ins for what medlarspool meets, and what the benches share; nothing here is shipped.

mod stand_in_platform;
mod stand_in_platform_error;

pub use crate::{
    stand_in_platform::StandInPlatform, stand_in_platform_error::StandInPlatformError,
};
