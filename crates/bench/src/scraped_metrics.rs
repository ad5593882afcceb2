use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::administration_page::read_administration_page;

/// How long a daemon may take to answer with its metrics.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(10);

/// One daemon's metrics, read once. For a metric with labels, the value is the sum over all label sets.
#[derive(Clone, Debug, Default)]
pub struct ScrapedMetrics {
    values: BTreeMap<String, f64>,
}

impl ScrapedMetrics {
    /// Reads the metrics of the daemon at an administration address.
    ///
    /// # Errors
    ///
    /// Returns why they can't be read.
    pub fn read(administration_address: SocketAddr) -> Result<Self, String> {
        Self::read_within(administration_address, SCRAPE_TIMEOUT)
    }

    /// Reads the metrics with a timeout.
    ///
    /// # Errors
    ///
    /// Returns why they can't be read.
    pub fn read_within(
        administration_address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, String> {
        let text = read_administration_page(administration_address, "/metrics", Some(timeout))?;
        Ok(Self::parse(&text))
    }

    /// Returns a metric's value, or 0 if the daemon does not report it.
    #[must_use]
    pub fn value(&self, name: &str) -> f64 {
        self.values.get(name).copied().unwrap_or(0.0)
    }

    /// Returns the bytes of control traffic received and sent, in datagrams and in transfers.
    #[must_use]
    pub fn control_bytes(&self) -> f64 {
        self.value("medlarspool_control_received_bytes_total")
            + self.value("medlarspool_control_sent_bytes_total")
    }

    fn parse(text: &str) -> Self {
        let mut values = BTreeMap::new();
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((series, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let name = series.split('{').next().unwrap_or(series);
            *values.entry(name.to_owned()).or_default() += value.parse().unwrap_or(0.0);
        }
        Self { values }
    }
}
