use std::{net::SocketAddr, str::FromStr, time::Duration};

use getopts::{Matches, Options};
use medlarspool_platform::HttpPlatform;

use crate::CommandError;

/// The time after which a call to the platform is given up.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(10);

/// A subcommand's parsed options.
pub(crate) struct Arguments(Matches);

impl Arguments {
    pub(crate) fn parse(options: &Options, arguments: &[String]) -> Result<Self, CommandError> {
        let matches = options.parse(arguments);
        matches
            .map(Self)
            .map_err(|error| CommandError::Usage(error.to_string()))
    }

    pub(crate) fn optional(&self, name: &str) -> Option<String> {
        self.0.opt_str(name)
    }

    pub(crate) fn required(&self, name: &str) -> Result<String, CommandError> {
        let missing = || CommandError::Usage(format!("`--{name}` is missing"));
        self.optional(name).ok_or_else(missing)
    }

    pub(crate) fn parsed<T: FromStr>(&self, name: &str) -> Result<Option<T>, CommandError> {
        let Some(text) = self.optional(name) else {
            return Ok(None);
        };
        let refused = |_| CommandError::Usage(format!("`--{name}` can't be `{text}`"));
        text.parse().map(Some).map_err(refused)
    }

    pub(crate) fn platform(&self) -> Result<HttpPlatform, CommandError> {
        let missing = || CommandError::Usage("`--platform` is missing".into());
        let address: SocketAddr = self.parsed("platform")?.ok_or_else(missing)?;
        Ok(HttpPlatform::new(address, &self.token()?, PLATFORM_TIMEOUT))
    }

    pub(crate) fn token(&self) -> Result<String, CommandError> {
        match self.optional("token-file") {
            Some(path) => Ok(read_file(&path)?.trim().to_owned()),
            None => self.required("token"),
        }
    }
}

pub(crate) fn read_file(path: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::File {
        path: path.into(),
        reason: error.to_string(),
    })
}

pub(crate) fn add_platform(options: &mut Options) {
    options.optopt("", "platform", "address of the platform", "IP:PORT");
    options.optopt("", "token", "token for the platform", "TOKEN");
    options.optopt("", "token-file", "file that holds the token", "FILE");
}

pub(crate) fn add_lists(options: &mut Options) {
    options.optopt("", "customers", "the customers' list", "FILE");
    options.optopt("", "plans", "the plans' list", "FILE");
}
