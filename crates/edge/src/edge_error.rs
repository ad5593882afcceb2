use std::{net::SocketAddr, path::PathBuf};

use displaydoc::Display;
use medlarspool_adapter::AdapterError;

/// Why the daemon can't start or has to stop.
#[derive(Debug, Display)]
pub enum EdgeError {
    /// cannot listen on `{address}`: {error}
    Listen {
        /// The address of the socket.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// cannot read `{path}`: {error}
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// cannot start the event loop: {0}
    Runtime(std::io::Error),
    /// `{path}` is not valid: {error}
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong with its content.
        error: AdapterError,
    },
    /// cannot handle signals: {0}
    Signal(std::io::Error),
}

impl std::error::Error for EdgeError {}
