use medlarspool_proto::CallReply;

/// How a run at the upstream ended, as far as its connection shows.
#[derive(Debug)]
pub(crate) enum UpstreamOutcome {
    /// The whole answer arrived.
    Answered(CallReply),
    /// Something was or may have been sent, and no whole answer arrived.
    Lost,
    /// Nothing was sent.
    NotSent,
}
