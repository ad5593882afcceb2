/// Says what a fate question may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuestionKind {
    /// Another gate with the same idempotency key asks; nothing is stopped and no channel closed.
    Inquire,
    /// The call's own entry lost its connection: what has not started is fenced.
    Settle,
}
