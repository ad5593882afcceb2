use crate::GateRequest;

/// A request in the queue of a gate.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: GateRequest,
    pub(crate) ticket: u64,
    /// The index of its account's turn.
    pub(crate) turn: usize,
}
