use std::time::Duration;

/// How a try at an upstream ended, as evidence for the choice of the next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// An answer came.
    Answered {
        /// The time from choice to answer.
        elapsed: Duration,
    },
    /// The caller went away, which says nothing of the upstream.
    Cancelled,
    /// The gate could not be connected to.
    ConnectFailed,
    /// The connection was lost or the answer was cut off.
    Lost,
    /// The gate refused for load or because it drains; its load report tells the rest.
    Refused,
    /// No answer came in time.
    TimedOut {
        /// The time waited.
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
