use crate::reply::Reply;

/// How a request goes on after an event of one of its copies.
pub(crate) enum NextStep {
    Answer(Reply),
    SendCopy,
    /// A copy that is pending may still be answered.
    Wait,
}
