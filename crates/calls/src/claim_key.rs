use std::time::{Duration, SystemTime};

use medlarspool_types::{CustomerId, ServiceName};

use crate::CallError;

/// The width of a table partition of claims.
const PARTITION: Duration = Duration::from_hours(1);

/// An idempotency key within its customer and service.
///
/// The key is a UUID of version 7 (RFC 9562), because it carries the time at which it was made. Only
/// so can a key whose row was swept be told from a new one, and be refused rather than run again.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    customer: CustomerId,
    made_ms: u64,
    service: ServiceName,
    uuid: u128,
}

impl ClaimKey {
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
            made_ms: u64::try_from(uuid >> 80).unwrap_or(u64::MAX),
            service: service.clone(),
            uuid,
        })
    }

    /// Returns when the caller made the key, by its clock.
    #[must_use]
    pub fn made(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.made_ms)
    }

    /// Returns the table partition of the row, which names the hour of the key so that old rows are
    /// found without reading new ones.
    #[must_use]
    pub fn partition(&self) -> String {
        Self::partition_of(self.made())
    }

    /// Returns the name of the row within its partition.
    #[must_use]
    pub fn row(&self) -> String {
        format!("{}/{}/{:032x}", self.customer, self.service, self.uuid)
    }

    /// Returns the partition of keys made at a time.
    #[must_use]
    pub fn partition_of(made: SystemTime) -> String {
        format!("claims-{}", partition_number(made))
    }

    /// Returns the end of the partition of keys made at a time.
    #[must_use]
    pub(crate) fn partition_end(made: SystemTime) -> SystemTime {
        let seconds = (partition_number(made) + 1) * PARTITION.as_secs();
        SystemTime::UNIX_EPOCH + Duration::from_secs(seconds)
    }
}

fn partition_number(made: SystemTime) -> u64 {
    let since_epoch = made
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_secs() / PARTITION.as_secs()
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
