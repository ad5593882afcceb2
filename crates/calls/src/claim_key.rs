use std::time::{Duration, SystemTime};

use medlarspool_types::{CustomerId, ServiceName};

use crate::CallError;

/// The length of the time range in a row key, in milliseconds.
const HOUR_MS: u64 = 60 * 60 * 1_000;

/// An idempotency key, scoped to a customer and a service.
///
/// The key is a UUID of version 7 (RFC 9562) because that carries the time at which it was issued.
/// Without the time, a key whose row was swept would look like a new one, and its request would run
/// again instead of being refused.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    customer: CustomerId,
    issued_ms: u64,
    service: ServiceName,
    uuid: u128,
}

impl ClaimKey {
    /// The prefix of the row keys of all claims.
    pub const PREFIX: &str = "claims/";

    /// Parses the key that the caller sent.
    ///
    /// # Errors
    ///
    /// The text is not a UUID of version 7.
    pub fn parse(
        customer: &CustomerId,
        service: &ServiceName,
        text: &str,
    ) -> Result<Self, CallError> {
        let uuid = parse_uuid_v7(text).ok_or_else(|| CallError::Key(text.into()))?;
        Ok(Self {
            customer: customer.clone(),
            issued_ms: u64::try_from(uuid >> 80).unwrap_or(u64::MAX),
            service: service.clone(),
            uuid,
        })
    }

    /// Returns when the caller issued the key, by the caller's clock.
    #[must_use]
    pub fn issued_at(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.issued_ms)
    }

    /// Returns the row's key. It begins with the hour in which the idempotency key was issued, so
    /// that the oldest rows sort first.
    #[must_use]
    pub fn row_key(&self) -> String {
        let hour = self.issued_ms / HOUR_MS;
        format!(
            "{}{hour:08}/{}/{}/{:032x}",
            Self::PREFIX,
            self.customer,
            self.service,
            self.uuid
        )
    }

    /// Returns the end of the hour that a row key begins with.
    pub(crate) fn hour_end(row_key: &str) -> Option<SystemTime> {
        let hour = row_key.strip_prefix(Self::PREFIX)?.split('/').next()?;
        let hour: u64 = hour.parse().ok()?;
        let end = Duration::from_millis(hour.checked_add(1)?.checked_mul(HOUR_MS)?);
        SystemTime::UNIX_EPOCH.checked_add(end)
    }
}

fn parse_uuid_v7(text: &str) -> Option<u128> {
    const HYPHENS: [usize; 4] = [8, 13, 18, 23];
    let hyphenated =
        text.len() == 36 && HYPHENS.iter().all(|&index| text.as_bytes()[index] == b'-');
    if !hyphenated {
        return None;
    }
    let digits: String = text.split('-').collect();
    if digits.len() != 32 || !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    let uuid = u128::from_str_radix(&digits, 16).ok()?;
    let version = (uuid >> 76) & 0xf;
    let variant = (uuid >> 62) & 0b11;
    (version == 7 && variant == 0b10).then_some(uuid)
}
