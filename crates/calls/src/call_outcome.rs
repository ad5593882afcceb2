use std::time::Duration;

/// How an attempt at an upstream ended, as evidence for later choices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// An answer arrived.
    Answered {
        /// The time from the choice of the upstream to the answer.
        elapsed: Duration,
    },
    /// The caller disconnected, which is no evidence about the upstream.
    Cancelled,
    /// No connection to the gate could be made.
    ConnectFailed,
    /// The connection was lost or the answer was truncated.
    Lost,
    /// The gate refused because of its load or because it drains. This counts neither as a failure
    /// nor as a success; the load report that came with it is used.
    Refused,
    /// No answer arrived in time.
    TimedOut {
        /// How long the entry waited.
        elapsed: Duration,
    },
    /// The gate answered that its upstream is down.
    UpstreamDown,
}

impl CallOutcome {
    pub(crate) const fn is_failure(self) -> bool {
        match self {
            Self::Answered { .. } | Self::Cancelled | Self::Refused => false,
            Self::ConnectFailed | Self::Lost | Self::TimedOut { .. } | Self::UpstreamDown => true,
        }
    }
}
