use std::time::{Duration, Instant};

use medlarspool_membership::{MemberState, MembershipEvent};

use crate::{
    Figures, MAX_CONTROL_BYTES_PER_S, membership_fleet::MembershipFleet,
    membership_traffic::MembershipTraffic,
};

/// How long a fleet runs after it has spread all updates before steady figures are taken.
const SETTLE_DURATION: Duration = Duration::from_secs(15);

/// The duration over which steady figures are taken.
const STEADY_DURATION: Duration = Duration::from_secs(10);

/// The longest wait for a fleet to agree.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// How long the fleet runs while [`LOST_PERCENT`] of the datagrams are lost.
const LOSS_DURATION: Duration = Duration::from_secs(15);

/// How long a slow store takes to answer.
const SLOW_STORE_DELAY: Duration = Duration::from_secs(1);

/// How long a daemon is paused.
const PAUSE_DURATION: Duration = Duration::from_secs(5);

/// When a paused daemon's lease is checked, shortly before the daemon resumes.
const LEASE_CHECK_DELAY: Duration = Duration::from_millis(4_980);

/// The number of daemons that leave, one after the other.
const LEAVING_DAEMON_COUNT: usize = 5;

/// The number of daemons that crash, one after the other.
const CRASHED_DAEMON_COUNT: usize = 3;

/// The share of datagrams that are lost in the stages with loss, in percent.
const LOST_PERCENT: u32 = 10;

/// The time after which no daemon may send requests to a leaving one any more, in milliseconds.
const LEAVING_BOUND_MS: f64 = 3_000.0;

/// The bound on a daemon's bytes a second while many daemons fail or restart, as a multiple of
/// [`MAX_CONTROL_BYTES_PER_S`].
const MASS_RESTART_BYTES_FACTOR: f64 = 2.0;

/// The bound on the requests for pages of state that one peer receives each second while many daemons restart.
const MASS_RESTART_REQUESTS_PER_S: f64 = 40.0;

/// The stages of the membership bench in one fleet on loopback sockets.
pub struct MembershipRun {
    /// The figures measured so far.
    pub figures: Figures,
    fleet: MembershipFleet,
    size: usize,
}

impl MembershipRun {
    /// Runs all stages in a fleet whose ports count up from the first, and returns the figures.
    #[must_use]
    pub fn measure_all(size: usize, first_port: u16) -> Figures {
        let seed = u64::try_from(size).unwrap_or_default();
        let mut run = Self {
            figures: Figures::default(),
            fleet: MembershipFleet::new(size, first_port, seed),
            size,
        };
        run.measure_formation();
        run.measure_steady();
        run.measure_leaving();
        run.measure_loss();
        run.measure_pause();
        run.measure_crash();
        let killed = run.measure_mass_crash();
        run.measure_return("herd_return", &killed);
        run.measure_restart_of_all();
        run.measure_partition();
        run.figures
    }

    fn add(&mut self, name: &str, value: f64, unit: &'static str) {
        self.figures
            .add(format!("{name}_{}", self.size), value, unit);
    }

    fn add_bounded(&mut self, name: &str, value: f64, unit: &'static str, max: f64) {
        let name = format!("{name}_{}", self.size);
        self.figures.add_bounded(name, value, unit, max);
    }

    /// Adds the median, the 99th percentile and the maximum of some times.
    fn add_times(&mut self, name: &str, mut times: Vec<Duration>) {
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        for (quantile, rank) in [("p50", last / 2), ("p99", last * 99 / 100), ("last", last)] {
            let time = times.get(rank).copied().unwrap_or_default();
            self.add(&format!("{name}_{quantile}"), millis(time), "ms");
        }
    }

    /// Starts all daemons at once and measures the time until they agree.
    fn measure_formation(&mut self) {
        for index in 0..self.size {
            self.fleet.start(index);
        }
        let time_to_agree = self.fleet.run_until_agreed(MAX_WAIT);
        self.add_agreement("form", time_to_agree);
        self.add(
            "form_store_reads",
            as_f64(self.fleet.store_read_count),
            "reads",
        );
        self.add(
            "form_store_writes",
            as_f64(self.fleet.store_write_count),
            "writes",
        );
    }

