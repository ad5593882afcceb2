use std::{
    io,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use medlarspool_spread::LinkClass;
use medlarspool_types::ConfigHead;

use crate::{
    ConvergenceFaults, ConvergenceFleet, ConvergenceStrategy, Figures, MAX_CONTROL_BYTES_PER_S,
    MAX_STORE_READS_PER_S,
};

/// The time within which every daemon must hold a change, in milliseconds.
const CONVERGENCE_BOUND_MS: f64 = 5_000.0;
/// The interval between two changes at 12,000 changes a day.
const STEADY_INTERVAL: Duration = Duration::from_millis(7_200);
/// The longest wait until all daemons hold a change.
const MAX_WAIT: Duration = Duration::from_secs(15);
/// The value recorded for a daemon that did not hold a version when the wait ended, in microseconds (1 h).
const NEVER_HELD_US: u64 = 3_600_000_000;
/// The assumed time until membership notices that daemons are dead or unreachable.
const DETECTION_WAIT: Duration = Duration::from_secs(3);

/// Measures one spread strategy in a fleet, scenario by scenario.
pub struct ConvergenceRun {
    figures: Figures,
    fleet: ConvergenceFleet,
    figure_prefix: String,
    strategy: ConvergenceStrategy,
}

impl ConvergenceRun {
    /// Starts a run one second after all daemons of the fleet hold the newest version.
    ///
    /// # Errors
    ///
    /// Fails if they don't hold it in time.
    pub async fn start(
        fleet: ConvergenceFleet,
        figure_prefix: String,
        strategy: ConvergenceStrategy,
    ) -> io::Result<Self> {
        let (head, _) = *fleet
            .store()
            .versions()
            .last()
            .ok_or(io::ErrorKind::NotFound)?;
        if !fleet.wait_all_hold(head, MAX_WAIT).await {
            return Err(io::ErrorKind::TimedOut.into());
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(Self {
            figures: Figures::default(),
            fleet,
            figure_prefix,
            strategy,
        })
    }

    /// Ends the run, adds the number of violated invariants and returns the figures.
    #[must_use]
    pub fn finish(mut self) -> Figures {
        let violations = self.fleet.record().violations();
        self.add_bounded("violations", u64_as_f64(violations), "count", 0.0);
        self.figures
    }

    /// Changes one entry at a time and measures how long each change takes to reach all daemons.
    pub async fn measure_single_changes(&mut self, change_count: usize) {
        let mut waits = Vec::new();
        for _ in 0..change_count {
            let (head, since) = self.commit();
            self.fleet.wait_all_hold(head, MAX_WAIT).await;
            waits.extend(self.fleet.times_until_held(head.version, since));
            let pause = Duration::from_millis(fastrand::u64(100..400));
            tokio::time::sleep(pause).await;
        }
        self.add_times("one_change", &waits);
    }

    /// Measures bytes and store reads at 12,000 changes a day.
    pub async fn measure_steady(&mut self, change_count: u32) {
        let started = Instant::now();
        let before = self.fleet.bytes();
        let reads = self.fleet.store().head_reads() + self.fleet.store().list_reads();
        let mut waits = Vec::new();
        for _ in 0..change_count {
            let (head, since) = self.commit();
            tokio::time::sleep(STEADY_INTERVAL).await;
            waits.extend(self.fleet.times_until_held(head.version, since));
        }
        let seconds = started.elapsed().as_secs_f64();
        self.add_times("steady", &waits);
        let bytes_used = self.bytes_since(before);
        let mut peer_rate = 0.0;
        for (link, bytes) in LinkClass::ALL.into_iter().zip(bytes_used) {
            let fleet_rate = u64_as_f64(bytes) / seconds;
            let rate = fleet_rate / usize_as_f64(self.fleet.len());
            self.add(
                &format!("steady_{}_bytes", link_name(link)),
                rate,
                "B/s/daemon",
            );
            if link == LinkClass::Store {
                self.add("steady_store_fleet_bytes", fleet_rate, "B/s/fleet");
            } else {
                peer_rate += rate;
            }
        }
        self.add("steady_peer_bytes", peer_rate, "B/s/daemon");
        let rate = u64_as_f64(bytes_used.iter().sum()) / seconds / usize_as_f64(self.fleet.len());
        self.add_bounded("steady_bytes", rate, "B/s/daemon", MAX_CONTROL_BYTES_PER_S);
        let now = self.fleet.store().head_reads() + self.fleet.store().list_reads();
        let rate = u64_as_f64(now - reads) / seconds;
        self.add_bounded(
            "steady_store_reads",
            rate,
            "1/s/fleet",
            MAX_STORE_READS_PER_S,
        );
    }

    /// Measures changes that are accepted one right after the other.
    pub async fn measure_burst(&mut self, change_count: usize) {
        let before = self.fleet.bytes();
        let reads = self.fleet.store().list_reads();
        let accepted: Vec<_> = (0..change_count).map(|_| self.commit()).collect();
        self.add_times_of_all("burst", &accepted).await;
        let bytes: u64 = self.bytes_since(before).iter().sum();
        let bytes_per_daemon =
            u64_as_f64(bytes) / usize_as_f64(change_count) / usize_as_f64(self.fleet.len());
        self.add("burst_bytes", bytes_per_daemon, "B/change/daemon");
        let reads = self.fleet.store().list_reads() - reads;
        self.add("burst_list_reads", u64_as_f64(reads), "count");
    }

    /// Measures how a change spreads between daemons when the store fails as soon as one daemon holds it.
    pub async fn measure_store_outage(&mut self, change_count: usize) {
        let mut waits = Vec::new();
        for _ in 0..change_count {
            let (head, since) = self.commit();
            self.fleet.wait_any_holds(head).await;
            self.fleet.store().set_down(true);
            self.fleet.wait_all_hold(head, Duration::from_secs(5)).await;
            waits.extend(self.fleet.times_until_held(head.version, since));
            self.fleet.store().set_down(false);
            self.fleet.wait_all_hold(head, MAX_WAIT).await;
        }
        self.add_times("store_down", &waits);
    }

    /// Partitions one availability zone from the others and from the store during changes. Measures how long the
    /// zone's daemons take to hold the newest version after the partition has ended.
    ///
    /// # Panics
    ///
    /// Panics if the name of the zone isn't a valid id.
    pub async fn measure_zone_partition(&mut self, change_count: usize) {
        self.fleet.network().set_faults(ConvergenceFaults {
            cut_zone: Some("zone-1".parse().expect("a valid id")),
            ..ConvergenceFaults::default()
        });
        let accepted: Vec<_> = (0..change_count).map(|_| self.commit()).collect();
        tokio::time::sleep(DETECTION_WAIT).await;
        let since = Instant::now();
        self.fleet
            .network()
            .set_faults(ConvergenceFaults::default());
        let (head, _) = accepted[change_count - 1];
        self.fleet.wait_all_hold(head, MAX_WAIT).await;
        let mut waits = self.fleet.times_until_held(head.version, since);
        // The daemons outside the zone held the version before the partition ended.
        waits.retain(|wait| !wait.is_zero());
        self.add_times("zone_back", &waits);
    }

    /// Kills 30% of the daemons, commits changes, and restarts the killed daemons all at once. Measures how long
    /// the changes take to reach the other daemons, and how long the restarted ones take to be ready.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be bound again.
    pub async fn measure_mass_restart(&mut self, change_count: usize) -> io::Result<()> {
        let killed: Vec<usize> = (0..self.fleet.len())
            .filter(|index| index % 10 < 3)
            .collect();
        self.fleet.kill(killed.iter().copied()).await;
        let accepted: Vec<_> = (0..change_count).map(|_| self.commit()).collect();
        let (head, since) = accepted[change_count - 1];
        self.fleet.wait_all_hold(head, MAX_WAIT).await;
        let waits = self.fleet.times_until_held(head.version, since);
        self.add_times("while_30_percent_are_dead", &waits);
        self.fleet.announce_peers();
        tokio::time::sleep(DETECTION_WAIT).await;
        let reads = self.fleet.store().head_reads();
        let lists = self.fleet.store().list_reads();
        let since = Instant::now();
        self.fleet.restart(killed.iter().copied()).await?;
        self.fleet.wait_all_hold(head, MAX_WAIT).await;
        self.fleet.wait_ready(&killed, MAX_WAIT).await;
        let waits = self.fleet.times_until_ready(&killed, since);
        self.add_times("herd_ready", &waits);
        let lists = self.fleet.store().list_reads() - lists;
        self.add("herd_list_reads", u64_as_f64(lists), "count");
        let reads = self.fleet.store().head_reads() - reads;
        self.add("herd_head_reads", u64_as_f64(reads), "count");
        Ok(())
    }

    /// Measures changes while datagrams are lost, duplicated, delayed and thereby reordered.
    pub async fn measure_lossy_network(&mut self, change_count: usize) {
        self.fleet.network().set_faults(ConvergenceFaults {
            cut_zone: None,
            duplicated_share: 0.1,
            max_delay: Duration::from_millis(100),
            lost_share: 0.1,
        });
        let mut accepted = Vec::new();
        for _ in 0..change_count {
            accepted.push(self.commit());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        self.add_times_of_all("lossy", &accepted).await;
        self.fleet
            .network()
            .set_faults(ConvergenceFaults::default());
    }

    /// Waits until all daemons hold the last of the changes and adds the times of all changes.
    async fn add_times_of_all(&mut self, name: &str, accepted: &[(ConfigHead, Instant)]) {
        if let Some((last, _)) = accepted.last() {
            self.fleet.wait_all_hold(*last, MAX_WAIT).await;
        }
        let waits: Vec<Duration> = accepted
            .iter()
            .flat_map(|(head, since)| self.fleet.times_until_held(head.version, *since))
            .collect();
        self.add_times(name, &waits);
    }

    fn commit(&self) -> (ConfigHead, Instant) {
        let head = self.fleet.store().commit();
        (head, Instant::now())
    }

    fn bytes_since(&self, before: [u64; LinkClass::ALL.len()]) -> [u64; LinkClass::ALL.len()] {
        let mut bytes_used = self.fleet.bytes();
        for (now, before) in bytes_used.iter_mut().zip(before) {
            *now -= before;
        }
        bytes_used
    }

    /// Adds the median, the 99th percentile and the maximum of some times, and the share of times, in percent,
    /// of daemons that held the version at all.
    fn add_times(&mut self, name: &str, waits: &[Duration]) {
        let mut histogram = Histogram::<u64>::new(3).expect("three digits are a valid precision");
        for duration in waits {
            let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
            histogram
                .record(us.min(NEVER_HELD_US))
                .expect("the histogram grows with its values");
        }
        let ms = |us: u64| u64_as_f64(us) / 1_000.0;
        let median = ms(histogram.value_at_quantile(0.5));
        self.add(&format!("{name}_median"), median, "ms");
        let p99 = ms(histogram.value_at_quantile(0.99));
        self.add(&format!("{name}_99_in_100"), p99, "ms");
        let reached = histogram.count_between(0, NEVER_HELD_US - 1);
        let share = 100.0 * u64_as_f64(reached) / u64_as_f64(histogram.len());
        self.add(&format!("{name}_reached"), share, "percent");
        let last = ms(histogram.max());
        self.add_bounded(&format!("{name}_last"), last, "ms", CONVERGENCE_BOUND_MS);
    }

    fn add(&mut self, name: &str, value: f64, unit: &'static str) {
        self.figures
            .add(format!("{}_{name}", self.figure_prefix), value, unit);
    }

    fn add_bounded(&mut self, name: &str, value: f64, unit: &'static str, max: f64) {
        let name = format!("{}_{name}", self.figure_prefix);
        if self.strategy.is_bounded() {
            self.figures.add_bounded(name, value, unit, max);
        } else {
            self.figures.add(name, value, unit);
        }
    }
}

/// Returns the name of a class of link as it is printed in figures.
#[must_use]
pub const fn link_name(link: LinkClass) -> &'static str {
    match link {
        LinkClass::BetweenRegions => "between_regions",
        LinkClass::BetweenZones => "between_zones",
        LinkClass::SameZone => "same_zone",
        LinkClass::Store => "store",
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures have three digits")]
fn u64_as_f64(value: u64) -> f64 {
    value as f64
}

#[expect(clippy::cast_precision_loss, reason = "figures have three digits")]
fn usize_as_f64(value: usize) -> f64 {
    value as f64
}
