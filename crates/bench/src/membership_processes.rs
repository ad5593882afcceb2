use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    Figures, ProcessFleet, ProgramPaths, UpstreamBehaviour,
    administration_page::read_administration_page,
};

/// The number of daemons, each a process with an upstream of its own.
const DAEMON_COUNT: usize = 12;

/// The number of availability zones that the daemons are spread over.
const ZONE_COUNT: usize = 3;

/// The longest wait for a state before the bench gives up.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// The pause between two polls of all daemons' views.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a process is paused by `SIGSTOP`.
const PAUSE_DURATION: Duration = Duration::from_secs(5);

/// The time after which no daemon may send requests to a leaving one any more, in milliseconds.
const LEAVING_BOUND_MS: f64 = 3_000.0;

/// Measures the membership of real daemon processes that are paused, killed and shut down gracefully.
pub struct MembershipProcesses {
    figures: Figures,
    fleet: ProcessFleet,
}

impl MembershipProcesses {
    /// Runs all stages and returns the figures.
    ///
    /// # Errors
    ///
    /// Returns why the processes can't be started, signalled or polled.
    pub fn measure_all(programs: ProgramPaths) -> Result<Figures, String> {
        let mut fleet = ProcessFleet::start(programs)?;
        for daemon in 0..DAEMON_COUNT {
            let zone = format!("zone-{}", daemon % ZONE_COUNT);
            fleet.add(&zone, "sky-map", UpstreamBehaviour::Plain, Duration::ZERO)?;
        }
        let mut run = Self {
            figures: Figures::default(),
            fleet,
        };
        run.measure_formation()?;
        run.measure_pause()?;
        run.measure_kill()?;
        run.measure_planned_stop()?;
        Ok(run.figures)
    }

    fn measure_formation(&mut self) -> Result<(), String> {
        let started_at = Instant::now();
        for subject in 0..DAEMON_COUNT {
            self.wait_for_state(subject, &["alive"])?;
        }
        self.add_time("form", started_at.elapsed());
        Ok(())
    }

    /// Pauses a process for some seconds: the others must suspect it and must not mark it dead.
    fn measure_pause(&mut self) -> Result<(), String> {
        let paused = 1;
        self.fleet.daemons[paused].process.signal("STOP")?;
        let suspected = self.wait_for_state(paused, &["suspect", "dead"])?;
        self.add_times("pause_suspected", &suspected);
        let last = suspected.iter().max().copied().unwrap_or_default();
        std::thread::sleep(PAUSE_DURATION.saturating_sub(last));
        let dead_count = self.count_observers(paused, "dead")?;
        self.fleet.daemons[paused].process.signal("CONT")?;
        let started_at = Instant::now();
        self.wait_for_state(paused, &["alive"])?;
        self.add_time("pause_recovered", started_at.elapsed());
        let dead_count = f64::from(u32::try_from(dead_count).unwrap_or(u32::MAX));
        self.figures
            .add_bounded("processes_pause_burying", dead_count, "daemons", 0.0);
        let suspicions = self.suspicions_begun()?;
        self.figures
            .add("processes_suspicions_begun", suspicions, "suspicions");
        Ok(())
    }

    fn measure_kill(&mut self) -> Result<(), String> {
        let killed = 2;
        self.fleet.daemons[killed].process.kill();
        let suspected = self.wait_for_state(killed, &["suspect", "dead"])?;
        self.add_times("kill_suspected", &suspected);
        let started_at = Instant::now();
        self.wait_for_state(killed, &["dead"])?;
        self.add_time("kill_dead_after_suspected", started_at.elapsed());
        let programs = self.fleet.programs();
        self.fleet.daemons[killed].restart(&programs)?;
        let started_at = Instant::now();
        self.wait_for_state(killed, &["alive"])?;
        self.add_time("restart", started_at.elapsed());
        Ok(())
    }

    /// Shuts a daemon down gracefully; the times include the delivery of the signal.
    fn measure_planned_stop(&mut self) -> Result<(), String> {
        let stopped = 3;
        self.fleet.daemons[stopped].process.signal("TERM")?;
        let observed = self.wait_for_state(stopped, &["leaving", "left"])?;
        self.add_times("leaving", &observed);
        let last = observed.iter().max().copied().unwrap_or_default();
        self.figures
            .add_bounded("processes_leaving", millis(last), "ms", LEAVING_BOUND_MS);
        Ok(())
    }

    fn add_time(&mut self, name: &str, time: Duration) {
        self.figures
            .add(format!("processes_{name}"), millis(time), "ms");
    }

    fn add_times(&mut self, name: &str, times: &[Duration]) {
        let mut times = times.to_vec();
        times.sort_unstable();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        let last = times.last().copied().unwrap_or_default();
        self.add_time(&format!("{name}_p50"), median);
        self.add_time(&format!("{name}_last"), last);
    }

    fn count_observers(&self, subject: usize, state: &str) -> Result<usize, String> {
        let mut count = 0;
        for observer in (0..DAEMON_COUNT).filter(|observer| *observer != subject) {
            let observed_state = member_state(&self.members(observer)?, subject);
            count += usize::from(observed_state.as_deref() == Some(state));
        }
        Ok(count)
    }

    /// Returns the members in a daemon's view.
    fn members(&self, observer: usize) -> Result<serde_json::Value, String> {
        let address = self.fleet.daemons[observer].settings.administration_address;
        let body = read_administration_page(address, "/members", None)?;
        serde_json::from_str(&body).map_err(|error| error.to_string())
    }

    fn suspicions_begun(&self) -> Result<f64, String> {
        let mut begun = 0.0;
        for observer in 0..DAEMON_COUNT {
            let members = self.members(observer)?;
            begun += members["counters"]["suspicions_begun"]
                .as_f64()
                .unwrap_or_default();
        }
        Ok(begun)
    }

    /// Waits until every other daemon sees a daemon in one of the states and returns after what time each did.
    fn wait_for_state(&self, subject: usize, states: &[&str]) -> Result<Vec<Duration>, String> {
        let started_at = Instant::now();
        let mut observed_after = BTreeMap::new();
        while observed_after.len() < DAEMON_COUNT - 1 {
            if started_at.elapsed() > MAX_WAIT {
                return Err(format!(
                    "not all daemons saw `instance-{subject}` in one of the states {states:?}"
                ));
            }
            let waiting = (0..DAEMON_COUNT).filter(|observer| *observer != subject);
            for observer in waiting
                .filter(|observer| !observed_after.contains_key(observer))
                .collect::<Vec<_>>()
            {
                let state = self.members(observer).ok();
                let state = state.and_then(|members| member_state(&members, subject));
                if state.is_some_and(|state| states.contains(&state.as_str())) {
                    observed_after.insert(observer, started_at.elapsed());
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(observed_after.into_values().collect())
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn member_state(members: &serde_json::Value, subject: usize) -> Option<String> {
    let name = format!("instance-{subject}");
    let members = members["members"].as_array()?;
    let member = members.iter().find(|member| member["instance"] == name)?;
    member["state"].as_str().map(str::to_owned)
}
