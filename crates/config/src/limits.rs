//! Bounds on the lists, so that no list can exhaust a daemon's memory or an operator's patience.

use crate::ConfigError;

/// The largest number of customers.
pub const MAX_CUSTOMERS: usize = 250_000;
/// The largest encoded delta, in bytes; a larger change travels as whole lists.
pub const MAX_DELTA_BYTES: usize = 4 * 1024 * 1024;
/// The largest encoding of both lists, in bytes.
pub const MAX_ENCODED_BYTES: usize = 64 * 1024 * 1024;
/// The largest number of plans.
pub const MAX_PLANS: usize = 10_000;
/// The largest request body that a service may be set to take, in bytes.
pub const MAX_REQUEST_BYTES: u64 = 64 * 1024 * 1024;
/// The largest number of services.
pub const MAX_SERVICES: usize = 2_000;
/// The longest timeout that a service may be set to, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;
/// The largest weight of a plan.
pub const MAX_WEIGHT: u32 = 1_000;
/// The largest YAML text of one list, in bytes.
pub const MAX_YAML_BYTES: usize = 64 * 1024 * 1024;

/// Refuses an encoding that is longer than `most` bytes, before it is read.
pub(crate) fn check_bytes(field: &str, encoded: &[u8], most: usize) -> Result<(), ConfigError> {
    if encoded.len() <= most {
        return Ok(());
    }
    Err(ConfigError::Limit {
        field: field.into(),
        least: 0,
        most: most as u64,
        value: encoded.len() as u64,
    })
}
