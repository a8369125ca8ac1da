//! Record of what was sent, answered and run, written to `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            start: Instant::now(),
        })
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line, which begins with the seconds since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{seconds:9.3} {text}").expect("the record can be written");
    }
}
