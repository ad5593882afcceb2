use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// The daemon's counters; none has a label that grows with customers.
pub(crate) struct Metrics {
    pub(crate) calls: IntCounterVec,
    pub(crate) config_applied: IntCounter,
    pub(crate) config_refused: IntCounter,
    pub(crate) config_version: IntGauge,
    pub(crate) control_bytes_received: IntCounter,
    pub(crate) control_bytes_sent: IntCounter,
    pub(crate) datagrams_received: IntCounter,
    pub(crate) datagrams_refused: IntCounter,
    pub(crate) datagrams_sent: IntCounter,
    pub(crate) datagrams_unsent: IntCounter,
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

    /// Returns all metrics in Prometheus' text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            log::warn!(error = error.to_string().as_str(); "metrics can't be encoded");
        }
        text
    }
}
