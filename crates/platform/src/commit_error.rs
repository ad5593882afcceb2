use displaydoc::Display;
use medlarspool_config::{ConfigError, EntryKey};
use medlarspool_types::{ChangeId, ConfigVersion};

use crate::PlatformError;

/// Why a change was not accepted, or is not known to be.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CommitError {
    /// not accepted: {key} was changed by version `{winner}` since version `{base}`
    Conflict {
        /// The version that the change started from.
        base: ConfigVersion,
        /// The entry that both changed.
        key: EntryKey,
        /// The version that changed the entry.
        winner: ConfigVersion,
    },
    /// not accepted: {0}
    Invalid(ConfigError),
    /// outcome not known ({reason}); run `medlarspool history --change {change}`
    OutcomeUnknown {
        /// The change.
        change: ChangeId,
        /// What the platform last said.
        reason: PlatformError,
    },
    /// not accepted: {0}
    Platform(PlatformError),
    /// not accepted: {key} lost to version `{winner}`, which changed {other}: {reason}
    SemanticConflict {
        /// The entry that the change would have made.
        key: EntryKey,
        /// The entry that it can't stand beside.
        other: EntryKey,
        /// What is wrong with both together.
        reason: Box<ConfigError>,
        /// The version that changed the other entry.
        winner: ConfigVersion,
    },
    /// not accepted: others changed the lists `{attempts}` times meanwhile; try again
    TooManyAttempts {
        /// The tries made.
        attempts: u32,
    },
    /// not accepted: there is no version `{0}`
    UnknownVersion(ConfigVersion),
    /// not accepted: change `{0}` was withdrawn
    Withdrawn(ChangeId),
}

impl std::error::Error for CommitError {}
