//! The choice of upstream uses the entry's own measurements too, limits ejections, and never takes an
//! upstream that is leaving.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use fastrand::Rng;
use medlarspool_calls::{
    AnnouncedUpstream, CallOutcome, CallSettings, LoadReport, UpstreamPool, UpstreamStatus,
};
use medlarspool_types::InstanceId;
use proptest::prelude::*;

const SLOTS: u32 = 6;

fn instance(index: usize) -> InstanceId {
    format!("i{index}").parse().unwrap()
}

fn announced(index: usize) -> AnnouncedUpstream {
    AnnouncedUpstream {
        address: "127.0.0.1:9000".parse().unwrap(),
        availability_zone: "a".parse().unwrap(),
        instance: instance(index),
        slots: SLOTS,
    }
}

struct Entry {
    now: Instant,
    pool: UpstreamPool,
    random: Rng,
    settings: CallSettings,
}

impl Entry {
    /// Makes an entry whose upstreams are past slow start; the first `local_count` are in its zone.
    fn new(upstream_count: usize, local_count: usize) -> Self {
        let start = Instant::now();
        let mut pool = UpstreamPool::default();
        for index in 0..upstream_count {
            pool.announce(start, announced(index), index < local_count);
        }
        Self {
            now: start + Duration::from_mins(1),
            pool,
            random: Rng::with_seed(7),
            settings: CallSettings::default(),
        }
    }

    fn choose(&mut self, tried: &[InstanceId]) -> Option<InstanceId> {
        let chosen = self
            .pool
            .choose(self.now, &mut self.random, &self.settings, tried);
        chosen.map(|choice| choice.instance)
    }

    fn finish(&mut self, instance: &InstanceId, outcome: CallOutcome, report: LoadReport) {
        self.pool
            .finish(self.now, instance, outcome, Some(report), &self.settings);
    }

    /// Sends calls one after the other and returns how many went to each upstream.
    fn run(
        &mut self,
        call_count: u32,
        latency: impl Fn(&InstanceId) -> Duration,
    ) -> BTreeMap<InstanceId, u32> {
        let mut counts = BTreeMap::new();
        for _ in 0..call_count {
            let chosen = self.choose(&[]).unwrap();
            let elapsed = latency(&chosen);
            self.now += Duration::from_millis(2);
            let outcome = CallOutcome::Answered { elapsed };
            self.finish(&chosen, outcome, LoadReport::default());
            *counts.entry(chosen).or_default() += 1;
        }
        counts
    }
}

