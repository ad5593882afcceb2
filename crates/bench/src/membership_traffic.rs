use std::time::Duration;

/// What a daemon's membership sent and received, IP and UDP framing included.
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
    /// Requests for pages of state received.
    pub state_requests: usize,
    /// The time spent on reading, deciding, sealing and sending.
    pub processing_time: Duration,
}

impl MembershipTraffic {
    /// Returns all bytes, sent and received.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.received_bytes + self.sent_bytes
    }

    /// Returns all datagrams, sent and received.
    #[must_use]
    pub fn messages(&self) -> usize {
        self.received_messages + self.sent_messages
    }
}
