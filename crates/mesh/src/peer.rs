use std::time::{Duration, Instant};

use crate::{
    AnnouncedState, PeerRecord, RequestRate, RouteKey, RunTimes, TargetLimit, TargetLoad,
    TargetRecord, arrival_limiter::ENDLESS_WAIT, gate_queue::CALL_SHARE,
};

/// How long a reported load is used; after that, only this daemon's own requests in flight are counted.
const LOAD_MAX_AGE: Duration = Duration::from_millis(1_500);

/// A daemon, its target, and what calls to it have measured.
#[derive(Debug)]
pub struct Peer {
    /// This daemon's requests at the gate of the other one that have no reply yet.
    pub in_flight: u32,
    /// Those of the requests in flight whose responses are large.
    pub in_flight_downloads: u32,
    /// The value of `in_flight` when the load was updated.
    in_flight_at_load: u32,
    /// The target that the daemon reported last. A daemon that restarted reports none until it has found it again.
    latest_target: Option<TargetRecord>,
    last_report_at: Option<Instant>,
    load: TargetLoad,
    load_at: Option<Instant>,
    record: PeerRecord,
    run_times: RunTimes,
    target_since: Instant,
    unreachable_until: Option<Instant>,
}

impl Peer {
    /// Creates the state of a daemon that has become known, which has not reported since then.
    #[must_use]
    pub fn new(now: Instant, record: PeerRecord) -> Self {
        Self {
            in_flight: 0,
            in_flight_downloads: 0,
            in_flight_at_load: 0,
            latest_target: record.target.clone(),
            last_report_at: None,
            load: record.load,
            load_at: None,
            record,
            run_times: RunTimes::default(),
            target_since: now,
            unreachable_until: None,
        }
    }

    /// Processes a report that the daemon sent about itself, unless a newer one was received.
    ///
    /// A target that leaves doesn't become ready again in the same incarnation, also if its daemon restarted and
    /// doesn't know that it leaves.
    pub fn receive_report(&mut self, now: Instant, mut record: PeerRecord) {
        let known = (self.record.incarnation, self.record.report_number);
        if (record.incarnation, record.report_number) <= known && self.last_report_at.is_some() {
            return;
        }
        if let Some(reported) = &mut record.target {
            self.receive_target(now, reported);
        }
        self.last_report_at = Some(now);
        self.unreachable_until = None;
        self.update_load(now, record.load);
        self.record = record;
    }

    /// Compares a reported target with the latest one: a new incarnation begins with nothing known of it.
    fn receive_target(&mut self, now: Instant, reported: &mut TargetRecord) {
        match &self.latest_target {
            Some(known) if known.is_same_incarnation(reported) => {
                if !known.is_usable() && reported.is_usable() {
                    reported.state = known.state;
                }
            }
            _ => {
                self.load.limit = TargetLimit::Unknown;
                self.run_times.clear();
                self.target_since = now;
            }
        }
        self.latest_target = Some(reported.clone());
    }

    /// Records that target `id` said in a response that it leaves.
    pub fn mark_leaving(&mut self, id: &str) {
        let targets = [&mut self.record.target, &mut self.latest_target];
        for target in targets.into_iter().flatten() {
            if *target.id == *id && target.is_usable() {
                target.state = AnnouncedState::Draining;
            }
        }
    }

    /// Sets the load that the target's gate counted, which is taken from a report, a gate's reply or
    /// the own gate. A limit that the gate doesn't know, since it restarted, stays as it was.
    pub fn update_load(&mut self, now: Instant, load: TargetLoad) {
        let known_limit = self.load.limit;
        self.load = load;
        if load.limit == TargetLimit::Unknown {
            self.load.limit = known_limit;
        }
        self.load_at = Some(now);
        self.in_flight_at_load = self.in_flight;
    }

    /// Updates the load with the one in a gate's reply, if there is one.
    pub fn receive_load(&mut self, now: Instant, load: Option<TargetLoad>) {
        if let Some(load) = load {
            self.update_load(now, load);
        }
    }

    /// Adds the measured time of a run at the target.
    pub fn record_run(&mut self, route: RouteKey, run_time: Duration, assumed_run_time: Duration) {
        self.run_times.record(route, run_time, assumed_run_time);
    }

    /// Records that a call didn't reach the daemon, so that it counts as not alive for `duration` or until its
    /// next report.
    pub fn mark_unreachable(&mut self, now: Instant, duration: Duration) {
        self.unreachable_until = Some(now + duration);
    }

    /// Returns whether a report arrived within `silence_timeout` and the daemon isn't marked as unreachable.
    #[must_use]
    pub fn is_alive(&self, now: Instant, silence_timeout: Duration) -> bool {
        let reported_recently = self
            .last_report_at
            .is_some_and(|at| now.saturating_duration_since(at) < silence_timeout);
        reported_recently && self.unreachable_until.is_none_or(|until| until <= now)
    }

