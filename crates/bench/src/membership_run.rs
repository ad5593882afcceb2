use std::time::{Duration, Instant};

use medlarspool_membership::{MemberState, MembershipEvent};

use crate::{
    Figures, MAX_CONTROL_BYTES_PER_S, membership_fleet::MembershipFleet,
    membership_traffic::MembershipTraffic,
};

/// How long a fleet without news runs before steady figures are taken.
const SETTLING: Duration = Duration::from_secs(15);

/// How long steady figures are taken.
const STEADY: Duration = Duration::from_secs(10);

/// How long a fleet may take to agree before the bench gives up.
const PATIENCE: Duration = Duration::from_mins(1);

/// How long the fleet runs while a tenth of messages are lost.
const LOSSY: Duration = Duration::from_secs(15);

/// How long a slow store takes to answer.
const SLOW_STORE: Duration = Duration::from_secs(1);

/// How long a paused daemon stands still.
const PAUSE: Duration = Duration::from_secs(5);

/// When a paused daemon's lease is looked at.
const BEFORE_WAKING: Duration = Duration::from_millis(4_980);

/// The daemons that leave, one after the other.
const LEAVERS: usize = 5;

/// The daemons that crash, one after the other.
const CRASHES: usize = 3;

/// The share of datagrams lost where loss is provoked, in percent.
const LOST_PERCENT: u32 = 10;

/// The time within which no daemon may give work to one that leaves, in milliseconds.
const LEAVING_BOUND_MS: f64 = 3_000.0;

/// The bound on bytes a daemon while a herd returns, as a multiple of what control may take.
const HERD_MULTIPLE: f64 = 2.0;

/// The requests for pages that one peer may get each second while a herd returns.
const HERD_REQUESTS_PER_S: f64 = 40.0;

/// The stages of the membership bench on one fleet of real sockets.
pub struct MembershipRun {
    /// What was measured.
    pub figures: Figures,
    fleet: MembershipFleet,
    size: usize,
}

impl MembershipRun {
    /// Runs all stages on a fleet whose ports follow on the first and returns the figures.
    #[must_use]
    pub fn all(size: usize, first_port: u16) -> Figures {
        let seed = u64::try_from(size).unwrap_or_default();
        let mut run = Self {
            figures: Figures::default(),
            fleet: MembershipFleet::new(size, first_port, seed),
            size,
        };
        run.form();
        run.steady();
        run.leave();
        run.lose();
        run.pause();
        run.crash();
        let herd = run.kill_herd();
        run.return_herd("herd_return", &herd);
        run.restart_all();
        run.part();
        run.figures
    }

    fn add(&mut self, name: &str, value: f64, unit: &'static str) {
        self.figures
            .add(format!("{name}_{}", self.size), value, unit);
    }

    fn add_bounded(&mut self, name: &str, value: f64, unit: &'static str, most: f64) {
        let name = format!("{name}_{}", self.size);
        self.figures.add_bounded(name, value, unit, most);
    }

    /// Adds the median, the 99th of 100 and the last of some times.
    fn add_times(&mut self, name: &str, mut times: Vec<Duration>) {
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        for (quantile, rank) in [("p50", last / 2), ("p99", last * 99 / 100), ("last", last)] {
            let time = times.get(rank).copied().unwrap_or_default();
            self.add(&format!("{name}_{quantile}"), millis(time), "ms");
        }
    }

    fn form(&mut self) {
        for place in 0..self.size {
            self.fleet.start(place);
        }
        let took = self.fleet.run_until_agreed(PATIENCE);
        self.add_agreement("form", took);
        self.add("form_store_reads", count(self.fleet.store_reads), "reads");
        self.add(
            "form_store_writes",
            count(self.fleet.store_writes),
            "writes",
        );
    }

