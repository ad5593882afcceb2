use std::time::Duration;

/// What one repair costs both sides together.
#[derive(Clone, Copy, Debug, Default)]
pub struct RepairCost {
    /// The payload of all messages, in bytes.
    pub bytes: usize,
    /// The processor time of the giver and the asker.
    pub processor_time: Duration,
    /// How often the asker waits for an answer.
    pub round_trips: u32,
}
