use std::time::Duration;

use crate::{
    CanaryChoice, OpenReason, RolloutProgress, RolloutSettings, RolloutStep, RolloutVerdict,
};

/// The shares of the shift in 1000ths, each taken while the evidence stays good.
const SHIFT_STEPS_PER_MILLE: [u16; 5] = [150, 300, 500, 750, RolloutPlan::WHOLE_SHARE_PER_MILLE];

/// The highest share that is taken in doubt, so that a route with few runs has enough of them for a verdict.
const MAX_TEST_SHARE_PER_MILLE: u16 = 300;

/// The share that is passed only when the slots of the new targets cover the load.
const UNCOVERED_SHARE_PER_MILLE: u16 = 500;

/// The longest time between two steps, which brings about 2 s of the shift at the usual 12 s.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two steps as a share of the duration, and that of a shift that began late.
const STEP_INTERVAL_SHARE: f64 = 0.04;
const LATE_STEP_INTERVAL_SHARE: f64 = 0.01;

/// The share of the duration from which the shift begins with good evidence.
const SHIFT_FROM: f64 = 0.55;

/// The share of the duration from which the shift begins although there are too few runs for good evidence. A
/// service with little traffic would have no verdict in time otherwise; each step brings more runs.
const THIN_SHIFT_FROM: f64 = 0.65;

/// The share of the duration from which a shift counts as late.
const LATE_FROM: f64 = 0.83;

/// The share of the duration up to which a fault may show for the first time without reaching more requests than are
/// allowed. Steps after it are needed to complete a good version by the deadline.
const LAST_FAULT_AT: f64 = 0.7;

/// The longest time from the first bad answers in the shift to the verdict: the run times of slow answers, the report
/// interval and the comparison.
const DETECTION_DELAY: Duration = Duration::from_millis(1_700);

/// How much later than the requests their runs are known.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// The part of the allowed exposure that the shift uses. The rest is for retries and for a rate that rises.
const EXPOSURE_SHARE: f64 = 0.95;

/// The share of the duration from which uncovered load doesn't hold the shift back.
const UNCOVERED_SHIFT_FROM: f64 = 0.85;

/// The share of the duration at which a rollout is completed even if a daemon hasn't reported the whole share.
const COMPLETE_AT: f64 = 0.9;

/// How long the whole share is in force before a rollout is completed without the reports of all daemons.
const APPLY_PERIOD: Duration = Duration::from_millis(300);

/// The share of the duration from which the last step doesn't wait for evidence. Daemons then have the time to apply
/// it, and less than a second passes at the whole share, where a burst can't be told from a fault.
const LAST_STEP_AT: f64 = 0.87;

/// The share of the duration at which a rollout without good evidence is rolled back, since its verdict is due.
const GIVE_UP_AT: f64 = 0.95;

/// How long after a request its run is part of the evidence: its run time, the report interval and the comparison.
/// Before the last step, runs at the share before it have been judged. At the whole share there is no old version to
/// compare with: a burst that fails both versions for 1 s condemned 99 of 100 good versions that stayed there.
const EVIDENCE_DELAY: Duration = Duration::from_secs(2);

/// The slots that cover a load, as a multiple of it.
const COVER_FACTOR: f64 = 1.3;

/// How long the same canaries are in use before the next ones are.
const TURN: Duration = Duration::from_secs(1);

/// The phases of a rollout by the order's age: observe, shift, complete.
#[derive(Clone, Copy, Debug)]
pub struct RolloutPlan {
    duration: Duration,
    settings: RolloutSettings,
}

impl RolloutPlan {
    /// The share while the verdict is open. The bound of 0.1 leaves a margin for retries and restarted entries.
    pub const OBSERVE_SHARE_PER_MILLE: u16 = 70;

    /// The share at which all requests go to the new version.
    pub const WHOLE_SHARE_PER_MILLE: u16 = 1_000;

    /// The age from which on evidence justifies no step.
    pub const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(2);

    /// Creates the plan of an order with this duration under the users' bounds.
    #[must_use]
    pub const fn new(duration: Duration, settings: RolloutSettings) -> Self {
        Self { duration, settings }
    }

    /// Returns what the decider is to do now.
    ///
    /// Old evidence justifies nothing, neither completion nor the way back: a decider that was paused doesn't know
    /// what another one did meanwhile.
    #[must_use]
    pub fn step(&self, progress: &RolloutProgress) -> RolloutStep {
        if progress.evidence_age > Self::MAX_EVIDENCE_AGE {
            return RolloutStep::Keep;
        }
        let may_shift = match progress.verdict {
            RolloutVerdict::Bad => return RolloutStep::RollBack,
            RolloutVerdict::Good => self.is_reached(progress, SHIFT_FROM),
            RolloutVerdict::Open(OpenReason::LikelyNoise | OpenReason::ThinSample) => {
                progress.canary_slots > 0 && self.is_reached(progress, THIN_SHIFT_FROM)
            }
            RolloutVerdict::Open(OpenReason::Suspicious) => self.may_test(progress),
            RolloutVerdict::Open(OpenReason::OneTarget) => false,
        };
        // More runs may turn the verdict, so that it waits for as many as possible.
        let is_likely_noise = progress.verdict == RolloutVerdict::Open(OpenReason::LikelyNoise);
        if progress.share_per_mille >= Self::WHOLE_SHARE_PER_MILLE {
            let is_doubtful = matches!(
                progress.verdict,
                RolloutVerdict::Open(OpenReason::OneTarget | OpenReason::Suspicious)
            );
            if is_doubtful {
                return self.give_up_if_due(progress);
            }
            let is_applied = progress.all_apply_whole_share && may_shift;
            let is_due =
                self.is_reached(progress, COMPLETE_AT) && progress.share_age >= APPLY_PERIOD;
            let may_complete = (is_applied || is_due) && !is_likely_noise;
            return if may_complete || self.is_reached(progress, GIVE_UP_AT) {
                RolloutStep::Complete
            } else {
                RolloutStep::Keep
            };
        }
        if may_shift {
            return self.shift(progress);
        }
        self.give_up_if_due(progress)
    }

