/// How a run at the upstream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome<A> {
    /// The whole answer arrived; the gate keeps it for a limited time.
    Answered {
        /// The answer.
        answer: A,
        /// Its size in memory, in bytes.
        answer_bytes: usize,
    },
    /// The connection to the upstream was lost, the answer was truncated or the deadline passed.
    Lost,
    /// Nothing was sent to the upstream, so the call did not run; often no connection could be made.
    NotSent,
}
