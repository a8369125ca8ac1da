//! Request journal of a backend server: JSON lines, each flushed when written.
//!
//! Timestamps are `CLOCK_BOOTTIME`, which all processes of a host share, so that the journals of
//! several servers can be merged.

use std::fs;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use serde::Serialize;

/// Journal that is open for appending.
#[derive(Debug)]
pub struct Journal {
    server: String,
    file: Mutex<Option<fs::File>>,
}

/// Kind of a journal line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request starts to run.
    Start,
    /// A request has run and taken effect.
    End,
    /// A request ran without effect, because its grant or deadline had expired by the end.
    Abort,
    /// A request was refused without running.
    Refusal,
    /// The server announces from now on that it is draining.
    Drain,
}

/// Identifies a request in the journal; all fields are empty in lines about the server.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct Work {
    /// Request identifier.
    pub id: String,
    /// Attempt number, as received.
    pub attempt: String,
    /// Key; empty if the request has none.
    pub key: String,
    /// Fencing token; empty if the request has none.
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
    /// Opens a journal for appending. Without a path, writes are discarded.
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

    /// Appends one line. `at` is a `CLOCK_BOOTTIME` timestamp.
    ///
    /// # Panics
    ///
    /// Panics if the line can't be encoded. Its types rule that out.
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
            tracing::error!(event = 713, error = %e, "failed to write the journal");
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
