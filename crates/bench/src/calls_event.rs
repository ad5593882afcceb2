use std::time::Duration;

use medlarspool_calls::{CallOutcome, LoadReport, Refusal};

/// A scheduled event of the model; calls (attempts), requests and upstreams are referred to by index.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// A request of a service arrives at an entry.
    Arrive { service: usize },
    /// The cancellation of a call reaches its upstream's gate.
    Cancel { call: usize },
    /// A request's caller stops waiting.
    Deadline { request: usize },
    /// Membership declares the unreachable upstreams dead, and all entries remove them from their tables.
    DeclareDead,
    /// The scenario's fault begins, half-way through the traffic.
    Fault,
    /// A call reaches its upstream's gate.
    Offer { call: usize },
    /// A call's reply, or the lack of one, reaches its entry.
    Reply { call: usize, reply: Reply },
    /// A call has run at its upstream.
    RunDone { call: usize },
    /// An entry sends the next attempt of a request.
    Send { request: usize },
    /// An upstream's gate checks whether deadlines of waiting calls have passed.
    Wake { upstream: usize },
}

/// The end of an attempt as its entry observes it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reply {
    /// The call ran.
    Answered { load: LoadReport },
    /// No connection could be established, so the call did not run.
    ConnectFailed,
    /// The gate refused the call, which did not run.
    Refused { load: LoadReport, refusal: Refusal },
    /// No reply came in time; the call may have run.
    Silent,
}

impl Reply {
    pub(crate) const fn load(&self) -> Option<LoadReport> {
        match *self {
            Self::Answered { load } | Self::Refused { load, .. } => Some(load),
            Self::ConnectFailed | Self::Silent => None,
        }
    }

    pub(crate) const fn outcome(&self, elapsed: Duration) -> CallOutcome {
        match self {
            Self::Answered { .. } => CallOutcome::Answered { elapsed },
            Self::ConnectFailed => CallOutcome::ConnectFailed,
            Self::Refused { .. } => CallOutcome::Refused,
            Self::Silent => CallOutcome::Lost,
        }
    }
}
