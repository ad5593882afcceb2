use std::time::Duration;

/// The cost of one repair for both sides together.
#[derive(Clone, Copy, Debug, Default)]
pub struct RepairCost {
    /// The payload of all messages, in bytes.
    pub payload_bytes: usize,
    /// The processor time of the source and of the requester.
    pub processor_time: Duration,
    /// How often the requester waits for an answer.
    pub round_trips: u32,
}
