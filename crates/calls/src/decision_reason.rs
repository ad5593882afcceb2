use displaydoc::Display;

use crate::{GiveUpReason, RefusalReason};

/// Why a call was sent to an upstream, or not at all.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DecisionReason {
    /// given up: {0}
    GivenUp(GiveUpReason),
    /// no upstream of the service is known and not tried yet
    NoUpstream,
    /// the least expected wait of two in the own availability zone
    LeastWaitLocal,
    /// the least expected wait, in another availability zone in spite of the link
    LeastWaitRemote,
    /// all better upstreams are ejected, suspected or tried already
    LastResort,
    /// refused: {0}
    Refused(RefusalReason),
}
