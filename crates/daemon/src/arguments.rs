use std::path::PathBuf;

use getopts::Options;

use crate::DaemonError;

/// What the command line asks for.
pub(crate) enum Arguments {
    /// Check the settings file and exit.
    CheckSettings(PathBuf),
    /// Check the settings file that the users' platform names, and exit.
    CheckSiteSettings(PathBuf),
    /// Print the help text.
    Help(String),
    /// Serve with this settings file.
    Serve(PathBuf),
    /// Serve on the users' platform, with the settings file that it names.
    ServeSite(PathBuf),
    /// Print the version.
    Version,
}

impl Arguments {
    /// Parses the command line without the program's name. `--help` and `--version` take precedence over all
    /// other options, and `--site` over `--settings`.
    pub(crate) fn parse(arguments: impl Iterator<Item = String>) -> Result<Self, DaemonError> {
        let options = options();
        let matches = options
            .parse(arguments)
            .map_err(|error| DaemonError::Arguments(error.to_string()))?;
        if matches.opt_present("help") {
            let usage = "Usage: medlarspoold (--settings FILE | --site) [--check-settings]";
            return Ok(Self::Help(options.usage(usage)));
        }
        if matches.opt_present("version") {
            return Ok(Self::Version);
        }
        if let Some(argument) = matches.free.first() {
            return Err(DaemonError::Arguments(format!(
                "`{argument}` is not an option"
            )));
        }
        let check_only = matches.opt_present("check-settings");
        if matches.opt_present("site") {
            let path = site_settings_path()?;
            return Ok(if check_only {
                Self::CheckSiteSettings(path)
            } else {
                Self::ServeSite(path)
            });
        }
        let Some(path) = matches.opt_str("settings") else {
            return Err(DaemonError::Arguments("--settings FILE is missing".into()));
        };
        if check_only {
            return Ok(Self::CheckSettings(path.into()));
        }
        Ok(Self::Serve(path.into()))
    }
}

/// Returns the path of the settings file, which the platform passes in an environment variable.
fn site_settings_path() -> Result<PathBuf, DaemonError> {
    let variable = medlarspool_adapter::SETTINGS_VARIABLE;
    let path = std::env::var_os(variable);
    path.map(PathBuf::from)
        .ok_or_else(|| DaemonError::Arguments(format!("`{variable}` is not set")))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the YAML settings file", "FILE");
    options.optflag(
        "",
        "site",
        "serve on the platform, by the settings file that it names",
    );
    options.optflag("", "check-settings", "check the settings file and stop");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}
