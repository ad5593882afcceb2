use crate::{CallerReply, OvernightKind};

/// The outcome of one request as its caller observed it, over all sends.
#[derive(Clone, Debug)]
pub struct OvernightRequest {
    /// The answer that was truncated or belonged to another request, if there was one.
    pub garbled: Option<CallerReply>,
    /// The request's id, by which upstreams record its runs.
    pub id: String,
    /// The idempotency key, which is sent only with a keyed request.
    pub key: String,
    /// Whether the request may run twice, and whether it carries its key.
    pub kind: OvernightKind,
    /// Whether every send was answered and every answer had the verdict `not-run`.
    pub never_ran: bool,
    /// Whether an answer had the verdict `ran`.
    pub ran: bool,
    /// How often it was sent.
    pub sends: u32,
}