    /// Returns whether a step that brings more runs to end the doubt is taken, which may last until the rollout is
    /// given up.
    fn may_test(&self, progress: &RolloutProgress) -> bool {
        let give_up_at = self.duration.mul_f64(GIVE_UP_AT);
        let next = next_step(progress.share_per_mille);
        self.is_reached(progress, SHIFT_FROM)
            && !self.is_reached(progress, COMPLETE_AT)
            && progress.canary_slots > 0
            && next.is_some_and(|next| {
                next <= MAX_TEST_SHARE_PER_MILLE
                    && self.is_within_exposure(progress, next, give_up_at)
            })
    }

    fn give_up_if_due(&self, progress: &RolloutProgress) -> RolloutStep {
        if self.is_reached(progress, GIVE_UP_AT) {
            RolloutStep::RollBack
        } else {
            RolloutStep::Keep
        }
    }

    fn shift(&self, progress: &RolloutProgress) -> RolloutStep {
        let interval_share = if self.is_reached(progress, LATE_FROM) {
            LATE_STEP_INTERVAL_SHARE
        } else {
            STEP_INTERVAL_SHARE
        };
        let interval = self.duration.mul_f64(interval_share).min(MAX_STEP_INTERVAL);
        let Some(next) = next_step(progress.share_per_mille) else {
            return RolloutStep::Keep;
        };
        let is_last =
            next >= Self::WHOLE_SHARE_PER_MILLE && !self.is_reached(progress, LAST_STEP_AT);
        let interval = if is_last { EVIDENCE_DELAY } else { interval };
        if progress.share_age < interval {
            return RolloutStep::Keep;
        }
        let is_covered =
            f64::from(progress.canary_slots) >= f64::from(progress.load_slots) * COVER_FACTOR;
        let is_held_back = next > UNCOVERED_SHARE_PER_MILLE
            && !is_covered
            && !self.is_reached(progress, UNCOVERED_SHIFT_FROM);
        let last_verdict_at = self.duration.mul_f64(LAST_FAULT_AT) + DETECTION_DELAY;
        if is_held_back || !self.is_within_exposure(progress, next, last_verdict_at) {
            RolloutStep::Keep
        } else {
            RolloutStep::RaiseShare(next)
        }
    }

    /// Returns whether a fault reaches no more requests than are allowed, if this is the share until the verdict.
    fn is_within_exposure(
        &self,
        progress: &RolloutProgress,
        share_per_mille: u16,
        verdict_at: Duration,
    ) -> bool {
        let Some(remaining) = verdict_at.checked_sub(progress.age) else {
            return true;
        };
        let sent = |share_per_mille: u16, period: Duration| {
            f64::from(share_per_mille) / 1_000.0 * progress.requests_per_s * period.as_secs_f64()
        };
        #[allow(clippy::cast_precision_loss)]
        let expected = progress.canary_runs as f64
            + sent(progress.share_per_mille, REPORT_DELAY)
            + sent(share_per_mille, remaining);
        let requests = progress.requests_per_s * self.duration.as_secs_f64();
        let allowed = self.settings.expose_share * requests + self.settings.expose_slack;
        expected <= allowed * EXPOSURE_SHARE
    }

    fn is_reached(&self, progress: &RolloutProgress, share: f64) -> bool {
        progress.age >= self.duration.mul_f64(share)
    }

    /// Returns how a request uses the new version at this share; `stable_count` is the number of usable targets of
    /// the old one.
    ///
    /// A retry of a request that failed at a canary is [`CanaryChoice::Avoided`] whatever this returns, as long as
    /// a stable target is usable.
    #[must_use]
    pub fn canary_choice(
        age: Duration,
        share_per_mille: u16,
        stable_count: usize,
        has_token: bool,
    ) -> CanaryChoice {
        if share_per_mille >= Self::WHOLE_SHARE_PER_MILLE {
            CanaryChoice::Preferred
        } else if !has_token {
            CanaryChoice::Avoided
        } else if share_per_mille > Self::OBSERVE_SHARE_PER_MILLE {
            CanaryChoice::Spread
        } else {
            // The load of this many stable targets, rounded to the nearest number.
            let count = (stable_count * usize::from(share_per_mille) + 500) / 1_000;
            CanaryChoice::Concentrated {
                count: count.max(1),
                turn: age.as_secs() / TURN.as_secs(),
            }
        }
    }
}

/// Returns the share that follows this one; none after the whole share.
fn next_step(share_per_mille: u16) -> Option<u16> {
    let mut steps = SHIFT_STEPS_PER_MILLE.into_iter();
    steps.find(|step| *step > share_per_mille)
}
