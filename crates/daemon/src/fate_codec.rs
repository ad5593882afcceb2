//! Converts the call core's fates, call ids and channels to wire messages and back.

use std::{sync::Arc, time::Duration};

use medlarspool_calls::{ChannelId, Fate, FateReply};
use medlarspool_proto::{CallReply, WireChannel, WireFate, WireFateReply};
use medlarspool_types::{CallId, Incarnation};

/// Returns the call id of a message; a malformed one gives id 0, which no call has.
pub(crate) fn call_id(bytes: &[u8]) -> CallId {
    CallId(bytes.try_into().map_or(0, u128::from_be_bytes))
}

/// Returns the channel of a message; a missing one gives a channel that no gate has opened.
pub(crate) fn channel_id(channel: Option<WireChannel>) -> ChannelId {
    let channel = channel.unwrap_or_default();
    ChannelId {
        gate_incarnation: Incarnation(channel.gate_incarnation),
        number: channel.number,
    }
}

/// Returns a channel as a message carries it.
pub(crate) const fn wire_channel(channel: ChannelId) -> WireChannel {
    WireChannel {
        gate_incarnation: channel.gate_incarnation.0,
        number: channel.number,
    }
}

/// Returns a gate's reply to a fate question as a message.
pub(crate) fn wire_fate_reply(reply: FateReply<Arc<CallReply>>) -> WireFateReply {
    let retention_us = u64::try_from(reply.retention.as_micros()).unwrap_or(u64::MAX);
    let (fate, answer) = match reply.fate {
        Fate::AnswerGone => (WireFate::AnswerGone, None),
        Fate::MayHaveRun => (WireFate::MayHaveRun, None),
        Fate::NeverSeen => (WireFate::NeverSeen, None),
        Fate::NotRun => (WireFate::NotRun, None),
        Fate::Ran(answer) => (WireFate::Ran, Some(Arc::unwrap_or_clone(answer))),
        Fate::Underway => (WireFate::Underway, None),
    };
    WireFateReply {
        answer,
        fate: fate.into(),
        retention_us,
    }
}

/// Returns the reply to a fate question that a message carries.
pub(crate) fn fate_reply(wire: WireFateReply) -> FateReply<Arc<CallReply>> {
    let retention = Duration::from_micros(wire.retention_us);
    let fate = match wire.fate() {
        WireFate::AnswerGone => Fate::AnswerGone,
        WireFate::MayHaveRun => Fate::MayHaveRun,
        WireFate::NeverSeen => Fate::NeverSeen,
        WireFate::NotRun => Fate::NotRun,
        WireFate::Ran => wire
            .answer
            .map_or(Fate::AnswerGone, |answer| Fate::Ran(Arc::new(answer))),
        WireFate::Underway => Fate::Underway,
    };
    FateReply { fate, retention }
}
