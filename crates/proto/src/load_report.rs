use prost::Message;

/// The load that a gate measures; every reply to a call carries it.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct LoadReport {
    /// The number of requests that wait for a slot.
    #[prost(uint32, tag = "1")]
    pub queued: u32,
    /// How long the upstream takes to run a request, as the gate measured it, in microseconds.
    #[prost(uint64, tag = "2")]
    pub service_time_us: u64,
    /// The number of slots that the upstream announced.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// The number of slots in use.
    #[prost(uint32, tag = "4")]
    pub slots_in_use: u32,
}
