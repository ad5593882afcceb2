//! Reads the accepted versions and changes; see `docs/design/commit.md`.

use std::{collections::BTreeMap, sync::Arc};

use medlarspool_config::{ConfigError, EntryKey, Lists, ListsPatch, Snapshot};
use medlarspool_types::{ChangeId, ConfigDigest, ConfigHead, ConfigVersion};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    ChangeFate, ChangeRecord, Platform, PlatformError, Row, version_lists::VersionLists,
    version_row::VersionRow,
};

/// The key of the row that holds the newest accepted version.
pub(crate) const HEAD_KEY: &str = "config/head";
/// The maximum number of versions stored as patches between two checkpoints.
pub(crate) const MAX_PATCHES_SINCE_CHECKPOINT: u64 = 100;
/// The maximum number of versions whose rows are searched for the one that changed an entry.
const MAX_SEARCHED_VERSIONS: u64 = 1000;
/// The number of rows that are read in addition: a version that is accepted meanwhile is listed first and
/// would otherwise displace the oldest row that is needed.
const EXTRA_ROWS: usize = 1;
/// The prefix of the keys of versions' rows.
const VERSION_PREFIX: &str = "config/version/";

pub(crate) fn change_key(change: &ChangeId) -> String {
    format!("config/change/{change}")
}

/// Returns the key of a version's row. It holds the version subtracted from the largest number, so that the
/// newest versions come first in key order.
pub(crate) fn version_key(version: ConfigVersion) -> String {
    format!("{VERSION_PREFIX}{:020}", u64::MAX - version.0)
}

pub(crate) fn object_name(digest: ConfigDigest) -> String {
    format!("lists/{digest}")
}

/// Reads the newest accepted version; returns `None` if there is none yet.
///
/// # Errors
///
/// Fails if a call to the platform fails or if the row can't be parsed.
pub fn read_head(platform: &dyn Platform) -> Result<Option<ConfigHead>, PlatformError> {
    let row = platform.get_row(HEAD_KEY)?;
    row.as_ref().map(parse_row).transpose()
}

/// Reads the lists of a version and checks their digest.
///
/// # Errors
///
/// Fails if a call to the platform fails, or if the stored data is missing or doesn't match the version.
pub fn read_lists(platform: &dyn Platform, head: ConfigHead) -> Result<Lists, PlatformError> {
    let found = read_version_lists(platform, head.version)?;
    let found = found.filter(|found| found.row.record.head == head);
    let missing = || PlatformError::Malformed(format!("no version `{}`", head.version));
    found.map(|found| found.lists).ok_or_else(missing)
}

/// Reads a version's lists and builds a snapshot of them.
///
/// If `base` is at most 100 versions behind and these all have patches, reads only the patches and applies
/// them to it; reads the whole lists otherwise.
///
/// # Errors
///
/// Fails if a call to the platform fails, or if the stored data is missing or doesn't match the version.
pub fn read_snapshot(
    platform: &dyn Platform,
    base: Option<&Snapshot>,
    head: ConfigHead,
) -> Result<Snapshot, PlatformError> {
    if let Some(base) = base
        && let Some(snapshot) = advance_snapshot(platform, base, head)?
    {
        return Ok(snapshot);
    }
    let lists = read_lists(platform, head)?;
    Snapshot::build(head, Arc::new(lists)).map_err(|error| damaged_version(head.version, &error))
}

/// Applies the patches of the versions since `base` to it. Returns `None` if there are none or too many, if a
/// version has no patch, or if the result does not match `head`.
fn advance_snapshot(
    platform: &dyn Platform,
    base: &Snapshot,
    head: ConfigHead,
) -> Result<Option<Snapshot>, PlatformError> {
    let versions_behind = head.version.0.saturating_sub(base.head().version.0);
    if !(1..=MAX_PATCHES_SINCE_CHECKPOINT).contains(&versions_behind) {
        return Ok(None);
    }
    let rows = read_rows_between(platform, base.head().version, head.version)?;
    let Some(patch) = merge_patches(&rows) else {
        return Ok(None);
    };
    let lists = patch.apply(base.lists());
    let snapshot = lists.and_then(|lists| Snapshot::build(head, Arc::new(lists)));
    Ok(snapshot.ok())
}

/// Reads a version's row and lists; returns `None` if there is no such version.
pub(crate) fn read_version_lists(
    platform: &dyn Platform,
    version: ConfigVersion,
) -> Result<Option<VersionLists>, PlatformError> {
    let Some(row) = read_version_row(platform, version)? else {
        return Ok(None);
    };
    let checkpoint = read_checkpoint(platform, row.checkpoint)?;
    if row.is_checkpoint() {
        let lists = checkpoint;
        return Ok(Some(VersionLists { lists, row }));
    }
    let rows = read_rows_between(platform, row.checkpoint.version, version)?;
    let missing = || PlatformError::Malformed(format!("version `{version}` lacks a change"));
    let patch = merge_patches(&rows).ok_or_else(missing)?;
    let lists = patch.apply(&checkpoint);
    let lists = lists.map_err(|error| damaged_version(version, &error))?;
    check_digest(&lists, row.record.head)?;
    Ok(Some(VersionLists { lists, row }))
}

