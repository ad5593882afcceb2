use std::time::{Duration, Instant};

use medlarspool_mesh::RetrySafety;

use crate::stop_bounds::StopBounds;

/// The part of the time for a planned stop that is reserved for the exit of the process.
const EXIT_TIME: Duration = Duration::from_millis(800);

/// The most of a short time for a planned stop that is reserved for the exit of the process.
const MAX_EXIT_SHARE: f64 = 0.15;

/// The share of the time for a planned stop in which requests start that are only expected to end in time. Later ones
/// have to be almost sure to.
const EXPECTING_SHARE: f64 = 0.5;

/// The longest time in which such requests start: longer than the platform needs to stop sending clients.
const MAX_EXPECTING_TIME: Duration = Duration::from_secs(3);

/// How many times the mean run time a run rarely exceeds.
const USUAL_RUN_FACTOR: f64 = 2.0;

/// How many times the mean run time a run almost never exceeds.
const LONGEST_RUN_FACTOR: f64 = 8.0;

/// How long after its deadline, or after the end of its run, a request is answered at the latest.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// The times of a planned stop, from which follows whether a request would still be answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopTimes {
    expecting_time: Duration,
    /// How long the stop takes at the most.
    pub(crate) max_time: Duration,
    started_at: Instant,
}

impl StopTimes {
    /// Plans a stop that may take `grace` until the process is killed.
    pub(crate) fn new(started_at: Instant, grace: Duration) -> Self {
        let exit_time = EXIT_TIME.min(grace.mul_f64(MAX_EXIT_SHARE));
        Self {
            expecting_time: MAX_EXPECTING_TIME.min(grace.mul_f64(EXPECTING_SHARE)),
            max_time: grace.saturating_sub(exit_time),
            started_at,
        }
    }

    /// Returns until when a request may start at a target, so that it is answered before the process ends.
    ///
    /// With a deadline before that end it always is. Otherwise its run time decides: `mean_run_time` if runs of its route
    /// were measured, or else `assumed_run_time`.
    pub(crate) fn latest_start(
        &self,
        deadline: Instant,
        mean_run_time: Option<Duration>,
        assumed_run_time: Duration,
    ) -> Instant {
        if self.is_answered_in_time(deadline) {
            return deadline;
        }
        let run_time = mean_run_time.unwrap_or(assumed_run_time);
        let expected = self.start_time(run_time, USUAL_RUN_FACTOR);
        let expected = expected.min(self.expecting_time);
        let almost_sure = mean_run_time.map(|mean| self.start_time(mean, LONGEST_RUN_FACTOR));
        self.started_at + almost_sure.map_or(expected, |it| it.max(expected))
    }

    /// Returns when a request may run that this daemon received.
    ///
    /// An idempotent request of a route whose runs were measured need only be expected to end in time. Its target gets a
    /// deadline before the end of the stop, so that a longer run ends with the target's answer, too, and can be repeated.
    ///
    /// Who sent the request doesn't count. A call of the own target is worth more than its refusal, since the run that
    /// makes it goes on and fails without it; but it can't be told from the request of a client on the instance.
    pub(crate) fn bounds(
        &self,
        deadline: Instant,
        retry_safety: RetrySafety,
        mean_run_time: Option<Duration>,
        assumed_run_time: Duration,
    ) -> StopBounds {
        match (retry_safety, mean_run_time) {
            (RetrySafety::Idempotent, Some(run_time)) if !self.is_answered_in_time(deadline) => {
                StopBounds {
                    deadline: self.started_at + self.max_time.saturating_sub(ANSWER_MARGIN),
                    latest_start: self.started_at + self.start_time(run_time, USUAL_RUN_FACTOR),
                }
            }
            _ => StopBounds {
                deadline,
                latest_start: self.latest_start(deadline, mean_run_time, assumed_run_time),
            },
        }
    }

    fn is_answered_in_time(&self, deadline: Instant) -> bool {
        deadline + ANSWER_MARGIN <= self.started_at + self.max_time
    }

    /// Returns how long after the begin of the stop a run may start that takes up to `factor` times `run_time`.
    fn start_time(&self, run_time: Duration, factor: f64) -> Duration {
        let answer_time = run_time.mul_f64(factor) + ANSWER_MARGIN;
        self.max_time.saturating_sub(answer_time)
    }
}
