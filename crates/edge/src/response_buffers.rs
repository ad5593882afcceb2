use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use medlarspool_mesh::ResponseLink;

/// The most bytes of one response that are read ahead of its reader.
pub(crate) const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// The most bytes of all responses that a daemon reads ahead of their readers.
const MAX_HELD_BYTES: usize = 4 << 20;

/// The part of [`MAX_HELD_BYTES`] that is left to responses which hold nothing and are read piece by piece, so that
/// these stay within the limit, too: 16 pieces, of which a gate needs one for each slot.
const PIECEWISE_BYTES: usize = 16 * PIECE_BYTES;

/// The most bytes of a response that are read at once. Their memory is freed together.
pub(crate) const PIECE_BYTES: usize = 32 << 10;

/// The bytes of responses that this daemon has read and not yet sent, and what responses take on its link.
///
/// Inactive where the link's speed isn't known or no route has large responses.
pub(crate) struct ResponseBuffers {
    has_downloads: Cell<bool>,
    held_bytes: Cell<usize>,
    link: Option<RefCell<ResponseLink>>,
}

impl ResponseBuffers {
    pub(crate) fn new(link_mbit_per_s: f64) -> Self {
        Self {
            has_downloads: Cell::new(false),
            held_bytes: Cell::new(0),
            link: ResponseLink::new(link_mbit_per_s).map(RefCell::new),
        }
    }

    /// Records whether the configuration in force has routes with large responses.
    pub(crate) fn set_has_downloads(&self, has_downloads: bool) {
        self.has_downloads.set(has_downloads);
    }

    /// Returns whether responses are read ahead and their times on the link are counted.
    pub(crate) fn is_active(&self) -> bool {
        self.link.is_some() && self.has_downloads.get()
    }

    /// Returns the number of bytes that are held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Returns whether a response that holds `response_bytes` may hold another piece.
    pub(crate) fn has_room(&self, response_bytes: usize) -> bool {
        response_bytes + PIECE_BYTES <= MAX_RESPONSE_BYTES
            && self.held_bytes.get() + PIECE_BYTES <= MAX_HELD_BYTES - PIECEWISE_BYTES
    }

    /// Counts bytes as held until they are released.
    pub(crate) fn hold(&self, bytes: usize) {
        self.held_bytes.set(self.held_bytes.get() + bytes);
    }

    pub(crate) fn release(&self, bytes: usize) {
        self.held_bytes
            .set(self.held_bytes.get().saturating_sub(bytes));
    }

    /// Queues bytes of a response on the link; returns when they will have been sent.
    pub(crate) fn queue_on_link(&self, bytes: u64) -> Option<Instant> {
        self.with_link(|link| link.add(Instant::now(), bytes))
    }

    /// Removes bytes from the link's queue that are not sent after all, and would have been at `sent_at`.
    pub(crate) fn remove_from_link(&self, bytes: u64, sent_at: Instant) {
        self.with_link(|link| link.remove(Instant::now(), bytes, sent_at));
    }

    /// Records the size of a download's response of the own target.
    pub(crate) fn record_download(&self, bytes: u64) {
        self.with_link(|link| link.record_response(bytes));
    }

    /// Returns how long the link needs for the queued bytes, and for the response of a download; both are zero while
    /// inactive.
    pub(crate) fn link_times(&self, now: Instant) -> (Duration, Duration) {
        if !self.is_active() {
            return (Duration::ZERO, Duration::ZERO);
        }
        let times = self.with_link(|link| (link.queued_time(now), link.mean_response_time()));
        times.unwrap_or_default()
    }

    fn with_link<R>(&self, call: impl FnOnce(&mut ResponseLink) -> R) -> Option<R> {
        let link = self.link.as_ref()?;
        Some(call(&mut link.borrow_mut()))
    }
}
