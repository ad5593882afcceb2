use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    OpenReason, RolloutEvidence, RolloutSettings, RolloutVerdict, RouteKey,
    rollout_evidence::{MARGIN, RouteTally},
    tally::Tally,
};

/// The standard deviations by which the excess of bad runs exceeds the margin of a bad version. The judge looks at
/// the evidence many times, so that they are more than for a single look.
const BAD_CONFIDENCE: f64 = 3.0;

/// The fewest bad runs of a bad version, without those of its worst target.
const MIN_BAD_RUNS: f64 = 5.0;

/// The excess share of bad runs below which a version is good, with [`GOOD_CONFIDENCE`].
const GOOD_MARGIN: f64 = 0.25;

/// The standard deviations by which the excess of bad runs of a good version is below [`GOOD_MARGIN`].
const GOOD_CONFIDENCE: f64 = 1.64;

/// The fewest runs of a good version.
const MIN_GOOD_RUNS: f64 = 30.0;

/// The fewest runs of all targets but one that show whether a fault is of that one alone.
const MIN_OTHER_RUNS: f64 = 12.0;

/// Of this many targets, the worst one is left out. Large fleets have several with faults of their own.
const TARGETS_PER_WORST: usize = 8;

/// The share of all excess bad runs from which on a target is left out. Among many targets with a few runs each, some
/// have most of the bad runs by chance.
const DOMINANT_SHARE: f64 = 0.6;

/// The excess share of bad runs and the number of bad runs from which on a route may be bad.
const SUSPICIOUS_SHARE: f64 = 0.2;
const MIN_SUSPICIOUS_RUNS: f64 = 2.0;

/// The fewest runs of a target that tell whether it shares a fault with the others, and the fewest of such targets.
const MIN_TARGET_RUNS: f64 = 6.0;
const MIN_TOLD_TARGETS: usize = 5;

/// The logarithm of the odds below which a route isn't bad: noise is then 20 times likelier than a bad version.
const UNSUSPICIOUS_LOG_ODDS: f64 = -3.0;

/// The standard deviations by which the latest runs, whose comparison isn't final, have to exceed the margin.
const PROMPT_CONFIDENCE: f64 = 4.5;

/// The bad answers after which the verdict is due even if they come from one target or are few on each route. The
/// version is to be left a while after its 50th bad answer, and some are still to be reported, or pass for the noise
/// of a cold target.
const BAD_ANSWER_LIMIT: f64 = 28.0;

/// How long after that many bad answers of one target others are waited for, if none is known, and if there are some
/// with few runs; as shares of the time within which the version is to be left.
const ONLY_TARGET_SHARE: f64 = 0.14;
const FEW_RUNS_SHARE: f64 = 0.5;

/// Compares the new version with the old one over the same time, by route and pooled.
///
/// A fault of one target isn't one of the version. So the worst targets are left out where there are others with
/// enough runs.
#[derive(Clone, Copy, Debug)]
pub struct RolloutJudge {
    /// When the bad answers reached the limit that needs a verdict; none before.
    limit_reached_at: Option<Instant>,
    /// How long requests may be sent to a bad version after its 50th bad answer.
    rollback: Duration,
}

/// The runs of one route, or of all, by target.
type ByTarget = BTreeMap<usize, RouteTally>;

/// The runs of all routes, and those of each one.
#[derive(Clone, Debug, Default)]
struct Groups {
    by_route: BTreeMap<RouteKey, ByTarget>,
    pooled: ByTarget,
}

impl Groups {
    fn add(&mut self, target: usize, route: RouteKey, tally: &RouteTally) {
        let of_route = self.by_route.entry(route).or_default();
        for group in [&mut self.pooled, of_route] {
            let sum = group.entry(target).or_default();
            sum.all.add(&tally.all);
            sum.recent.add(&tally.recent);
        }
    }

    /// Adds the runs whose comparison isn't final.
    fn add_latest(&mut self, latest: &[(usize, RouteKey, Tally)]) {
        for (target, route, tally) in latest {
            let (all, recent) = (*tally, *tally);
            self.add(*target, *route, &RouteTally { all, recent });
        }
    }

    fn iter(&self) -> impl Iterator<Item = &ByTarget> {
        std::iter::once(&self.pooled).chain(self.by_route.values())
    }

    /// Returns whether a bad version is the likelier explanation by the runs of all routes or of one.
    fn are_likely_bad(&self) -> bool {
        // Any one route may be the bad one, so that the odds of a given one are lower by their number.
        #[allow(clippy::cast_precision_loss)]
        let route_log_odds = (self.by_route.len() as f64).max(1.0).ln();
        let mut routes = self.by_route.values();
        is_suspicious(&self.pooled, 0.0) || routes.any(|group| is_suspicious(group, route_log_odds))
    }
}

impl RolloutJudge {
    /// Creates the judge of one order by the users' bounds.
    #[must_use]
    pub const fn new(settings: &RolloutSettings) -> Self {
        Self {
            limit_reached_at: None,
            rollback: settings.rollback,
        }
    }

