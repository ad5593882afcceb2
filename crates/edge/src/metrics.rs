use std::time::Duration;

use medlarspool_hop::RefusalReason;
use prometheus::{
    Gauge, Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry, TextEncoder,
};

use crate::{metric_registry::MetricRegistry, rollout_metrics::RolloutMetrics};

/// The metrics that operators read; the help texts in [`Metrics::new`] say what each one measures.
pub(crate) struct Metrics {
    pub(crate) answers: IntCounterVec,
    pub(crate) config_age: IntGauge,
    pub(crate) config_refused: IntGauge,
    pub(crate) config_version: IntGauge,
    pub(crate) confirmation_age: Gauge,
    pub(crate) crash_suspects: IntGauge,
    pub(crate) daemons: IntGaugeVec,
    pub(crate) gate_wait: Histogram,
    pub(crate) latency: Histogram,
    pub(crate) log_lines_dropped: IntGauge,
    pub(crate) loop_delay: Histogram,
    pub(crate) panics: IntGauge,
    pub(crate) probes: IntCounter,
    pub(crate) quota_credits: IntCounter,
    pub(crate) quota_partitions: IntGauge,
    pub(crate) quota_questions: IntCounter,
    pub(crate) refusals: IntCounterVec,
    registry: Registry,
    pub(crate) retry_budget_left: IntGauge,
    pub(crate) retries: IntCounter,
    pub(crate) reports_unsent: IntCounter,
    pub(crate) rollouts: RolloutMetrics,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) store_confirmed_age: IntGauge,
    pub(crate) store_era: IntGauge,
    pub(crate) target_connections: IntCounter,
    pub(crate) target_failing: Gauge,
    pub(crate) target_limit: Gauge,
    pub(crate) target_requests: IntCounter,
    pub(crate) target_running: IntGauge,
    pub(crate) target_waiting: IntGauge,
    pub(crate) targets: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name or a name is not valid.
    #[allow(clippy::too_many_lines)] // One entry for each metric.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = MetricRegistry(Registry::new());
        Ok(Self {
            answers: registry.counter_vec(
                "medlarspool_answers_total",
                "Answers of targets passed to clients, by class of their status",
                "class",
            )?,
            config_age: registry.gauge(
                "medlarspool_config_age_seconds",
                "Seconds since the version in force was put in force; 0 without one",
            )?,
            config_refused: registry.gauge(
                "medlarspool_config_refused",
                "Whether the latest version is refused since this daemon can't decode it: 1 if so, or else 0",
            )?,
            config_version: registry.gauge("medlarspool_config_version", "Version in force; 0 for none")?,
            confirmation_age: registry.float_gauge(
                "medlarspool_confirmation_age_seconds",
                "Seconds since the moment as of which the store said that the version in force is the newest one; -1 if never",
            )?,
            crash_suspects: registry.gauge(
                "medlarspool_crash_suspects",
                "Requests remembered to have run when a target crashed",
            )?,
            daemons: registry.gauge_vec(
                "medlarspool_daemons",
                "Daemons known, by state: alive (this one too), silent, or unheard since the start",
                "state",
            )?,
            gate_wait: registry.time_histogram(
                "medlarspool_gate_wait_seconds",
                "Waits for a slot at this gate",
            )?,
            latency: registry.time_histogram(
                "medlarspool_answer_seconds",
                "Time from a client's request to its answer",
            )?,
            log_lines_dropped: registry.gauge(
                "medlarspool_log_lines_dropped",
                "Log lines dropped since the start, since nobody read them in time",
            )?,
            loop_delay: registry.time_histogram(
                "medlarspool_loop_delay_seconds",
                "How late the half-second tick of the event loop came",
            )?,
            panics: registry.gauge(
                "medlarspool_panics",
                "Panics since the start, each of which ended one request or one turn of a background task",
            )?,
            probes: registry.counter("medlarspool_probes_total", "Health checks of the target")?,
            quota_credits: registry.counter(
                "medlarspool_quota_credits_total",
                "Credits of accounts with limits that holders granted to this daemon",
            )?,
            quota_partitions: registry.gauge(
                "medlarspool_quota_partitions",
                "Quota partitions that this daemon holds",
            )?,
            quota_questions: registry.counter(
                "medlarspool_quota_questions_total",
                "Questions for credits sent to other daemons",
            )?,
            refusals: registry.counter_vec(
                "medlarspool_refusals_total",
                "Requests of clients without an answer of a target, by reason",
                "reason",
            )?,
            retry_budget_left: registry.gauge(
                "medlarspool_repeat_budget_left",
                "Repeats left in this daemon's share of the budget, for the service with the fewest",
            )?,
            retries: registry.counter(
                "medlarspool_repeats_total",
                "Requests tried again elsewhere",
            )?,
            reports_unsent: registry.counter("medlarspool_reports_unsent_total", "Reports not sent")?,
            rollouts: RolloutMetrics::new(&registry)?,
            store_calls: registry.counter_vec(
                "medlarspool_store_calls_total",
                "Calls to the platform's store, by outcome",
                "outcome",
            )?,
            store_confirmed_age: registry.gauge(
                "medlarspool_store_confirmed_age_seconds",
                "Seconds since the store last answered this daemon's call for the configuration; -1 if it never did",
            )?,
            store_era: registry.gauge(
                "medlarspool_store_era",
                "How often the platform's store came back from an older copy; -1 if it doesn't say",
            )?,
            target_connections: registry.counter(
                "medlarspool_target_connections_total",
                "Connections opened to the target",
            )?,
            target_failing: registry.float_gauge(
                "medlarspool_target_failing",
                "Share of the latest runs at this target that failed, from 0 to 1",
            )?,
            target_limit: registry.float_gauge(
                "medlarspool_target_limit",
                "Requests per second that the target takes by its latest response; -1 if it named no limit",
            )?,
            target_requests: registry.counter(
                "medlarspool_target_requests_total",
                "Requests sent to the target",
            )?,
            target_running: registry.gauge(
                "medlarspool_target_running",
                "Requests that the target runs",
            )?,
            target_waiting: registry.gauge(
                "medlarspool_target_waiting",
                "Requests that wait for a slot",
            )?,
            targets: registry.gauge_vec(
                "medlarspool_targets",
                "Targets known, by state: usable, unusable (leaving or down), silent (daemon unheard)",
                "state",
            )?,
            registry: registry.0,
        })
    }

    /// Records a target's response that was passed to a client.
    pub(crate) fn record_response(&self, status: u16, response_time: Duration) {
        let class = match status {
            200..=299 => "2xx",
            300..=399 => "3xx",
            400..=499 => "4xx",
            _ => "5xx",
        };
        self.answers.with_label_values(&[class]).inc();
        self.latency.observe(response_time.as_secs_f64());
    }

    /// Records a client's request that got no response of a target.
    pub(crate) fn record_refusal(&self, reason: RefusalReason) {
        self.refusals.with_label_values(&[reason.as_str()]).inc();
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn render(&self) -> prometheus::Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
