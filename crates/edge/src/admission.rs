use std::time::{Duration, Instant};

use medlarspool_hop::RefusalReason;
use tokio::sync::oneshot;

use crate::slot_guard::SlotGuard;

/// What the gate decided on a request.
pub(crate) enum Admission {
    Refused {
        reason: RefusalReason,
        wait: Duration,
    },
    Started(SlotGuard),
    Waiting {
        granted: oneshot::Receiver<Result<SlotGuard, RefusalReason>>,
        /// When the request stops waiting.
        latest_start: Instant,
        ticket: u64,
    },
}
