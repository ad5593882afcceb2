use prometheus::{
    Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, Result, core::Collector,
};

/// Bucket bounds of histograms of times, in seconds: from the time of a hop to the longest usual deadline.
const TIME_BUCKETS_S: [f64; 10] = [0.002, 0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// Creates metrics and registers them; a name that is already registered is an error.
pub(crate) struct MetricRegistry(pub(crate) Registry);

impl MetricRegistry {
    pub(crate) fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        self.register(IntCounter::new(name, help)?)
    }

    pub(crate) fn counter_vec(&self, name: &str, help: &str, label: &str) -> Result<IntCounterVec> {
        self.register(IntCounterVec::new(Opts::new(name, help), &[label])?)
    }

    pub(crate) fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.register(IntGauge::new(name, help)?)
    }

    pub(crate) fn gauge_vec(&self, name: &str, help: &str, label: &str) -> Result<IntGaugeVec> {
        self.register(IntGaugeVec::new(Opts::new(name, help), &[label])?)
    }

    pub(crate) fn float_gauge(&self, name: &str, help: &str) -> Result<Gauge> {
        self.register(Gauge::new(name, help)?)
    }

    pub(crate) fn time_histogram(&self, name: &str, help: &str) -> Result<Histogram> {
        let options = HistogramOpts::new(name, help).buckets(TIME_BUCKETS_S.to_vec());
        self.register(Histogram::with_opts(options)?)
    }

    fn register<T: Clone + Collector + 'static>(&self, metric: T) -> Result<T> {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}
