use std::time::Duration;

use medlarspool_hop::RefusalReason;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Bounds of latency histograms in seconds: from a hop to the longest usual deadline.
const LATENCY_BUCKETS_S: [f64; 10] = [0.002, 0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// The counters of the daemon.
pub(crate) struct Metrics {
    pub(crate) answers: IntCounterVec,
    pub(crate) config_version: IntGauge,
    pub(crate) gate_wait: Histogram,
    pub(crate) latency: Histogram,
    pub(crate) log_lines_dropped: IntGauge,
    pub(crate) peers_alive: IntGauge,
    pub(crate) probes: IntCounter,
    pub(crate) refusals: IntCounterVec,
    registry: Registry,
    pub(crate) repeats: IntCounter,
    pub(crate) reports_unsent: IntCounter,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) target_connections: IntCounter,
    pub(crate) target_running: IntGauge,
    pub(crate) target_waiting: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let metric = IntCounter::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let counters = |name: &str, help: &str, label: &str| -> prometheus::Result<IntCounterVec> {
            let metric = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        let histogram = |name: &str, help: &str| -> prometheus::Result<Histogram> {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let metric = Histogram::with_opts(options)?;
            registry.register(Box::new(metric.clone()))?;
            Ok(metric)
        };
        Ok(Self {
            answers: counters(
                "medlarspool_answers_total",
                "Answers of targets passed to clients, by class of their status",
                "class",
            )?,
            config_version: gauge("medlarspool_config_version", "Version in force; 0 for none")?,
            gate_wait: histogram(
                "medlarspool_gate_wait_seconds",
                "Waits for a slot at this gate",
            )?,
            latency: histogram(
                "medlarspool_answer_seconds",
                "Time from a client's request to its answer",
            )?,
            log_lines_dropped: gauge(
                "medlarspool_log_lines_dropped",
                "Log lines dropped since the start, since nobody read them in time",
            )?,
            peers_alive: gauge(
                "medlarspool_daemons_alive",
                "Daemons heard lately, with this one",
            )?,
            probes: counter("medlarspool_probes_total", "Health checks of the target")?,
            refusals: counters(
                "medlarspool_refusals_total",
                "Requests of clients without an answer of a target, by reason",
                "reason",
            )?,
            repeats: counter(
                "medlarspool_repeats_total",
                "Requests tried again elsewhere",
            )?,
            reports_unsent: counter("medlarspool_reports_unsent_total", "Reports not sent")?,
            store_calls: counters(
                "medlarspool_store_calls_total",
                "Calls to the platform's store, by outcome",
                "outcome",
            )?,
            target_connections: counter(
                "medlarspool_target_connections_total",
                "Connections opened to the target",
            )?,
            target_running: gauge(
                "medlarspool_target_running",
                "Requests that the target runs",
            )?,
            target_waiting: gauge(
                "medlarspool_target_waiting",
                "Requests that wait for a slot",
            )?,
            registry,
        })
    }

    /// Counts an answer to a client.
    pub(crate) fn answered(&self, status: u16, took: Duration) {
        let class = match status {
            200..=299 => "2xx",
            300..=399 => "3xx",
            400..=499 => "4xx",
            _ => "5xx",
        };
        self.answers.with_label_values(&[class]).inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// Counts a request without an answer.
    pub(crate) fn failed(&self, reason: RefusalReason) {
        self.refusals.with_label_values(&[reason.as_str()]).inc();
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> prometheus::Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
