use std::{net::SocketAddr, str::FromStr, time::Duration};

use getopts::{Matches, Options};
use medlarspool_platform::HttpPlatform;

use crate::CommandError;

/// The timeout of one HTTP call to the platform or a daemon, from connecting to the end of the body.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A subcommand's parsed command line.
pub(crate) struct Arguments(Matches);

impl Arguments {
    pub(crate) fn parse(options: &Options, arguments: &[String]) -> Result<Self, CommandError> {
        let matches = options.parse(arguments);
        matches
            .map(Self)
            .map_err(|error| CommandError::Usage(error.to_string()))
    }

    pub(crate) fn flag(&self, name: &str) -> bool {
        self.0.opt_present(name)
    }

    pub(crate) fn json(&self) -> bool {
        self.flag("json")
    }

    pub(crate) fn optional(&self, name: &str) -> Option<String> {
        self.0.opt_str(name)
    }

    pub(crate) fn required(&self, name: &str) -> Result<String, CommandError> {
        self.optional(name).ok_or_else(|| missing_option(name))
    }

    pub(crate) fn parsed<T: FromStr>(&self, name: &str) -> Result<Option<T>, CommandError> {
        let Some(text) = self.optional(name) else {
            return Ok(None);
        };
        let invalid = |_| CommandError::Usage(format!("`--{name}` can't be `{text}`"));
        text.parse().map(Some).map_err(invalid)
    }

    /// Returns the arguments that are not options.
    pub(crate) fn all_operands(&self) -> &[String] {
        &self.0.free
    }

    /// Returns the arguments that are not options; fails unless there are exactly `N`.
    pub(crate) fn operands<const N: usize>(&self) -> Result<[&str; N], CommandError> {
        let operands: Vec<&str> = self.0.free.iter().map(String::as_str).collect();
        let found = operands.len();
        operands.try_into().map_err(|_| {
            CommandError::Usage(format!("`{found}` operands are given but `{N}` are needed"))
        })
    }

    pub(crate) fn platform(&self) -> Result<HttpPlatform, CommandError> {
        let address: Option<SocketAddr> = self.parsed("platform")?;
        let address = address.ok_or_else(|| missing_option("platform"))?;
        Ok(HttpPlatform::new(address, &self.token()?, CALL_TIMEOUT))
    }

    pub(crate) fn token(&self) -> Result<String, CommandError> {
        self.optional_token()?
            .ok_or_else(|| missing_option("token"))
    }

    /// Returns the token from `--token-file` or else `--token`; `None` without both, since daemons on the
    /// users' platform require none.
    pub(crate) fn optional_token(&self) -> Result<Option<String>, CommandError> {
        match self.optional("token-file") {
            Some(path) => Ok(Some(read_file(&path)?.trim().to_owned())),
            None => Ok(self.optional("token")),
        }
    }
}

pub(crate) fn missing_option(name: &str) -> CommandError {
    CommandError::Usage(format!("`--{name}` is missing"))
}

pub(crate) fn read_file(path: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::File {
        path: path.into(),
        reason: error.to_string(),
    })
}

/// Writes a file atomically: writes a temporary file next to it and renames that over it.
pub(crate) fn write_file(path: &str, content: &str) -> Result<(), CommandError> {
    let temporary_path = format!("{path}.unfinished");
    let result = std::fs::write(&temporary_path, content)
        .and_then(|()| std::fs::rename(&temporary_path, path));
    result.map_err(|error| CommandError::File {
        path: path.into(),
        reason: error.to_string(),
    })
}

pub(crate) fn add_platform_options(options: &mut Options) {
    options.optopt("", "platform", "address of the platform", "IP:PORT");
    options.optopt("", "token", "token for the platform", "TOKEN");
    options.optopt("", "token-file", "file that holds the token", "FILE");
}

pub(crate) fn add_daemon_options(options: &mut Options) {
    let text = "administration address of a daemon";
    options.optopt("", "daemon", text, "IP:PORT");
    options.optopt(
        "",
        "token",
        "operators' token, if the daemon asks for one",
        "TOKEN",
    );
    options.optopt("", "token-file", "file that holds the token", "FILE");
}
