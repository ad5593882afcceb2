use std::time::{Duration, Instant};

use fastrand::Rng;
use medlarspool_types::{ConfigHead, ConfigVersion, InstanceId};

use crate::{
    DeltaUpdate, FetchOutcome, FetchSource, LinkClass, Readiness, Refusal, SpreadAction,
    SpreadCounters, SpreadEvent, SpreadMessage, SpreadMode, SpreadPeer, SpreadSettings,
    confirmation::Confirmation,
    giver::Giver,
    offer_buffer::OfferBuffer,
    peer_table::PeerTable,
    relay::Relay,
    search::{Attempt, Search, WaitingFor},
    store_poll::StorePoll,
};

/// The time within which the store is read again after it and this daemon disagreed.
const CONFLICT_READ: Duration = Duration::from_secs(1);

/// The decisions of one daemon on spreading changes.
#[derive(Debug)]
pub struct Spread {
    conflict: bool,
    conflict_asked: ConfigVersion,
    confirmation: Confirmation,
    pub(crate) counters: SpreadCounters,
    damaged: bool,
    pub(crate) giver: Giver,
    pub(crate) held: ConfigHead,
    pub(crate) next_digest: Instant,
    next_verify: Instant,
    pub(crate) offers: OfferBuffer,
    pub(crate) peers: PeerTable,
    poll: StorePoll,
    pub(crate) random: Rng,
    pub(crate) relay: Relay,
    pub(crate) search: Search,
    pub(crate) settings: SpreadSettings,
}

impl Spread {
    /// Begins a process's life; nothing is held yet.
    #[must_use]
    pub fn new(settings: SpreadSettings, me: SpreadPeer, seed: u64, now: Instant) -> Self {
        let mut random = Rng::with_seed(seed);
        Self {
            conflict: false,
            conflict_asked: ConfigVersion::NONE,
            confirmation: Confirmation::new(now, settings.peer_confirm_wait),
            counters: SpreadCounters::default(),
            damaged: false,
            giver: Giver::new(&settings),
            held: ConfigHead::default(),
            next_digest: now,
            next_verify: now + settings.verify_interval.mul_f64(0.5 + random.f64()),
            offers: OfferBuffer::default(),
            peers: PeerTable::new(me),
            poll: StorePoll::new(now, &settings, &mut random),
            relay: Relay::new(now),
            search: Search::new(now),
            random,
            settings,
        }
    }

    /// Returns the version in use.
    #[must_use]
    pub const fn held(&self) -> ConfigHead {
        self.held
    }

    /// Returns the head to put on every envelope.
    ///
    /// A daemon that isn't ready shows none, so that new processes can't confirm each other and
    /// nobody asks a damaged one.
    #[must_use]
    pub fn announced_head(&self) -> ConfigHead {
        if self.readiness().is_ready() {
            self.held
        } else {
            ConfigHead::default()
        }
    }

