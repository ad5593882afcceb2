use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// The interval between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process, which is killed by its id when this guard is dropped.
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts a program and discards its standard output.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started.
    pub fn start(program: &str, arguments: &[&str]) -> Result<Self, String> {
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .map_err(|error| format!("`{program}`: {error}"))?;
        Ok(Self { child })
    }

    /// Starts a program and also returns the first line of its standard output.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started or its output can't be read.
    pub fn start_and_read_line(
        program: &str,
        arguments: &[&str],
    ) -> Result<(Self, String), String> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| format!("`{program}`: {error}"))?;
        let output = child.stdout.take().ok_or("no output to read")?;
        let mut line = String::new();
        let read = BufReader::new(output).read_line(&mut line);
        read.map_err(|error| error.to_string())?;
        Ok((Self { child }, line.trim().to_owned()))
    }

    /// Returns the process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Err(error) = self.child.kill() {
            log::warn!(error = error.to_string().as_str(); "the process can't be killed");
        }
        if let Err(error) = self.child.wait() {
            log::warn!(error = error.to_string().as_str(); "the process can't be waited for");
        }
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Returns why it can't be sent.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &self.id().to_string()])
            .status()
            .map_err(|error| error.to_string())?;
        if sent.success() {
            return Ok(());
        }
        Err(format!("signal `{name}` was not sent"))
    }

    /// Asks the process to stop by `TERM` and returns its exit code, or `None` if it hasn't ended after
    /// `max_wait` or was ended by a signal.
    ///
    /// # Errors
    ///
    /// Returns why the signal can't be sent or the process can't be checked.
    pub fn stop(&mut self, max_wait: Duration) -> Result<Option<i32>, String> {
        self.signal("TERM")?;
        let deadline = Instant::now() + max_wait;
        while Instant::now() < deadline {
            let status = self.child.try_wait().map_err(|error| error.to_string())?;
            if let Some(status) = status {
                return Ok(status.code());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(None)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
