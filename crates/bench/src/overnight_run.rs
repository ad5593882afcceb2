use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use fastrand::Rng;
use medlarspool_config::{CredentialHash, CustomerEntry, Lists, PlanEntry, ServiceEntry};
use medlarspool_platform::FakeFaults;

use crate::{
    DaemonSpec, OvernightCallers, OvernightFault, OvernightPlan, OvernightReport, ProcessFleet,
    ProgramPaths, RunLedger, UpstreamBehaviour, UpstreamSettings, VersionWatch, epoch_ms,
    wait_for_version,
};

/// The credential of the customer that all callers use.
const CREDENTIAL: &str = "overnight-credential";

/// How long a planned stop of a daemon may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The delay that a slow store adds to each call.
const STORE_DELAY: Duration = Duration::from_millis(800);

/// A run of a fleet of real processes under load and faults.
pub struct OvernightRun {
    change_count: u64,
    convergence_times: Vec<Duration>,
    fault_counts: BTreeMap<OvernightFault, u64>,
    fleet: ProcessFleet,
    leaving_since_ms: BTreeMap<String, u64>,
    plan: OvernightPlan,
    random: Rng,
    stop_count: u64,
    unclean_stop_count: u64,
}

impl OvernightRun {
    /// Starts the fleet and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns why a process can't be started or does not serve in time.
    pub fn start(plan: OvernightPlan, programs: ProgramPaths) -> Result<Self, String> {
        let mut run = Self {
            change_count: 0,
            convergence_times: Vec::new(),
            fault_counts: BTreeMap::new(),
            fleet: ProcessFleet::start(programs)?,
            leaving_since_ms: BTreeMap::new(),
            random: Rng::with_seed(plan.seed),
            plan,
            stop_count: 0,
            unclean_stop_count: 0,
        };
        run.fleet.commit(run.lists()?)?;
        run.add_daemons()?;
        for daemon in &run.fleet.daemons {
            daemon.wait_until_ready()?;
        }
        run.wait_until_served()?;
        Ok(run)
    }

    /// Runs all steps and returns the result.
    ///
    /// # Errors
    ///
    /// Returns why the run could not be completed.
    pub fn run(mut self) -> Result<OvernightReport, String> {
        let administration_addresses = self.addresses(|settings| settings.administration_address);
        let callers_addresses = self.addresses(|settings| settings.callers_address);
        let services: Vec<_> = self
            .plan
            .services
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        let watch = VersionWatch::start(administration_addresses);
        let callers = OvernightCallers::start(
            self.plan.caller_count,
            &callers_addresses,
            &services,
            CREDENTIAL,
            self.plan.seed,
        );
        for faults in OvernightFault::schedule(self.plan.rounds, self.plan.seed) {
            self.run_step(&faults)?;
        }
        let requests = callers.stop();
        let versions = watch.stop();
        let runs = RunLedger::read(&self.fleet.ledger_path())?;
        Ok(OvernightReport {
            change_count: self.change_count,
            convergence_times: self.convergence_times,
            fault_counts: self.fault_counts,
            leaving_since_ms: self.leaving_since_ms,
            requests,
            runs,
            stop_count: self.stop_count,
            unclean_stop_count: self.unclean_stop_count,
            versions,
        })
    }

    /// Injects faults for the configured time. Commits a change half-way through that time, unless the store is
    /// down. After the faults have ended, commits another change and measures how long it takes to be in force on
    /// all daemons.
    fn run_step(&mut self, faults: &[OvernightFault]) -> Result<(), String> {
        let mut injected = Vec::new();
        for fault in faults {
            *self.fault_counts.entry(*fault).or_default() += 1;
            injected.push((*fault, self.begin_fault(*fault)?));
        }
        thread::sleep(self.plan.fault_duration / 2);
        if !faults.contains(&OvernightFault::StoreDown) {
            self.commit_change()?;
        }
        thread::sleep(self.plan.fault_duration / 2);
        for (fault, daemons) in injected {
            self.end_fault(fault, &daemons)?;
        }
        self.commit_change()?;
        let waiting_since = Instant::now();
        wait_for_version(&self.fleet, self.change_count + 1)?;
        self.convergence_times.push(waiting_since.elapsed());
        Ok(())
    }

    /// Begins a fault at a random daemon, or at a third of them, and returns the indices of the daemons at which
    /// [`Self::end_fault`] must end it. A fault of the store affects no daemon, but also returns one index.
    fn begin_fault(&mut self, fault: OvernightFault) -> Result<Vec<usize>, String> {
        let count = self.fleet.daemons.len();
        let daemon = self.random.usize(..count);
        match fault {
            OvernightFault::DaemonKilled => self.fleet.daemons[daemon].process.kill(),
            OvernightFault::DaemonPaused => self.fleet.daemons[daemon].process.signal("STOP")?,
            OvernightFault::DaemonStopped => {
                self.stop_count += 1;
                let code = self.fleet.daemons[daemon].stop(STOP_TIMEOUT)?;
                self.unclean_stop_count += u64::from(code != Some(0));
            }
            OvernightFault::HerdKilled => {
                let killed: Vec<_> = (0..count).filter(|index| index % 3 == daemon % 3).collect();
                for index in &killed {
                    self.fleet.daemons[*index].process.kill();
                }
                return Ok(killed);
            }
            OvernightFault::StoreAnswerLost => self.inject_store_faults(&FakeFaults {
                lost_answers: 1,
                ..FakeFaults::default()
            })?,
            OvernightFault::StoreDown => self.inject_store_faults(&FakeFaults {
                down: true,
                ..FakeFaults::default()
            })?,
            OvernightFault::StoreSlow => self.inject_store_faults(&FakeFaults {
                delay_ms: STORE_DELAY,
                ..FakeFaults::default()
            })?,
            OvernightFault::UpstreamKilled => self.fleet.daemons[daemon].upstream = None,
            OvernightFault::UpstreamLeaves => self.begin_leaving(daemon)?,
        }
        Ok(vec![daemon])
    }

