/// Whether a fate question may stop the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuestionKind {
    /// Asked by a gate that holds another attempt with the same idempotency key; no call is fenced and
    /// no channel is closed.
    Inquire,
    /// Asked by the call's own entry after it lost the connection; the call is fenced if it has not
    /// started, and its channel is closed.
    Settle,
}
