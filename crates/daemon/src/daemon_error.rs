use displaydoc::Display;
use medlarspool_edge::EdgeError;

/// Why the daemon can't start.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// {0}
    Arguments(String),
    /// {0}
    Edge(EdgeError),
    /// can't listen on `{address}` for {purpose}: {cause}
    Listen {
        /// The address from the settings.
        address: String,
        /// The operating system's error.
        cause: String,
        /// What the address is for.
        purpose: &'static str,
    },
    /// can't install the handler of planned stops: {0}
    Signal(String),
    /// can't read settings file `{path}`: {cause}
    SettingsFile {
        /// The operating system's error.
        cause: String,
        /// The path as the command line gave it.
        path: String,
    },
    /// settings file `{path}`: {cause}
    SettingsInvalid {
        /// Which line, field and value were rejected, and why.
        cause: String,
        /// The path as the command line gave it.
        path: String,
    },
    /// can't start a thread: {0}
    Thread(String),
}

impl DaemonError {
    /// Returns the exit code of the process: 2 for arguments and settings that the operator must correct, 1
    /// for the rest.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Arguments(_)
            | Self::Edge(EdgeError::ReadSettings { .. } | EdgeError::Settings { .. })
            | Self::SettingsFile { .. }
            | Self::SettingsInvalid { .. } => 2,
            Self::Edge(_) | Self::Listen { .. } | Self::Signal(_) | Self::Thread(_) => 1,
        }
    }
}

impl From<EdgeError> for DaemonError {
    fn from(error: EdgeError) -> Self {
        Self::Edge(error)
    }
}

impl std::error::Error for DaemonError {}
