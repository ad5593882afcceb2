use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{RouteKey, RunCounts, TargetEvidence, tally::Tally};

/// The period whose runs of both versions are compared. Gates report twice a second, so that a shorter one would be
/// empty at times.
const SLICE: Duration = Duration::from_millis(500);

/// How long after its creation evidence may hear of a target's earlier runs for the first time. An order that is
/// older has been observed by others, and runs of unknown times can't be compared.
const FIRST_REPORTS_PERIOD: Duration = Duration::from_secs(1);

/// How long counts have to be lower than the known ones to be taken for those of a gate that started again.
const OVERTAKEN_PERIOD: Duration = Duration::from_secs(1);

/// A run is slow beyond this multiple of the old version's median.
const SLOW_FACTOR: f64 = 4.0;

/// The share of the fastest runs by which the speed of a target is measured: about half of a bad version's answers
/// are slow, which leaves this one as it is.
const SPEED_QUANTILE: f64 = 0.2;

/// The fewest runs that tell the speed of a target.
const MIN_SPEED_RUNS: u32 = 8;

/// The slowest and the fastest target of a good version, as multiples of the usual run time.
const MIN_SPEED_FACTOR: f64 = 0.5;
const MAX_SPEED_FACTOR: f64 = 1.6;

/// How long after its first report a target may be cold, and how many times as long its runs then take: 3 s and the
/// delay of reports.
const COLD_PERIOD: Duration = Duration::from_secs(4);
const COLD_FACTOR: f64 = 2.0;

/// The fewest runs of a route by the old version for its share of bad runs to be used; below, that of all routes is.
const MIN_ROUTE_RUNS: f64 = 8.0;

/// The excess over the old version's share of bad runs that noise can cause. A bad version has about 0.5.
pub(crate) const MARGIN: f64 = 0.08;

/// The share of bad runs that is allowed in addition while there are no runs of the old version to compare with.
const UNCOMPARED_SHARE: f64 = 0.25;

/// By how much the old version's share of bad runs in one slice exceeds that of the slices around it in a burst. The
/// reports of a single canary may bring the burst earlier or later than those of the old targets.
const BURST_SHARE: f64 = 0.1;

/// The share of bad answers of a bad version, among those that the old version would have answered well.
const BAD_VERSION_SHARE: f64 = 0.5;

/// The highest share of bad runs that is assumed of a version. No answer is then proof by itself.
const MAX_NOISY_SHARE: f64 = 0.9;
const MAX_BAD_SHARE: f64 = 0.95;

/// The fewest targets of each version whose latest runs are compared before all reports of the same period are in.
/// With as many, as much of the period is missing from the reports of both versions.
const MIN_PROMPT_TARGETS: usize = 5;

/// How much runs count in the recent tally after each slice: about 2.5 s of runs have weight in it.
const RECENT_FACTOR: f64 = 0.8;

/// The runs of a service's targets during a rollout, as their gates reported them.
///
/// Each daemon that may become the decider keeps it, so that another one can go on at once.
#[derive(Clone, Debug)]
pub struct RolloutEvidence {
    created_at: Instant,
    /// The index of the first slice that wasn't compared yet.
    first_open_slice: u64,
    /// Whether the order was known for a while before this evidence was created.
    is_late: bool,
    /// All reported runs of old targets, also those before the order, by which slowness is measured.
    old_runs: BTreeMap<RouteKey, RunCounts>,
    /// The bad runs and the runs of the old version that were compared.
    old_share: (f64, f64),
    slices: BTreeMap<u64, Slice>,
    tallies: BTreeMap<(usize, RouteKey), RouteTally>,
    targets: BTreeMap<(Rc<str>, u64), KnownTarget>,
    to: Rc<str>,
    totals: [(u64, u64); 2],
}

/// The compared runs of one target and route.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RouteTally {
    pub(crate) all: Tally,
    pub(crate) recent: Tally,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    counts: BTreeMap<RouteKey, RunCounts>,
    first_heard_at: Instant,
    heard_at: Instant,
    /// The number of the target in the order in which the targets became known.
    index: usize,
    is_new: bool,
    /// When reports with lower counts began; none if the last one had none.
    lower_since: Option<Instant>,
}

/// The runs that were reported in one period.
#[derive(Clone, Debug, Default)]
struct Slice {
    /// The runs of the new version by target and route.
    new: BTreeMap<(usize, RouteKey), NewRuns>,
    old: BTreeMap<RouteKey, RunCounts>,
    /// The old version's targets that reported runs.
    old_targets: BTreeSet<usize>,
}

