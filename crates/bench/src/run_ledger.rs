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
    /// When it began, in milliseconds since the Unix epoch.
    pub began_at_ms: u64,
    /// The life of the upstream that ran it.
    pub upstream: String,
}

/// Where all upstreams of a fleet note each run before they begin it, so that a crash loses none.
#[derive(Debug)]
pub struct RunLedger {
    file: Mutex<File>,
}

impl RunLedger {
    /// Opens a ledger to add to it.
    ///
    /// # Errors
    ///
    /// Returns why the file can't be opened.
    pub fn open(path: &Path) -> Result<Self, String> {
        let file = OpenOptions::new().append(true).create(true).open(path);
        let file = file.map_err(|error| format!("`{}`: {error}", path.display()))?;
        Ok(Self { file: file.into() })
    }

    /// Notes that an upstream begins to run a request.
    pub fn record(&self, request_id: &str, upstream: &str) {
        let line = format!("{request_id} {upstream} {}\n", epoch_ms());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(line.as_bytes()) {
            log::error!(error = error.to_string().as_str(); "a run was not noted");
        }
    }

    /// Reads all runs by request.
    ///
    /// # Errors
    ///
    /// Returns why the file can't be read.
    pub fn read(path: &Path) -> Result<HashMap<String, Vec<LedgerRun>>, String> {
        let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
        let mut runs: HashMap<String, Vec<LedgerRun>> = HashMap::new();
        for line in text.lines() {
            let mut words = line.split(' ');
            let (Some(id), Some(upstream), Some(time)) = (words.next(), words.next(), words.next())
            else {
                return Err(format!("`{line}` is no run"));
            };
            runs.entry(id.into()).or_default().push(LedgerRun {
                began_at_ms: time.parse().map_err(|_| format!("`{time}` is no time"))?,
                upstream: upstream.into(),
            });
        }
        Ok(runs)
    }
}

/// Returns the milliseconds since the Unix epoch.
#[must_use]
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
