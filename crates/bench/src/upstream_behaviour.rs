use std::{str::FromStr, time::Duration};

/// How a stand-in upstream handles requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamBehaviour {
    /// Each request takes ten times as long until this many have been served.
    Cold(u32),
    /// A request whose path starts with `/crash` ends the upstream's process.
    Crashing,
    /// Each request takes the plain service time.
    Plain,
    /// Requests are accepted and never answered.
    Silent,
}

impl UpstreamBehaviour {
    /// Returns how long a request takes after `served` others; `plain` is the plain service time.
    #[must_use]
    pub fn service_time(self, plain: Duration, served: u32) -> Duration {
        match self {
            Self::Cold(until) if served < until => plain * 10,
            Self::Cold(_) | Self::Crashing | Self::Plain => plain,
            Self::Silent => Duration::from_hours(1),
        }
    }
}

impl FromStr for UpstreamBehaviour {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "cold" => Ok(Self::Cold(100)),
            "crashing" => Ok(Self::Crashing),
            "plain" => Ok(Self::Plain),
            "silent" => Ok(Self::Silent),
            other => Err(format!("`{other}` is not cold, crashing, plain or silent")),
        }
    }
}

impl std::fmt::Display for UpstreamBehaviour {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Cold(_) => "cold",
            Self::Crashing => "crashing",
            Self::Plain => "plain",
            Self::Silent => "silent",
        })
    }
}