    /// Measures traffic, processor time and store reads of a fleet in which nothing changes.
    fn measure_steady(&mut self) {
        let began = Instant::now();
        while self.fleet.is_spreading() && began.elapsed() < MAX_WAIT {
            self.fleet.run(Duration::from_millis(100));
        }
        self.add("quiet_after", millis(began.elapsed()), "ms");
        self.fleet.run(SETTLE_DURATION);
        let before = self.fleet.traffic();
        let reads = self.fleet.store_read_count;
        self.fleet.run(STEADY_DURATION);
        let traffic_used = traffic_since(&before, &self.fleet.traffic());
        let per_daemon_s = as_f64(traffic_used.len()) * STEADY_DURATION.as_secs_f64();
        let bytes: usize = traffic_used.iter().map(MembershipTraffic::bytes).sum();
        let messages: usize = traffic_used.iter().map(MembershipTraffic::messages).sum();
        let processing_time: Duration = traffic_used
            .iter()
            .map(|traffic| traffic.processing_time)
            .sum();
        self.add("steady_bytes", as_f64(bytes) / per_daemon_s, "bytes/s");
        self.add("steady_messages", as_f64(messages) / per_daemon_s, "1/s");
        let percent = 100.0 * processing_time.as_secs_f64() / per_daemon_s;
        self.add("steady_core_milli", 1_000.0 * percent, "milli%");
        let reads = as_f64(self.fleet.store_read_count - reads) / STEADY_DURATION.as_secs_f64();
        self.add("steady_store_reads", reads, "1/s");
    }

    /// Lets some daemons leave while datagrams are lost, and measures when the others see it; then replaces
    /// them.
    fn measure_leaving(&mut self) {
        self.fleet.set_lost_percent(LOST_PERCENT);
        let mut times = Vec::new();
        let mut missed_count = 0;
        for index in 0..LEAVING_DAEMON_COUNT {
            let since = self.mark();
            self.fleet.handle_event(index, MembershipEvent::Leave);
            self.fleet.run(Duration::from_secs(4));
            let seen = self.times_to_observe(since, index, &[MemberState::Leaving]);
            missed_count += self.size - 1 - seen.len();
            times.extend(seen);
        }
        let last = times.iter().max().copied().unwrap_or_default();
        self.add_times("leaving", times);
        self.add_bounded("leaving_missed", as_f64(missed_count), "daemons", 0.0);
        self.add_bounded("leaving_slowest", millis(last), "ms", LEAVING_BOUND_MS);
        self.fleet.set_lost_percent(0);
        for index in 0..LEAVING_DAEMON_COUNT {
            self.fleet.handle_event(index, MembershipEvent::Stop);
            self.fleet.run(Duration::from_millis(200));
            self.fleet.crash(index);
            self.fleet.start(index);
        }
        let time_to_agree = self.fleet.run_until_agreed(MAX_WAIT);
        self.add_agreement("replace", time_to_agree);
    }

    /// Counts the suspicions while datagrams are lost; no daemon may be marked dead.
    fn measure_loss(&mut self) {
        let before = self.suspicions_begun();
        let since = self.mark();
        self.fleet.set_lost_percent(LOST_PERCENT);
        self.fleet.run(LOSS_DURATION);
        self.fleet.set_lost_percent(0);
        let suspicions = as_f64(self.suspicions_begun() - before);
        let per_daemon_hour =
            suspicions / as_f64(self.size) / LOSS_DURATION.as_secs_f64() * 3_600.0;
        self.add("loss_suspicions", suspicions, "suspicions");
        self.add("loss_suspicions_rate", per_daemon_hour, "1/daemon/h");
        let deaths = self.fleet.observations[since.0..].iter();
        let deaths = deaths.filter(|observation| observation.state == MemberState::Dead);
        let death_count = as_f64(deaths.count());
        self.add_bounded("loss_false_deaths", death_count, "deaths", 0.0);
        let time_to_agree = self.fleet.run_until_agreed(MAX_WAIT);
        self.add_agreement("after_loss", time_to_agree);
    }

    /// Pauses a daemon, whose lease must have lapsed shortly before it resumes, and counts who suspects it.
    fn measure_pause(&mut self) {
        let index = self.size / 2;
        let since = self.mark();
        if let Some(node) = self.fleet.nodes[index].as_mut() {
            node.pause(PAUSE_DURATION);
        }
        self.fleet.run(LEASE_CHECK_DELAY);
        let is_held = self.fleet.nodes[index]
            .as_ref()
            .is_some_and(|node| node.core.lease_valid(Instant::now()));
        self.add_bounded(
            "pause_lease_held",
            f64::from(u8::from(is_held)),
            "leases",
            0.0,
        );
        self.fleet.run(Duration::from_secs(1));
        let time_to_agree = self.fleet.run_until_agreed(MAX_WAIT);
        let suspecting_count = self
            .times_to_observe(since, index, &[MemberState::Suspect])
            .len();
        let death_count = self
            .times_to_observe(since, index, &[MemberState::Dead])
            .len();
        self.add("pause_suspecting", as_f64(suspecting_count), "daemons");
        self.add("pause_burying", as_f64(death_count), "daemons");
        let other_suspicions = self.fleet.observations[since.0..].iter();
        let other_suspicions = other_suspicions.filter(|observation| {
            observation.subject != index
                && observation.observer != index
                && observation.state == MemberState::Suspect
        });
        let other_suspicion_count = as_f64(other_suspicions.count());
        self.add("pause_others_suspected", other_suspicion_count, "sights");
        self.add_agreement("after_pause", time_to_agree);
    }

