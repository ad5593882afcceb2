use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
};

use medlarspool_config::{CredentialHash, Lists};
use medlarspool_platform::{Change, CommitOutcome, FakeFaults, HttpPlatform, commit, read_head};
use medlarspool_types::{ConfigHead, IdError};
use tempfile::TempDir;

use crate::{
    CallerReply, ChildProcess, DaemonSpec, PLATFORM_TOKEN, ProcessDaemon, ProgramPaths,
    UpstreamBehaviour, UpstreamSettings, free_address,
};

/// How long this process waits for an answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(10);

/// A fleet of processes on loopback addresses: the stand-in platform, daemons and stand-in upstreams.
pub struct ProcessFleet {
    /// The daemons in the order in which they were added.
    pub daemons: Vec<ProcessDaemon>,
    directory: TempDir,
    /// The platform's process.
    pub platform: ChildProcess,
    platform_address: SocketAddr,
    programs: ProgramPaths,
}

impl ProcessFleet {
    /// Starts the platform, without any daemon.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn start(programs: ProgramPaths) -> Result<Self, String> {
        let address = free_address();
        let listen = address.to_string();
        let arguments = ["--listen", &listen, "--token", PLATFORM_TOKEN];
        let (platform, _) = ChildProcess::start_and_read_line(programs.platform, &arguments)?;
        Ok(Self {
            daemons: Vec::new(),
            directory: TempDir::new().map_err(|error| error.to_string())?,
            platform,
            platform_address: address,
            programs,
        })
    }

    /// Starts a daemon by its specification, which names this fleet's platform, and returns the daemon's position.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn add_from_spec(&mut self, spec: &DaemonSpec) -> Result<usize, String> {
        let daemon = ProcessDaemon::start(&self.programs, spec, self.directory.path())?;
        self.daemons.push(daemon);
        Ok(self.daemons.len() - 1)
    }

    /// Starts a daemon in a zone with an upstream of a service, and returns the daemon's position.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn add(
        &mut self,
        availability_zone: &str,
        service: &str,
        behaviour: UpstreamBehaviour,
        service_time: Duration,
    ) -> Result<usize, String> {
        // `ProcessDaemon` replaces both addresses of the upstream.
        let upstream = UpstreamSettings {
            address: self.platform_address,
            announcements_address: self.platform_address,
            behaviour,
            ledger: Some(self.ledger_path()),
            name: format!("instance-{}", self.daemons.len()),
            service: service.into(),
            service_time,
            slots: 6,
        };
        self.add_daemon(availability_zone, Some(upstream))
    }

    /// Starts a daemon in a zone, with this upstream or without one, and returns the daemon's position.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn add_daemon(
        &mut self,
        availability_zone: &str,
        upstream: Option<UpstreamSettings>,
    ) -> Result<usize, String> {
        let index = self.daemons.len();
        let spec = DaemonSpec {
            availability_zone: availability_zone.into(),
            extra_settings: "spread:\n  join_spread_ms: 200\n".into(),
            instance: format!("instance-{index}"),
            platform_address: self.platform_address,
            region: "region-1".into(),
            upstream,
        };
        self.add_from_spec(&spec)
    }

    /// Sends a caller's GET request to a daemon.
    ///
    /// # Errors
    ///
    /// Returns why no complete reply was received.
    pub fn call(&self, daemon: usize, path: &str, credential: &str) -> Result<CallerReply, String> {
        let address = self.daemons[daemon].settings.callers_address;
        CallerReply::get(&format!("http://{address}{path}"), credential)
    }

    /// Sends a caller's POST request with headers to a daemon.
    ///
    /// # Errors
    ///
    /// Returns why no complete reply was received.
    pub fn post(
        &self,
        daemon: usize,
        path: &str,
        credential: &str,
        headers: &[(&str, &str)],
    ) -> Result<CallerReply, String> {
        let address = self.daemons[daemon].settings.callers_address;
        let url = format!("http://{address}{path}");
        CallerReply::post(&url, credential, headers, "a body")
    }

    /// Returns how often all upstreams together ran the request with an `x-request-id`.
    ///
    /// # Panics
    ///
    /// Panics if an upstream doesn't report its count, which would otherwise be taken for no run.
    #[must_use]
    pub fn run_count(&self, id: &str) -> u32 {
        (0..self.daemons.len())
            .map(|daemon| self.daemon_run_count(daemon, id))
            .sum()
    }

    /// Returns how often the upstream of a daemon's instance ran the request with an `x-request-id`.
    ///
    /// # Panics
    ///
    /// Panics if the upstream doesn't report its count.
    #[must_use]
    pub fn daemon_run_count(&self, daemon: usize, id: &str) -> u32 {
        let Some(upstream) = &self.daemons[daemon].upstream_settings else {
            return 0;
        };
        let url = format!("http://{}/runs/{id}", upstream.address);
        let reply = CallerReply::get(&url, "").expect("the upstream reports its run count");
        reply.body.parse().expect("a run count")
    }

    /// Repeats a call until its reply has the expected status, and returns that reply.
    ///
    /// # Errors
    ///
    /// Returns the last reply if none had that status after 200 calls.
    pub fn call_until(
        &self,
        daemon: usize,
        path: &str,
        credential: &str,
        status: u16,
    ) -> Result<CallerReply, String> {
        let mut last_reply = Err(String::from("no call was made"));
        for _ in 0..200 {
            last_reply = self.call(daemon, path, credential);
            if last_reply
                .as_ref()
                .is_ok_and(|reply| reply.status == status)
            {
                return last_reply;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!(
            "no reply had status `{status}`; last reply: {last_reply:?}"
        ))
    }

    /// Commits lists as the next version, whatever the current version is.
    ///
    /// # Errors
    ///
    /// Returns why they weren't accepted.
    pub fn commit(&self, lists: Lists) -> Result<ConfigHead, String> {
        let platform = self.platform_client();
        let base = read_head(&platform).map_err(|error| error.to_string())?;
        let base = base.unwrap_or_default().version;
        let id = format!("bench-{}", base.next());
        let change = Change {
            asked_at_ms: 0,
            base,
            id: id.parse().map_err(|error: IdError| error.to_string())?,
            lists,
            operator: "bench".into(),
            sent_before: false,
        };
        match commit(&platform, &change).map_err(|error| error.to_string())? {
            CommitOutcome::Accepted { head, .. } | CommitOutcome::Unchanged { head } => Ok(head),
        }
    }

    /// Returns the path of the ledger in which the fleet's upstreams record each run.
    #[must_use]
    pub fn ledger_path(&self) -> PathBuf {
        self.directory.path().join("ledger")
    }

    /// Sets the faults that the platform injects.
    ///
    /// # Errors
    ///
    /// Returns why the platform can't be reached or refuses.
    pub fn set_store_faults(&self, faults: &FakeFaults) -> Result<(), String> {
        let faults = serde_json::to_string(faults).map_err(|error| error.to_string())?;
        ureq::put(format!("http://{}/admin/faults", self.platform_address))
            .config()
            .timeout_global(Some(PLATFORM_TIMEOUT))
            .build()
            .header("authorization", format!("Bearer {PLATFORM_TOKEN}"))
            .send(faults)
            .map_err(|error| error.to_string())?;
        Ok(())
    }

    /// Returns a client of the fleet's platform.
    #[must_use]
    pub fn platform_client(&self) -> HttpPlatform {
        HttpPlatform::new(self.platform_address, PLATFORM_TOKEN, PLATFORM_TIMEOUT)
    }

    /// Returns the address of the fleet's platform.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        self.platform_address
    }

    /// Runs the operators' command with the fleet's platform.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn command(&self, arguments: &[&str]) -> Result<Output, String> {
        let platform = self.platform_address.to_string();
        let mut arguments = arguments.to_vec();
        arguments.extend(["--platform", &platform, "--token", PLATFORM_TOKEN]);
        self.command_without_platform(&arguments)
    }

    /// Runs the operators' command with these arguments only.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn command_without_platform(&self, arguments: &[&str]) -> Result<Output, String> {
        Command::new(self.programs.command)
            .args(arguments)
            .output()
            .map_err(|error| error.to_string())
    }

    /// Puts lists of one customer, whose plan may use these services, with the operators' command. They are an
    /// edit of the version `base`, or the first version if `base` is 0.
    ///
    /// # Errors
    ///
    /// Returns the command's error output if the lists weren't accepted.
    pub fn put(&self, base: u64, credential: &str, uses: &[&str]) -> Result<(), String> {
        let customers = self.write_file("customers.yaml", &customers_yaml(credential))?;
        let plans = self.write_file("plans.yaml", &plans_yaml(uses))?;
        let base = base.to_string();
        let mut arguments = vec!["put", "--customers", &customers, "--plans", &plans];
        if base != "0" {
            arguments.extend(["--base", &base]);
        }
        let output = self.command(&arguments)?;
        if output.status.success() {
            return Ok(());
        }
        Err(String::from_utf8_lossy(&output.stderr).into_owned())
    }

    /// Returns the paths of the programs that the fleet runs.
    #[must_use]
    pub fn programs(&self) -> ProgramPaths {
        self.programs
    }

    fn write_file(&self, name: &str, text: &str) -> Result<String, String> {
        let path: PathBuf = self.directory.path().join(name);
        std::fs::write(&path, text).map_err(|error| error.to_string())?;
        Ok(path.display().to_string())
    }
}

fn customers_yaml(credential: &str) -> String {
    let hash = CredentialHash::of(credential);
    format!(
        "customers:\n  - customer: karoo-school\n    plan: observer\n    credential_sha256: {hash}\n"
    )
}

fn plans_yaml(uses: &[&str]) -> String {
    let services = ["alerts", "bookings", "sightings", "sky-map"].map(|service| {
        format!("  - service: {service}\n    timeout_ms: 5000\n    max_request_bytes: 65536\n")
    });
    format!(
        "services:\n{}plans:\n  - plan: observer\n    uses: [{}]\n    weight: 1\n",
        services.concat(),
        uses.join(", ")
    )
}