    fn steady(&mut self) {
        let began = Instant::now();
        while self.fleet.is_spreading() && began.elapsed() < PATIENCE {
            self.fleet.run(Duration::from_millis(100));
        }
        self.add("quiet_after", millis(began.elapsed()), "ms");
        self.fleet.run(SETTLING);
        let before = self.fleet.traffic();
        let reads = self.fleet.store_reads;
        self.fleet.run(STEADY);
        let spent = difference(&before, &self.fleet.traffic());
        let per_daemon_s = count(spent.len()) * STEADY.as_secs_f64();
        let bytes: usize = spent.iter().map(MembershipTraffic::bytes).sum();
        let messages: usize = spent.iter().map(MembershipTraffic::messages).sum();
        let work: Duration = spent.iter().map(|traffic| traffic.work).sum();
        self.add("steady_bytes", count(bytes) / per_daemon_s, "bytes/s");
        self.add("steady_messages", count(messages) / per_daemon_s, "1/s");
        let percent = 100.0 * work.as_secs_f64() / per_daemon_s;
        self.add("steady_core_milli", 1_000.0 * percent, "milli%");
        let reads = count(self.fleet.store_reads - reads) / STEADY.as_secs_f64();
        self.add("steady_store_reads", reads, "1/s");
    }

    fn leave(&mut self) {
        self.fleet.set_lost_percent(LOST_PERCENT);
        let mut times = Vec::new();
        let mut missed = 0;
        for place in 0..LEAVERS {
            let since = self.mark();
            self.fleet.event(place, MembershipEvent::Leave);
            self.fleet.run(Duration::from_secs(4));
            let seen = self.times(since, place, &[MemberState::Leaving]);
            missed += self.size - 1 - seen.len();
            times.extend(seen);
        }
        let last = times.iter().max().copied().unwrap_or_default();
        self.add_times("leaving", times);
        self.add_bounded("leaving_missed", count(missed), "daemons", 0.0);
        self.add_bounded("leaving_slowest", millis(last), "ms", LEAVING_BOUND_MS);
        self.fleet.set_lost_percent(0);
        for place in 0..LEAVERS {
            self.fleet.event(place, MembershipEvent::Stop);
            self.fleet.run(Duration::from_millis(200));
            self.fleet.crash(place);
            self.fleet.start(place);
        }
        let took = self.fleet.run_until_agreed(PATIENCE);
        self.add_agreement("replace", took);
    }

    fn lose(&mut self) {
        let before = self.suspicions();
        let since = self.mark();
        self.fleet.set_lost_percent(LOST_PERCENT);
        self.fleet.run(LOSSY);
        self.fleet.set_lost_percent(0);
        let begun = count(self.suspicions() - before);
        let per_daemon_hour = begun / count(self.size) / LOSSY.as_secs_f64() * 3_600.0;
        self.add("loss_suspicions", begun, "suspicions");
        self.add("loss_suspicions_rate", per_daemon_hour, "1/daemon/h");
        let deaths = self.fleet.observations[since.0..].iter();
        let deaths = deaths.filter(|observation| observation.state == MemberState::Dead);
        let deaths = count(deaths.count());
        self.add_bounded("loss_false_deaths", deaths, "deaths", 0.0);
        let took = self.fleet.run_until_agreed(PATIENCE);
        self.add_agreement("after_loss", took);
    }

    fn pause(&mut self) {
        let place = self.size / 2;
        let since = self.mark();
        if let Some(node) = self.fleet.nodes[place].as_mut() {
            node.pause(PAUSE);
        }
        self.fleet.run(BEFORE_WAKING);
        let is_held = self.fleet.nodes[place]
            .as_ref()
            .is_some_and(|node| node.core.lease_valid(Instant::now()));
        self.add_bounded(
            "pause_lease_held",
            f64::from(u8::from(is_held)),
            "leases",
            0.0,
        );
        self.fleet.run(Duration::from_secs(1));
        let took = self.fleet.run_until_agreed(PATIENCE);
        let suspects = self.times(since, place, &[MemberState::Suspect]).len();
        let deaths = self.times(since, place, &[MemberState::Dead]).len();
        self.add("pause_suspecting", count(suspects), "daemons");
        self.add("pause_burying", count(deaths), "daemons");
        let others = self.fleet.observations[since.0..].iter();
        let others = others.filter(|observation| {
            observation.subject != place
                && observation.observer != place
                && observation.state == MemberState::Suspect
        });
        let others = count(others.count());
        self.add("pause_others_suspected", others, "sights");
        self.add_agreement("after_pause", took);
    }

