use std::{path::Path, time::Duration};

use medlarspool_daemon::Settings;

use crate::{
    ChildProcess, DaemonSpec, ProgramPaths, UpstreamSettings, free_address, wait_until_ready,
};

/// A daemon as a process of its own, with the stand-in upstream beside it as another.
pub struct ProcessDaemon {
    /// The daemon's process.
    pub process: ChildProcess,
    /// The daemon's settings.
    pub settings: Settings,
    settings_path: String,
    /// The upstream's process.
    pub upstream: Option<ChildProcess>,
    /// The upstream's settings.
    pub upstream_settings: Option<UpstreamSettings>,
}

impl ProcessDaemon {
    /// Starts the daemon, and its upstream if the specification has one.
    ///
    /// # Errors
    ///
    /// Returns why either can't be started.
    pub fn start(
        programs: &ProgramPaths,
        spec: &DaemonSpec,
        directory: &Path,
    ) -> Result<Self, String> {
        let yaml = spec.settings_yaml();
        let settings = Settings::parse(&yaml)?;
        let path = directory.join(format!("{}.yaml", spec.instance));
        std::fs::write(&path, yaml).map_err(|error| error.to_string())?;
        let settings_path = path.display().to_string();
        let process = ChildProcess::start(programs.daemon, &["--settings", &settings_path])?;
        let upstream_settings = spec.upstream.clone().map(|upstream| UpstreamSettings {
            announcements_address: settings.announcements_address,
            ..upstream
        });
        let mut daemon = Self {
            process,
            settings,
            settings_path,
            upstream: None,
            upstream_settings,
        };
        daemon.restart_upstream(programs)?;
        Ok(daemon)
    }

    /// Starts the daemon again on the same addresses.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn restart(&mut self, programs: &ProgramPaths) -> Result<(), String> {
        self.process.kill();
        let arguments = ["--settings", self.settings_path.as_str()];
        self.process = ChildProcess::start(programs.daemon, &arguments)?;
        Ok(())
    }

    /// Starts the upstream, again if it was running, on a new address.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn restart_upstream(&mut self, programs: &ProgramPaths) -> Result<(), String> {
        let Some(settings) = &mut self.upstream_settings else {
            return Ok(());
        };
        self.upstream = None;
        settings.address = free_address();
        let arguments = settings.arguments();
        let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
        self.upstream = Some(ChildProcess::start(programs.upstream, &arguments)?);
        Ok(())
    }

    /// Stops the daemon as planned and returns its exit code, or nothing if it is too slow.
    ///
    /// # Errors
    ///
    /// Returns why it can't be asked.
    pub fn stop(&mut self, max_wait: Duration) -> Result<Option<i32>, String> {
        self.process.stop(max_wait)
    }

    /// Returns once the daemon says that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not ready in time.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        wait_until_ready(self.settings.administration_address)
    }
}