    /// Crashes some daemons one after the other and measures when the others suspect them and mark them dead.
    fn measure_crash(&mut self) {
        let mut times_to_suspect = Vec::new();
        let mut times_to_dead = Vec::new();
        let marks: Vec<Mark> = (0..CRASHED_DAEMON_COUNT)
            .map(|index| {
                let since = self.mark();
                self.fleet.crash(index);
                self.fleet.run(Duration::from_millis(300));
                since
            })
            .collect();
        let time_to_agree = self.fleet.run_until_agreed(MAX_WAIT);
        for (index, since) in marks.into_iter().enumerate() {
            let suspect_states = [MemberState::Suspect, MemberState::Dead];
            times_to_suspect.extend(self.times_to_observe(since, index, &suspect_states));
            times_to_dead.extend(self.times_to_observe(since, index, &[MemberState::Dead]));
        }
        self.add_times("crash_suspected", times_to_suspect);
        self.add_times("crash_dead", times_to_dead);
        self.add_agreement("after_crash", time_to_agree);
        for index in 0..CRASHED_DAEMON_COUNT {
            self.fleet.start(index);
        }
        let time_to_agree = self.fleet.run_until_agreed(MAX_WAIT);
        self.add_agreement("restart", time_to_agree);
    }

    /// Crashes 30% of the daemons at once, measures their detection and returns their indices.
    fn measure_mass_crash(&mut self) -> Vec<usize> {
        let killed: Vec<usize> = (0..self.size * 3 / 10).collect();
        let since = self.mark();
        let before = self.fleet.traffic();
        for index in &killed {
            self.fleet.crash(*index);
        }
        let time_to_agree = self.fleet.run_until_agreed(MAX_WAIT);
        let mut times_to_suspect = Vec::new();
        let mut times_to_dead = Vec::new();
        for index in &killed {
            let suspect_states = [MemberState::Suspect, MemberState::Dead];
            times_to_suspect.extend(self.times_to_observe(since, *index, &suspect_states));
            times_to_dead.extend(self.times_to_observe(since, *index, &[MemberState::Dead]));
        }
        self.add_times("herd_suspected", times_to_suspect);
        self.add_times("herd_dead", times_to_dead);
        self.add_agreement("herd_death", time_to_agree);
        let traffic_used = traffic_since(&before, &self.fleet.traffic());
        self.add_recovery_bytes("herd_death", &traffic_used, time_to_agree);
        killed
    }

    /// Restarts all daemons at once while the store is slow.
    fn measure_restart_of_all(&mut self) {
        let all: Vec<usize> = (0..self.size).collect();
        for index in &all {
            self.fleet.crash(*index);
        }
        self.fleet.store_delay = SLOW_STORE_DELAY;
        self.measure_return("restart_all", &all);
        self.fleet.store_delay = Duration::ZERO;
    }

    /// Partitions the fleet into two parts until each has marked the other dead, and measures the time, the
    /// traffic and the false deaths after the partition has ended.
    fn measure_partition(&mut self) {
        let boundary = self.size / 3;
        self.fleet.partition(boundary);
        let sides: [Vec<usize>; 2] = [(0..boundary).collect(), (boundary..self.size).collect()];
        let time_to_separate = self.fleet.run_until(MAX_WAIT, |fleet| {
            sides.iter().all(|side| fleet.agrees_among(side))
        });
        self.add_agreement("regions_apart", time_to_separate);
        let since = self.mark();
        let before = self.fleet.traffic();
        self.fleet.end_partition();
        let time_to_agree = self.fleet.run_until_agreed(MAX_WAIT);
        self.add_agreement("regions_met", time_to_agree);
        let traffic_used = traffic_since(&before, &self.fleet.traffic());
        self.add_recovery_bytes("regions_met", &traffic_used, time_to_agree);
        let observations = self.fleet.observations[since.0..].iter();
        let deaths = observations.filter(|observation| observation.state == MemberState::Dead);
        let death_count = as_f64(deaths.count());
        self.add_bounded("regions_met_false_deaths", death_count, "deaths", 0.0);
    }