#[test]
fn equal_upstreams_get_equal_shares() {
    let mut entry = Entry::new(5, 0);
    let counts = entry.run(5_000, |_| Duration::from_millis(10));
    assert!(
        counts.values().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}

/// All load reports say that the upstream is idle, so only the measured latency shows that it is slow.
#[test]
fn a_slow_upstream_that_reports_no_load_gets_under_5_percent_of_the_calls() {
    let mut entry = Entry::new(4, 0);
    let slow = instance(2);
    let latency =
        |chosen: &InstanceId| Duration::from_millis(if *chosen == slow { 100 } else { 10 });
    let counts = entry.run(4_000, latency);
    let slow_calls = counts.get(&slow).copied().unwrap_or(0);
    assert!((1..200).contains(&slow_calls), "{counts:?}");
}

/// Guards against assuming that a remote upstream without measurements is as slow as the local ones:
/// it would then never get a call.
#[test]
fn the_own_zone_is_preferred_until_it_is_slower_by_the_cross_zone_cost() {
    let mut entry = Entry::new(4, 2);
    let equal = entry.run(1_000, |_| Duration::from_millis(10));
    let local: u32 = [0, 1].iter().filter_map(|n| equal.get(&instance(*n))).sum();
    assert!(local > 950, "{equal:?}");
    let mut entry = Entry::new(4, 2);
    let (first, second) = (instance(0), instance(1));
    let latency = |chosen: &InstanceId| {
        let is_local = *chosen == first || *chosen == second;
        Duration::from_millis(if is_local { 40 } else { 10 })
    };
    let worse = entry.run(1_000, latency);
    let local: u32 = [0, 1].iter().filter_map(|n| worse.get(&instance(*n))).sum();
    assert!(local < 300, "{worse:?}");
}

#[test]
fn a_dead_upstream_is_ejected_and_tried_again_one_call_at_a_time() {
    let mut entry = Entry::new(4, 0);
    let dead = instance(1);
    let mut failure_count = 0;
    for _ in 0..1_000 {
        let chosen = entry.choose(&[]).unwrap();
        let outcome = if chosen == dead {
            failure_count += 1;
            CallOutcome::ConnectFailed
        } else {
            let elapsed = Duration::from_millis(10);
            CallOutcome::Answered { elapsed }
        };
        entry.finish(&chosen, outcome, LoadReport::default());
    }
    assert_eq!(failure_count, entry.settings.ejection_threshold);
    entry.now += entry.settings.base_ejection;
    let trials = (0..50).filter(|_| entry.choose(&[]).as_ref() == Some(&dead));
    assert_eq!(trials.count(), 1);
}

/// Guards against sending further calls to an upstream that has stopped answering until the first of
/// them times out.
#[test]
fn an_upstream_that_stops_answering_gets_no_calls_after_its_usual_latency() {
    const GAP: Duration = Duration::from_millis(2);
    const USUAL_LATENCY: Duration = Duration::from_millis(10);
    let mut entry = Entry::new(4, 0);
    entry.run(1_000, |_| USUAL_LATENCY);
    let silent = instance(1);
    let mut sent_count = 0;
    for _ in 0..500 {
        let chosen = entry.choose(&[]).unwrap();
        entry.now += GAP;
        if chosen == silent {
            sent_count += 1;
        } else {
            let outcome = CallOutcome::Answered {
                elapsed: USUAL_LATENCY,
            };
            entry.finish(&chosen, outcome, LoadReport::default());
        }
    }
    assert!(
        sent_count <= USUAL_LATENCY.as_millis() / GAP.as_millis(),
        "{sent_count}"
    );
}

#[test]
fn when_all_fail_half_are_not_ejected() {
    let mut entry = Entry::new(6, 3);
    for _ in 0..500 {
        let chosen = entry.choose(&[]).unwrap();
        entry.finish(&chosen, CallOutcome::Lost, LoadReport::default());
    }
    let upstreams = entry.pool.upstreams();
    let ejected = upstreams.iter().filter(|u| u.is_ejected(entry.now));
    assert_eq!(ejected.count(), 3);
}

#[derive(Clone, Debug)]
enum Step {
    Announce(usize),
    Choose { tried: usize },
    Fail(usize),
    Remove(usize),
    SetStatus(usize, u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0_usize..9).prop_map(Step::Announce),
        6 => (0_usize..9).prop_map(|tried| Step::Choose { tried }),
        2 => (0_usize..9).prop_map(Step::Fail),
        1 => (0_usize..9).prop_map(Step::Remove),
        2 => (0_usize..9, 0_u8..3).prop_map(|(index, status)| Step::SetStatus(index, status)),
    ];
    proptest::collection::vec(step, 1..150)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Upstreams are added, removed and fail: each choice is a known upstream that is neither leaving
    /// nor tried before, and there is a choice whenever such an upstream exists.
    #[test]
    fn a_choice_is_allowed_and_made_if_possible(steps in steps()) {
        let mut entry = Entry::new(0, 0);
        let mut known: BTreeMap<InstanceId, UpstreamStatus> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Announce(index) => {
                    entry.pool.announce(entry.now, announced(index), index % 2 == 0);
                    known.entry(instance(index)).or_default();
                }
                Step::Choose { tried } => {
                    let tried = [instance(tried)];
                    let allowed = |i: &InstanceId| {
                        !tried.contains(i) && known.get(i).is_some_and(|s| *s != UpstreamStatus::Leaving)
                    };
                    let chosen = entry.choose(&tried);
                    prop_assert_eq!(chosen.is_some(), known.keys().any(allowed));
                    prop_assert!(chosen.iter().all(allowed));
                }
                Step::Fail(index) => {
                    entry.now += Duration::from_millis(300);
                    entry.finish(&instance(index), CallOutcome::Lost, LoadReport::default());
                }
                Step::Remove(index) => {
                    entry.pool.remove(&instance(index));
                    known.remove(&instance(index));
                }
                Step::SetStatus(index, status) => {
                    let status = match status {
                        0 => UpstreamStatus::Alive,
                        1 => UpstreamStatus::Leaving,
                        _ => UpstreamStatus::Suspect,
                    };
                    entry.pool.set_status(&instance(index), status);
                    known.entry(instance(index)).and_modify(|s| *s = status);
                }
            }
            prop_assert_eq!(entry.pool.upstreams().len(), known.len());
        }
    }
}