/// The bad runs and the runs of the old version around a slice.
struct OldRuns {
    all: (f64, f64),
    by_route: BTreeMap<RouteKey, (f64, f64)>,
    /// The highest share of bad runs in one of the slices.
    worst_share: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct NewRuns {
    counts: RunCounts,
    /// The usual run time of the target as a multiple of the old version's.
    speed_factor: f64,
}

impl RolloutEvidence {
    /// Creates the empty evidence on a rollout to version `to`, which was ordered `order_age` before `now`.
    #[must_use]
    pub fn new(now: Instant, order_age: Duration, to: Rc<str>) -> Self {
        Self {
            created_at: now,
            first_open_slice: 0,
            is_late: order_age > FIRST_REPORTS_PERIOD,
            old_runs: BTreeMap::new(),
            old_share: (0.0, 0.0),
            slices: BTreeMap::new(),
            tallies: BTreeMap::new(),
            targets: BTreeMap::new(),
            to,
            totals: [(0, 0); 2],
        }
    }

    /// Returns the version that is being rolled out.
    #[must_use]
    pub const fn to(&self) -> &Rc<str> {
        &self.to
    }

    /// Adds what a gate reported of its target. Counts that are lower than the known ones were overtaken on the way
    /// and are ignored, unless they stay lower, since the gate started again.
    pub fn learn(&mut self, now: Instant, reported: &TargetEvidence) {
        let since_creation = now.saturating_duration_since(self.created_at);
        let slice_index = slice_index(since_creation);
        self.compare_until(slice_index);
        let is_new = reported.version == self.to;
        let next_index = self.targets.len();
        let key = (reported.target_id.clone(), reported.born_ms);
        let is_known = self.targets.contains_key(&key);
        let known = self.targets.entry(key).or_insert_with(|| KnownTarget {
            counts: BTreeMap::new(),
            first_heard_at: now,
            heard_at: now,
            index: next_index,
            is_new,
            lower_since: None,
        });
        known.heard_at = now;
        if runs(&reported.routes) < runs(&known.counts) {
            let lower_since = *known.lower_since.get_or_insert(now);
            if now.saturating_duration_since(lower_since) >= OVERTAKEN_PERIOD {
                known.counts.clone_from(&reported.routes);
                known.lower_since = None;
            }
            return;
        }
        known.lower_since = None;
        let may_be_earlier = self.is_late && since_creation < FIRST_REPORTS_PERIOD;
        let is_compared = is_known || (is_new && !may_be_earlier);
        let earlier = std::mem::replace(&mut known.counts, reported.routes.clone());
        let (index, is_new) = (known.index, known.is_new);
        let is_cold = now.saturating_duration_since(known.first_heard_at) < COLD_PERIOD;
        let max_factor = MAX_SPEED_FACTOR * if is_cold { COLD_FACTOR } else { 1.0 };
        let speed_factor = speed_factor(&reported.routes, &self.old_runs, max_factor);
        for (route, counts) in &reported.routes {
            let added = earlier.get(route).map_or(*counts, |it| counts.since(it));
            if added.runs() == 0 {
                continue;
            }
            if !is_new {
                self.old_runs.entry(*route).or_default().add(&added);
            }
            if !is_compared {
                continue;
            }
            let (total_runs, total_failures) = &mut self.totals[usize::from(!is_new)];
            *total_runs += u64::from(added.runs());
            *total_failures += u64::from(added.failures);
            let slice = self.slices.entry(slice_index).or_default();
            if is_new {
                let new = slice.new.entry((index, *route)).or_default();
                new.counts.add(&added);
                new.speed_factor = speed_factor;
            } else {
                slice.old.entry(*route).or_default().add(&added);
                slice.old_targets.insert(index);
            }
        }
    }

    /// Returns the time within which at least half of the targets were heard of. Evidence older than
    /// [`RolloutPlan::MAX_EVIDENCE_AGE`](crate::RolloutPlan::MAX_EVIDENCE_AGE) justifies no verdict, as after a pause
    /// of this daemon.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        let has_all_reports =
            now.saturating_duration_since(self.created_at) >= FIRST_REPORTS_PERIOD;
        if self.is_late && !has_all_reports {
            return Duration::MAX;
        }
        let heard = self.targets.values().map(|target| target.heard_at);
        let mut ages: Vec<Duration> = heard.map(|at| now.saturating_duration_since(at)).collect();
        ages.sort_unstable();
        ages.get(ages.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or(Duration::MAX)
    }

