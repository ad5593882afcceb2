//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes `record.txt`; each line begins with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started_at: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            started_at: Instant::now(),
        })
    }

    /// Returns the seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.now_s());
        let _ = file.flush();
    }

    /// Adds a line and shows it.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now_s());
        self.line(text);
    }
}
