use std::time::{Duration, SystemTime};

use medlarspool_types::{CustomerId, ServiceName};

use crate::CallError;

/// The width of the time range that a row key begins with.
const HOUR_MS: u64 = 60 * 60 * 1_000;

/// An idempotency key within its customer and service.
///
/// The key is a UUID of version 7 (RFC 9562), because it carries the time at which it was made. Only
/// so can a key whose row was swept be told from a new one, and be refused rather than run again.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    customer: CustomerId,
    issued_ms: u64,
    service: ServiceName,
    uuid: u128,
}

impl ClaimKey {
    /// What all row keys of claims begin with.
    pub const PREFIX: &str = "claims/";

    /// Reads the caller's key.
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

    /// Returns when the caller made the key, by its clock.
    #[must_use]
    pub fn issued_at(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.issued_ms)
    }

    /// Returns the key of the row, which begins with the hour in which the idempotency key was made,
    /// so that the oldest rows are found first.
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
    let hyphenated = text.len() == 36 && HYPHENS.iter().all(|&at| text.as_bytes()[at] == b'-');
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
