use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use fastrand::Rng;
use medlarspool_types::InstanceId;

use crate::{
    AnnouncedUpstream, CallOutcome, CallSettings, Choice, DecayingMean, DecisionReason, LoadReport,
    Upstream, UpstreamStatus,
};

/// How many random draws are made to find one candidate.
const MAX_DRAWS: usize = 4;

/// One in this many calls goes to the drawn upstream of another availability zone if its latency was
/// not measured lately, because it would otherwise stay unknown.
const EXPLORE_ONE_IN: u32 = 64;

/// The upstreams of one service; those in the entry's availability zone come first.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    call_latency: DecayingMean,
    local_count: usize,
    positions: HashMap<InstanceId, usize>,
    upstreams: Vec<Upstream>,
}

impl UpstreamPool {
    /// Returns the upstreams, for the dump.
    #[must_use]
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Adds or updates an announced upstream. A known one keeps its measurements and failures.
    pub fn announce(&mut self, now: Instant, announced: AnnouncedUpstream, is_local: bool) {
        if let Some(&position) = self.positions.get(&announced.instance) {
            self.upstreams[position].announce(announced);
            return;
        }
        let position = self.upstreams.len();
        self.positions.insert(announced.instance.clone(), position);
        self.upstreams.push(Upstream::new(now, announced, is_local));
        if is_local {
            self.swap(position, self.local_count);
            self.local_count += 1;
        }
    }

    /// Removes an upstream, if it is known, with its measurements.
    pub fn remove(&mut self, instance: &InstanceId) {
        let Some(&position) = self.positions.get(instance) else {
            return;
        };
        let mut vacated = position;
        if position < self.local_count {
            self.local_count -= 1;
            self.swap(position, self.local_count);
            vacated = self.local_count;
        }
        self.swap(vacated, self.upstreams.len() - 1);
        self.upstreams.pop();
        self.positions.remove(instance);
    }

    /// Sets what membership reports of an upstream.
    pub fn set_status(&mut self, instance: &InstanceId, status: UpstreamStatus) {
        if let Some(&position) = self.positions.get(instance) {
            self.upstreams[position].set_status(status);
        }
    }

    /// Chooses an upstream that is not among `tried`, and counts the call.
    pub fn choose(
        &mut self,
        now: Instant,
        random: &mut Rng,
        settings: &CallSettings,
        tried: &[InstanceId],
    ) -> Option<Choice> {
        let drawn = self.draw_best(now, random, settings, tried);
        let (position, reason) = match drawn {
            Some(position) if self.upstreams[position].is_local() => {
                (position, DecisionReason::LeastWaitLocal)
            }
            Some(position) => (position, DecisionReason::LeastWaitRemote),
            None => (
                self.last_resort(now, random, tried)?,
                DecisionReason::LastResort,
            ),
        };
        let service_mean = self.call_latency.mean();
        let upstream = &mut self.upstreams[position];
        let expected_latency = upstream.expected_latency(now, settings, service_mean);
        upstream.send(now);
        Some(Choice {
            address: upstream.announced().address,
            expected_latency,
            instance: upstream.instance().clone(),
            reason,
        })
    }

    /// Records how a call ended and the load report that came with it, if any.
    pub fn finish(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        outcome: CallOutcome,
        report: Option<LoadReport>,
        settings: &CallSettings,
    ) {
        if let CallOutcome::Answered { elapsed } = outcome {
            self.call_latency.record(now, elapsed);
        }
        let may_eject = !outcome.is_failure() || self.may_eject(now, settings);
        if let Some(&position) = self.positions.get(instance) {
            self.upstreams[position].finish(now, outcome, report, settings, may_eject);
        }
    }

    /// Returns the mean latency of the service's calls.
    #[must_use]
    pub const fn mean_latency(&self) -> Duration {
        self.call_latency.mean()
    }

    /// Draws two local candidates and a remote one, or two remote ones if no local one is found, and
    /// returns the one of the least expected cost. One call in [`EXPLORE_ONE_IN`] goes to the remote one
    /// whatever its cost, if its latency was not measured lately.
    fn draw_best(
        &self,
        now: Instant,
        random: &mut Rng,
        settings: &CallSettings,
        tried: &[InstanceId],
    ) -> Option<usize> {
        let upstream_count = self.upstreams.len();
        let mut draw =
            |from, to, excluded| self.draw_eligible(now, &mut *random, from..to, tried, excluded);
        let first_local = draw(0, self.local_count, None);
        let second = match first_local {
            Some(_) => draw(0, self.local_count, first_local),
            None => draw(self.local_count, upstream_count, None),
        };
        let remote = draw(self.local_count, upstream_count, second);
        if let Some(position) = remote
            && self.upstreams[position].is_unmeasured(now)
            && random.u32(..EXPLORE_ONE_IN) == 0
        {
            return remote;
        }
        let candidates = [first_local, second, remote];
        let cost = |position: &usize| self.expected_cost(now, settings, *position);
        candidates.into_iter().flatten().min_by_key(cost)
    }

    /// Returns the expected latency, increased by the cost of the link to another availability zone.
    fn expected_cost(&self, now: Instant, settings: &CallSettings, position: usize) -> Duration {
        let upstream = &self.upstreams[position];
        let expected_latency = upstream.expected_latency(now, settings, self.call_latency.mean());
        if upstream.is_local() {
            return expected_latency;
        }
        expected_latency + settings.cross_zone_cost
    }

    fn draw_eligible(
        &self,
        now: Instant,
        random: &mut Rng,
        range: std::ops::Range<usize>,
        tried: &[InstanceId],
        excluded: Option<usize>,
    ) -> Option<usize> {
        if range.is_empty() {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let position = random.usize(range.clone());
            let upstream = &self.upstreams[position];
            if Some(position) != excluded
                && upstream.is_eligible(now)
                && !tried.contains(upstream.instance())
            {
                return Some(position);
            }
        }
        None
    }

    /// Searches all upstreams when the draws found none: an eligible one is preferred to one that is
    /// suspected, ejected or on trial. One that is leaving or among `tried` is never returned.
    fn last_resort(&self, now: Instant, random: &mut Rng, tried: &[InstanceId]) -> Option<usize> {
        let count = self.upstreams.len();
        if count == 0 {
            return None;
        }
        let start = random.usize(..count);
        let positions = (0..count).map(|step| (start + step) % count);
        positions
            .filter(|&position| {
                let upstream = &self.upstreams[position];
                !upstream.is_leaving() && !tried.contains(upstream.instance())
            })
            .min_by_key(|&position| !self.upstreams[position].is_eligible(now))
    }

    /// Returns whether the limit on ejected upstreams allows one more ejection.
    fn may_eject(&self, now: Instant, settings: &CallSettings) -> bool {
        let ejected_count = self.upstreams.iter().filter(|u| u.is_ejected(now)).count();
        let limit = self.upstreams.len() * settings.max_ejected_percent as usize / 100;
        ejected_count < limit
    }

    fn swap(&mut self, left: usize, right: usize) {
        self.upstreams.swap(left, right);
        for position in [left, right] {
            let instance = self.upstreams[position].instance().clone();
            self.positions.insert(instance, position);
        }
    }
}
