use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// How often an ending process is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process that this one started and ends, by its id, when the guard is dropped.
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts a program whose output nobody reads.
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

    /// Starts a program and returns the first line that it prints, too.
    ///
    /// # Errors
    ///
    /// Returns why it can't be started or that it printed nothing.
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

    /// Ends the process at once.
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

    /// Asks the process to stop as planned and returns its exit code, or nothing if it is too slow.
    ///
    /// # Errors
    ///
    /// Returns why it can't be asked.
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
