use std::path::PathBuf;

use getopts::Options;

use crate::DaemonError;

/// What the command line asks for.
pub(crate) enum Arguments {
    /// Check the settings file and stop.
    CheckSettings(PathBuf),
    /// Print how the command is used.
    Help(String),
    /// Serve by the settings file.
    Serve(PathBuf),
    /// Print the version.
    Version,
}

impl Arguments {
    pub(crate) fn parse(arguments: impl Iterator<Item = String>) -> Result<Self, DaemonError> {
        let options = options();
        let matches = options
            .parse(arguments)
            .map_err(|error| DaemonError::Arguments(error.to_string()))?;
        if matches.opt_present("help") {
            let brief = "Usage: medlarspoold --settings FILE [--check-settings]";
            return Ok(Self::Help(options.usage(brief)));
        }
        if matches.opt_present("version") {
            return Ok(Self::Version);
        }
        if let Some(free) = matches.free.first() {
            return Err(DaemonError::Arguments(format!("`{free}` is not an option")));
        }
        let Some(path) = matches.opt_str("settings") else {
            return Err(DaemonError::Arguments("--settings FILE is missing".into()));
        };
        if matches.opt_present("check-settings") {
            return Ok(Self::CheckSettings(path.into()));
        }
        Ok(Self::Serve(path.into()))
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the YAML settings file", "FILE");
    options.optflag("", "check-settings", "check the settings file and stop");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}
