//! Behaviour that tests set over control.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// Behaviour; a control request replaces it as a whole, with defaults for what it leaves out.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent switch of the control message"
)]
pub struct Mode {
    /// Time that a request takes; the command line's if absent.
    pub service_time_ms: Option<u64>,
    /// Announces that the server is leaving.
    pub drain: bool,
    /// Refuses new requests as draining.
    pub drain_refuses: bool,
    /// Runs requests, but keeps their responses until this is false again.
    pub freeze_answers: bool,
    /// Sends no announcements.
    pub mute: bool,
    /// Status that the health endpoint claims.
    pub health: Option<String>,
    /// Number of running requests that the load endpoint claims.
    pub load: Option<u32>,
    /// Delay of the health and load endpoints.
    pub lag_ms: u64,
    /// Number of responses that carry another request's identifier and body.
    pub wrong_id: u32,
    /// Number of responses that end before their declared length.
    pub truncate: u32,
}

/// Defect of one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// None.
    None,
    /// Belongs to another request.
    WrongId,
    /// Shorter than declared.
    Truncated,
}

/// Current behaviour.
#[derive(Debug)]
pub struct Modes {
    default_ms: u64,
    current: Mutex<Mode>,
    changed: Condvar,
}

impl Modes {
    /// Creates the behaviour at the start.
    #[must_use]
    pub fn new(default_ms: u64) -> Self {
        Self {
            default_ms,
            current: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Replaces the behaviour, and returns the previous one.
    pub fn set(&self, mode: Mode) -> Mode {
        let previous = std::mem::replace(&mut *self.lock(), mode);
        self.changed.notify_all();
        previous
    }

    /// Returns the behaviour.
    #[must_use]
    pub fn get(&self) -> Mode {
        self.lock().clone()
    }

    /// Returns the time that a request takes, in milliseconds.
    #[must_use]
    pub fn service_ms(&self) -> u64 {
        self.lock().service_time_ms.unwrap_or(self.default_ms)
    }

    /// Waits until responses are sent, and returns the defect of the next one.
    #[must_use]
    pub fn next_response(&self) -> Defect {
        let mut mode = self.lock();
        while mode.freeze_answers {
            mode = self
                .changed
                .wait(mode)
                .unwrap_or_else(PoisonError::into_inner);
        }
        if mode.wrong_id > 0 {
            mode.wrong_id -= 1;
            Defect::WrongId
        } else if mode.truncate > 0 {
            mode.truncate -= 1;
            Defect::Truncated
        } else {
            Defect::None
        }
    }

    fn lock(&self) -> MutexGuard<'_, Mode> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
