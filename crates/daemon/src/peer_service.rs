use std::{sync::Arc, time::Duration};

use medlarspool_calls::{FateQuestion, QuestionKind};
use medlarspool_proto::{
    CallReply, CallRequest, CrashConfirmation, CrashNotice, FateRequest, PeerHandler,
    TransferReply, TransferRequest, WireChannel, WireFateReply,
};
use tokio::sync::oneshot;

use crate::{
    control_message::ControlMessage,
    fate_codec::{call_id, channel_id, wire_channel, wire_fate_reply},
    gate::Gate,
    shared_state::SharedState,
};

/// The retry delay for a transfer that was requested while this daemon is stopping.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// The requests that this daemon serves to its peers over gRPC.
pub(crate) struct PeerService {
    pub(crate) gate: Arc<Gate>,
    pub(crate) shared: Arc<SharedState>,
}

impl PeerHandler for PeerService {
    async fn call(&self, request: CallRequest) -> CallReply {
        self.gate.call(request).await
    }

    async fn crash(&self, notice: CrashNotice) -> CrashConfirmation {
        self.gate.crash_guard().receive(&notice);
        CrashConfirmation {}
    }

    async fn fate(&self, request: FateRequest) -> WireFateReply {
        let question = FateQuestion {
            call: call_id(&request.call_id),
            channel: channel_id(request.channel),
            kind: if request.settle {
                QuestionKind::Settle
            } else {
                QuestionKind::Inquire
            },
        };
        wire_fate_reply(self.gate.queue().ask(&question))
    }

    async fn open(&self) -> WireChannel {
        wire_channel(self.gate.open_channel())
    }

    async fn transfer(&self, request: TransferRequest) -> TransferReply {
        let (answer_sender, answer_receiver) = oneshot::channel();
        self.shared
            .send_to_control(ControlMessage::TransferRequested {
                answer_sender,
                base: request.base.map(Into::into),
            });
        answer_receiver
            .await
            .unwrap_or_else(|_| TransferReply::busy(RETRY_AFTER))
    }
}
