use std::time::Instant;

use medlarspool_types::{Incarnation, InstanceId};

/// Why a probe is made, which decides what its failure means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeKind {
    /// The next member in turn; its failure leads to a second probe.
    First,
    /// The last question to a suspect; its failure means death.
    Last,
    /// A dead member, in case it is only cut off; its failure means nothing.
    Reconnect,
    /// A member that failed once or was found out by a call; its failure leads to a suspicion.
    Second,
}

/// A probe under way.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) deadline: Instant,
    pub(crate) incarnation: Incarnation,
    pub(crate) instance: InstanceId,
    pub(crate) kind: ProbeKind,
    pub(crate) nacks_missing: u32,
    pub(crate) number: u64,
    /// When others are asked, until they are.
    pub(crate) indirect_at: Option<Instant>,
    pub(crate) sent: Instant,
}

/// A ping made for another daemon.
#[derive(Clone, Debug)]
pub(crate) struct IndirectPing {
    pub(crate) requester: medlarspool_types::Address,
    pub(crate) requester_number: u64,
    pub(crate) deadline: Instant,
    pub(crate) number: u64,
    pub(crate) subject: InstanceId,
}