    /// Returns whether calls may be served, and why.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        if self.damaged {
            Readiness::Damaged
        } else if self.conflict {
            Readiness::Conflict
        } else {
            self.confirmation.readiness(self.held)
        }
    }

    /// Returns what has been counted.
    #[must_use]
    pub const fn counters(&self) -> SpreadCounters {
        self.counters
    }

    /// Returns when [`SpreadEvent::Tick`] is due at the latest.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        [
            Some(self.next_digest),
            Some(self.next_verify),
            self.confirmation.wakeup(),
            self.poll.wakeup(),
            self.relay
                .wakeup(self.settings.relay_interval)
                .filter(|_| self.hands_on()),
            self.search.wakeup(self.is_behind()),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Takes one event and appends what the edge shall do.
    pub fn handle(&mut self, now: Instant, event: SpreadEvent, actions: &mut Vec<SpreadAction>) {
        match event {
            SpreadEvent::Fetched {
                outcome, source, ..
            } => self.fetched(now, outcome, &source),
            SpreadEvent::HeadFromCall(head) => self.head_heard(now, head),
            SpreadEvent::HeadRead(head) => self.head_read(now, head),
            SpreadEvent::HeadReadFailed => self.head_read_failed(now),
            SpreadEvent::Message {
                address,
                from,
                head,
                message,
            } => {
                self.peer_head(now, &from, head);
                self.message(now, from, address, head, message, actions);
            }
            SpreadEvent::PeerHead { from, head } => self.peer_head(now, &from, head),
            SpreadEvent::PeersChanged(peers) => self.peers_changed(now, peers),
            SpreadEvent::Tick => {}
            SpreadEvent::TransferEnded => self.giver.transfer_ended(),
            SpreadEvent::TransferRequested { base, ticket } => {
                actions.push(self.transfer_requested(base, ticket));
            }
            SpreadEvent::Verified { intact } => self.verified(now, intact),
        }
        self.proceed(now, actions);
    }

    fn is_behind(&self) -> bool {
        self.damaged || self.search.goal().version > self.held.version
    }

    fn interval(&self) -> Duration {
        StorePoll::interval(&self.settings, self.peers.len())
    }

    fn draw_wait(&mut self) -> Duration {
        let interval = self.interval();
        StorePoll::draw_wait(self.settings.mode, interval, &mut self.random)
    }

    fn hands_on(&self) -> bool {
        self.settings.mode == SpreadMode::SharedBudget && self.readiness().is_ready()
    }

    /// Does whatever is due.
    fn proceed(&mut self, now: Instant, actions: &mut Vec<SpreadAction>) {
        self.confirmation.ask_peers(now, &self.peers);
        if self.poll.begin(now) {
            self.counters.store_reads += 1;
            actions.push(SpreadAction::ReadHead);
        }
        if self.next_verify <= now {
            self.next_verify = now + self.settings.verify_interval;
            actions.push(SpreadAction::Verify);
        }
        if let Some(silent) = self.search.expire(now, &mut self.random) {
            self.peers.doubt(&silent);
        }
        self.seek(now, actions);
        if self.hands_on() {
            self.hand_on(now, actions);
        }
        self.show_digest(now, actions);
    }

    fn seek(&mut self, now: Instant, actions: &mut Vec<SpreadAction>) {
        if !self.search.is_applying() {
            self.apply_offers(now, actions);
        }
        if !self.is_behind() || !self.search.is_due(now) {
            return;
        }
        match self.next_attempt() {
            Attempt::Pull(peer) => {
                self.counters.pulls += 1;
                let base = self.held;
                self.send(&peer, SpreadMessage::Pull { base }, actions);
                let until = now + self.settings.pull_timeout;
                self.search.wait(until, WaitingFor::Pull(peer.instance));
            }
            Attempt::Store => {
                self.counters.store_fetches += 1;
                self.fetch(now, FetchSource::Store, None, actions);
            }
            Attempt::Transfer(peer) => {
                self.counters.peer_fetches += 1;
                let whole = self.search.needs_whole() || self.held == ConfigHead::default();
                let base = (!whole).then_some(self.held);
                self.fetch(now, FetchSource::Peer(peer), base, actions);
            }
        }
    }

    fn next_attempt(&mut self) -> Attempt {
        match self.settings.mode {
            SpreadMode::Poll => Attempt::Store,
            SpreadMode::SharedBudget => {
                let store_fails = self.poll.is_failing();
                self.search
                    .attempt(self.held, store_fails, &self.peers, &mut self.random)
            }
        }
    }

    fn fetch(
        &mut self,
        now: Instant,
        source: FetchSource,
        base: Option<ConfigHead>,
        actions: &mut Vec<SpreadAction>,
    ) {
        let head = self.search.goal().max(self.held);
        actions.push(SpreadAction::Fetch { base, head, source });
        let until = now + self.settings.fetch_timeout;
        self.search.wait(until, WaitingFor::Transfer);
    }

    fn apply_offers(&mut self, now: Instant, actions: &mut Vec<SpreadAction>) {
        if self.held == ConfigHead::default() || self.damaged {
            return;
        }
        let updates = self.offers.take_from(self.held);
        let Some(giver) = self.offers.giver().filter(|_| !updates.is_empty()) else {
            return;
        };
        let source = FetchSource::Offer(giver);
        actions.push(SpreadAction::Apply { source, updates });
        let until = now + self.settings.fetch_timeout;
        self.search.wait(until, WaitingFor::Apply);
    }

    fn fetched(&mut self, now: Instant, outcome: FetchOutcome, source: &FetchSource) {
        match outcome {
            FetchOutcome::Applied { head, updates } => self.applied(head, updates, source),
            FetchOutcome::Busy { retry_after } => {
                self.search.busy(now, retry_after, &mut self.random);
            }
            FetchOutcome::Failed => {
                self.doubt(source);
                self.search.failed(now, &mut self.random);
            }
            FetchOutcome::Refused(reason) => {
                self.counters.refused[reason as usize] += 1;
                self.search.refused(now, reason, &mut self.random);
            }
        }
    }

    fn applied(&mut self, head: ConfigHead, updates: Vec<DeltaUpdate>, source: &FetchSource) {
        self.search.applied();
        self.damaged = false;
        if head.version <= self.held.version {
            return;
        }
        let base = self.held;
        self.held = head;
        self.conflict = false;
        self.counters.applied += 1;
        self.giver.applied(head, updates);
        if base != ConfigHead::default() {
            self.relay.note(base, source, self.link_of(source));
        }
    }

    fn link_of(&self, source: &FetchSource) -> LinkClass {
        match source {
            FetchSource::Offer(instance) => self.peers.link_to(instance),
            FetchSource::Peer(peer) => self.peers.link_to(&peer.instance),
            FetchSource::Store => LinkClass::Store,
        }
    }

    fn doubt(&mut self, source: &FetchSource) {
        match source {
            FetchSource::Offer(instance) => self.peers.doubt(instance),
            FetchSource::Peer(peer) => self.peers.doubt(&peer.instance),
            FetchSource::Store => {}
        }
    }

    fn head_read(&mut self, now: Instant, head: ConfigHead) {
        let wait = self.draw_wait();
        self.poll.succeeded(now, wait);
        self.confirmation.store_told(head, self.held);
        if head.version < self.held.version {
            self.counters.store_behind += 1;
        }
        self.conflict = head.version == self.held.version && head != self.held;
        self.counters.conflicts += u64::from(self.conflict);
        let delay = if self.held == ConfigHead::default() && self.peers.len() > 0 {
            self.settings.push_grace(&mut self.random)
        } else {
            Duration::ZERO
        };
        self.search.raise(now, self.held, head, delay);
    }

    fn head_read_failed(&mut self, now: Instant) {
        self.counters.store_failures += 1;
        self.confirmation.store_failed();
        let wait = self.draw_wait();
        self.poll.failed(now, wait);
    }

    /// Asks the store who is right, once for each version.
    fn conflicted(&mut self, now: Instant) {
        if self.conflict_asked < self.held.version {
            self.conflict_asked = self.held.version;
            self.counters.conflicts += 1;
            self.poll.hasten(now, CONFLICT_READ, &mut self.random);
        }
    }

    fn peer_head(&mut self, now: Instant, from: &InstanceId, head: ConfigHead) {
        self.peers.saw(from, head);
        if head.version == self.held.version && head != self.held {
            self.conflicted(now);
        }
        self.head_heard(now, head);
    }

    /// Goes for a version that somebody serves by, unless the push brings it in a moment.
    fn head_heard(&mut self, now: Instant, head: ConfigHead) {
        if self.settings.mode == SpreadMode::SharedBudget {
            let delay = self.settings.push_grace(&mut self.random);
            self.search.raise(now, self.held, head, delay);
        }
    }

    fn peers_changed(&mut self, now: Instant, peers: Vec<SpreadPeer>) {
        let knew_nobody = self.peers.len() == 0;
        self.peers.replace(peers);
        if knew_nobody {
            self.next_digest = now;
        }
        let interval = self.interval();
        self.poll.shorten(now, interval, &mut self.random);
    }

    fn verified(&mut self, now: Instant, intact: bool) {
        if !intact && !self.damaged {
            self.counters.damaged += 1;
            self.damaged = true;
            self.search.mend(now);
        }
    }
}

const _: () = assert!(Refusal::ALL.len() == Refusal::Stale as usize + 1);
