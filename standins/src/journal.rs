//! Journal of a backend server: JSON lines, flushed one by one.
//!
//! Times are `CLOCK_BOOTTIME`, which all processes of a host share, so that the journals of several
//! servers can be compared.

use std::fs;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use serde::Serialize;

/// Open journal.
#[derive(Debug)]
pub struct Journal {
    server: String,
    file: Mutex<Option<fs::File>>,
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// Work starts.
    Start,
    /// Work has ended and taken effect.
    End,
    /// Work was given up without effect, because its grant or deadline had ended by its end.
    Abort,
    /// Request was refused without running.
    Refusal,
    /// Server announces from now on that it is leaving.
    Drain,
}

/// Request as the journal names it.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct Work {
    /// Identifier of the request.
    pub id: String,
    /// Attempt.
    pub attempt: String,
    /// Key, empty if the request has none.
    pub key: String,
    /// Fencing token, empty if the request has none.
    pub token: String,
    /// Whether the method is idempotent.
    pub idempotent: bool,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Line<'a> {
    at: u64,
    event: Event,
    server: &'a str,
    #[serde(flatten)]
    work: &'a Work,
    #[serde(skip_serializing_if = "str::is_empty")]
    reason: &'a str,
}

impl Journal {
    /// Opens a journal for appending; without a path nothing is written.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened.
    pub fn open(server: String, path: Option<&Path>) -> io::Result<Self> {
        let file = match path {
            Some(path) => Some(
                fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(path)?,
            ),
            None => None,
        };
        Ok(Self {
            server,
            file: Mutex::new(file),
        })
    }

    /// Writes one line.
    ///
    /// # Panics
    ///
    /// Panics if the line can't be encoded, which its types rule out.
    pub fn write(&self, at: Duration, event: Event, work: &Work, reason: &str) {
        let line = Line {
            at: u64::try_from(at.as_nanos()).unwrap_or(u64::MAX),
            event,
            server: &self.server,
            work,
            reason,
        };
        let mut text = serde_json::to_vec(&line).expect("journal lines have string keys only");
        text.push(b'\n');
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(file) = file.as_mut() else { return };
        if let Err(e) = file.write_all(&text).and_then(|()| file.flush()) {
            tracing::error!(event = 713, error = %e, "can't write the journal");
        }
    }
}

/// Reads `CLOCK_BOOTTIME`.
///
/// # Panics
///
/// Panics if the kernel has no `CLOCK_BOOTTIME`, which Linux has had since 2.6.39.
#[must_use]
pub fn now() -> Duration {
    let t = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux provides CLOCK_BOOTTIME");
    Duration::from(t)
}