fn read_checkpoint(platform: &dyn Platform, head: ConfigHead) -> Result<Lists, PlatformError> {
    let name = object_name(head.digest);
    let missing = || PlatformError::Malformed(format!("no object `{name}`"));
    let content = platform.get_object(&name)?.ok_or_else(missing)?;
    let lists = Lists::decode(&content).map_err(|error| damaged_version(head.version, &error))?;
    check_digest(&lists, head)?;
    Ok(lists)
}

fn check_digest(lists: &Lists, head: ConfigHead) -> Result<(), PlatformError> {
    let found = lists.cached_digest();
    if found == head.digest {
        return Ok(());
    }
    Err(damaged_version(
        head.version,
        &ConfigError::Digest { found, head },
    ))
}

/// Reads the rows of the versions after `after` up to and including `last`, oldest first.
///
/// Reads the newest rows with one call; rows that are not among them, because `last` is an older version, are
/// read one by one.
fn read_rows_between(
    platform: &dyn Platform,
    after: ConfigVersion,
    last: ConfigVersion,
) -> Result<Vec<VersionRow>, PlatformError> {
    let row_count = usize::try_from(last.0 - after.0).unwrap_or(usize::MAX);
    let newest = platform.list_rows(VERSION_PREFIX, row_count.saturating_add(EXTRA_ROWS))?;
    let newest = newest
        .iter()
        .map(parse_row)
        .collect::<Result<Vec<_>, _>>()?;
    let by_version = |row: VersionRow| (row.record.head.version, row);
    let mut newest: BTreeMap<_, _> = newest.into_iter().map(by_version).collect();
    let versions = (after.0 + 1..=last.0).map(ConfigVersion);
    let rows = versions.map(|version| {
        if let Some(row) = newest.remove(&version) {
            return Ok(row);
        }
        let missing = || PlatformError::Malformed(format!("no version `{version}`"));
        read_version_row(platform, version)?.ok_or_else(missing)
    });
    rows.collect()
}

/// Finds the newest version after `after` up to and including `last` that changed an entry. Returns `None`
/// if none did, if a version without a patch comes first, or if there are more than
/// [`MAX_SEARCHED_VERSIONS`].
pub(crate) fn find_newest_change(
    platform: &dyn Platform,
    after: ConfigVersion,
    last: ConfigVersion,
    key: &EntryKey,
) -> Result<Option<ConfigVersion>, PlatformError> {
    if last.0.saturating_sub(after.0) > MAX_SEARCHED_VERSIONS {
        return Ok(None);
    }
    for row in read_rows_between(platform, after, last)?.iter().rev() {
        let Some(patch) = &row.patch else {
            return Ok(None);
        };
        if patch.keys().any(|changed| changed == *key) {
            return Ok(Some(row.record.head.version));
        }
    }
    Ok(None)
}

/// Merges the patches of consecutive versions; returns `None` if a row has no patch because the patch was
/// too large for it.
fn merge_patches(rows: &[VersionRow]) -> Option<ListsPatch> {
    let patches: Option<Vec<&ListsPatch>> = rows.iter().map(|row| row.patch.as_ref()).collect();
    let changes = patches?.into_iter().flat_map(ListsPatch::changes).cloned();
    Some(ListsPatch::new(changes))
}

fn read_version_row(
    platform: &dyn Platform,
    version: ConfigVersion,
) -> Result<Option<VersionRow>, PlatformError> {
    let row = platform.get_row(&version_key(version))?;
    row.as_ref().map(parse_row).transpose()
}

/// Reads what the table records of a change. Returns `None` if the change was neither accepted nor withdrawn so
/// far; a transaction in flight may still make it accepted.
///
/// # Errors
///
/// Fails if a call to the platform fails or if the row can't be parsed.
pub fn read_change(
    platform: &dyn Platform,
    change: &ChangeId,
) -> Result<Option<ChangeFate>, PlatformError> {
    let row = platform.get_row(&change_key(change))?;
    row.as_ref().map(parse_row).transpose()
}

/// Reads the record of the change that created a version; returns `None` if there is no such version.
///
/// # Errors
///
/// Fails if a call to the platform fails or if the row can't be parsed.
pub fn read_version(
    platform: &dyn Platform,
    version: ConfigVersion,
) -> Result<Option<ChangeRecord>, PlatformError> {
    let row = read_version_row(platform, version)?;
    Ok(row.map(|row| row.record))
}

/// Reads the records of the newest versions, at most `limit`, newest first.
///
/// # Errors
///
/// Fails if a call to the platform fails or if a row can't be parsed.
pub fn list_versions(
    platform: &dyn Platform,
    limit: usize,
) -> Result<Vec<ChangeRecord>, PlatformError> {
    let rows = platform.list_rows(VERSION_PREFIX, limit)?;
    let rows = rows.iter().map(parse_row::<VersionRow>);
    rows.map(|row| row.map(|row| row.record)).collect()
}

pub(crate) fn parse_row<T: DeserializeOwned>(row: &Row) -> Result<T, PlatformError> {
    serde_json::from_str(&row.value)
        .map_err(|error| PlatformError::Malformed(format!("row `{}`: {error}", row.key)))
}

fn damaged_version(version: ConfigVersion, error: &ConfigError) -> PlatformError {
    PlatformError::Malformed(format!("version `{version}`: {error}"))
}

pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
