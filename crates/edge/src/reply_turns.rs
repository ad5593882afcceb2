use std::{cell::Cell, time::Instant};

use tokio::{sync::Notify, time::timeout_at};

/// Which reply of a connection is written next, for replies that are ready before their turn.
#[derive(Default)]
pub(crate) struct ReplyTurns {
    advanced: Notify,
    next: Cell<u64>,
}

impl ReplyTurns {
    /// Records that a reply was written.
    pub(crate) fn advance(&self) {
        self.next.set(self.next.get() + 1);
        self.advanced.notify_waiters();
    }

    /// Waits for the turn of a reply; returns whether it came before the deadline.
    pub(crate) async fn wait_for(&self, number: u64, deadline: Instant) -> bool {
        let turn = async {
            while self.next.get() < number {
                self.advanced.notified().await;
            }
        };
        timeout_at(deadline.into(), turn).await.is_ok()
    }
}
