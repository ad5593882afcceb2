//! Reading what was accepted.

use medlarspool_config::{ConfigError, Lists};
use medlarspool_types::{ChangeId, ConfigDigest, ConfigHead, ConfigVersion};
use serde::{Serialize, de::DeserializeOwned};

use crate::{ChangeFate, ChangeRecord, Platform, PlatformError, Row};

/// The row that holds the newest accepted version.
pub(crate) const HEAD_KEY: &str = "config/head";
/// What the keys of versions' rows start with.
const VERSION_PREFIX: &str = "config/version/";

pub(crate) fn change_key(change: &ChangeId) -> String {
    format!("config/change/{change}")
}

/// The version counts down in the key, so that the newest come first in the order of keys.
pub(crate) fn version_key(version: ConfigVersion) -> String {
    format!("{VERSION_PREFIX}{:020}", u64::MAX - version.0)
}

pub(crate) fn object_name(digest: ConfigDigest) -> String {
    format!("lists/{digest}")
}

/// Reads the newest accepted version; `None` before any.
///
/// # Errors
///
/// Fails if the platform does or if the row can't be read.
pub fn read_head(platform: &dyn Platform) -> Result<Option<ConfigHead>, PlatformError> {
    let row = platform.row(HEAD_KEY)?;
    row.as_ref().map(parse).transpose()
}

/// Reads the lists of a version and checks that they are whole.
///
/// # Errors
///
/// Fails if the platform does, or if what it holds are not the version's lists.
pub fn read_lists(platform: &dyn Platform, head: ConfigHead) -> Result<Lists, PlatformError> {
    let name = object_name(head.digest);
    let content = platform.object(&name)?;
    let content = content.ok_or_else(|| PlatformError::Malformed(format!("no object `{name}`")))?;
    let lists = Lists::decode(&content).map_err(|error| damaged(&name, &error))?;
    let found = lists.kept_digest();
    if found != head.digest {
        return Err(damaged(&name, &ConfigError::Digest { found, head }));
    }
    Ok(lists)
}

/// Reads what became of a change; `None` if it was not accepted so far, though it may yet be.
///
/// # Errors
///
/// Fails if the platform does or if the row can't be read.
pub fn read_change(
    platform: &dyn Platform,
    change: &ChangeId,
) -> Result<Option<ChangeFate>, PlatformError> {
    let row = platform.row(&change_key(change))?;
    row.as_ref().map(parse).transpose()
}

/// Reads which change made a version; `None` if there is no such version.
///
/// # Errors
///
/// Fails if the platform does or if the row can't be read.
pub fn read_version(
    platform: &dyn Platform,
    version: ConfigVersion,
) -> Result<Option<ChangeRecord>, PlatformError> {
    let row = platform.row(&version_key(version))?;
    row.as_ref().map(parse).transpose()
}

/// Reads the newest versions, newest first.
///
/// # Errors
///
/// Fails if the platform does or if a row can't be read.
pub fn versions(platform: &dyn Platform, limit: usize) -> Result<Vec<ChangeRecord>, PlatformError> {
    let rows = platform.rows(VERSION_PREFIX, limit)?;
    rows.iter().map(parse).collect()
}

pub(crate) fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, PlatformError> {
    serde_json::from_str(&row.value)
        .map_err(|error| PlatformError::Malformed(format!("row `{}`: {error}", row.key)))
}

fn damaged(name: &str, error: &ConfigError) -> PlatformError {
    PlatformError::Malformed(format!("object `{name}`: {error}"))
}

pub(crate) fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