    fn crash(&mut self) {
        let mut suspected = Vec::new();
        let mut buried = Vec::new();
        let marks: Vec<Mark> = (0..CRASHES)
            .map(|place| {
                let since = self.mark();
                self.fleet.crash(place);
                self.fleet.run(Duration::from_millis(300));
                since
            })
            .collect();
        let took = self.fleet.run_until_agreed(PATIENCE);
        for (place, since) in marks.into_iter().enumerate() {
            let doubted = [MemberState::Suspect, MemberState::Dead];
            suspected.extend(self.times(since, place, &doubted));
            buried.extend(self.times(since, place, &[MemberState::Dead]));
        }
        self.add_times("crash_suspected", suspected);
        self.add_times("crash_dead", buried);
        self.add_agreement("after_crash", took);
        for place in 0..CRASHES {
            self.fleet.start(place);
        }
        let took = self.fleet.run_until_agreed(PATIENCE);
        self.add_agreement("restart", took);
    }

    fn kill_herd(&mut self) -> Vec<usize> {
        let herd: Vec<usize> = (0..self.size * 3 / 10).collect();
        let since = self.mark();
        let before = self.fleet.traffic();
        for place in &herd {
            self.fleet.crash(*place);
        }
        let took = self.fleet.run_until_agreed(PATIENCE);
        let mut suspected = Vec::new();
        let mut buried = Vec::new();
        for place in &herd {
            let doubted = [MemberState::Suspect, MemberState::Dead];
            suspected.extend(self.times(since, *place, &doubted));
            buried.extend(self.times(since, *place, &[MemberState::Dead]));
        }
        self.add_times("herd_suspected", suspected);
        self.add_times("herd_dead", buried);
        self.add_agreement("herd_death", took);
        let spent = difference(&before, &self.fleet.traffic());
        self.add_herd_bytes("herd_death", &spent, took);
        herd
    }

    /// Restarts all daemons together while the store is slow.
    fn restart_all(&mut self) {
        let all: Vec<usize> = (0..self.size).collect();
        for place in &all {
            self.fleet.crash(*place);
        }
        self.fleet.store_delay = SLOW_STORE;
        self.return_herd("restart_all", &all);
        self.fleet.store_delay = Duration::ZERO;
    }

    /// Cuts the fleet into two regions until each holds the other dead, and lets them meet again.
    fn part(&mut self) {
        let boundary = self.size / 3;
        self.fleet.partition(boundary);
        let sides: [Vec<usize>; 2] = [(0..boundary).collect(), (boundary..self.size).collect()];
        let apart = self.fleet.run_until(PATIENCE, |fleet| {
            sides.iter().all(|side| fleet.agrees_among(side))
        });
        self.add_agreement("regions_apart", apart);
        let since = self.mark();
        let before = self.fleet.traffic();
        self.fleet.end_partition();
        let took = self.fleet.run_until_agreed(PATIENCE);
        self.add_agreement("regions_met", took);
        let spent = difference(&before, &self.fleet.traffic());
        self.add_herd_bytes("regions_met", &spent, took);
        let observations = self.fleet.observations[since.0..].iter();
        let deaths = observations.filter(|observation| observation.state == MemberState::Dead);
        let deaths = count(deaths.count());
        self.add_bounded("regions_met_false_deaths", deaths, "deaths", 0.0);
    }

