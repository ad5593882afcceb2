use std::time::Duration;

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MessageLimits {
    /// The time for a request's header.
    pub header_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
    /// The longest body, in bytes.
    pub max_body_bytes: u64,
    /// The longest header, in bytes.
    pub max_header_bytes: usize,
}

impl Default for MessageLimits {
    /// Holds until a configuration is known: usual values of HTTP servers.
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
            max_body_bytes: 64 << 20,
            max_header_bytes: 16 << 10,
        }
    }
}
