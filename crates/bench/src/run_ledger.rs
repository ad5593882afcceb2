use std::{
    collections::HashMap,
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
    sync::{Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

/// One run of a request at an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerRun {
    /// When the run began, in milliseconds since the Unix epoch.
    pub began_at_ms: u64,
    /// The name and process id of the upstream that ran it, and so its incarnation.
    pub upstream: String,
}

/// A file in which all upstreams of a fleet record each run before they begin it, so that a crash loses none.
#[derive(Debug)]
pub struct RunLedger {
    file: Mutex<File>,
}

impl RunLedger {
    /// Opens a ledger to append to it, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns why the file can't be opened.
    pub fn open(path: &Path) -> Result<Self, String> {
        let file = OpenOptions::new().append(true).create(true).open(path);
        let file = file.map_err(|error| format!("`{}`: {error}", path.display()))?;
        Ok(Self { file: file.into() })
    }

    /// Records that an upstream begins to run a request; a failure is only logged.
    pub fn record(&self, request_id: &str, upstream: &str) {
        let line = format!("{request_id} {upstream} {}\n", epoch_ms());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(line.as_bytes()) {
            log::error!(error = error.to_string().as_str(); "could not record a run in the ledger");
        }
    }

    /// Reads all runs, by request id.
    ///
    /// # Errors
    ///
    /// Returns why the file can't be read, or the line that is not a valid run.
    pub fn read(path: &Path) -> Result<HashMap<String, Vec<LedgerRun>>, String> {
        let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
        let mut runs: HashMap<String, Vec<LedgerRun>> = HashMap::new();
        for line in text.lines() {
            let mut fields = line.split(' ');
            let (Some(id), Some(upstream), Some(time)) =
                (fields.next(), fields.next(), fields.next())
            else {
                return Err(format!("`{line}` is not a valid run"));
            };
            runs.entry(id.into()).or_default().push(LedgerRun {
                began_at_ms: time
                    .parse()
                    .map_err(|_| format!("`{time}` is not a time in milliseconds"))?,
                upstream: upstream.into(),
            });
        }
        Ok(runs)
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
#[must_use]
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
