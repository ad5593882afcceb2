use std::time::Instant;

use medlarspool_hop::RefusalReason;
use tokio::sync::oneshot;

use crate::{hop_route::HopRoute, running_work::RunningWork, slot_guard::SlotGuard};

/// A request that waits for a slot at the gate.
pub(crate) struct Waiter {
    pub(crate) deadline: Instant,
    pub(crate) route: HopRoute,
    pub(crate) slot_sender: oneshot::Sender<Result<SlotGuard, RefusalReason>>,
    pub(crate) work: RunningWork,
}
