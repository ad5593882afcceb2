use std::{sync::Arc, time::Duration};

use medlarspool_proto::{
    CallReply, CallRequest, FateRequest, PeerHandler, Refusal, TransferReply, TransferRequest,
};
use medlarspool_types::Verdict;
use tokio::sync::oneshot;

use crate::{control_message::ControlMessage, gate::Gate, shared::Shared};

/// When a peer comes back that asked a daemon which is stopping.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// What this daemon does for its peers.
pub(crate) struct PeerEdge {
    pub(crate) gate: Arc<Gate>,
    pub(crate) shared: Arc<Shared>,
}

impl PeerHandler for PeerEdge {
    async fn call(&self, request: CallRequest) -> CallReply {
        self.gate.call(request).await
    }

    async fn fate(&self, _: FateRequest) -> CallReply {
        CallReply::refused(Verdict::MayHaveRun, Refusal::None)
    }

    async fn transfer(&self, request: TransferRequest) -> TransferReply {
        let (asker, answer) = oneshot::channel();
        self.shared.tell_control(ControlMessage::TransferRequested {
            asker,
            base: request.base.map(Into::into),
        });
        answer
            .await
            .unwrap_or_else(|_| TransferReply::busy(RETRY_AFTER))
    }
}
