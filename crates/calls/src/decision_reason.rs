use displaydoc::Display;

use crate::{GiveUpReason, RefusalReason};

/// Why a call was sent to an upstream, or not at all.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DecisionReason {
    /// given up: {0}
    GivenUp(GiveUpReason),
    /// the service has no known upstream that was not tried already
    NoUpstream,
    /// the least expected wait of those drawn, in the own availability zone
    LeastWaitLocal,
    /// the least expected wait of those drawn, in another availability zone in spite of the link's cost
    LeastWaitRemote,
    /// all better upstreams are ejected, suspected or tried already
    LastResort,
    /// refused: {0}
    Refused(RefusalReason),
}
