use medlarspool_proto::CallReply;

/// How a run at the upstream ended, as its connection told.
#[derive(Debug)]
pub(crate) enum UpstreamOutcome {
    /// The whole answer came.
    Answered(CallReply),
    /// Something was or may have been sent, and no whole answer came.
    Lost,
    /// Nothing was sent.
    NotSent,
}
