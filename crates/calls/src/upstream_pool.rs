use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use fastrand::Rng;
use medlarspool_types::InstanceId;

use crate::{
    AnnouncedUpstream, CallOutcome, CallSettings, Choice, DecisionReason, LoadReport, ServiceTime,
    Upstream, UpstreamStatus,
};

/// How often a candidate is drawn before the draw is given up.
const DRAWS: usize = 4;

/// One in this many calls goes to an upstream in another availability zone that was not measured
/// lately, since its speed can't be known otherwise.
const EXPLORE_ONE_IN: u32 = 64;

/// The upstreams of one service, those of the own availability zone first.
#[derive(Debug, Default)]
pub struct UpstreamPool {
    call_time: ServiceTime,
    local: usize,
    places: HashMap<InstanceId, usize>,
    upstreams: Vec<Upstream>,
}

impl UpstreamPool {
    /// Returns the upstreams, for the dump.
    #[must_use]
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Takes in an announcement. A known upstream keeps its evidence.
    pub fn announce(&mut self, now: Instant, announced: AnnouncedUpstream, is_local: bool) {
        if let Some(&place) = self.places.get(&announced.instance) {
            self.upstreams[place].announce(announced);
            return;
        }
        let place = self.upstreams.len();
        self.places.insert(announced.instance.clone(), place);
        self.upstreams.push(Upstream::new(now, announced, is_local));
        if is_local {
            self.swap(place, self.local);
            self.local += 1;
        }
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, instance: &InstanceId) {
        let Some(&place) = self.places.get(instance) else {
            return;
        };
        let mut hole = place;
        if place < self.local {
            self.local -= 1;
            self.swap(place, self.local);
            hole = self.local;
        }
        self.swap(hole, self.upstreams.len() - 1);
        self.upstreams.pop();
        self.places.remove(instance);
    }

    /// Takes in what membership says.
    pub fn set_status(&mut self, instance: &InstanceId, standing: UpstreamStatus) {
        if let Some(&place) = self.places.get(instance) {
            self.upstreams[place].set_status(standing);
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
        let (place, reason) = match drawn {
            Some(place) if self.upstreams[place].is_local() => {
                (place, DecisionReason::LeastWaitLocal)
            }
            Some(place) => (place, DecisionReason::LeastWaitRemote),
            None => (
                self.last_resort(now, random, tried)?,
                DecisionReason::LastResort,
            ),
        };
        let typical = self.call_time.mean();
        let upstream = &mut self.upstreams[place];
        let expected_latency = upstream.expected_latency(now, settings, typical);
        upstream.send(now);
        Some(Choice {
            address: upstream.announced().address,
            expected_latency,
            instance: upstream.instance().clone(),
            reason,
        })
    }

    /// Takes in how a call ended.
    pub fn finish(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        outcome: CallOutcome,
        report: Option<LoadReport>,
        settings: &CallSettings,
    ) {
        if let CallOutcome::Answered { elapsed } = outcome {
            self.call_time.record(now, elapsed);
        }
        let may_eject = !outcome.is_failure() || self.may_eject(now, settings);
        if let Some(&place) = self.places.get(instance) {
            self.upstreams[place].finish(now, outcome, report, settings, may_eject);
        }
    }

    /// Returns the mean time of the service's calls.
    #[must_use]
    pub const fn mean_call_time(&self) -> Duration {
        self.call_time.mean()
    }

    /// Draws two local candidates and a remote one, or two remote ones, and takes the best.
    fn draw_best(
        &self,
        now: Instant,
        random: &mut Rng,
        settings: &CallSettings,
        tried: &[InstanceId],
    ) -> Option<usize> {
        let all = self.upstreams.len();
        let mut draw = |from, to, other| self.draw(now, &mut *random, from..to, tried, other);
        let first_local = draw(0, self.local, None);
        let second = match first_local {
            Some(_) => draw(0, self.local, first_local),
            None => draw(self.local, all, None),
        };
        let remote = draw(self.local, all, second);
        if let Some(place) = remote
            && self.upstreams[place].is_unmeasured(now)
            && random.u32(..EXPLORE_ONE_IN) == 0
        {
            return remote;
        }
        let candidates = [first_local, second, remote];
        let cost = |place: &usize| self.cost(now, settings, *place);
        candidates.into_iter().flatten().min_by_key(cost)
    }

    fn cost(&self, now: Instant, settings: &CallSettings, place: usize) -> Duration {
        let upstream = &self.upstreams[place];
        let expected_latency = upstream.expected_latency(now, settings, self.call_time.mean());
        if upstream.is_local() {
            return expected_latency;
        }
        expected_latency + settings.cross_zone_cost
    }

    fn draw(
        &self,
        now: Instant,
        random: &mut Rng,
        range: std::ops::Range<usize>,
        tried: &[InstanceId],
        other: Option<usize>,
    ) -> Option<usize> {
        if range.is_empty() {
            return None;
        }
        for _ in 0..DRAWS {
            let place = random.usize(range.clone());
            let upstream = &self.upstreams[place];
            if Some(place) != other
                && upstream.is_eligible(now)
                && !tried.contains(upstream.instance())
            {
                return Some(place);
            }
        }
        None
    }

    /// Looks through all when the draws found none: first for an eligible one, then for one that is
    /// merely suspected, ejected or on trial. One that is leaving or was tried is never taken.
    fn last_resort(&self, now: Instant, random: &mut Rng, tried: &[InstanceId]) -> Option<usize> {
        let count = self.upstreams.len();
        if count == 0 {
            return None;
        }
        let start = random.usize(..count);
        let places = (0..count).map(|step| (start + step) % count);
        places
            .filter(|&place| {
                let upstream = &self.upstreams[place];
                !upstream.is_leaving() && !tried.contains(upstream.instance())
            })
            .min_by_key(|&place| !self.upstreams[place].is_eligible(now))
    }

    fn may_eject(&self, now: Instant, settings: &CallSettings) -> bool {
        let ejected = self.upstreams.iter().filter(|u| u.is_ejected(now)).count();
        let most = self.upstreams.len() * settings.max_ejected_percent as usize / 100;
        ejected < most
    }

    fn swap(&mut self, left: usize, right: usize) {
        self.upstreams.swap(left, right);
        for place in [left, right] {
            let instance = self.upstreams[place].instance().clone();
            self.places.insert(instance, place);
        }
    }
}
