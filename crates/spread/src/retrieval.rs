use std::time::{Duration, Instant};

use fastrand::Rng;
use medlarspool_types::{ConfigHead, InstanceId};

use crate::{Refusal, SpreadPeer, peer_table::PeerTable};

/// The attempts of one round: two pulls, a transfer, and the object store.
///
/// Transfers replace the pulls where whole lists are needed, and the object store where it fails.
const ATTEMPTS_PER_ROUND: u32 = 4;
/// The longest delay after the first failed round; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// The longest delay after any failed round.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// The longest delay after the first lists that failed their checks; it doubles with each further ones.
const INITIAL_INVALID_BACKOFF: Duration = Duration::from_secs(5);
/// The longest delay after any lists that failed their checks.
const MAX_INVALID_BACKOFF: Duration = Duration::from_mins(5);
/// The longest delay between two attempts of one round.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(50);

/// The next attempt to get the lists.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// Pull updates from a peer by datagram.
    Pull(SpreadPeer),
    /// Fetch the whole lists from the object store.
    Store,
    /// Request a transfer from a peer.
    Transfer(SpreadPeer),
}

/// What a retrieval waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WaitingFor {
    /// The edge builds a snapshot from updates.
    Apply,
    /// A peer answers a pull.
    Pull(InstanceId),
    /// The object store or a peer sends lists.
    Transfer,
}

/// What the current attempt to get the lists waits for, and until when.
#[derive(Debug)]
struct Waiting {
    awaited: WaitingFor,
    deadline: Instant,
}

/// Decides how to get the lists of the newest known version: the source of each attempt and its time.
#[derive(Debug)]
pub(crate) struct Retrieval {
    /// The failed attempts since lists were last taken into use.
    failure_count: u32,
    /// The newest known head.
    goal: ConfigHead,
    /// How often lists failed their checks since the goal was last raised.
    invalid_count: u32,
    /// Whether the whole lists are needed, because those in use are damaged or updates to them failed.
    need_whole_lists: bool,
    /// The time of the next attempt.
    not_before: Instant,
    /// The peer that answered a pull with a referral.
    referred_to: Option<InstanceId>,
    waiting: Option<Waiting>,
}

impl Retrieval {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            failure_count: 0,
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

    /// Makes a newer version the goal.
    ///
    /// `delay` applies if the daemon was up to date, or if it backs off from lists that failed their
    /// checks; otherwise the attempts for the old goal go on.
    pub(crate) fn raise_goal(
        &mut self,
        now: Instant,
        head_in_use: ConfigHead,
        goal: ConfigHead,
        delay: Duration,
    ) {
        if goal.version <= self.goal.version {
            return;
        }
        let was_up_to_date = self.goal.version <= head_in_use.version;
        if was_up_to_date || self.invalid_count > 0 {
            self.not_before = now + delay;
        }
        self.goal = goal;
        self.invalid_count = 0;
    }

    /// Gets whole lists at once, because those in use are damaged.
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

    /// Returns the timeout of the attempt under way, or else the time of the next attempt if the daemon is
    /// behind.
    pub(crate) fn wakeup(&self, is_behind: bool) -> Option<Instant> {
        match &self.waiting {
            Some(waiting) => Some(waiting.deadline),
            None => is_behind.then_some(self.not_before),
        }
    }

    /// Starts to wait for the end of an attempt, until `deadline`.
    pub(crate) fn wait(&mut self, deadline: Instant, awaited: WaitingFor) {
        self.waiting = Some(Waiting { awaited, deadline });
    }

    /// Fails the attempt under way if it has timed out. If it was a pull, returns its peer, so that
    /// the peer's head is forgotten and the peer not chosen again.
    pub(crate) fn expire(&mut self, now: Instant, random: &mut Rng) -> Option<InstanceId> {
        let waiting = self.waiting.take_if(|waiting| waiting.deadline <= now)?;
        self.on_failed(now, random);
        match waiting.awaited {
            WaitingFor::Apply | WaitingFor::Transfer => None,
            WaitingFor::Pull(peer) => Some(peer),
        }
    }

