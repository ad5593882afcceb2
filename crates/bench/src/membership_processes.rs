use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    Figures, ProcessFleet, ProgramPaths, UpstreamBehaviour,
    administration_page::read_administration_page,
};

/// The daemons, each a process with an upstream of its own.
const DAEMONS: usize = 12;

/// The availability zones that they are spread over.
const ZONES: usize = 3;

/// How long anything may take before the bench gives up.
const PATIENCE: Duration = Duration::from_mins(1);

/// How often the daemons are asked what they see.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a process is stopped for.
const PAUSE: Duration = Duration::from_secs(5);

/// The time within which no daemon may give work to one that leaves, in milliseconds.
const LEAVING_BOUND_MS: f64 = 3_000.0;

/// Membership between real daemons that are paused, killed and stopped as planned.
pub struct MembershipProcesses {
    figures: Figures,
    fleet: ProcessFleet,
}

impl MembershipProcesses {
    /// Runs all stages and returns the figures.
    ///
    /// # Errors
    ///
    /// Returns why the processes can't be started, signalled or asked.
    pub fn all(programs: ProgramPaths) -> Result<Figures, String> {
        let mut fleet = ProcessFleet::start(programs)?;
        for daemon in 0..DAEMONS {
            let zone = format!("zone-{}", daemon % ZONES);
            fleet.add(&zone, "sky-map", UpstreamBehaviour::Plain, Duration::ZERO)?;
        }
        let mut run = Self {
            figures: Figures::default(),
            fleet,
        };
        run.form()?;
        run.pause()?;
        run.kill()?;
        run.stop()?;
        Ok(run.figures)
    }

    fn form(&mut self) -> Result<(), String> {
        let began = Instant::now();
        for subject in 0..DAEMONS {
            self.wait_for(subject, &["alive"])?;
        }
        self.add("form", began.elapsed());
        Ok(())
    }

    /// Stops a process for some seconds: it is suspected, finds its lease lapsed, and is not buried.
    fn pause(&mut self) -> Result<(), String> {
        let paused = 1;
        self.fleet.daemons[paused].process.signal("STOP")?;
        let suspected = self.wait_for(paused, &["suspect", "dead"])?;
        self.add_times("pause_suspected", &suspected);
        let last = suspected.iter().max().copied().unwrap_or_default();
        std::thread::sleep(PAUSE.saturating_sub(last));
        let buried = self.count_of(paused, "dead")?;
        self.fleet.daemons[paused].process.signal("CONT")?;
        let began = Instant::now();
        self.wait_for(paused, &["alive"])?;
        self.add("pause_recovered", began.elapsed());
        let buried = f64::from(u32::try_from(buried).unwrap_or(u32::MAX));
        self.figures
            .add_bounded("processes_pause_burying", buried, "daemons", 0.0);
        let others = self.suspicions()?;
        self.figures
            .add("processes_suspicions_begun", others, "suspicions");
        Ok(())
    }

    fn kill(&mut self) -> Result<(), String> {
        let killed = 2;
        self.fleet.daemons[killed].process.kill();
        let suspected = self.wait_for(killed, &["suspect", "dead"])?;
        self.add_times("kill_suspected", &suspected);
        let began = Instant::now();
        self.wait_for(killed, &["dead"])?;
        self.add("kill_dead_after_suspected", began.elapsed());
        let programs = self.fleet.programs();
        self.fleet.daemons[killed].restart(&programs)?;
        let began = Instant::now();
        self.wait_for(killed, &["alive"])?;
        self.add("restart", began.elapsed());
        Ok(())
    }

    /// Stops a daemon as planned; the signal's way counts, too.
    fn stop(&mut self) -> Result<(), String> {
        let stopped = 3;
        self.fleet.daemons[stopped].process.signal("TERM")?;
        let heard = self.wait_for(stopped, &["leaving", "left"])?;
        self.add_times("leaving", &heard);
        let last = heard.iter().max().copied().unwrap_or_default();
        self.figures
            .add_bounded("processes_leaving", millis(last), "ms", LEAVING_BOUND_MS);
        Ok(())
    }

    fn add(&mut self, name: &str, time: Duration) {
        self.figures
            .add(format!("processes_{name}"), millis(time), "ms");
    }

    fn add_times(&mut self, name: &str, times: &[Duration]) {
        let mut times = times.to_vec();
        times.sort_unstable();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        let last = times.last().copied().unwrap_or_default();
        self.add(&format!("{name}_p50"), median);
        self.add(&format!("{name}_last"), last);
    }

    fn count_of(&self, subject: usize, state: &str) -> Result<usize, String> {
        let mut count = 0;
        for viewer in (0..DAEMONS).filter(|viewer| *viewer != subject) {
            let seen = state_in(&self.members(viewer)?, subject);
            count += usize::from(seen.as_deref() == Some(state));
        }
        Ok(count)
    }

    /// Returns what a daemon knows of the members.
    fn members(&self, viewer: usize) -> Result<serde_json::Value, String> {
        let address = self.fleet.daemons[viewer].settings.administration_address;
        let body = read_administration_page(address, "/members", None)?;
        serde_json::from_str(&body).map_err(|error| error.to_string())
    }

    fn suspicions(&self) -> Result<f64, String> {
        let mut begun = 0.0;
        for viewer in 0..DAEMONS {
            let members = self.members(viewer)?;
            begun += members["counters"]["suspicions_begun"]
                .as_f64()
                .unwrap_or_default();
        }
        Ok(begun)
    }

    /// Returns after what time each other daemon saw one in one of some states.
    fn wait_for(&self, subject: usize, states: &[&str]) -> Result<Vec<Duration>, String> {
        let began = Instant::now();
        let mut seen = BTreeMap::new();
        while seen.len() < DAEMONS - 1 {
            if began.elapsed() > PATIENCE {
                return Err(format!(
                    "`instance-{subject}` was never seen {states:?} by all"
                ));
            }
            let waiting = (0..DAEMONS).filter(|viewer| *viewer != subject);
            for viewer in waiting
                .filter(|viewer| !seen.contains_key(viewer))
                .collect::<Vec<_>>()
            {
                let state = self.members(viewer).ok();
                let state = state.and_then(|members| state_in(&members, subject));
                if state.is_some_and(|state| states.contains(&state.as_str())) {
                    seen.insert(viewer, began.elapsed());
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(seen.into_values().collect())
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn state_in(members: &serde_json::Value, subject: usize) -> Option<String> {
    let name = format!("instance-{subject}");
    let members = members["members"].as_array()?;
    let member = members.iter().find(|member| member["instance"] == name)?;
    member["state"].as_str().map(str::to_owned)
}
