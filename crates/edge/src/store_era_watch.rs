use std::{
    cell::{Cell, RefCell},
    time::Instant,
};

use medlarspool_adapter::{decode_era, headers};
use medlarspool_mesh::{StoreEra, StoreEraTracker};
use tokio::sync::Notify;

use crate::header_list::HeaderList;

/// Tells the tasks that use the store when it came back from an older copy.
#[derive(Default)]
pub(crate) struct StoreEraWatch {
    /// The latest header that was logged since it was invalid or fell.
    logged_header: RefCell<Option<String>>,
    /// Notified when the era rises.
    pub(crate) raised: Notify,
    tracker: Cell<StoreEraTracker>,
}

impl StoreEraWatch {
    pub(crate) fn era(&self) -> Option<StoreEra> {
        self.tracker.get().era()
    }

    /// Records an era that the store or another daemon named; logs a rise and wakes the tasks whose work in the store
    /// may be lost.
    pub(crate) fn learn(&self, named: StoreEra, source: &str) {
        let mut tracker = self.tracker.get();
        let earlier = tracker.learn(Instant::now(), named);
        self.tracker.set(tracker);
        if let Some(earlier) = earlier {
            log::warn!(event = "store-era", from = earlier.0, to = named.0, source = source; "");
            self.raised.notify_waiters();
        }
    }

    /// Learns the era from the headers of the answer to a call that was sent at `sent_at`; returns whether the answer
    /// holds. A header that is invalid or falls is logged once, and the era stays.
    pub(crate) fn accepts_answer(&self, sent_at: Instant, received: &HeaderList) -> bool {
        let decoded = received
            .get(headers::STORE_ERA)
            .map(|value| decode_era(value));
        let named = match decoded.transpose() {
            Ok(named) => named,
            Err(error) => {
                self.log_header(error.to_string());
                None
            }
        };
        if let Some(era) = named {
            self.learn(era, "store");
        }
        let tracker = self.tracker.get();
        if tracker.is_outdated(sent_at, named) {
            return false;
        }
        if tracker.has_fallen(named) {
            let era = named.unwrap_or_default();
            self.log_header(format!("the era fell to `{}`", era.0));
        }
        true
    }

    fn log_header(&self, error: String) {
        let mut logged_header = self.logged_header.borrow_mut();
        if logged_header.as_ref() != Some(&error) {
            log::warn!(event = "store-era-invalid", error = error.as_str(); "");
            *logged_header = Some(error);
        }
    }
}