    /// Starts the given daemons at once and measures the time until all agree, the traffic and the store
    /// requests.
    fn measure_return(&mut self, name: &str, restarted: &[usize]) {
        let before = self.fleet.traffic();
        let (reads, writes) = (self.fleet.store_read_count, self.fleet.store_write_count);
        for index in restarted {
            self.fleet.start(*index);
        }
        let time_to_agree = self.fleet.run_until_agreed(MAX_WAIT);
        self.add_agreement(name, time_to_agree);
        let traffic_used = traffic_since(&before, &self.fleet.traffic());
        self.add_recovery_bytes(name, &traffic_used, time_to_agree);
        let seconds = time_to_agree.unwrap_or(MAX_WAIT).as_secs_f64();
        let max = traffic_used
            .iter()
            .map(|traffic| traffic.state_requests)
            .max();
        let requests = as_f64(max.unwrap_or_default()) / seconds;
        let peer = format!("{name}_requests_peer");
        self.add_bounded(&peer, requests, "1/s", MASS_RESTART_REQUESTS_PER_S);
        let reads = as_f64(self.fleet.store_read_count - reads) / as_f64(restarted.len());
        self.add(&format!("{name}_store_reads_each"), reads, "reads");
        let writes = as_f64(self.fleet.store_write_count - writes);
        self.add(&format!("{name}_store_writes"), writes, "writes");
    }

    fn add_agreement(&mut self, name: &str, time_to_agree: Option<Duration>) {
        let name = format!("{name}_agreed");
        let time = time_to_agree.map_or(f64::NAN, millis);
        self.add_bounded(&name, time, "ms", millis(MAX_WAIT));
    }

    fn add_recovery_bytes(
        &mut self,
        name: &str,
        traffic_used: &[MembershipTraffic],
        time_to_agree: Option<Duration>,
    ) {
        let seconds = time_to_agree.unwrap_or(MAX_WAIT).as_secs_f64();
        let max = traffic_used.iter().map(MembershipTraffic::bytes).max();
        let all: usize = traffic_used.iter().map(MembershipTraffic::bytes).sum();
        let mean = as_f64(all) / as_f64(traffic_used.len()) / seconds;
        let max = as_f64(max.unwrap_or_default()) / seconds;
        self.add(&format!("{name}_bytes_mean"), mean, "bytes/s");
        let bound = MASS_RESTART_BYTES_FACTOR * MAX_CONTROL_BYTES_PER_S;
        self.add_bounded(&format!("{name}_bytes_most"), max, "bytes/s", bound);
    }

    fn mark(&self) -> Mark {
        Mark(self.fleet.observations.len(), Instant::now())
    }

    fn suspicions_begun(&self) -> usize {
        let nodes = self.fleet.nodes.iter().flatten();
        let suspicions = nodes.map(|node| node.core.counters().suspicions_begun);
        usize::try_from(suspicions.sum::<u64>()).unwrap_or(usize::MAX)
    }

    /// Returns after what time each other daemon first saw a daemon in one of the states.
    fn times_to_observe(&self, since: Mark, index: usize, states: &[MemberState]) -> Vec<Duration> {
        let Mark(position, at) = since;
        let mut observers = std::collections::BTreeSet::new();
        let observations = self.fleet.observations[position..].iter();
        observations
            .filter(|observation| observation.subject == index && observation.observer != index)
            .filter(|observation| {
                states.contains(&observation.state) && observers.insert(observation.observer)
            })
            .map(|observation| observation.at - at)
            .collect()
    }
}

/// The number of observations at an instant, and that instant.
#[derive(Clone, Copy)]
struct Mark(usize, Instant);

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn as_f64(value: usize) -> f64 {
    value as f64
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Returns each node's traffic since `before`; of a node that was started later, all of its traffic.
fn traffic_since(
    before: &[(usize, MembershipTraffic)],
    after: &[(usize, MembershipTraffic)],
) -> Vec<MembershipTraffic> {
    let earlier = |index: usize, now: &MembershipTraffic| {
        let found = before.iter().find(|(other, _)| *other == index);
        // A restarted node counts from zero, so a lower count shows a new incarnation.
        let is_same_incarnation =
            |found: &&(usize, MembershipTraffic)| found.1.sent_messages <= now.sent_messages;
        found
            .filter(is_same_incarnation)
            .map_or_else(MembershipTraffic::default, |(_, traffic)| *traffic)
    };
    let traffic_used = after.iter().map(|(index, now)| {
        let before = earlier(*index, now);
        MembershipTraffic {
            received_bytes: now.received_bytes - before.received_bytes,
            received_messages: now.received_messages - before.received_messages,
            sent_bytes: now.sent_bytes - before.sent_bytes,
            sent_messages: now.sent_messages - before.sent_messages,
            state_requests: now.state_requests - before.state_requests,
            processing_time: now.processing_time.saturating_sub(before.processing_time),
        }
    });
    traffic_used.collect()
}
