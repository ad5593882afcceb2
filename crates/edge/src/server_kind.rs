use std::time::Duration;

use crate::hop::INTERIM_AFTER;

/// Whom a server of this daemon serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerKind {
    /// Clients, whose requests are sent to targets.
    Clients,
    /// The own target, which announces itself, operators and readiness checks. An announcement counts even if its
    /// sender didn't wait for the reply.
    Local,
    /// Other daemons, whose hops run at the own target.
    Peers,
}

impl ServerKind {
    /// Returns after how long without a response an interim response is sent; `None` for never.
    pub(crate) const fn interim_after(self) -> Option<Duration> {
        match self {
            Self::Clients | Self::Local => None,
            Self::Peers => Some(INTERIM_AFTER),
        }
    }

    /// Returns whether requests are begun whose sender has closed the connection already.
    pub(crate) const fn serves_absent_senders(self) -> bool {
        match self {
            Self::Clients | Self::Peers => false,
            Self::Local => true,
        }
    }
}