    /// Returns the numbers of runs, and of those that failed, at targets of the new version and at all others since
    /// the order, for logs and state dumps.
    #[must_use]
    pub const fn totals(&self) -> [(u64, u64); 2] {
        self.totals
    }

    /// Returns the number of known targets of the new version.
    pub(crate) fn new_target_count(&self) -> usize {
        self.targets.values().filter(|target| target.is_new).count()
    }

    /// Returns the compared runs of the new version by target and route.
    pub(crate) fn tallies(&self) -> impl Iterator<Item = (usize, RouteKey, &RouteTally)> {
        self.tallies
            .iter()
            .map(|((target, route), tally)| (*target, *route, tally))
    }

    /// Returns the runs of the new version in the slices that aren't compared finally yet, by target and route; none
    /// while too few targets of one version reported runs in them.
    pub(crate) fn latest_tallies(&self) -> Vec<(usize, RouteKey, Tally)> {
        let open = || self.slices.range(self.first_open_slice..);
        let new_targets: BTreeSet<usize> = open()
            .flat_map(|(_, slice)| slice.new.keys().map(|(target, _)| *target))
            .collect();
        let old_targets: BTreeSet<usize> = open()
            .flat_map(|(_, slice)| slice.old_targets.iter().copied())
            .collect();
        if new_targets.len().min(old_targets.len()) < MIN_PROMPT_TARGETS {
            return Vec::new();
        }
        let indices = open().map(|(index, _)| *index);
        indices
            .flat_map(|index| self.tallies_of_slice(index, &self.old_runs_around(index)))
            .collect()
    }

    /// Returns the runs of the new version since its targets' starts.
    #[must_use]
    pub fn canary_runs(&self) -> u64 {
        let new_targets = self.targets.values().filter(|target| target.is_new);
        new_targets.map(|target| runs(&target.counts)).sum()
    }

    /// Returns the requests to the service that were run in a second since this evidence was created.
    #[must_use]
    pub fn requests_per_s(&self, now: Instant) -> f64 {
        let [(new_runs, _), (old_runs, _)] = self.totals;
        let since_creation = now.saturating_duration_since(self.created_at);
        let period_s = since_creation.max(FIRST_REPORTS_PERIOD).as_secs_f64();
        #[allow(clippy::cast_precision_loss)]
        let requests_per_s = (new_runs + old_runs) as f64 / period_s;
        requests_per_s
    }

    /// Compares the slices whose next one ended before `slice_index`: reports of the same period arrive up to half a
    /// second apart, so that a slice is compared with those around it.
    fn compare_until(&mut self, slice_index: u64) {
        while self.first_open_slice + 2 <= slice_index {
            // Nothing was heard for longer than any slice is kept.
            if self.slices.is_empty() {
                self.first_open_slice = slice_index - 1;
                break;
            }
            self.compare(self.first_open_slice);
            self.first_open_slice += 1;
            let kept = self.first_open_slice.saturating_sub(1);
            self.slices.retain(|index, _| *index >= kept);
        }
    }

    fn compare(&mut self, slice_index: u64) {
        for tally in self.tallies.values_mut() {
            tally.recent.decay(RECENT_FACTOR);
        }
        let old = self.old_runs_around(slice_index);
        self.old_share.0 += old.all.0;
        self.old_share.1 += old.all.1;
        for (target, route, tally) in self.tallies_of_slice(slice_index, &old) {
            let known = self.tallies.entry((target, route)).or_default();
            known.all.add(&tally);
            known.recent.add(&tally);
        }
    }

    fn old_runs_around(&self, slice_index: u64) -> OldRuns {
        let around = slice_index.saturating_sub(1)..=slice_index + 1;
        let mut by_route: BTreeMap<RouteKey, (f64, f64)> = BTreeMap::new();
        let mut worst_share = 0.0_f64;
        for (_, slice) in self.slices.range(around) {
            let mut of_slice = (0.0, 0.0);
            for (route, counts) in &slice.old {
                let slice_bad = self.bad_runs(*route, counts, 1.0);
                let slice_runs = f64::from(counts.runs());
                let (bad, runs) = by_route.entry(*route).or_default();
                *bad += slice_bad;
                *runs += slice_runs;
                of_slice = (of_slice.0 + slice_bad, of_slice.1 + slice_runs);
            }
            if of_slice.1 >= MIN_ROUTE_RUNS {
                worst_share = worst_share.max(of_slice.0 / of_slice.1);
            }
        }
        let all = by_route
            .values()
            .fold((0.0, 0.0), |(bad, runs), it| (bad + it.0, runs + it.1));
        OldRuns {
            all,
            by_route,
            worst_share,
        }
    }

