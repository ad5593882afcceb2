use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use medlarspool_types::InstanceId;

use crate::{
    MemberState,
    probe::{Errand, Probe},
    view::View,
};

/// The most pings under way for others.
pub(crate) const MAX_ERRANDS: usize = 64;

/// The most members waiting for a second probe.
const MAX_DOUBTED: usize = 256;

/// Whom to probe next, and the probes under way.
#[derive(Debug)]
pub(crate) struct Prober {
    doubted: VecDeque<InstanceId>,
    pub(crate) errands: Vec<Errand>,
    last_number: u64,
    pub(crate) next_lost: Instant,
    pub(crate) next_period: Instant,
    pub(crate) probes: Vec<Probe>,
    turn: Vec<InstanceId>,
}

impl Prober {
    pub(crate) fn new(first_period: Instant) -> Self {
        Self {
            doubted: VecDeque::new(),
            errands: Vec::new(),
            last_number: 0,
            next_lost: first_period,
            next_period: first_period,
            probes: Vec::new(),
            turn: Vec::new(),
        }
    }

    /// Puts a member up for a second probe in the next period.
    pub(crate) fn doubt(&mut self, instance: &InstanceId) {
        let full = self.doubted.len() >= MAX_DOUBTED;
        if !full && !self.doubted.contains(instance) {
            self.doubted.push_back(instance.clone());
        }
    }

    /// Ends the probes of a member without a verdict, because a new one begins.
    pub(crate) fn give_up(&mut self, instance: &InstanceId) {
        self.probes.retain(|probe| probe.instance != *instance);
    }

    pub(crate) fn is_probing(&self, instance: &InstanceId) -> bool {
        self.probes.iter().any(|probe| probe.instance == *instance)
    }

    pub(crate) fn next_doubted(&mut self) -> Option<InstanceId> {
        self.doubted.pop_front()
    }

    /// Returns the next member in turn: each once, in an order drawn anew for each round.
    pub(crate) fn next_in_turn(
        &mut self,
        view: &View,
        me: &InstanceId,
        random: &mut fastrand::Rng,
    ) -> Option<InstanceId> {
        if self.turn.is_empty() {
            self.turn = view.living_instances().to_vec();
            self.turn.retain(|instance| instance != me);
            random.shuffle(&mut self.turn);
        }
        while let Some(instance) = self.turn.pop() {
            if view.state(&instance).is_some_and(MemberState::is_living) {
                return Some(instance);
            }
        }
        None
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(crate) fn next_wakeup(&self) -> Instant {
        let probes = self.probes.iter().flat_map(|probe| {
            let relay_at = probe.relay_at.unwrap_or(probe.deadline);
            [probe.deadline, relay_at]
        });
        let errands = self.errands.iter().map(|errand| errand.deadline);
        probes.chain(errands).fold(self.next_period, Instant::min)
    }

    /// Moves all times on, after a pause in which no answer could be read.
    pub(crate) fn forgive(&mut self, now: Instant, timeout: Duration) {
        self.probes.clear();
        self.errands.clear();
        self.next_period = now + timeout;
    }

    /// Puts a new member somewhere into the current round.
    pub(crate) fn welcome(&mut self, instance: &InstanceId, random: &mut fastrand::Rng) {
        let position = random.usize(..=self.turn.len());
        self.turn.push(instance.clone());
        let last = self.turn.len() - 1;
        self.turn.swap(position, last);
    }
}
