use std::time::{Duration, Instant};

use crate::{GateRequest, gate_queue::CALL_SHARE, start_group::StartGroup};

/// The time in which the weight of a start falls to 1/e, as a multiple of the mean time of the runs. In less, the requests
/// that fill the slots once would count as a load that goes on.
const FADE_RUNS: u32 = 2;

/// The highest share that requests ahead are taken to use. What remains is used by others now and then, as the shares
/// vary.
const MAX_SHARE: f64 = 0.95;

/// The shortest time in which the weight of a start falls to 1/e. With 500 ms the shares followed a burst too late where
/// runs take 100 ms.
const MIN_FADE_TIME: Duration = Duration::from_millis(250);

/// The weight in seconds from which on a group is forgotten.
const MIN_TIME_S: f64 = 1e-12;

/// Which requests used the slots of a target lately, from which follows how many will go ahead of a request that waits.
#[derive(Clone, Debug)]
pub(crate) struct RecentStarts {
    /// The time in which the weight of a start falls to 1/e.
    fade_time: Duration,
    groups: Vec<StartGroup>,
    updated_at: Option<Instant>,
}

impl Default for RecentStarts {
    fn default() -> Self {
        Self {
            fade_time: MIN_FADE_TIME,
            groups: Vec::new(),
            updated_at: None,
        }
    }
}

impl RecentStarts {
    /// Counts a request that starts now, beside runs that are expected to take `mean_run_time`.
    pub(crate) fn record(&mut self, now: Instant, request: &GateRequest, mean_run_time: Duration) {
        let fading = self.fading(now);
        self.updated_at = Some(now);
        self.fade_time = MIN_FADE_TIME.max(mean_run_time.saturating_mul(FADE_RUNS));
        for group in &mut self.groups {
            group.time_s *= fading;
        }
        self.groups.retain(|group| group.time_s > MIN_TIME_S);
        let is_late = request.is_late(now);
        let time_s = request.expected_run_time.as_secs_f64();
        let is_alike = |group: &&mut StartGroup| {
            group.rank == request.rank
                && group.is_late == is_late
                && group.is_call == request.is_call
        };
        match self.groups.iter_mut().find(is_alike) {
            Some(group) => group.time_s += time_s,
            None => self.groups.push(StartGroup {
                is_call: request.is_call,
                is_late,
                rank: request.rank,
                time_s,
            }),
        }
    }

    /// Returns the share of the time of `slots` slots that requests which go ahead of `request` used lately, whenever they
    /// arrive.
    ///
    /// Where accounts share the time of a rank, only more urgent ranks go ahead whenever they arrive. Beside a call, others
    /// use at most what [`CALL_SHARE`] leaves.
    pub(crate) fn share_ahead(&self, now: Instant, slots: u32, request: &GateRequest) -> f64 {
        let is_late = request.is_late(now) && request.account.is_none();
        let (mut calls_ahead_s, mut others_ahead_s, mut total_s) = (0.0, 0.0, 0.0);
        for group in &self.groups {
            total_s += group.time_s;
            let is_ahead = group.rank < request.rank
                || (group.rank == request.rank && is_late && !group.is_late);
            if is_ahead && group.is_call {
                calls_ahead_s += group.time_s;
            } else if is_ahead {
                others_ahead_s += group.time_s;
            }
        }
        let fading = self.fading(now);
        let slots_s = self.fade_time.as_secs_f64() * f64::from(slots.max(1));
        let weight_of_all_s = slots_s.max(total_s * fading);
        let calls_ahead = calls_ahead_s * fading / weight_of_all_s;
        let mut others_ahead = others_ahead_s * fading / weight_of_all_s;
        if request.is_call {
            others_ahead = others_ahead.min(1.0 - CALL_SHARE);
        }
        (calls_ahead + others_ahead).min(MAX_SHARE)
    }

    /// Returns the factor by which the weights have faded since the latest start.
    fn fading(&self, now: Instant) -> f64 {
        self.updated_at.map_or(1.0, |at| {
            let elapsed = now.saturating_duration_since(at);
            (-elapsed.div_duration_f64(self.fade_time)).exp()
        })
    }
}
