use std::time::{Duration, Instant};

use medlarspool_types::InstanceId;

use crate::{
    AnnouncedUpstream, CallOutcome, CallSettings, DecayingMean, Ejection, LoadReport,
    UpstreamStatus,
};

/// The slow-start share of an upstream that was just announced; see [`Upstream::slow_start_share`].
const SLOW_START_MIN_SHARE: f64 = 0.1;

/// The age beyond which a measured latency counts as unknown.
const MAX_MEASUREMENT_AGE: Duration = Duration::from_secs(10);

/// What an entry knows of one upstream, from its gate's reports and from its own measurements.
#[derive(Clone, Debug)]
pub struct Upstream {
    added_at: Instant,
    announced: AnnouncedUpstream,
    call_latency: DecayingMean,
    ejection: Ejection,
    is_local: bool,
    outstanding: u32,
    /// The start of the time without a reply: when the last report arrived or, if later, when a call was
    /// sent while none was outstanding.
    quiet_since: Instant,
    report: LoadReport,
    reported_at: Instant,
    sent_since_report: u32,
    status: UpstreamStatus,
}

impl Upstream {
    /// Adds an upstream that was announced for the first time.
    #[must_use]
    pub fn new(now: Instant, announced: AnnouncedUpstream, is_local: bool) -> Self {
        Self {
            added_at: now,
            announced,
            call_latency: DecayingMean::default(),
            ejection: Ejection::default(),
            is_local,
            outstanding: 0,
            quiet_since: now,
            report: LoadReport::default(),
            reported_at: now,
            sent_since_report: 0,
            status: UpstreamStatus::default(),
        }
    }

    /// Returns its latest announcement.
    #[must_use]
    pub const fn announced(&self) -> &AnnouncedUpstream {
        &self.announced
    }

    /// Returns the instance that it runs on.
    #[must_use]
    pub const fn instance(&self) -> &InstanceId {
        &self.announced.instance
    }

    /// Returns whether it runs in the entry's availability zone.
    #[must_use]
    pub const fn is_local(&self) -> bool {
        self.is_local
    }

    /// Returns the number of this entry's calls that it has not answered.
    #[must_use]
    pub const fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns whether it is ejected because of failures that this entry saw.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.is_ejected(now)
    }

    /// Returns whether it may be given a call now; on trial it gets one at a time.
    #[must_use]
    pub fn is_eligible(&self, now: Instant) -> bool {
        self.status == UpstreamStatus::Alive
            && !self.ejection.is_ejected(now)
            && (self.outstanding == 0 || !self.ejection.is_on_trial(now))
    }

    /// Returns the expected time until the answer to a call sent now.
    ///
    /// It is the largest of three estimates: what the reported load implies, what this entry's own
    /// calls took, and how long its outstanding calls have been without any reply. So neither a
    /// false nor a stale report is trusted alone. Slow start makes it longer. `service_mean` is the mean
    /// latency of the service's calls.
    #[must_use]
    pub fn expected_latency(
        &self,
        now: Instant,
        settings: &CallSettings,
        service_mean: Duration,
    ) -> Duration {
        let age = now
            .saturating_duration_since(self.reported_at)
            .as_secs_f64();
        let freshness = (-age / settings.load_half_life.as_secs_f64()).exp2();
        let reported_load = f64::from(self.report.slots_in_use + self.report.queued) * freshness;
        let backlog =
            (reported_load + f64::from(self.sent_since_report)).max(self.outstanding.into());
        let slots = f64::from(self.announced.slots.max(1));
        let rounds = 1.0 + ((backlog + 1.0 - slots) / slots).max(0.0);
        let run_time = match self.report.mean_run_time {
            Duration::ZERO => service_mean,
            run_time => run_time,
        };
        let reported_latency = run_time.mul_f64(rounds);
        let measured_latency = self.measured_latency(now, settings, service_mean);
        let expected_latency = reported_latency
            .max(measured_latency)
            .max(self.quiet_for(now));
        expected_latency.div_f64(self.slow_start_share(now, settings))
    }

    /// Returns whether this entry has not measured its latency by a call within
    /// `MAX_MEASUREMENT_AGE`.
    #[must_use]
    pub fn is_unmeasured(&self, now: Instant) -> bool {
        self.call_latency.is_older_than(now, MAX_MEASUREMENT_AGE)
    }

    /// Counts a call that is sent to it.
    pub fn send(&mut self, now: Instant) {
        if self.outstanding == 0 {
            self.quiet_since = now;
        }
        self.outstanding += 1;
        self.sent_since_report += 1;
    }

    /// Records how a call ended and the load report that came with it, if any.
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
            self.reported_at = now;
            self.sent_since_report = 0;
        }
        match outcome {
            CallOutcome::Answered { elapsed } | CallOutcome::TimedOut { elapsed } => {
                self.call_latency.record(now, elapsed);
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
        self.status == UpstreamStatus::Leaving
    }

    pub(crate) fn set_status(&mut self, status: UpstreamStatus) {
        self.status = status;
    }

    /// Returns how long the outstanding calls have been without a reply that carries a load report, or
    /// zero if none is outstanding. A new call is not expected to be answered in less.
    fn quiet_for(&self, now: Instant) -> Duration {
        if self.outstanding == 0 {
            return Duration::ZERO;
        }
        now.saturating_duration_since(self.quiet_since)
    }

    /// Returns the mean latency of this entry's own calls. Without new calls a larger mean decays to
    /// the service's mean, so that an upstream that was slow once gets calls again.
    fn measured_latency(
        &self,
        now: Instant,
        settings: &CallSettings,
        service_mean: Duration,
    ) -> Duration {
        let mean = self.call_latency.mean();
        let half_life = settings.load_half_life;
        let excess = self
            .call_latency
            .decayed(now, half_life)
            .saturating_sub(service_mean.min(mean));
        mean.min(service_mean) + excess
    }

    /// Returns the share of its normal rate of calls that the upstream should get at its present
    /// age; its expected latency is divided by it. The share is at least [`SLOW_START_MIN_SHARE`]
    /// and grows linearly to 1 during slow start.
    fn slow_start_share(&self, now: Instant, settings: &CallSettings) -> f64 {
        if settings.slow_start.is_zero() {
            return 1.0;
        }
        let uptime = now.saturating_duration_since(self.added_at).as_secs_f64();
        (uptime / settings.slow_start.as_secs_f64()).clamp(SLOW_START_MIN_SHARE, 1.0)
    }
}