    /// Returns what the evidence says about the new version.
    pub fn judge(&mut self, now: Instant, evidence: &RolloutEvidence) -> RolloutVerdict {
        let mut compared = Groups::default();
        for (target, route, tally) in evidence.tallies() {
            compared.add(target, route, tally);
        }
        let latest_tallies = evidence.latest_tallies();
        let mut latest = Groups::default();
        latest.add_latest(&latest_tallies);
        let mut with_latest = compared.clone();
        with_latest.add_latest(&latest_tallies);
        // A fault that shows in the shift is found half a second earlier by the runs whose comparison isn't final.
        let is_bad = compared.iter().any(|group| is_bad(group, BAD_CONFIDENCE))
            || latest.iter().any(|group| is_bad(group, PROMPT_CONFIDENCE))
            || with_latest.iter().any(is_bad_recently);
        if is_bad {
            return RolloutVerdict::Bad;
        }
        let is_likely_bad = with_latest.are_likely_bad();
        let pooled = compared.pooled;
        if self.is_due(now, &pooled, is_likely_bad, evidence.new_target_count()) {
            return RolloutVerdict::Bad;
        }
        let others = without_worst(&pooled, all);
        let total = sum(&pooled, all);
        if others.runs < MIN_OTHER_RUNS && is_significant(&total, BAD_CONFIDENCE) {
            return RolloutVerdict::Open(OpenReason::OneTarget);
        }
        if total.runs < MIN_GOOD_RUNS {
            return RolloutVerdict::Open(OpenReason::ThinSample);
        }
        if is_likely_bad {
            return RolloutVerdict::Open(OpenReason::Suspicious);
        }
        let mut groups = with_latest.iter();
        if groups.any(|group| is_suspicious(group, UNSUSPICIOUS_LOG_ODDS)) {
            return RolloutVerdict::Open(OpenReason::LikelyNoise);
        }
        let tested = if others.runs < MIN_OTHER_RUNS {
            total
        } else {
            others
        };
        if tested.confidence(GOOD_MARGIN) < -GOOD_CONFIDENCE {
            RolloutVerdict::Good
        } else {
            RolloutVerdict::Open(OpenReason::ThinSample)
        }
    }

    /// Returns whether a bad version is the likelier explanation a while after the bad answers reached their limit: by
    /// the only target with enough runs, or by all.
    fn is_due(
        &mut self,
        now: Instant,
        pooled: &ByTarget,
        is_likely_bad: bool,
        new_target_count: usize,
    ) -> bool {
        let total = sum(pooled, all);
        if total.excess() < BAD_ANSWER_LIMIT {
            self.limit_reached_at = None;
            return false;
        }
        let limit_reached_at = *self.limit_reached_at.get_or_insert(now);
        let share = if new_target_count <= 1 {
            ONLY_TARGET_SHARE
        } else {
            FEW_RUNS_SHARE
        };
        let is_one_target_bad = without_worst(pooled, all).runs < MIN_OTHER_RUNS
            && is_significant(&total, BAD_CONFIDENCE);
        let period = now.saturating_duration_since(limit_reached_at);
        (is_one_target_bad || is_likely_bad) && period >= self.rollback.mul_f64(share)
    }
}

const fn all(tally: &RouteTally) -> &Tally {
    &tally.all
}

const fn recent(tally: &RouteTally) -> &Tally {
    &tally.recent
}

fn sum(group: &ByTarget, part: fn(&RouteTally) -> &Tally) -> Tally {
    let mut sum = Tally::default();
    for tally in group.values() {
        sum.add(part(tally));
    }
    sum
}

/// Returns the runs of all targets but the few that cause most of the excess of bad runs.
fn without_worst(group: &ByTarget, part: fn(&RouteTally) -> &Tally) -> Tally {
    let mut others = sum(group, part);
    let mut tallies: Vec<&Tally> = group.values().map(part).collect();
    tallies.sort_by(|left, right| right.excess().total_cmp(&left.excess()));
    for worst in &tallies[..tallies.len().div_ceil(TARGETS_PER_WORST)] {
        if worst.excess() > DOMINANT_SHARE * others.excess() {
            others.subtract(worst);
        }
    }
    others
}

fn is_significant(tally: &Tally, confidence: f64) -> bool {
    tally.bad >= MIN_BAD_RUNS && tally.confidence(MARGIN) > confidence
}

/// Returns whether the new version is bad beyond a few targets, since the order or recently.
fn is_bad(group: &ByTarget, confidence: f64) -> bool {
    let mut parts = [all, recent].into_iter();
    parts.any(|part| is_bad_in(group, part, confidence))
}

/// Returns whether the new version is bad by its recent runs, with those whose comparison isn't final.
fn is_bad_recently(group: &ByTarget) -> bool {
    is_bad_in(group, recent, PROMPT_CONFIDENCE)
}

fn is_bad_in(group: &ByTarget, part: fn(&RouteTally) -> &Tally, confidence: f64) -> bool {
    beyond_few_targets(group, part).is_some_and(|others| is_significant(&others, confidence))
}

/// Returns whether there are more bad runs beyond a few targets than a good version should have, and the odds of a bad
/// version are above these.
fn is_suspicious(group: &ByTarget, log_odds: f64) -> bool {
    let mut parts = [all, recent].into_iter();
    parts.any(|part| {
        beyond_few_targets(group, part).is_some_and(|others| {
            others.bad >= MIN_SUSPICIOUS_RUNS
                && others.excess() > SUSPICIOUS_SHARE * others.runs
                && others.log_odds > log_odds
        })
    })
}

/// Returns the runs without those of the worst targets; none if noise is the likelier explanation at most targets. Slow
/// machines under some targets can make up much of all bad runs, but half of a bad version's answers are bad at each
/// target.
fn beyond_few_targets(group: &ByTarget, part: fn(&RouteTally) -> &Tally) -> Option<Tally> {
    let tallies = group.values().map(part);
    let told: Vec<&Tally> = tallies
        .filter(|tally| tally.runs >= MIN_TARGET_RUNS)
        .collect();
    let sound_count = told.iter().filter(|tally| tally.log_odds < 0.0).count();
    let are_most_sound = told.len() >= MIN_TOLD_TARGETS && sound_count * 2 > told.len();
    (!are_most_sound).then(|| without_worst(group, part))
}
