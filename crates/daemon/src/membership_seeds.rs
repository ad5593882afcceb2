use std::time::{Duration, SystemTime};

use medlarspool_membership::SeedRow;
use medlarspool_platform::{Platform, PlatformError, Row, RowCondition, RowWrite};
use medlarspool_types::{Address, AvailabilityZone, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// The maximum number of seed rows that one read returns.
const MAX_SEED_ROWS: usize = 256;

/// A seed row's value in the table; its key is `members/<availability zone>/<slot>`.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct SeedValue {
    availability_zone: AvailabilityZone,
    control_address: Address,
    expires_ms: u64,
    incarnation: Incarnation,
    instance: InstanceId,
    slot: u8,
}

/// Reads the seed rows of one availability zone, or of all; malformed rows are left out.
pub(crate) fn read_seed_rows(
    platform: &dyn Platform,
    availability_zone: Option<&AvailabilityZone>,
) -> Result<Vec<SeedRow>, PlatformError> {
    let prefix = match availability_zone {
        Some(zone) => format!("members/{zone}/"),
        None => "members/".into(),
    };
    let rows = platform.list_rows(&prefix, MAX_SEED_ROWS)?;
    Ok(rows.iter().filter_map(parse_row).collect())
}

/// Writes a seed row if the stored one is still `replaces`; otherwise does nothing. `None` stands for no
/// stored row or a malformed one.
pub(crate) fn write_seed_row(
    platform: &dyn Platform,
    replaces: Option<&SeedRow>,
    row: &SeedRow,
) -> Result<(), PlatformError> {
    let key = format!("members/{}/{}", row.availability_zone, row.slot);
    let stored = platform.get_row(&key)?;
    if stored.as_ref().and_then(parse_row).as_ref() != replaces {
        return Ok(());
    }
    let condition = stored.map_or(RowCondition::Absent, |stored| {
        RowCondition::Matches(stored.etag)
    });
    let expiry_since_epoch = row.expires.duration_since(SystemTime::UNIX_EPOCH);
    let value = SeedValue {
        availability_zone: row.availability_zone.clone(),
        control_address: row.control_address,
        expires_ms: u64::try_from(expiry_since_epoch.unwrap_or_default().as_millis())
            .unwrap_or(u64::MAX),
        incarnation: row.incarnation,
        instance: row.instance.clone(),
        slot: row.slot,
    };
    platform.transact(&[RowWrite {
        condition,
        key,
        value: serde_json::to_string(&value).ok(),
    }])
}

fn parse_row(row: &Row) -> Option<SeedRow> {
    let value: SeedValue = serde_json::from_str(&row.value).ok()?;
    Some(SeedRow {
        availability_zone: value.availability_zone,
        control_address: value.control_address,
        expires: SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(value.expires_ms))?,
        incarnation: value.incarnation,
        instance: value.instance,
        slot: value.slot,
    })
}