    /// Returns the time since the daemon's last report; none if it never reported.
    #[must_use]
    pub fn silent_for(&self, now: Instant) -> Option<Duration> {
        self.last_report_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns the daemon's last report about itself, or its stored record if it never reported.
    #[must_use]
    pub const fn record(&self) -> &PeerRecord {
        &self.record
    }

    /// Returns the target that the daemon reported last, also if it reports none since it restarted.
    #[must_use]
    pub const fn latest_target(&self) -> Option<&TargetRecord> {
        self.latest_target.as_ref()
    }

    /// Returns whether the daemon reported a target to which requests may be sent.
    #[must_use]
    pub fn offers_target(&self) -> bool {
        let target = self.record.target.as_ref();
        self.record.serving && target.is_some_and(TargetRecord::is_usable)
    }

    /// Returns the expected time of a run of the route at the target; `assumed_run_time` if none was measured.
    #[must_use]
    pub fn expected_run_time(&self, route: RouteKey, assumed_run_time: Duration) -> Duration {
        self.run_times.expected(route, assumed_run_time)
    }

    /// Returns the mean time of the route's runs at the target, if any was measured.
    #[must_use]
    pub fn mean_run_time(&self, route: RouteKey) -> Option<Duration> {
        self.run_times.mean(route)
    }

    /// Returns when the daemon's present target became known.
    #[must_use]
    pub const fn target_since(&self) -> Instant {
        self.target_since
    }

    /// Returns the share of recent runs at the target that failed by its latest load, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.load.failed_runs_of_256) / 256.0
    }

    /// Returns how long a request of this rank sent now would wait at the gate. A call of a running request doesn't
    /// wait longer than the calls before it take in their share of the time.
    ///
    /// The requests that this daemon has sent since the gate's last count are added to that count. If the count is
    /// too old, only this daemon's requests in flight are used.
    #[must_use]
    pub fn expected_wait(
        &self,
        now: Instant,
        rank: u32,
        is_call: bool,
        expected_run_time: Duration,
    ) -> Duration {
        let slots = self
            .record
            .target
            .as_ref()
            .map_or(1, |target| target.slots)
            .max(1);
        let load_age = self
            .load_at
            .map(|at| now.saturating_duration_since(at))
            .filter(|age| *age < LOAD_MAX_AGE);
        let waiting_count = match self.load.waiting_count(rank) {
            count if is_call => count.min(shared_count(self.load.waiting_calls)),
            count => count,
        };
        let sent_since = i64::from(self.in_flight) - i64::from(self.in_flight_at_load);
        let gate_count = match load_age {
            Some(_) => i64::from(self.load.running_count) + i64::from(waiting_count) + sent_since,
            None => 0,
        };
        let total = gate_count.max(i64::from(self.in_flight));
        let ahead = u32::try_from((total + 1 - i64::from(slots)).max(0)).unwrap_or(u32::MAX);
        // A report may name any numbers.
        let slot_wait = expected_run_time.saturating_mul(ahead) / slots;
        match self.load.limit {
            TargetLimit::Limited(rate) => {
                let waiting_total = self.load.waiting_count(u32::MAX);
                let passed_over = waiting_total.saturating_sub(waiting_count);
                let sent_since = u32::try_from(sent_since).unwrap_or_default();
                slot_wait.max(self.limit_wait(rate, load_age, passed_over, sent_since))
            }
            TargetLimit::Unknown | TargetLimit::Unlimited => slot_wait,
        }
    }

    /// Returns how long the response of a download requested now would take on the link of the target's machine:
    /// after the queued bytes, of which some were sent since they were counted, and after the responses to this
    /// daemon's downloads in flight. It is zero if the gate reports no times of its link.
    #[must_use]
    pub fn expected_link_time(&self, now: Instant) -> Duration {
        let queued = Duration::from_millis(self.load.queued_response_ms.into());
        let queued = self.load_at.map_or(Duration::ZERO, |at| {
            queued.saturating_sub(now.saturating_duration_since(at))
        });
        let response = Duration::from_millis(self.load.mean_response_ms.into());
        queued + response.saturating_mul(self.in_flight_downloads.saturating_add(1))
    }

    /// Returns how long a request sent now would wait for the target's limit, before `passed_over` of the requests
    /// queued at the gate and behind the `sent_since` that this daemon sent since the gate's count, whose age is
    /// `load_age`. Only the latter are used if the count is too old.
    fn limit_wait(
        &self,
        rate: RequestRate,
        load_age: Option<Duration>,
        passed_over: u32,
        sent_since: u32,
    ) -> Duration {
        let gate_wait = Duration::from_micros(self.load.wait_us.into());
        let Some(interval) = rate.interval() else {
            // The gate knows whether it lets one request arrive to see whether the limit still holds.
            return if sent_since == 0 {
                gate_wait
            } else {
                ENDLESS_WAIT
            };
        };
        let gate_wait = load_age.map_or(Duration::ZERO, |age| gate_wait.saturating_sub(age));
        gate_wait
            .saturating_sub(interval.saturating_mul(passed_over))
            .saturating_add(interval.saturating_mul(sent_since))
    }

    /// Returns what the gate last knew of the limit that its target names.
    #[must_use]
    pub const fn limit(&self) -> TargetLimit {
        self.load.limit
    }
}

/// Returns how many requests of all kinds start while this many calls start in their share of the time.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn shared_count(call_count: u32) -> u32 {
    (f64::from(call_count) / CALL_SHARE) as u32
}
