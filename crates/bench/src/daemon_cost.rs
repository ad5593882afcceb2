use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{ProcessFleet, ProcessSample, SampleLists, ScrapedMetrics};

/// The number of accepted changes per day that is expected in two years.
const CHANGES_PER_DAY: u32 = 12_000;

/// The duration of one measured phase.
const PHASE_DURATION: Duration = Duration::from_secs(15);

/// The longest wait until all daemons of a fleet hold a version.
const SPREAD_TIMEOUT: Duration = Duration::from_mins(1);

/// The resources that one daemon uses in one phase, on average over the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct DaemonCost {
    /// Control bytes a second in both directions, including headers.
    pub control_bytes_per_s: f64,
    /// Processor time as a share of one core, from 0 to 1.
    pub core_share: f64,
    /// The largest resident memory of any daemon in bytes; not an average.
    pub resident_bytes: f64,
    /// Store requests a second of the whole fleet, reads and writes.
    pub store_requests_per_s: f64,
}

impl DaemonCost {
    /// Measures a fleet without changes.
    ///
    /// # Errors
    ///
    /// Returns which daemon can't be sampled.
    pub fn measure_idle(fleet: &ProcessFleet) -> Result<Self, String> {
        Self::measure_during(fleet, || {
            thread::sleep(PHASE_DURATION);
            Ok(())
        })
    }

    /// Measures a fleet while changes are committed at the rate expected in two years.
    ///
    /// # Errors
    ///
    /// Returns why a change was refused or which daemon can't be sampled.
    pub fn measure_changing(fleet: &ProcessFleet, lists: &mut SampleLists) -> Result<Self, String> {
        let interval = Duration::from_hours(24) / CHANGES_PER_DAY;
        Self::measure_during(fleet, || {
            let deadline = Instant::now() + PHASE_DURATION;
            while Instant::now() < deadline {
                lists.change_customers(1);
                fleet.commit(lists.lists())?;
                thread::sleep(interval.min(deadline.saturating_duration_since(Instant::now())));
            }
            Ok(())
        })
    }

    /// Measures a fleet from the start of its first daemon until all daemons hold a version.
    ///
    /// # Errors
    ///
    /// Returns which daemon doesn't hold the version in time or can't be sampled.
    pub fn measure_joining(
        fleet: &ProcessFleet,
        started_at: Instant,
        version: u64,
    ) -> Result<Self, String> {
        wait_for_version(fleet, version)?;
        let end = FleetTotals::of(fleet)?;
        Ok(FleetTotals::default().cost_until(&end, fleet.daemons.len(), started_at.elapsed()))
    }

    /// Runs `body` and returns the cost of the fleet during that time.
    fn measure_during(
        fleet: &ProcessFleet,
        body: impl FnOnce() -> Result<(), String>,
    ) -> Result<Self, String> {
        let before = FleetTotals::of(fleet)?;
        let started_at = Instant::now();
        body()?;
        let elapsed = started_at.elapsed();
        let after = FleetTotals::of(fleet)?;
        Ok(before.cost_until(&after, fleet.daemons.len(), elapsed))
    }
}

/// Waits until every daemon of the fleet holds this version or a newer one.
///
/// # Errors
///
/// Returns which daemon doesn't hold the version in time.
pub fn wait_for_version(fleet: &ProcessFleet, version: u64) -> Result<(), String> {
    let deadline = Instant::now() + SPREAD_TIMEOUT;
    for daemon in &fleet.daemons {
        let address = daemon.settings.administration_address;
        loop {
            let held = ScrapedMetrics::read(address)
                .map(|metrics| metrics.value("medlarspool_config_version"));
            if held.is_ok_and(|held| held >= f64::from(u32::try_from(version).unwrap_or(u32::MAX)))
            {
                break;
            }
            if Instant::now() > deadline {
                return Err(format!("`{address}` does not hold version `{version}`"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}

/// The resources that a fleet's daemons have used so far: the sums over all daemons, but for `resident_bytes` the
/// largest value of any daemon.
#[derive(Default)]
struct FleetTotals {
    control_bytes: f64,
    processor_time: Duration,
    resident_bytes: f64,
    store_requests: f64,
}

impl FleetTotals {
    fn of(fleet: &ProcessFleet) -> Result<Self, String> {
        let mut totals = Self::default();
        for daemon in &fleet.daemons {
            let sample = ProcessSample::of(daemon.process.id())?;
            let metrics = ScrapedMetrics::read(daemon.settings.administration_address)?;
            totals.control_bytes += metrics.control_bytes();
            totals.processor_time += sample.processor_time;
            totals.resident_bytes = totals
                .resident_bytes
                .max(bytes_as_f64(sample.resident_bytes));
            totals.store_requests += metrics.value("medlarspool_store_reads_total")
                + metrics.value("medlarspool_store_writes_total");
        }
        Ok(totals)
    }

    /// Returns the average cost of one of `daemon_count` daemons between these totals and later ones.
    fn cost_until(&self, after: &Self, daemon_count: usize, elapsed: Duration) -> DaemonCost {
        let seconds = elapsed.as_secs_f64();
        let daemon_seconds = seconds * f64::from(u32::try_from(daemon_count).unwrap_or(u32::MAX));
        let processor_s = after
            .processor_time
            .saturating_sub(self.processor_time)
            .as_secs_f64();
        DaemonCost {
            control_bytes_per_s: (after.control_bytes - self.control_bytes) / daemon_seconds,
            core_share: processor_s / daemon_seconds,
            resident_bytes: after.resident_bytes,
            store_requests_per_s: (after.store_requests - self.store_requests) / seconds,
        }
    }
}

fn bytes_as_f64(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes / 1024).unwrap_or(u32::MAX)) * 1024.0
}
