use prost::Message;

/// The gate's own count of its load, which rides on every reply.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct LoadReport {
    /// Requests waiting for a slot.
    #[prost(uint32, tag = "1")]
    pub queued: u32,
    /// The time that the upstream takes for a request, as the gate measures it, in microseconds.
    #[prost(uint64, tag = "2")]
    pub service_time_us: u64,
    /// The slots that the upstream announced.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Slots that are taken.
    #[prost(uint32, tag = "4")]
    pub slots_in_use: u32,
}