    fn return_herd(&mut self, name: &str, herd: &[usize]) {
        let before = self.fleet.traffic();
        let (reads, writes) = (self.fleet.store_reads, self.fleet.store_writes);
        for place in herd {
            self.fleet.start(*place);
        }
        let took = self.fleet.run_until_agreed(PATIENCE);
        self.add_agreement(name, took);
        let spent = difference(&before, &self.fleet.traffic());
        self.add_herd_bytes(name, &spent, took);
        let seconds = took.unwrap_or(PATIENCE).as_secs_f64();
        let most = spent.iter().map(|traffic| traffic.state_requests).max();
        let requests = count(most.unwrap_or_default()) / seconds;
        let peer = format!("{name}_requests_peer");
        self.add_bounded(&peer, requests, "1/s", HERD_REQUESTS_PER_S);
        let reads = count(self.fleet.store_reads - reads) / count(herd.len());
        self.add(&format!("{name}_store_reads_each"), reads, "reads");
        let writes = count(self.fleet.store_writes - writes);
        self.add(&format!("{name}_store_writes"), writes, "writes");
    }

    fn add_agreement(&mut self, name: &str, took: Option<Duration>) {
        let name = format!("{name}_agreed");
        let time = took.map_or(f64::NAN, millis);
        self.add_bounded(&name, time, "ms", millis(PATIENCE));
    }

    fn add_herd_bytes(&mut self, name: &str, spent: &[MembershipTraffic], took: Option<Duration>) {
        let seconds = took.unwrap_or(PATIENCE).as_secs_f64();
        let most = spent.iter().map(MembershipTraffic::bytes).max();
        let all: usize = spent.iter().map(MembershipTraffic::bytes).sum();
        let mean = count(all) / count(spent.len()) / seconds;
        let most = count(most.unwrap_or_default()) / seconds;
        self.add(&format!("{name}_bytes_mean"), mean, "bytes/s");
        let bound = HERD_MULTIPLE * MAX_CONTROL_BYTES_PER_S;
        self.add_bounded(&format!("{name}_bytes_most"), most, "bytes/s", bound);
    }

    fn mark(&self) -> Mark {
        Mark(self.fleet.observations.len(), Instant::now())
    }

    fn suspicions(&self) -> usize {
        let nodes = self.fleet.nodes.iter().flatten();
        let begun = nodes.map(|node| node.core.counters().suspicions_begun);
        usize::try_from(begun.sum::<u64>()).unwrap_or(usize::MAX)
    }

    /// Returns after what time each daemon first saw a place in one of some states.
    fn times(&self, since: Mark, place: usize, states: &[MemberState]) -> Vec<Duration> {
        let Mark(position, at) = since;
        let mut viewers = std::collections::BTreeSet::new();
        let observations = self.fleet.observations[position..].iter();
        observations
            .filter(|observation| observation.subject == place && observation.observer != place)
            .filter(|observation| {
                states.contains(&observation.state) && viewers.insert(observation.observer)
            })
            .map(|observation| observation.at - at)
            .collect()
    }
}

/// A moment and how many changes had been seen by then.
#[derive(Clone, Copy)]
struct Mark(usize, Instant);

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn count(value: usize) -> f64 {
    value as f64
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Returns what each node spent since; a node that began later spent all of its own.
fn difference(
    before: &[(usize, MembershipTraffic)],
    after: &[(usize, MembershipTraffic)],
) -> Vec<MembershipTraffic> {
    let earlier = |place: usize, now: &MembershipTraffic| {
        let held = before.iter().find(|(held, _)| *held == place);
        let is_same_life =
            |held: &&(usize, MembershipTraffic)| held.1.sent_messages <= now.sent_messages;
        held.filter(is_same_life)
            .map_or_else(MembershipTraffic::default, |(_, traffic)| *traffic)
    };
    let spent = after.iter().map(|(place, now)| {
        let before = earlier(*place, now);
        MembershipTraffic {
            received_bytes: now.received_bytes - before.received_bytes,
            received_messages: now.received_messages - before.received_messages,
            sent_bytes: now.sent_bytes - before.sent_bytes,
            sent_messages: now.sent_messages - before.sent_messages,
            state_requests: now.state_requests - before.state_requests,
            work: now.work.saturating_sub(before.work),
        }
    });
    spent.collect()
}