    /// Compares the new version's runs of a slice with the old version's around it.
    fn tallies_of_slice(&self, slice_index: u64, old: &OldRuns) -> Vec<(usize, RouteKey, Tally)> {
        let is_compared = old.all.1 > 0.0;
        let fallback = if is_compared { old.all } else { self.old_share };
        let is_burst = is_compared && old.worst_share > old.all.0 / old.all.1 + BURST_SHARE;
        let Some(slice) = self.slices.get(&slice_index) else {
            return Vec::new();
        };
        let tally = |target: usize, route: RouteKey, new: &NewRuns| {
            let of_route = old.by_route.get(&route);
            let of_route = of_route.filter(|(_, runs)| *runs >= MIN_ROUTE_RUNS);
            let (old_bad, old_runs) = *of_route.unwrap_or(&fallback);
            let mean_share = if old_runs > 0.0 {
                old_bad / old_runs
            } else {
                0.0
            };
            let share = if !is_compared {
                (mean_share + UNCOMPARED_SHARE).min(1.0)
            } else if is_burst {
                mean_share.max(old.worst_share)
            } else {
                mean_share
            };
            let runs = f64::from(new.counts.runs());
            let bad = self.bad_runs(route, &new.counts, new.speed_factor);
            let noisy_share = (share + MARGIN).min(MAX_NOISY_SHARE);
            let bad_share = (share + BAD_VERSION_SHARE * (1.0 - share)).min(MAX_BAD_SHARE);
            let own_variance = runs * noisy_share * (1.0 - noisy_share);
            let old_variance = runs * runs * share * (1.0 - share) / old_runs.max(1.0);
            let tally = Tally {
                bad,
                expected_bad: runs * share,
                log_odds: bad * (bad_share / noisy_share).ln()
                    + (runs - bad) * ((1.0 - bad_share) / (1.0 - noisy_share)).ln(),
                runs,
                variance: own_variance + old_variance,
            };
            (target, route, tally)
        };
        let new = slice.new.iter();
        new.map(|((target, route), new)| tally(*target, *route, new))
            .collect()
    }

    /// Returns the number of runs that failed or were slow for a target of this speed.
    fn bad_runs(&self, route: RouteKey, counts: &RunCounts, speed_factor: f64) -> f64 {
        let old = self.old_runs.get(&route);
        let median_ms = old.and_then(|old| old.quantile_ms(0.5));
        let slow = median_ms.map_or(0.0, |median_ms| {
            counts.slower_than(median_ms * SLOW_FACTOR * speed_factor)
        });
        f64::from(counts.failures) + slow
    }
}

fn slice_index(since_creation: Duration) -> u64 {
    u64::try_from(since_creation.as_millis() / SLICE.as_millis()).unwrap_or(u64::MAX)
}

fn runs(routes: &BTreeMap<RouteKey, RunCounts>) -> u64 {
    routes.values().map(|counts| u64::from(counts.runs())).sum()
}

/// Returns the usual run time of a target as a multiple of the old version's, by the faster runs of all routes; at
/// most `max_factor`.
///
/// The page's limit of slowness holds for a usual target. One of half the run time would hide slow answers under it,
/// and a cold one of 1.6 times the run time would exceed it without a fault.
fn speed_factor(
    routes: &BTreeMap<RouteKey, RunCounts>,
    old_runs: &BTreeMap<RouteKey, RunCounts>,
    max_factor: f64,
) -> f64 {
    let mut log_sum = 0.0;
    let mut successes = 0;
    for (route, counts) in routes {
        let old = old_runs.get(route);
        let usual_ms = old.and_then(|old| old.quantile_ms(SPEED_QUANTILE));
        if let (Some(ms), Some(usual_ms)) = (counts.quantile_ms(SPEED_QUANTILE), usual_ms) {
            log_sum += f64::from(counts.successes()) * (ms / usual_ms).log2();
            successes += counts.successes();
        }
    }
    if successes < MIN_SPEED_RUNS {
        return max_factor;
    }
    let factor = (log_sum / f64::from(successes)).exp2();
    factor.clamp(MIN_SPEED_FACTOR, max_factor)
}
