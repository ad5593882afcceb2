use std::time::{Duration, Instant};

use fastrand::Rng;
use medlarspool_types::{ConfigHead, ConfigVersion, InstanceId};

use crate::{
    DeltaUpdate, FetchOutcome, FetchSource, LinkClass, Readiness, Refusal, SpreadAction,
    SpreadCounters, SpreadEvent, SpreadMessage, SpreadMode, SpreadPeer, SpreadSettings,
    confirmation::Confirmation,
    distributor::Distributor,
    offer_buffer::OfferBuffer,
    peer_table::PeerTable,
    relay::Relay,
    retrieval::{Attempt, Retrieval, WaitingFor},
    store_poll::StorePoll,
};

/// The longest delay before the head is read again after a peer announced another digest for the version
/// in use.
const MAX_CONFLICT_READ_DELAY: Duration = Duration::from_secs(1);

/// Decides how one daemon learns of new versions, gets their lists and pushes them to peers.
#[derive(Debug)]
pub struct Spread {
    /// The last version for which a conflict with a peer moved the next read of the head forward.
    conflict_read_version: ConfigVersion,
    /// Whether the store's head has the version in use but another digest.
    conflicts_with_store: bool,
    confirmation: Confirmation,
    pub(crate) counters: SpreadCounters,
    pub(crate) distributor: Distributor,
    /// The head of the lists in use.
    pub(crate) head_in_use: ConfigHead,
    /// Whether the lists in use failed a check against their digest and have not been replaced yet.
    is_damaged: bool,
    pub(crate) next_digest: Instant,
    next_verify: Instant,
    pub(crate) offers: OfferBuffer,
    pub(crate) peers: PeerTable,
    poll: StorePoll,
    pub(crate) random: Rng,
    pub(crate) relay: Relay,
    pub(crate) retrieval: Retrieval,
    pub(crate) settings: SpreadSettings,
}

impl Spread {
    /// Creates the state of a process that has just started and holds no lists.
    ///
    /// `local` describes this daemon, and `seed` makes its random draws repeatable.
    #[must_use]
    pub fn new(settings: SpreadSettings, local: SpreadPeer, seed: u64, now: Instant) -> Self {
        let mut random = Rng::with_seed(seed);
        Self {
            conflict_read_version: ConfigVersion::NONE,
            conflicts_with_store: false,
            confirmation: Confirmation::new(now, settings.peer_confirm_wait),
            counters: SpreadCounters::default(),
            distributor: Distributor::new(&settings),
            head_in_use: ConfigHead::default(),
            is_damaged: false,
            next_digest: now,
            next_verify: now + settings.verify_interval.mul_f64(0.5 + random.f64()),
            offers: OfferBuffer::default(),
            peers: PeerTable::new(local),
            poll: StorePoll::new(now, &settings, &mut random),
            relay: Relay::new(now),
            retrieval: Retrieval::new(now),
            random,
            settings,
        }
    }

    /// Returns the head of the lists in use; the default before the first.
    #[must_use]
    pub const fn head_in_use(&self) -> ConfigHead {
        self.head_in_use
    }

    /// Returns the head to put on every envelope.
    ///
    /// A daemon that isn't ready announces the default head, so that new processes can't confirm each
    /// other and no peer asks a daemon with damaged lists.
    #[must_use]
    pub fn announced_head(&self) -> ConfigHead {
        if self.readiness().is_ready() {
            self.head_in_use
        } else {
            ConfigHead::default()
        }
    }