    /// Ends a fault at the given daemons: restarts, resumes or replaces what it hit, or clears the store's faults.
    fn end_fault(&mut self, fault: OvernightFault, daemons: &[usize]) -> Result<(), String> {
        let programs = self.fleet.programs();
        for index in daemons {
            let daemon = &mut self.fleet.daemons[*index];
            match fault {
                OvernightFault::DaemonKilled
                | OvernightFault::DaemonStopped
                | OvernightFault::HerdKilled => daemon.restart(&programs)?,
                OvernightFault::DaemonPaused => daemon.process.signal("CONT")?,
                OvernightFault::StoreAnswerLost
                | OvernightFault::StoreDown
                | OvernightFault::StoreSlow => self.inject_store_faults(&FakeFaults::default())?,
                OvernightFault::UpstreamKilled | OvernightFault::UpstreamLeaves => {
                    daemon.restart_upstream(&programs)?;
                }
            }
        }
        Ok(())
    }

    fn begin_leaving(&mut self, daemon: usize) -> Result<(), String> {
        if let Some(upstream) = &self.fleet.daemons[daemon].upstream {
            let name = format!("instance-{daemon}.{}", upstream.id());
            upstream.signal("TERM")?;
            self.leaving_since_ms.insert(name, epoch_ms());
        }
        Ok(())
    }

    fn inject_store_faults(&self, faults: &FakeFaults) -> Result<(), String> {
        self.fleet.set_store_faults(faults)
    }

    /// Commits the next configuration version.
    fn commit_change(&mut self) -> Result<(), String> {
        self.change_count += 1;
        let lists = self.lists()?;
        let head = self.fleet.commit(lists)?;
        if head.version.0 == self.change_count + 1 {
            return Ok(());
        }
        Err(format!(
            "the commit made version `{}`, which was not expected",
            head.version
        ))
    }

    /// Returns the lists of the next version, which differ in one customer from those of each other version.
    fn lists(&self) -> Result<Lists, String> {
        let failed = |error: medlarspool_types::IdError| error.to_string();
        let mut services = Vec::new();
        for (name, _) in &self.plan.services {
            services.push(ServiceEntry {
                max_request_bytes: 65_536,
                service: name.parse().map_err(failed)?,
                timeout_ms: Duration::from_secs(3),
            });
        }
        let plan = PlanEntry {
            plan: "standard".parse().map_err(failed)?,
            uses: services.iter().map(|entry| entry.service.clone()).collect(),
            weight: 1,
        };
        let customer = |name: String, credential: &str| -> Result<CustomerEntry, String> {
            Ok(CustomerEntry {
                credential_sha256: CredentialHash::of(credential),
                customer: name.parse().map_err(failed)?,
                plan: plan.plan.clone(),
            })
        };
        let changing = format!("customer-{}", self.change_count);
        let customers = vec![
            customer("caller".into(), CREDENTIAL)?,
            customer(changing.clone(), &changing)?,
        ];
        Lists::new(customers, vec![plan], services).map_err(|error| error.to_string())
    }

    /// Adds a daemon with an upstream for each upstream in the plan, spread over the availability zones in turn.
    fn add_daemons(&mut self) -> Result<(), String> {
        let offered: Vec<String> = self
            .plan
            .services
            .iter()
            .flat_map(|(name, upstreams)| std::iter::repeat_n(name.clone(), *upstreams))
            .collect();
        for (index, service) in offered.into_iter().enumerate() {
            let zone = index % self.plan.zone_count;
            let platform_address = self.fleet.platform_address();
            let name = format!("instance-{index}");
            self.fleet.add_from_spec(&DaemonSpec {
                availability_zone: format!("zone-{zone}"),
                extra_settings: "worker_threads: 32\n".into(),
                instance: name.clone(),
                platform_address,
                region: "region-1".into(),
                // `ProcessDaemon` replaces both addresses of the upstream.
                upstream: Some(UpstreamSettings {
                    address: platform_address,
                    announcements_address: platform_address,
                    behaviour: UpstreamBehaviour::Plain,
                    ledger: Some(self.fleet.ledger_path()),
                    name,
                    service,
                    service_time: self.plan.service_time,
                    slots: self.plan.slots,
                }),
            })?;
        }
        Ok(())
    }

    fn addresses<T>(&self, select: fn(&medlarspool_daemon::Settings) -> T) -> Vec<T> {
        let daemons = self.fleet.daemons.iter();
        daemons.map(|daemon| select(&daemon.settings)).collect()
    }

    fn wait_until_served(&self) -> Result<(), String> {
        for daemon in 0..self.fleet.daemons.len() {
            for (service, _) in &self.plan.services {
                let path = format!("/{service}/warm");
                self.fleet.call_until(daemon, &path, CREDENTIAL, 200)?;
            }
        }
        Ok(())
    }
}
