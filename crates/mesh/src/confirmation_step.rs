use std::time::Duration;

/// What a daemon does next for its confirmation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmationStep {
    /// Whether it asks a peer.
    pub asks_peer: bool,
    /// Whether it is so late that it asks any relay, since the usual one may not answer.
    pub is_late: bool,
    /// When the next step is due.
    pub next_after: Duration,
    /// The longest wait, drawn at random, before it calls the store itself; none if it doesn't.
    pub store_call_within: Option<Duration>,
}
