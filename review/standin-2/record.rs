//! Record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record file; clones share it.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            start: Instant::now(),
        })
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let now = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:8.3} s  {text}").expect("the record can be written");
    }
}
