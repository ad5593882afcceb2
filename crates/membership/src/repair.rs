use std::time::{Duration, Instant};

use medlarspool_types::Address;

use crate::{BucketSet, MemberUpdate};

/// The first wait before views are compared again, and after each difference.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// The first wait after an unanswered request for a page.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// The longest wait after unanswered requests for pages.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// What this daemon's view lacks against the others', and when it goes on to ask.
///
/// A joiner is a member that lacks every bucket.
#[derive(Debug)]
pub(crate) struct Repair {
    backoff: Duration,
    /// Addresses from seed rows, for when no member is known.
    pub(crate) contacts: Vec<Address>,
    interval: Duration,
    pub(crate) next_digest: Instant,
    pub(crate) next_page: Instant,
    /// The words of a page whose last part has not come yet.
    pub(crate) page: Vec<MemberUpdate>,
    /// The peer whose view differs, or nothing if any will do.
    pub(crate) peer: Option<Address>,
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

    /// Returns the jittered time to wait for an answer, longer after each call.
    pub(crate) fn back_off(&mut self, random: &mut fastrand::Rng) -> Duration {
        let wait = jitter(self.backoff, random);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        wait
    }

    /// Compares views soon, because somebody's differs.
    pub(crate) fn schedule_digest_soon(&mut self, now: Instant, random: &mut fastrand::Rng) {
        self.interval = MIN_INTERVAL;
        self.next_digest = self.next_digest.min(now + jitter(MIN_INTERVAL, random));
    }

    pub(crate) fn is_done(&self) -> bool {
        self.wanted.is_empty()
    }

    /// Asks for everything, beginning with given addresses.
    pub(crate) fn join(&mut self, contacts: Vec<Address>, now: Instant) {
        self.contacts = contacts;
        self.next_page = now;
        self.wanted = BucketSet::ALL;
    }

    /// Takes note that views agreed, so that they are compared more rarely.
    pub(crate) fn record_match(&mut self, max_interval: Duration) {
        self.interval = (self.interval * 2).min(max_interval);
    }

    /// Takes note of the buckets that differ from a peer's.
    pub(crate) fn record_mismatch(&mut self, wanted: BucketSet, peer: Address, now: Instant) {
        self.backoff = MIN_BACKOFF;
        self.interval = MIN_INTERVAL;
        self.next_page = now;
        self.peer = Some(peer);
        self.wanted = wanted;
    }

    /// Takes note of buckets that a peer gave whole.
    pub(crate) fn record_page(&mut self, given: &BucketSet, next_page: Instant) {
        self.backoff = MIN_BACKOFF;
        self.next_page = next_page;
        self.wanted = self.wanted.without(given);
        if self.is_done() {
            self.peer = None;
        }
    }

    pub(crate) fn schedule_digest(&mut self, now: Instant, random: &mut fastrand::Rng) {
        self.next_digest = now + jitter(self.interval, random);
    }
}

/// Returns half to one and a half times a duration.
pub(crate) fn jitter(duration: Duration, random: &mut fastrand::Rng) -> Duration {
    duration.mul_f64(0.5 + random.f64())
}
