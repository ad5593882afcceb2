/// How a run at the upstream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome<A> {
    /// The whole answer arrived; the gate keeps it for a bounded time.
    Answered {
        /// The answer.
        answer: A,
        /// Its size in memory.
        answer_bytes: usize,
    },
    /// The connection to the upstream was lost, the answer cut off or the deadline passed.
    Lost,
    /// The upstream could not be connected to, so nothing was sent.
    NotSent,
}
