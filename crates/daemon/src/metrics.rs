use medlarspool_membership::MembershipCounters;
use medlarspool_spread::SpreadCounters;
use prometheus::{
    Encoder, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// The daemon's metrics. No label has a value for each customer, so the number of time series stays bounded.
pub(crate) struct Metrics {
    pub(crate) calls: IntCounterVec,
    pub(crate) config_applied: IntCounter,
    pub(crate) config_refused: IntCounter,
    pub(crate) config_version: IntGauge,
    pub(crate) control_bytes_received: IntCounter,
    pub(crate) control_bytes_sent: IntCounter,
    pub(crate) crash_suspects: IntGauge,
    pub(crate) datagrams_received: IntCounter,
    pub(crate) datagrams_refused: IntCounter,
    pub(crate) datagrams_sent: IntCounter,
    pub(crate) datagrams_unsent: IntCounter,
    membership_events: IntGaugeVec,
    members_living: IntGauge,
    spread_events: IntGaugeVec,
    pub(crate) store_failures: IntCounter,
    pub(crate) store_reads: IntCounter,
    pub(crate) store_writes: IntCounter,
    registry: Registry,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let calls = IntCounterVec::new(
            Opts::new(
                "medlarspool_calls_total",
                "Callers' requests by outcome, in requests",
            ),
            &["outcome"],
        )?;
        let config_version = IntGauge::new(
            "medlarspool_config_version",
            "The version of the configuration in use, in accepted changes",
        )?;
        let members_living = IntGauge::new(
            "medlarspool_members_living",
            "Members that this daemon sees as living, itself among them, in daemons",
        )?;
        let membership_events = IntGaugeVec::new(
            Opts::new(
                "medlarspool_membership_events",
                "What membership did since the start, by kind, in events",
            ),
            &["kind"],
        )?;
        let spread_events = IntGaugeVec::new(
            Opts::new(
                "medlarspool_spread_events",
                "What the spreading of changes did since the start, by kind, in events",
            ),
            &["kind"],
        )?;
        registry.register(Box::new(spread_events.clone()))?;
        registry.register(Box::new(members_living.clone()))?;
        registry.register(Box::new(membership_events.clone()))?;
        let crash_suspects = IntGauge::new(
            "medlarspool_crash_suspects",
            "Requests remembered for having run when an upstream crashed, in requests",
        )?;
        registry.register(Box::new(crash_suspects.clone()))?;
        registry.register(Box::new(calls.clone()))?;
        registry.register(Box::new(config_version.clone()))?;
        Ok(Self {
            calls,
            config_applied: counter(
                "medlarspool_config_applied_total",
                "Configurations put in use, in versions",
            )?,
            config_refused: counter(
                "medlarspool_config_refused_total",
                "Configurations refused as bad or older, in versions",
            )?,
            config_version,
            control_bytes_received: counter(
                "medlarspool_control_received_bytes_total",
                "Control datagrams received with their IP and UDP headers, in bytes",
            )?,
            control_bytes_sent: counter(
                "medlarspool_control_sent_bytes_total",
                "Control datagrams sent with their IP and UDP headers, in bytes",
            )?,
            crash_suspects,
            datagrams_received: counter(
                "medlarspool_datagrams_received_total",
                "Control datagrams received, in datagrams",
            )?,
            datagrams_refused: counter(
                "medlarspool_datagrams_refused_total",
                "Control datagrams whose seal or content was refused, in datagrams",
            )?,
            datagrams_sent: counter(
                "medlarspool_datagrams_sent_total",
                "Control datagrams sent, in datagrams",
            )?,
            datagrams_unsent: counter(
                "medlarspool_datagrams_unsent_total",
                "Control datagrams that the kernel did not take, in datagrams",
            )?,
            membership_events,
            members_living,
            spread_events,
            store_failures: counter(
                "medlarspool_store_failures_total",
                "Failed requests to the platform's store, in requests",
            )?,
            store_reads: counter(
                "medlarspool_store_reads_total",
                "Reads from the platform's store, in requests",
            )?,
            store_writes: counter(
                "medlarspool_store_writes_total",
                "Writes to the platform's store, in requests",
            )?,
            registry,
        })
    }

    /// Sets the gauges of the living members and of the membership core's counts.
    pub(crate) fn record_membership(&self, living: usize, counters: &MembershipCounters) {
        self.members_living
            .set(i64::try_from(living).unwrap_or(i64::MAX));
        let kinds = [
            ("busy_reply", counters.busy_replies),
            ("death_found", counters.deaths_found),
            ("digest_mismatch", counters.digest_mismatches),
            ("probe_failed", counters.probes_failed),
            ("probe_sent", counters.probes_sent),
            ("refutation", counters.refutations),
            ("seed_read", counters.seed_reads),
            ("seed_write", counters.seed_writes),
            ("state_page_given", counters.state_pages_given),
            ("state_page_requested", counters.state_pages_requested),
            ("suspicion_begun", counters.suspicions_begun),
            ("suspicion_refuted", counters.suspicions_refuted),
        ];
        for (kind, count) in kinds {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.membership_events.with_label_values(&[kind]).set(count);
        }
    }

    /// Sets the gauges of the spreading core's counts.
    pub(crate) fn record_spread(&self, counters: &SpreadCounters) {
        let kinds = [
            ("applied", counters.applied),
            ("conflict", counters.conflicts),
            ("damaged", counters.damaged),
            ("head_read", counters.store_reads),
            ("head_read_failed", counters.store_failures),
            ("lists_read", counters.store_fetches),
            ("pull", counters.pulls),
            ("refused", counters.refused.iter().sum()),
            ("store_behind", counters.store_behind),
            ("transfer_asked", counters.peer_fetches),
            ("transfer_busy", counters.transfers_busy),
            ("transfer_granted", counters.transfers_granted),
        ];
        for (kind, count) in kinds {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.spread_events.with_label_values(&[kind]).set(count);
        }
    }

    /// Returns all metrics in Prometheus' text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let result = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = result {
            log::warn!(error = error.to_string().as_str(); "metrics can't be encoded");
        }
        text
    }
}
