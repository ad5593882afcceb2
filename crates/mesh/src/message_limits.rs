use std::time::Duration;

/// The limits on the size and the timing of clients' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MessageLimits {
    /// The time in which a request's header has to arrive.
    pub header_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// The longest body, in bytes.
    pub max_body_bytes: u64,
    /// The longest request line and headers together, in bytes.
    pub max_header_bytes: usize,
}

impl Default for MessageLimits {
    /// Returns common limits of HTTP servers, which apply until a configuration is known.
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
            max_body_bytes: 64 << 20,
            max_header_bytes: 16 << 10,
        }
    }
}
