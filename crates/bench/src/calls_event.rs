use std::time::Duration;

use medlarspool_calls::{CallOutcome, LoadReport, Refusal};

/// A scheduled event of the model; calls (attempts), requests and upstreams are referred to by index.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    Arrive { service: usize },
    Cancel { call: usize },
    Deadline { request: usize },
    DeclareDead,
    Fault,
    Offer { call: usize },
    Reply { call: usize, reply: Reply },
    RunDone { call: usize },
    Send { request: usize },
    Wake { upstream: usize },
}

/// The end of an attempt as its entry observes it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reply {
    Answered { load: LoadReport },
    ConnectFailed,
    Refused { load: LoadReport, refusal: Refusal },
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
