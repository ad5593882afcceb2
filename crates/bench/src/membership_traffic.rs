use std::time::Duration;

/// What a daemon's membership sent and received, including IP and UDP headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipTraffic {
    /// Bytes received.
    pub received_bytes: usize,
    /// Datagrams received.
    pub received_messages: usize,
    /// Bytes sent.
    pub sent_bytes: usize,
    /// Datagrams sent.
    pub sent_messages: usize,
    /// Received requests for pages of state.
    pub state_requests: usize,
    /// The time spent on receiving, handling, sealing and sending.
    pub processing_time: Duration,
}

impl MembershipTraffic {
    /// Returns the number of bytes sent and received.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.received_bytes + self.sent_bytes
    }

    /// Returns the number of datagrams sent and received.
    #[must_use]
    pub fn messages(&self) -> usize {
        self.received_messages + self.sent_messages
    }
}
