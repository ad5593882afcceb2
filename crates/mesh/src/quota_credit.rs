use std::time::Instant;

/// The permission to run one request of an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaCredit {
    /// Until when the request may be sent to a gate.
    pub expires_at: Instant,
}
