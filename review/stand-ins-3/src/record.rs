//! What a script writes to `record.txt`.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started_at: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(
            file,
            "{:9.3} {text}",
            self.started_at.elapsed().as_secs_f64()
        );
    }
}
