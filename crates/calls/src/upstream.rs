use std::time::{Duration, Instant};

use medlarspool_types::InstanceId;

use crate::{
    AnnouncedUpstream, CallOutcome, CallSettings, Ejection, LoadReport, ServiceTime, UpstreamStatus,
};

/// The share of calls that an upstream gets when it has just come up.
const RAMP_START: f64 = 0.1;

/// The age at which a measured time is taken for unknown.
const MEASURE_AGAIN: Duration = Duration::from_secs(10);

/// What an entry knows of one upstream: what it was told and what it measured itself.
#[derive(Clone, Debug)]
pub struct Upstream {
    added: Instant,
    announced: AnnouncedUpstream,
    call_time: ServiceTime,
    ejection: Ejection,
    is_local: bool,
    outstanding: u32,
    quiet_since: Instant,
    report: LoadReport,
    reported: Instant,
    sent_since_report: u32,
    standing: UpstreamStatus,
}

impl Upstream {
    /// Takes in an upstream that is announced for the first time.
    #[must_use]
    pub fn new(now: Instant, announced: AnnouncedUpstream, is_local: bool) -> Self {
        Self {
            added: now,
            announced,
            call_time: ServiceTime::default(),
            ejection: Ejection::default(),
            is_local,
            outstanding: 0,
            quiet_since: now,
            report: LoadReport::default(),
            reported: now,
            sent_since_report: 0,
            standing: UpstreamStatus::default(),
        }
    }

    /// Returns what was announced.
    #[must_use]
    pub const fn announced(&self) -> &AnnouncedUpstream {
        &self.announced
    }

    /// Returns the instance.
    #[must_use]
    pub const fn instance(&self) -> &InstanceId {
        &self.announced.instance
    }

    /// Returns whether it stands in the entry's availability zone.
    #[must_use]
    pub const fn is_local(&self) -> bool {
        self.is_local
    }

    /// Returns the number of this entry's calls that it has not answered.
    #[must_use]
    pub const fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns whether it is ejected on own evidence.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.is_ejected(now)
    }

    /// Returns whether it may be given a call.
    #[must_use]
    pub fn is_eligible(&self, now: Instant) -> bool {
        self.standing == UpstreamStatus::Alive
            && !self.ejection.is_ejected(now)
            && (self.outstanding == 0 || !self.ejection.is_on_trial(now))
    }

    /// Returns the time until an answer that a call given now may expect.
    ///
    /// It is the largest of what the reported load implies, what own calls took, and how long own
    /// calls have waited for any sign of life, so that neither a false report nor a stale one is
    /// believed alone. `typical` is the service's mean.
    #[must_use]
    pub fn expected_latency(
        &self,
        now: Instant,
        settings: &CallSettings,
        typical: Duration,
    ) -> Duration {
        let age = now.saturating_duration_since(self.reported).as_secs_f64();
        let fresh = (-age / settings.load_half_life.as_secs_f64()).exp2();
        let reported = f64::from(self.report.slots_in_use + self.report.queued) * fresh;
        let backlog = (reported + f64::from(self.sent_since_report)).max(self.outstanding.into());
        let slots = f64::from(self.announced.slots.max(1));
        let turns = 1.0 + ((backlog + 1.0 - slots) / slots).max(0.0);
        let run = match self.report.run_time {
            Duration::ZERO => typical,
            run_time => run_time,
        };
        let told = run.mul_f64(turns);
        let measured = self.measured(now, settings, typical);
        let expected = told.max(measured).max(self.silence(now));
        expected.div_f64(self.ramp(now, settings))
    }

    /// Returns whether no call has lately shown how fast it is.
    #[must_use]
    pub fn is_unmeasured(&self, now: Instant) -> bool {
        self.call_time.is_older_than(now, MEASURE_AGAIN)
    }

    /// Counts a call given to it.
    pub fn send(&mut self, now: Instant) {
        if self.outstanding == 0 {
            self.quiet_since = now;
        }
        self.outstanding += 1;
        self.sent_since_report += 1;
    }

    /// Takes in how a call ended and the load report that came with it.
    pub fn finish(
        &mut self,
        now: Instant,
        outcome: CallOutcome,
        report: Option<LoadReport>,
        settings: &CallSettings,
        may_eject: bool,
    ) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if report.is_some() {
            self.quiet_since = now;
        }
        if let Some(report) = report {
            self.report = report;
            self.reported = now;
            self.sent_since_report = 0;
        }
        match outcome {
            CallOutcome::Answered { elapsed } | CallOutcome::TimedOut { elapsed } => {
                self.call_time.record(now, elapsed);
            }
            _ => {}
        }
        if outcome.is_failure() {
            self.ejection.record_failure(now, settings, may_eject);
        } else if matches!(outcome, CallOutcome::Answered { .. }) {
            self.ejection.record_success();
        }
    }

    pub(crate) fn announce(&mut self, announced: AnnouncedUpstream) {
        self.announced = announced;
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.standing == UpstreamStatus::Leaving
    }

    pub(crate) fn set_status(&mut self, standing: UpstreamStatus) {
        self.standing = standing;
    }

    /// The time since the last sign of life, if calls wait for one: the next answer takes no less.
    fn silence(&self, now: Instant) -> Duration {
        if self.outstanding == 0 {
            return Duration::ZERO;
        }
        now.saturating_duration_since(self.quiet_since)
    }

    /// The mean of own calls; without new ones it tends to the service's mean, so that an upstream
    /// that was slow once is tried again.
    fn measured(&self, now: Instant, settings: &CallSettings, typical: Duration) -> Duration {
        let mean = self.call_time.mean();
        let half_life = settings.load_half_life;
        let excess = self
            .call_time
            .decayed(now, half_life)
            .saturating_sub(typical.min(mean));
        mean.min(typical) + excess
    }

    fn ramp(&self, now: Instant, settings: &CallSettings) -> f64 {
        if settings.slow_start.is_zero() {
            return 1.0;
        }
        let up = now.saturating_duration_since(self.added).as_secs_f64();
        (up / settings.slow_start.as_secs_f64()).clamp(RAMP_START, 1.0)
    }
}
