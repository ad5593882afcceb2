use displaydoc::Display;
use medlarspool_config::ConfigError;
use medlarspool_platform::{CommitError, PlatformError};
use medlarspool_types::ConfigVersion;

/// Why the command failed; each kind has an exit code of its own.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CommandError {
    /// {0}
    Commit(CommitError),
    /// {0}
    Config(ConfigError),
    /// `{path}`: {reason}
    File {
        /// The file.
        path: String,
        /// What the system said.
        reason: String,
    },
    /// the lists name no `base_version` and version `{head}` stands; run `get`, or name the version that they started from by `--base`
    NoBase {
        /// The newest version.
        head: ConfigVersion,
    },
    /// can't write the output: {0}
    Output(String),
    /// {0}
    Platform(PlatformError),
    /// {0}; see `medlarspool --help`
    Usage(String),
}

impl CommandError {
    /// Returns the process's exit code.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Commit(CommitError::OutcomeUnknown { .. }) => 5,
            Self::Commit(CommitError::Platform(_)) | Self::Platform(_) => 4,
            Self::Commit(
                CommitError::Clash { .. }
                | CommitError::Conflict { .. }
                | CommitError::TooManyRaces { .. },
            ) => 6,
            Self::Commit(
                CommitError::Invalid(_)
                | CommitError::UnknownVersion(_)
                | CommitError::Withdrawn(_),
            )
            | Self::Config(_) => 3,
            Self::File { .. } | Self::NoBase { .. } | Self::Usage(_) => 2,
            Self::Output(_) => 1,
        }
    }
}

impl std::error::Error for CommandError {}

impl From<CommitError> for CommandError {
    fn from(error: CommitError) -> Self {
        Self::Commit(error)
    }
}

impl From<ConfigError> for CommandError {
    fn from(error: ConfigError) -> Self {
        Self::Config(error)
    }
}

impl From<PlatformError> for CommandError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        Self::Output(error.to_string())
    }
}
