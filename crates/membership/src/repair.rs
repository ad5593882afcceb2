use std::time::{Duration, Instant};

use medlarspool_types::Address;

use crate::{BucketSet, MemberUpdate};

/// The interval between digest comparisons at the start and after each mismatch.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// The first delay after an unanswered request for a page.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// The maximum delay after unanswered requests for pages.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// The state of anti-entropy repair: the buckets that this daemon still wants, and when it sends
/// its next requests.
///
/// A joining daemon wants every bucket.
#[derive(Debug)]
pub(crate) struct Repair {
    backoff: Duration,
    /// Addresses of daemons from seed rows or pings, used while no other member is known.
    pub(crate) contacts: Vec<Address>,
    /// The interval between digest comparisons.
    interval: Duration,
    pub(crate) next_digest: Instant,
    pub(crate) next_page: Instant,
    /// The updates of a page whose last datagram has not arrived yet.
    pub(crate) page: Vec<MemberUpdate>,
    /// The peer to request from, whose view differs, or `None` for any peer.
    pub(crate) peer: Option<Address>,
    /// The buckets that are still to be requested.
    pub(crate) wanted: BucketSet,
}

impl Repair {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            backoff: MIN_BACKOFF,
            contacts: Vec::new(),
            interval: MIN_INTERVAL,
            next_digest: now + MIN_INTERVAL,
            next_page: now,
            page: Vec::new(),
            peer: None,
            wanted: BucketSet::ALL,
        }
    }

    /// Returns how long to wait for the page that is now requested, with jitter, and doubles the next wait
    /// up to [`MAX_BACKOFF`].
    pub(crate) fn back_off(&mut self, random: &mut fastrand::Rng) -> Duration {
        let wait = jitter(self.backoff, random);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        wait
    }

    /// Schedules an early digest comparison, because a peer's view differs.
    pub(crate) fn schedule_digest_soon(&mut self, now: Instant, random: &mut fastrand::Rng) {
        self.interval = MIN_INTERVAL;
        self.next_digest = self.next_digest.min(now + jitter(MIN_INTERVAL, random));
    }

    pub(crate) fn is_done(&self) -> bool {
        self.wanted.is_empty()
    }

    /// Requests all buckets, from the given addresses if no other member is known.
    pub(crate) fn join(&mut self, contacts: Vec<Address>, now: Instant) {
        self.contacts = contacts;
        self.next_page = now;
        self.wanted = BucketSet::ALL;
    }

    /// Records that digests matched, which doubles the interval between comparisons up to `max_interval`.
    pub(crate) fn record_match(&mut self, max_interval: Duration) {
        self.interval = (self.interval * 2).min(max_interval);
    }

    /// Records the buckets that differ from a peer's, to request them from that peer.
    pub(crate) fn record_mismatch(&mut self, wanted: BucketSet, peer: Address, now: Instant) {
        self.backoff = MIN_BACKOFF;
        self.interval = MIN_INTERVAL;
        self.next_page = now;
        self.peer = Some(peer);
        self.wanted = wanted;
    }

    /// Records the buckets that a peer has sent completely, and when the next page is requested.
    pub(crate) fn record_page(&mut self, completed: &BucketSet, next_page: Instant) {
        self.backoff = MIN_BACKOFF;
        self.next_page = next_page;
        self.wanted = self.wanted.without(completed);
        if self.is_done() {
            self.peer = None;
        }
    }

    pub(crate) fn schedule_digest(&mut self, now: Instant, random: &mut fastrand::Rng) {
        self.next_digest = now + jitter(self.interval, random);
    }
}

/// Returns a random duration between 0.5 and 1.5 times the given one.
pub(crate) fn jitter(duration: Duration, random: &mut fastrand::Rng) -> Duration {
    duration.mul_f64(0.5 + random.f64())
}
