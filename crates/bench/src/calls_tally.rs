use std::time::Instant;

use medlarspool_calls::Idempotency;
use medlarspool_types::Verdict;

use crate::{CallsReport, CallsScenario, calls_request::Request, calls_upstream::CallsUpstream};

/// Counts the outcomes of the requests that arrive in the measured time, from `counted_from` up to but not
/// including `counted_until`.
#[derive(Debug)]
pub(crate) struct CallsTally {
    counted_from: Instant,
    report: CallsReport,
    service_count: usize,
    counted_until: Instant,
}

impl CallsTally {
    pub(crate) fn new(scenario: &CallsScenario, start: Instant) -> Self {
        Self {
            counted_from: start + scenario.counted_from(),
            report: CallsReport::default(),
            service_count: scenario.deployment.services.len(),
            counted_until: start + scenario.traffic_duration,
        }
    }

    pub(crate) fn record_arrival(&mut self, request: &Request) {
        if self.is_counted(request.arrived_at) {
            self.report.arrived += 1;
            self.report.quiet_arrived += u64::from(request.customer != 0);
        }
    }

    pub(crate) fn record_attempt(&mut self, request: &Request, is_far: bool) {
        if self.is_counted(request.arrived_at) {
            self.report.attempts += 1;
            self.report.far_attempts += u64::from(is_far);
        }
    }

    pub(crate) fn record_answer(&mut self, now: Instant, request: &Request) {
        if self.is_counted(now) {
            self.report.completed += 1;
        }
        if self.is_counted(request.arrived_at) {
            self.report.answered += 1;
            self.report.quiet_answered += u64::from(request.customer != 0);
            let latency_us = (now - request.arrived_at).as_micros();
            let latency_us = u64::try_from(latency_us).unwrap_or(u64::MAX);
            self.report.latency_us.saturating_record(latency_us);
        }
    }

    pub(crate) fn record_failure(&mut self, request: &Request, verdict: Verdict) {
        if !self.is_counted(request.arrived_at) {
            return;
        }
        let not_run = verdict == Verdict::NotRun && !request.may_have_run;
        self.report.false_not_run += u64::from(not_run && request.run_count > 0);
        self.report.not_run += u64::from(not_run);
        self.report.may_have_run += u64::from(!not_run);
    }

    /// Adds the counts that are known only at the end, the capacity and the non-idempotent requests that ran more
    /// than once, and returns the report.
    pub(crate) fn into_report(
        mut self,
        upstreams: &[CallsUpstream],
        requests: &[Request],
    ) -> CallsReport {
        for service in 0..self.service_count {
            let upstreams_of_service = upstreams
                .iter()
                .filter(|upstream| upstream.service() == service);
            let possible_runs: f64 = upstreams_of_service
                .map(|upstream| upstream.runs_between(self.counted_from, self.counted_until))
                .sum();
            let arrived = requests.iter().filter(|request| {
                request.service == service && self.is_counted(request.arrived_at)
            });
            let arrived = u32::try_from(arrived.count()).unwrap_or(u32::MAX);
            self.report.capacity += possible_runs.min(f64::from(arrived));
        }
        let run_twice = requests.iter().filter(|request| {
            request.idempotency == Idempotency::NonIdempotent && request.run_count > 1
        });
        self.report.double_runs = run_twice.count() as u64;
        self.report
    }

    fn is_counted(&self, at: Instant) -> bool {
        at >= self.counted_from && at < self.counted_until
    }
}
