//! Converts the call core's refusals to wire refusals, and decides which of those allow another upstream.

use medlarspool_calls::RefusalReason;
use medlarspool_proto::Refusal;

/// Returns a refusal's reason as a reply carries it.
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

/// Returns whether another upstream of the service may be given a refused request.
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
