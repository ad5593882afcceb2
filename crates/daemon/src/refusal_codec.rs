//! Turns the call core's refusals into wire refusals.

use medlarspool_calls::RefusalReason;
use medlarspool_proto::Refusal;

/// Returns how a refusal stands in a reply.
pub(crate) const fn wire_refusal(reason: RefusalReason) -> Refusal {
    match reason {
        RefusalReason::Cancelled | RefusalReason::DeadlineUnmeetable => Refusal::Deadline,
        RefusalReason::ChannelClosed => Refusal::ChannelClosed,
        RefusalReason::Displaced | RefusalReason::QueueFull => Refusal::Overloaded,
        RefusalReason::Draining => Refusal::Draining,
        RefusalReason::Fenced => Refusal::Fenced,
        RefusalReason::KeyConflict => Refusal::KeyConflict,
        RefusalReason::KeyExpired => Refusal::KeyExpired,
        RefusalReason::Quarantined => Refusal::Quarantined,
        RefusalReason::StoreDown => Refusal::StoreDown,
        RefusalReason::Suspected => Refusal::Suspected,
        RefusalReason::UpstreamDown => Refusal::UpstreamDown,
    }
}

/// Returns whether another upstream of the service may take a refused request.
pub(crate) const fn other_upstream_allowed(refusal: Refusal) -> bool {
    match refusal {
        Refusal::ChannelClosed
        | Refusal::Deadline
        | Refusal::Draining
        | Refusal::Fenced
        | Refusal::NoConfiguration
        | Refusal::None
        | Refusal::Overloaded
        | Refusal::Suspected
        | Refusal::UpstreamDown
        | Refusal::UpstreamFailed
        | Refusal::UpstreamMissing => true,
        Refusal::Claimed
        | Refusal::KeyConflict
        | Refusal::KeyExpired
        | Refusal::NotAllowed
        | Refusal::Quarantined
        | Refusal::StoreDown => false,
    }
}
