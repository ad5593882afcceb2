use std::sync::Arc;

use medlarspool_proto::{CallReply, CallRequest, FateRequest, PeerHandler, Refusal};
use medlarspool_types::Verdict;

use crate::gate::Gate;

/// What this daemon does for its peers.
pub(crate) struct PeerEdge {
    pub(crate) gate: Arc<Gate>,
}

impl PeerHandler for PeerEdge {
    async fn call(&self, request: CallRequest) -> CallReply {
        self.gate.call(request).await
    }

    async fn fate(&self, _: FateRequest) -> CallReply {
        CallReply::refused(Verdict::MayHaveRun, Refusal::None)
    }
}
