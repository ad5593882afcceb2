use std::time::Instant;

use medlarspool_types::{Incarnation, InstanceId};

/// The reason for a probe, which decides the consequence of its failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeKind {
    /// Probes the next member of the round; a failure leads to a second probe.
    First,
    /// Probes a suspect at the end of its suspicion; a failure marks it as dead.
    Last,
    /// Probes a dead member in case it was only partitioned; a failure has no consequence.
    Reconnect,
    /// Probes a member that failed a first probe or refused a call's connection; a failure begins a
    /// suspicion.
    Second,
}

/// A probe in progress.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// When the probe fails if it was not answered.
    pub(crate) deadline: Instant,
    pub(crate) incarnation: Incarnation,
    pub(crate) instance: InstanceId,
    pub(crate) kind: ProbeKind,
    /// The number of peers that were asked for an indirect probe and have not sent a nack.
    pub(crate) missing_nack_count: u32,
    /// The number of the ping, which the ack repeats.
    pub(crate) number: u64,
    /// When indirect probes are due if the member has not answered; none after that time.
    pub(crate) indirect_at: Option<Instant>,
    pub(crate) sent_at: Instant,
}

/// A ping sent on behalf of another daemon, as its indirect probe.
#[derive(Clone, Debug)]
pub(crate) struct IndirectPing {
    /// The daemon to which the ack or the nack is sent.
    pub(crate) requester: medlarspool_types::Address,
    /// The number of the requester's probe.
    pub(crate) requester_number: u64,
    pub(crate) deadline: Instant,
    /// The number of this ping.
    pub(crate) number: u64,
    pub(crate) subject: InstanceId,
}
