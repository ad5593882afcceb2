use std::time::{Duration, Instant};

use fastrand::Rng;
use medlarspool_types::{ConfigHead, InstanceId};

use crate::{Refusal, SpreadPeer, peer_table::PeerTable};

/// The tries of one round: two pulls or transfers, a transfer, and the object store.
const ATTEMPTS_PER_ROUND: u32 = 4;
/// The first wait after a round that failed.
const INITIAL_BACK_OFF: Duration = Duration::from_millis(250);
/// The longest wait after rounds that failed.
const MAX_BACK_OFF: Duration = Duration::from_secs(5);
/// The first wait before lists that failed their checks are fetched again.
const INITIAL_INVALID_BACK_OFF: Duration = Duration::from_secs(5);
/// The longest such wait.
const MAX_INVALID_BACK_OFF: Duration = Duration::from_mins(5);
/// The most by which tries within a round are spread.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(50);

/// The next try to get the lists.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// Ask by datagram for updates.
    Pull(SpreadPeer),
    /// Ask the object store.
    Store,
    /// Ask for a transfer.
    Transfer(SpreadPeer),
}

/// What a search waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WaitingFor {
    /// The edge builds a snapshot from updates.
    Apply,
    /// A peer answers a pull.
    Pull(InstanceId),
    /// The object store or a peer sends lists.
    Transfer,
}

#[derive(Debug)]
struct Waiting {
    awaited: WaitingFor,
    deadline: Instant,
}

/// Gets the lists of the highest version heard of, from one source after the other.
#[derive(Debug)]
pub(crate) struct Retrieval {
    failures: u32,
    goal: ConfigHead,
    invalid_count: u32,
    need_whole_lists: bool,
    not_before: Instant,
    referred_to: Option<InstanceId>,
    waiting: Option<Waiting>,
}

impl Retrieval {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            failures: 0,
            goal: ConfigHead::default(),
            invalid_count: 0,
            need_whole_lists: false,
            not_before: now,
            referred_to: None,
            waiting: None,
        }
    }

    pub(crate) const fn goal(&self) -> ConfigHead {
        self.goal
    }

    pub(crate) const fn needs_whole_lists(&self) -> bool {
        self.need_whole_lists
    }

    /// Takes a higher version as the goal; the first try comes after `delay`.
    pub(crate) fn raise_goal(
        &mut self,
        now: Instant,
        held: ConfigHead,
        goal: ConfigHead,
        delay: Duration,
    ) {
        if goal.version <= self.goal.version {
            return;
        }
        let was_up_to_date = self.goal.version <= held.version;
        if was_up_to_date || self.invalid_count > 0 {
            self.not_before = now + delay;
        }
        self.goal = goal;
        self.invalid_count = 0;
    }

    /// Asks for the whole lists again, because those in use are damaged.
    pub(crate) const fn refetch_whole_lists(&mut self, now: Instant) {
        self.need_whole_lists = true;
        self.not_before = now;
    }

    /// Returns whether a snapshot is being built from updates.
    pub(crate) fn is_applying(&self) -> bool {
        self.is_waiting_for(&WaitingFor::Apply)
    }

    pub(crate) fn is_waiting_for(&self, awaited: &WaitingFor) -> bool {
        self.waiting
            .as_ref()
            .is_some_and(|waiting| waiting.awaited == *awaited)
    }

    /// Returns when the search needs the clock again.
    pub(crate) fn wakeup(&self, is_behind: bool) -> Option<Instant> {
        match &self.waiting {
            Some(waiting) => Some(waiting.deadline),
            None => is_behind.then_some(self.not_before),
        }
    }

    /// Begins to wait for an answer.
    pub(crate) fn wait(&mut self, deadline: Instant, awaited: WaitingFor) {
        self.waiting = Some(Waiting { awaited, deadline });
    }

    /// Counts a try whose answer didn't come in time and returns the peer that owed it.
    pub(crate) fn expire(&mut self, now: Instant, random: &mut Rng) -> Option<InstanceId> {
        let waiting = self.waiting.take_if(|waiting| waiting.deadline <= now)?;
        self.on_failed(now, random);
        match waiting.awaited {
            WaitingFor::Apply | WaitingFor::Transfer => None,
            WaitingFor::Pull(peer) => Some(peer),
        }
    }

    /// Notes that lists were taken into use.
    pub(crate) fn on_applied(&mut self) {
        self.failures = 0;
        self.invalid_count = 0;
        self.need_whole_lists = false;
        self.referred_to = None;
        self.waiting = None;
    }

    /// Stays away from busy givers for up to `retry_after`.
    pub(crate) fn on_busy(&mut self, now: Instant, retry_after: Duration, random: &mut Rng) {
        self.referred_to = None;
        self.waiting = None;
        self.not_before = now + retry_after.mul_f64(random.f64());
    }

    /// Counts a try that brought nothing and chooses when to go on.
    pub(crate) fn on_failed(&mut self, now: Instant, random: &mut Rng) {
        self.referred_to = None;
        self.waiting = None;
        self.failures = self.failures.saturating_add(1);
        let rounds = self.failures / ATTEMPTS_PER_ROUND;
        let delay = if self.failures.is_multiple_of(ATTEMPTS_PER_ROUND) {
            back_off(INITIAL_BACK_OFF, MAX_BACK_OFF, rounds)
        } else {
            MAX_ATTEMPT_DELAY
        };
        self.not_before = now + delay.mul_f64(0.5 + random.f64() / 2.0);
    }

    /// Counts lists that came and were not taken, so that they aren't fetched in a loop.
    pub(crate) fn on_refused(&mut self, now: Instant, reason: Refusal, random: &mut Rng) {
        self.on_failed(now, random);
        match reason {
            Refusal::BaseMismatch | Refusal::Damaged => self.need_whole_lists = true,
            Refusal::Conflict | Refusal::Stale => {}
            Refusal::Invalid => {
                self.invalid_count = self.invalid_count.saturating_add(1);
                let delay = back_off(
                    INITIAL_INVALID_BACK_OFF,
                    MAX_INVALID_BACK_OFF,
                    self.invalid_count,
                );
                self.not_before = now + delay.mul_f64(0.5 + random.f64() / 2.0);
            }
        }
    }

    /// Goes on at once with a transfer from a peer that can't answer by datagram.
    pub(crate) fn on_referral(&mut self, now: Instant, to: InstanceId) {
        self.waiting = None;
        self.not_before = now;
        self.referred_to = Some(to);
    }

    /// Chooses the next try.
    pub(crate) fn choose_attempt(
        &self,
        held: ConfigHead,
        store_is_failing: bool,
        peers: &PeerTable,
        random: &mut Rng,
    ) -> Attempt {
        if let Some(peer) = self.referred_to.as_ref().and_then(|to| peers.get(to)) {
            return Attempt::Transfer(peer.clone());
        }
        let Some(peer) = peers.pick_holder(self.goal, random) else {
            return Attempt::Store;
        };
        let whole_lists = self.need_whole_lists || held == ConfigHead::default();
        match self.failures % ATTEMPTS_PER_ROUND {
            0 | 1 if !whole_lists => Attempt::Pull(peer.clone()),
            3 if !store_is_failing => Attempt::Store,
            _ => Attempt::Transfer(peer.clone()),
        }
    }

    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.waiting.is_none() && self.not_before <= now
    }
}

fn back_off(initial: Duration, max: Duration, rounds: u32) -> Duration {
    initial
        .saturating_mul(2_u32.saturating_pow(rounds.saturating_sub(1)))
        .min(max)
}
