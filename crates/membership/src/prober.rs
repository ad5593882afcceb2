use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use medlarspool_types::InstanceId;

use crate::{
    MemberState,
    probe::{IndirectPing, Probe},
    view::View,
};

/// The maximum number of pings in progress on behalf of other daemons.
pub(crate) const MAX_INDIRECT_PINGS: usize = 64;

/// The maximum number of members that wait for a second probe.
const MAX_SECOND_PROBES: usize = 256;

/// The members to probe next, and the probes in progress.
#[derive(Debug)]
pub(crate) struct Prober {
    second_probes: VecDeque<InstanceId>,
    pub(crate) indirect_pings: Vec<IndirectPing>,
    last_number: u64,
    pub(crate) next_reconnect_at: Instant,
    pub(crate) next_period_at: Instant,
    pub(crate) probes: Vec<Probe>,
    /// The members that this round has still to probe, the next one last.
    round: Vec<InstanceId>,
}

impl Prober {
    pub(crate) fn new(first_period: Instant) -> Self {
        Self {
            second_probes: VecDeque::new(),
            indirect_pings: Vec::new(),
            last_number: 0,
            next_reconnect_at: first_period,
            next_period_at: first_period,
            probes: Vec::new(),
            round: Vec::new(),
        }
    }

    /// Queues a second probe of a member for one of the next periods, unless it is queued already or
    /// the queue is full.
    pub(crate) fn queue_second_probe(&mut self, instance: &InstanceId) {
        let is_full = self.second_probes.len() >= MAX_SECOND_PROBES;
        if !is_full && !self.second_probes.contains(instance) {
            self.second_probes.push_back(instance.clone());
        }
    }

    /// Cancels the probes of a member, because a new one begins.
    pub(crate) fn cancel(&mut self, instance: &InstanceId) {
        self.probes.retain(|probe| probe.instance != *instance);
    }

    pub(crate) fn is_probing(&self, instance: &InstanceId) -> bool {
        self.probes.iter().any(|probe| probe.instance == *instance)
    }

    pub(crate) fn next_second_probe(&mut self) -> Option<InstanceId> {
        self.second_probes.pop_front()
    }

    /// Returns the next member of the round. Each round contains every living member once, in
    /// random order.
    pub(crate) fn next_in_round(
        &mut self,
        view: &View,
        me: &InstanceId,
        random: &mut fastrand::Rng,
    ) -> Option<InstanceId> {
        if self.round.is_empty() {
            self.round = view.living_instances().to_vec();
            self.round.retain(|instance| instance != me);
            random.shuffle(&mut self.round);
        }
        while let Some(instance) = self.round.pop() {
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
            let indirect_at = probe.indirect_at.unwrap_or(probe.deadline);
            [probe.deadline, indirect_at]
        });
        let indirect_pings = self
            .indirect_pings
            .iter()
            .map(|indirect_ping| indirect_ping.deadline);
        probes
            .chain(indirect_pings)
            .fold(self.next_period_at, Instant::min)
    }

    /// Discards the probes in progress after a pause of the process, in which no answer could be
    /// read, and begins the next period after `timeout`.
    pub(crate) fn reset_after_pause(&mut self, now: Instant, timeout: Duration) {
        self.probes.clear();
        self.indirect_pings.clear();
        self.next_period_at = now + timeout;
    }

    /// Inserts a new member at a random position of the current round.
    pub(crate) fn insert_into_round(&mut self, instance: &InstanceId, random: &mut fastrand::Rng) {
        let position = random.usize(..=self.round.len());
        self.round.push(instance.clone());
        let last = self.round.len() - 1;
        self.round.swap(position, last);
    }
}