    /// Returns whether calls may be served, and why.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        if self.is_damaged {
            Readiness::Damaged
        } else if self.conflicts_with_store {
            Readiness::Conflict
        } else {
            self.confirmation.readiness(self.head_in_use)
        }
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counters(&self) -> SpreadCounters {
        self.counters
    }

    /// Returns the time at which [`SpreadEvent::Tick`] is due, unless another event comes first.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        [
            Some(self.next_digest),
            Some(self.next_verify),
            self.confirmation.wakeup(),
            self.poll.wakeup(),
            self.relay
                .wakeup(self.settings.relay_interval)
                .filter(|_| self.may_relay()),
            self.retrieval.wakeup(self.is_behind()),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Handles one event, does whatever is due, and appends the actions for the edge.
    pub fn handle(&mut self, now: Instant, event: SpreadEvent, actions: &mut Vec<SpreadAction>) {
        match event {
            SpreadEvent::Fetched {
                outcome, source, ..
            } => self.on_fetched(now, outcome, &source),
            SpreadEvent::HeadFromCall(head) => self.consider_head(now, head),
            SpreadEvent::HeadRead(head) => self.on_head_read(now, head),
            SpreadEvent::HeadReadFailed => self.on_head_read_failed(now),
            SpreadEvent::Message {
                address,
                from,
                head,
                message,
            } => {
                self.on_peer_head(now, &from, head);
                self.on_message(now, from, address, head, message, actions);
            }
            SpreadEvent::PeerHead { from, head } => self.on_peer_head(now, &from, head),
            SpreadEvent::PeersChanged(peers) => self.on_peers_changed(now, peers),
            SpreadEvent::Tick => {}
            SpreadEvent::TransferEnded => self.distributor.on_transfer_ended(),
            SpreadEvent::TransferRequested { base, request_id } => {
                actions.push(self.on_transfer_requested(base, request_id));
            }
            SpreadEvent::Verified { intact } => self.on_verified(now, intact),
        }
        self.run_due_work(now, actions);
    }

    /// Returns whether lists must be fetched, because a newer version is known or those in use are damaged.
    fn is_behind(&self) -> bool {
        self.is_damaged || self.retrieval.goal().version > self.head_in_use.version
    }

    fn mean_poll_interval(&self) -> Duration {
        StorePoll::mean_interval(&self.settings, self.peers.len())
    }

    fn draw_poll_wait(&mut self) -> Duration {
        let interval = self.mean_poll_interval();
        StorePoll::draw_wait(self.settings.mode, interval, &mut self.random)
    }

    /// Returns whether changes are pushed to peers; a daemon that isn't ready pushes nothing.
    fn may_relay(&self) -> bool {
        self.settings.mode == SpreadMode::SharedBudget && self.readiness().is_ready()
    }

    /// Starts all work that is due at `now`.
    fn run_due_work(&mut self, now: Instant, actions: &mut Vec<SpreadAction>) {
        self.confirmation.confirm_by_peers(now, &self.peers);
        if self.poll.begin_read(now) {
            self.counters.store_reads += 1;
            actions.push(SpreadAction::ReadHead);
        }
        if self.next_verify <= now {
            self.next_verify = now + self.settings.verify_interval;
            actions.push(SpreadAction::Verify);
        }
        if let Some(unresponsive_peer) = self.retrieval.expire(now, &mut self.random) {
            self.peers.forget_head(&unresponsive_peer);
        }
        self.retrieve(now, actions);
        if self.may_relay() {
            self.relay_pending(now, actions);
        }
        self.send_digests(now, actions);
    }

    /// Applies buffered updates, or starts the next attempt to get the lists if one is due.
    fn retrieve(&mut self, now: Instant, actions: &mut Vec<SpreadAction>) {
        if !self.retrieval.is_applying() {
            self.apply_offers(now, actions);
        }
        if !self.is_behind() || !self.retrieval.is_due(now) {
            return;
        }
        match self.next_attempt() {
            Attempt::Pull(peer) => {
                self.counters.pulls += 1;
                let base = self.head_in_use;
                self.send(&peer, SpreadMessage::Pull { base }, actions);
                let deadline = now + self.settings.pull_timeout;
                self.retrieval
                    .wait(deadline, WaitingFor::Pull(peer.instance));
            }
            Attempt::Store => {
                self.counters.store_fetches += 1;
                self.fetch(now, FetchSource::Store, None, actions);
            }
            Attempt::Transfer(peer) => {
                self.counters.peer_fetches += 1;
                let whole_lists =
                    self.retrieval.needs_whole_lists() || self.head_in_use == ConfigHead::default();
                let base = (!whole_lists).then_some(self.head_in_use);
                self.fetch(now, FetchSource::Peer(peer), base, actions);
            }
        }
    }

    fn next_attempt(&mut self) -> Attempt {
        match self.settings.mode {
            SpreadMode::Poll => Attempt::Store,
            SpreadMode::SharedBudget => {
                let store_is_failing = self.poll.is_failing();
                self.retrieval.choose_attempt(
                    self.head_in_use,
                    store_is_failing,
                    &self.peers,
                    &mut self.random,
                )
            }
        }
    }

    /// Starts to fetch the lists of the goal, or those of the version in use if they are damaged and no newer
    /// version is known.
    fn fetch(
        &mut self,
        now: Instant,
        source: FetchSource,
        base: Option<ConfigHead>,
        actions: &mut Vec<SpreadAction>,
    ) {
        let head = self.retrieval.goal().max(self.head_in_use);
        actions.push(SpreadAction::Fetch { base, head, source });
        let deadline = now + self.settings.fetch_timeout;
        self.retrieval.wait(deadline, WaitingFor::Transfer);
    }

    /// Applies the buffered updates that continue the version in use.
    ///
    /// Damaged lists can't be the base of a delta, so they are replaced as a whole instead.
    fn apply_offers(&mut self, now: Instant, actions: &mut Vec<SpreadAction>) {
        if self.head_in_use == ConfigHead::default() || self.is_damaged {
            return;
        }
        let updates = self.offers.take_chain(self.head_in_use);
        let Some(sender) = self.offers.sender().filter(|_| !updates.is_empty()) else {
            return;
        };
        let source = FetchSource::Offer(sender);
        actions.push(SpreadAction::Apply { source, updates });
        let deadline = now + self.settings.fetch_timeout;
        self.retrieval.wait(deadline, WaitingFor::Apply);
    }

    fn on_fetched(&mut self, now: Instant, outcome: FetchOutcome, source: &FetchSource) {
        match outcome {
            FetchOutcome::Applied { head, updates } => self.on_applied(head, updates, source),
            FetchOutcome::Busy { retry_after } => {
                self.retrieval.on_busy(now, retry_after, &mut self.random);
            }
            FetchOutcome::Failed => {
                self.forget_head_of(source);
                self.retrieval.on_failed(now, &mut self.random);
            }
            FetchOutcome::Refused(reason) => {
                self.counters.refused[reason as usize] += 1;
                self.retrieval.on_refused(now, reason, &mut self.random);
            }
        }
    }

    /// Records the version that the edge took into use and schedules its push to peers.
    ///
    /// The first lists of a process are not pushed, because it knows no earlier version that peers could
    /// start from.
    fn on_applied(&mut self, head: ConfigHead, updates: Vec<DeltaUpdate>, source: &FetchSource) {
        self.retrieval.on_applied();
        self.is_damaged = false;
        if head.version <= self.head_in_use.version {
            return;
        }
        let base = self.head_in_use;
        self.head_in_use = head;
        self.conflicts_with_store = false;
        self.counters.applied += 1;
        self.distributor.on_applied(head, updates);
        if base != ConfigHead::default() {
            self.relay
                .schedule(base, source, self.link_to_source(source));
        }
    }

    fn link_to_source(&self, source: &FetchSource) -> LinkClass {
        match source {
            FetchSource::Offer(instance) => self.peers.link_to(instance),
            FetchSource::Peer(peer) => self.peers.link_to(&peer.instance),
            FetchSource::Store => LinkClass::Store,
        }
    }

    /// Stops choosing a peer as a source until it announces its head again.
    fn forget_head_of(&mut self, source: &FetchSource) {
        match source {
            FetchSource::Offer(instance) => self.peers.forget_head(instance),
            FetchSource::Peer(peer) => self.peers.forget_head(&peer.instance),
            FetchSource::Store => {}
        }
    }

    /// Confirms the store's head, makes it the goal if it is newer, records a conflict with the
    /// lists in use and schedules the next read.
    ///
    /// A process without lists delays its first attempt if it has peers, because a peer that
    /// announces this head in the meantime can serve the lists in place of the object store.
    fn on_head_read(&mut self, now: Instant, head: ConfigHead) {
        let wait = self.draw_poll_wait();
        self.poll.on_success(now, wait);
        self.confirmation.on_store_head(head, self.head_in_use);
        if head.version < self.head_in_use.version {
            self.counters.store_behind += 1;
        }
        self.conflicts_with_store =
            head.version == self.head_in_use.version && head != self.head_in_use;
        self.counters.conflicts += u64::from(self.conflicts_with_store);
        let delay = if self.head_in_use == ConfigHead::default() && self.peers.len() > 0 {
            self.settings.draw_pull_delay(&mut self.random)
        } else {
            Duration::ZERO
        };
        self.retrieval
            .raise_goal(now, self.head_in_use, head, delay);
    }

    fn on_head_read_failed(&mut self, now: Instant) {
        self.counters.store_failures += 1;
        self.confirmation.on_store_failed();
        let wait = self.draw_poll_wait();
        self.poll.on_failure(now, wait);
    }

    /// Moves the next read of the head forward, once for each version, because only the store decides
    /// which digest is right.
    fn on_peer_conflict(&mut self, now: Instant) {
        if self.conflict_read_version < self.head_in_use.version {
            self.conflict_read_version = self.head_in_use.version;
            self.counters.conflicts += 1;
            self.poll
                .bring_forward(now, MAX_CONFLICT_READ_DELAY, &mut self.random);
        }
    }

    fn on_peer_head(&mut self, now: Instant, from: &InstanceId, head: ConfigHead) {
        self.peers.record_head(from, head);
        if head.version == self.head_in_use.version && head != self.head_in_use {
            self.on_peer_conflict(now);
        }
        self.consider_head(now, head);
    }

    /// Makes the head that another daemon serves with the goal if it is newer; mode `Poll` ignores
    /// it.
    ///
    /// The first attempt is delayed, because pushed updates usually arrive sooner.
    fn consider_head(&mut self, now: Instant, head: ConfigHead) {
        if self.settings.mode == SpreadMode::SharedBudget {
            let delay = self.settings.draw_pull_delay(&mut self.random);
            self.retrieval
                .raise_goal(now, self.head_in_use, head, delay);
        }
    }

    /// Replaces the peers. If there were none before, a digest is sent at once. The next read of
    /// the store's head is brought forward if it is too late for the new number of peers.
    fn on_peers_changed(&mut self, now: Instant, peers: Vec<SpreadPeer>) {
        let had_no_peers = self.peers.len() == 0;
        self.peers.replace(peers);
        if had_no_peers {
            self.next_digest = now;
        }
        let interval = self.mean_poll_interval();
        self.poll.limit_wait(now, interval, &mut self.random);
    }

    fn on_verified(&mut self, now: Instant, intact: bool) {
        if !intact && !self.is_damaged {
            self.counters.damaged += 1;
            self.is_damaged = true;
            self.retrieval.refetch_whole_lists(now);
        }
    }
}

// The counters of refusals are indexed by variant.
const _: () = assert!(Refusal::ALL.len() == Refusal::Stale as usize + 1);
