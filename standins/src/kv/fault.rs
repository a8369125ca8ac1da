//! Faults of the service, and counts of its calls.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the service behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// It answers.
    #[default]
    Up,
    /// It closes each connection without an answer.
    Down,
    /// It accepts connections and answers nothing until the mode changes.
    Silent,
    /// It answers late.
    Slow,
}

/// Fault as set over control.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Behaviour.
    pub mode: Mode,
    /// Delay of each call in the mode [`Mode::Slow`], in milliseconds.
    pub slow_ms: u64,
    /// Number of writes that take effect and are not answered.
    pub lose_answers: u64,
}

/// Current fault and counts.
#[derive(Debug, Default)]
pub struct Faults {
    current: Mutex<Fault>,
    changed: Condvar,
    gets: AtomicU64,
    puts: AtomicU64,
    lists: AtomicU64,
    watches: AtomicU64,
    waiting: AtomicI64,
}

/// Kind of call.
#[derive(Debug, Clone, Copy)]
pub enum Call {
    /// Read of an entry.
    Get,
    /// Compare-and-swap.
    Put,
    /// Listing.
    List,
    /// Start of a watch.
    Watch,
}

/// Counts of calls since the start, also of those that a fault left unanswered.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Counts {
    get: u64,
    put: u64,
    list: u64,
    watch: u64,
    waiting_watches: i64,
}

impl Faults {
    /// Sets the fault.
    pub fn set(&self, fault: Fault) {
        *self.lock() = fault;
        self.changed.notify_all();
    }

    /// Returns the mode.
    #[must_use]
    pub fn mode(&self) -> Mode {
        self.lock().mode
    }

    /// Returns whether the service answers; blocks while it is silent.
    #[must_use]
    pub fn admit(&self) -> bool {
        let mut fault = self.lock();
        while fault.mode == Mode::Silent {
            fault = self
                .changed
                .wait(fault)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let Fault { mode, slow_ms, .. } = *fault;
        drop(fault);
        if mode == Mode::Slow {
            std::thread::sleep(Duration::from_millis(slow_ms));
        }
        mode != Mode::Down
    }

    /// Returns whether the answer to a write is to be lost.
    #[must_use]
    pub fn loses_answer(&self) -> bool {
        let mut fault = self.lock();
        let lost = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        lost
    }

    /// Counts a call.
    pub fn count(&self, call: Call) {
        let counter = match call {
            Call::Get => &self.gets,
            Call::Put => &self.puts,
            Call::List => &self.lists,
            Call::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds to the number of waiting watches.
    pub fn add_waiting(&self, change: i64) {
        self.waiting.fetch_add(change, Ordering::Relaxed);
    }

    /// Returns the counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            get: self.gets.load(Ordering::Relaxed),
            put: self.puts.load(Ordering::Relaxed),
            list: self.lists.load(Ordering::Relaxed),
            watch: self.watches.load(Ordering::Relaxed),
            waiting_watches: self.waiting.load(Ordering::Relaxed),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Fault> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
