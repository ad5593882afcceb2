use displaydoc::Display;
use medlarspool_config::{ConfigError, EntryKey};
use medlarspool_types::{ChangeId, ConfigVersion};

use crate::PlatformError;

/// Why a change was not accepted, or why its outcome is not known.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CommitError {
    /// not accepted: {key} was changed by version `{winner}` since version `{base}`
    Conflict {
        /// The version that the change is based on.
        base: ConfigVersion,
        /// The entry that both the change and the other version changed.
        key: EntryKey,
        /// The newest version that changed the entry.
        winner: ConfigVersion,
    },
    /// not accepted: {0}
    Invalid(ConfigError),
    /// outcome not known ({reason}); run `medlarspool history --change {change}`
    OutcomeUnknown {
        /// The change's id.
        change: ChangeId,
        /// The platform's error because of which the outcome is not known.
        reason: PlatformError,
    },
    /// not accepted: {0}
    Platform(PlatformError),
    /// not accepted: {key} lost to version `{winner}`, which changed {other}: {reason}
    SemanticConflict {
        /// The entry that the change edits.
        key: EntryKey,
        /// The other entry, which makes the edited lists invalid.
        other: EntryKey,
        /// Why the lists with both edits are invalid.
        reason: Box<ConfigError>,
        /// The newest version that changed the other entry.
        winner: ConfigVersion,
    },
    /// not accepted: others changed the lists `{attempts}` times meanwhile; try again
    TooManyAttempts {
        /// The number of attempts made.
        attempts: u32,
    },
    /// not accepted: there is no version `{0}`
    UnknownVersion(ConfigVersion),
    /// not accepted: change `{0}` was withdrawn
    Withdrawn(ChangeId),
}

impl std::error::Error for CommitError {}
