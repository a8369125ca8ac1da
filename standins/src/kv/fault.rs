//! Fault injection and call counts of the key-value service.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the service handles calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// It responds normally.
    #[default]
    Up,
    /// It closes each connection without a response.
    Down,
    /// It accepts connections but sends no responses until the mode changes.
    Silent,
    /// It delays each response.
    Slow,
}

/// Fault to inject, as set through the control endpoint.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// How the service handles calls.
    pub mode: Mode,
    /// Delay of each call in [`Mode::Slow`], in milliseconds.
    pub slow_ms: u64,
    /// Number of further writes that take effect without a response.
    pub lose_answers: u64,
}

/// Injected fault and call counts.
#[derive(Debug, Default)]
pub struct FaultState {
    current: Mutex<Fault>,
    changed: Condvar,
    gets: AtomicU64,
    puts: AtomicU64,
    lists: AtomicU64,
    watches: AtomicU64,
    waiting_watches: AtomicI64,
}

/// Kind of an API call.
#[derive(Debug, Clone, Copy)]
pub enum CallKind {
    /// Read one entry.
    Get,
    /// Compare and swap one entry.
    Put,
    /// List entries.
    List,
    /// Wait for changes.
    Watch,
}

/// Calls since the start, including those that got no response because of a fault.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Counts {
    get: u64,
    put: u64,
    list: u64,
    watch: u64,
    waiting_watches: i64,
}

impl FaultState {
    /// Replaces the injected fault.
    pub fn set(&self, fault: Fault) {
        *self.lock() = fault;
        self.changed.notify_all();
    }

    /// Returns the current mode.
    #[must_use]
    pub fn mode(&self) -> Mode {
        self.lock().mode
    }

    /// Applies the injected delay, then returns whether the call gets a response. Blocks in
    /// [`Mode::Silent`] until the mode changes.
    #[must_use]
    pub fn should_respond(&self) -> bool {
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

    /// Returns whether a write gets no response, and counts it off [`Fault::lose_answers`].
    #[must_use]
    pub fn take_lost_answer(&self) -> bool {
        let mut fault = self.lock();
        let lost = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        lost
    }

    /// Counts a call.
    pub fn record_call(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Get => &self.gets,
            CallKind::Put => &self.puts,
            CallKind::List => &self.lists,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Changes the number of watches that are waiting.
    pub fn add_waiting_watches(&self, change: i64) {
        self.waiting_watches.fetch_add(change, Ordering::Relaxed);
    }

    /// Returns the call counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            get: self.gets.load(Ordering::Relaxed),
            put: self.puts.load(Ordering::Relaxed),
            list: self.lists.load(Ordering::Relaxed),
            watch: self.watches.load(Ordering::Relaxed),
            waiting_watches: self.waiting_watches.load(Ordering::Relaxed),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Fault> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