    /// Resets the attempts after lists were taken into use.
    pub(crate) fn on_applied(&mut self) {
        self.failure_count = 0;
        self.invalid_count = 0;
        self.need_whole_lists = false;
        self.referred_to = None;
        self.waiting = None;
    }

    /// Delays the next attempt by up to `retry_after`, because the peer was busy; no failure is counted.
    pub(crate) fn on_busy(&mut self, now: Instant, retry_after: Duration, random: &mut Rng) {
        self.referred_to = None;
        self.waiting = None;
        self.not_before = now + retry_after.mul_f64(random.f64());
    }

    /// Counts a failed attempt and schedules the next one.
    pub(crate) fn on_failed(&mut self, now: Instant, random: &mut Rng) {
        self.referred_to = None;
        self.waiting = None;
        self.failure_count = self.failure_count.saturating_add(1);
        let rounds = self.failure_count / ATTEMPTS_PER_ROUND;
        let delay = if self.failure_count.is_multiple_of(ATTEMPTS_PER_ROUND) {
            backoff(INITIAL_BACKOFF, MAX_BACKOFF, rounds)
        } else {
            MAX_ATTEMPT_DELAY
        };
        self.not_before = now + delay.mul_f64(0.5 + random.f64() / 2.0);
    }

    /// Counts refused lists as a failure; invalid ones are backed off from longer, so that they aren't
    /// fetched in a loop.
    pub(crate) fn on_refused(&mut self, now: Instant, reason: Refusal, random: &mut Rng) {
        self.on_failed(now, random);
        match reason {
            Refusal::BaseMismatch | Refusal::Damaged => self.need_whole_lists = true,
            Refusal::Conflict | Refusal::Stale => {}
            Refusal::Invalid => {
                self.invalid_count = self.invalid_count.saturating_add(1);
                let delay = backoff(
                    INITIAL_INVALID_BACKOFF,
                    MAX_INVALID_BACKOFF,
                    self.invalid_count,
                );
                self.not_before = now + delay.mul_f64(0.5 + random.f64() / 2.0);
            }
        }
    }

    /// Continues at once with a transfer from a peer that answered a pull with a referral.
    pub(crate) fn on_referral(&mut self, now: Instant, peer: InstanceId) {
        self.waiting = None;
        self.not_before = now;
        self.referred_to = Some(peer);
    }

    /// Chooses the source of the next attempt.
    ///
    /// After a referral, that is a transfer from the peer that sent it. If no peer announced the
    /// goal or a newer version, it is the object store. Otherwise the position in the round
    /// decides; see [`ATTEMPTS_PER_ROUND`].
    pub(crate) fn choose_attempt(
        &self,
        head_in_use: ConfigHead,
        store_is_failing: bool,
        peers: &PeerTable,
        random: &mut Rng,
    ) -> Attempt {
        if let Some(peer) = self
            .referred_to
            .as_ref()
            .and_then(|instance| peers.get(instance))
        {
            return Attempt::Transfer(peer.clone());
        }
        let Some(peer) = peers.pick_holder(self.goal, random) else {
            return Attempt::Store;
        };
        let whole_lists = self.need_whole_lists || head_in_use == ConfigHead::default();
        match self.failure_count % ATTEMPTS_PER_ROUND {
            0 | 1 if !whole_lists => Attempt::Pull(peer.clone()),
            3 if !store_is_failing => Attempt::Store,
            _ => Attempt::Transfer(peer.clone()),
        }
    }

    /// Returns whether an attempt may start now.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.waiting.is_none() && self.not_before <= now
    }
}

/// Returns an exponential back-off: `initial` for the first round, doubled for each further one, up to
/// `max`.
fn backoff(initial: Duration, max: Duration, rounds: u32) -> Duration {
    initial
        .saturating_mul(2_u32.saturating_pow(rounds.saturating_sub(1)))
        .min(max)
}
