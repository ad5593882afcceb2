//! Limits on the lists, so that no list can exhaust a daemon's memory or take too long to check.

use crate::ConfigError;

/// The largest number of customers.
pub const MAX_CUSTOMERS: usize = 250_000;
/// The largest encoded delta, in bytes; a larger change is transferred as whole lists.
pub const MAX_DELTA_BYTES: usize = 4 * 1024 * 1024;
/// The largest encoding of both lists, in bytes.
pub const MAX_ENCODED_BYTES: usize = 64 * 1024 * 1024;
/// The largest number of plans.
pub const MAX_PLANS: usize = 10_000;
/// The largest value of a service's `max_request_bytes`, in bytes.
pub const MAX_REQUEST_BYTES: u64 = 64 * 1024 * 1024;
/// The largest number of services.
pub const MAX_SERVICES: usize = 2_000;
/// The largest value of a service's `timeout_ms`, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;
/// The largest weight of a plan.
pub const MAX_WEIGHT: u32 = 1_000;
/// The largest YAML text of one list, in bytes.
pub const MAX_YAML_BYTES: usize = 64 * 1024 * 1024;

/// Returns an error that names `field` if an encoding is longer than `most` bytes; called before the
/// encoding is decoded.
pub(crate) fn check_encoded_size(
    field: &str,
    encoded: &[u8],
    most: usize,
) -> Result<(), ConfigError> {
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
