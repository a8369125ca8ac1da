//! Behaviour that tests set through the control endpoint.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// Behaviour of the server. A control request replaces it as a whole; omitted fields get their
/// defaults.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent switch of the control message"
)]
pub struct Mode {
    /// Processing time of a request; defaults to the command-line option.
    pub service_time_ms: Option<u64>,
    /// Announces that the server is draining.
    pub drain: bool,
    /// Refuses new requests with the reason `draining`.
    pub drain_refuses: bool,
    /// Runs requests, but holds back their responses until this is false again.
    pub freeze_answers: bool,
    /// Sends no announcements.
    pub mute: bool,
    /// Status that the health endpoint reports instead of `ok`.
    pub health: Option<String>,
    /// Number of requests in flight that the load endpoint reports instead of the real one.
    pub load: Option<u32>,
    /// Delay of responses from the health and load endpoints.
    pub lag_ms: u64,
    /// Number of responses yet to send with the identifier of another request.
    pub wrong_id: u32,
    /// Number of responses yet to send cut short of their declared length.
    pub truncate: u32,
}

/// Defect to put into a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Response is correct.
    None,
    /// Identifier is that of another request.
    WrongId,
    /// Body is shorter than its declared length.
    Truncated,
}

/// Current behaviour, shared by all requests.
#[derive(Debug)]
pub struct ModeState {
    default_service_time_ms: u64,
    current: Mutex<Mode>,
    changed: Condvar,
}

impl ModeState {
    /// Starts with the default behaviour.
    #[must_use]
    pub fn new(default_service_time_ms: u64) -> Self {
        Self {
            default_service_time_ms,
            current: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Replaces the behaviour and returns the previous one.
    pub fn set(&self, mode: Mode) -> Mode {
        let previous = std::mem::replace(&mut *self.lock(), mode);
        self.changed.notify_all();
        previous
    }

    /// Returns a copy of the current behaviour.
    #[must_use]
    pub fn get(&self) -> Mode {
        self.lock().clone()
    }

    /// Returns the processing time of a request, in milliseconds.
    #[must_use]
    pub fn service_time_ms(&self) -> u64 {
        self.lock()
            .service_time_ms
            .unwrap_or(self.default_service_time_ms)
    }

    /// Waits while responses are held back, then returns the defect of the next one.
    #[must_use]
    pub fn next_defect(&self) -> Defect {
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
