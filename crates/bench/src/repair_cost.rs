use std::time::Duration;

/// The cost of one repair for both sides together.
#[derive(Clone, Copy, Debug, Default)]
pub struct RepairCost {
    /// The payload of all messages, in bytes.
    pub payload_bytes: usize,
    /// The processor time of the source and of the requester.
    pub processor_time: Duration,
    /// The number of times that the requester waits for an answer before it can go on.
    pub round_trips: u32,
}
