use std::net::SocketAddr;

use displaydoc::Display;
use medlarspool_config::ConfigError;
use medlarspool_platform::{CommitError, PlatformError};
use medlarspool_types::ConfigVersion;
use serde_json::json;

/// Why the command failed; each kind has an exit code of its own.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CommandError {
    /// {0}
    Commit(CommitError),
    /// {0}
    Config(ConfigError),
    /// daemon `{address}`: {reason}
    Daemon {
        /// The daemon's administration address.
        address: SocketAddr,
        /// Why the call failed.
        reason: String,
    },
    /// `{path}`: {reason}
    File {
        /// The file's path.
        path: String,
        /// The operating system's error.
        reason: String,
    },
    /// the lists name no `base_version`, but version `{head}` exists; run `get`, or give the version that they are based on with `--base`
    MissingBase {
        /// The newest accepted version.
        head: ConfigVersion,
    },
    /// {0} is not listed; not accepted
    MissingEntry(String),
    /// can't write the output: {0}
    Output(String),
    /// {0}
    Platform(PlatformError),
    /// {0}; see `medlarspool --help`
    Usage(String),
}

impl CommandError {
    /// Returns the text for standard error: JSON if the arguments contain `--json`.
    #[must_use]
    pub fn report(&self, arguments: &[String]) -> String {
        let text = self.to_string();
        if arguments.iter().any(|argument| argument == "--json") {
            return json!({ "error": text, "exit_code": self.exit_code() }).to_string();
        }
        format!("medlarspool: {text}")
    }

    /// Returns the process's exit code.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Commit(CommitError::OutcomeUnknown { .. }) => 5,
            Self::Commit(CommitError::Platform(_)) | Self::Daemon { .. } | Self::Platform(_) => 4,
            Self::Commit(
                CommitError::Conflict { .. }
                | CommitError::SemanticConflict { .. }
                | CommitError::TooManyAttempts { .. },
            ) => 6,
            Self::Commit(
                CommitError::Invalid(_)
                | CommitError::UnknownVersion(_)
                | CommitError::Withdrawn(_),
            )
            | Self::Config(_)
            | Self::MissingEntry(_) => 3,
            Self::File { .. } | Self::MissingBase { .. } | Self::Usage(_) => 2,
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
