use std::time::{Duration, Instant};

use medlarspool_hop::RefusalReason;
use tokio::sync::oneshot;

use crate::slot_guard::SlotGuard;

/// The gate's decision about a request.
pub(crate) enum Admission {
    Refused {
        reason: RefusalReason,
        /// How long the request would have waited; zero unless the gate is busy.
        expected_wait: Duration,
    },
    Started(SlotGuard),
    Waiting {
        slot_receiver: oneshot::Receiver<Result<SlotGuard, RefusalReason>>,
        /// When the request stops waiting for a slot.
        latest_start: Instant,
        ticket: u64,
    },
}
