//! Request slots, and recently finished and cancelled requests.

use std::collections::{HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Identifiers kept in each set of recent requests.
const MAX_RECENT_IDS: usize = 100_000;

/// Slots that are available at the start of the warm-up.
const MIN_COLD_SLOTS: u32 = 2;

/// Tracks running, finished and cancelled requests.
#[derive(Debug)]
pub struct RequestTracker {
    slots: u32,
    cold_start: Duration,
    start: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: Vec<String>,
    finished: RecentIds,
    cancelled: RecentIds,
    served: u64,
    refused: u64,
    highest_running: usize,
}

/// Bounded set of identifiers that evicts the oldest first.
#[derive(Debug, Default)]
struct RecentIds {
    ids: HashSet<String>,
    order: VecDeque<String>,
}

/// Reason for which a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartError {
    /// It was cancelled before it started.
    Cancelled,
    /// All slots are in use.
    Shed,
    /// All slots that are available during the warm-up are in use.
    Cold,
}

/// State of a request at its cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It hasn't started and won't start any more.
    NotStarted,
    /// It is running and isn't interrupted.
    Running,
    /// It has finished.
    Finished,
}

/// Request counters, for tests.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Stats {
    running: usize,
    highest_running: usize,
    served: u64,
    refused: u64,
}

impl RequestTracker {
    /// Starts the warm-up.
    #[must_use]
    pub fn new(slots: u32, cold_start: Duration) -> Self {
        Self {
            slots,
            cold_start,
            start: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Acquires a slot for a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request gets no slot.
    pub fn start(&self, id: &str) -> Result<(), StartError> {
        let mut state = self.lock();
        let usable = self.usable_slots();
        let error = if state.cancelled.ids.contains(id) {
            Some(StartError::Cancelled)
        } else if state.running.len() >= self.slots as usize {
            Some(StartError::Shed)
        } else if state.running.len() >= usable as usize {
            Some(StartError::Cold)
        } else {
            None
        };
        if let Some(error) = error {
            return Err(error);
        }
        state.running.push(id.to_owned());
        state.highest_running = state.highest_running.max(state.running.len());
        Ok(())
    }

    /// Releases the slot of a request that took effect.
    pub fn finish(&self, id: &str) {
        let mut state = self.lock();
        state.served += 1;
        state.release_slot(id);
        state.finished.insert(id);
    }

    /// Releases the slot of a request that ended without effect.
    pub fn abort(&self, id: &str) {
        self.lock().release_slot(id);
    }

    /// Counts a refused request.
    pub fn record_refusal(&self) {
        self.lock().refused += 1;
    }

    /// Prevents a request from starting, unless it has started already.
    pub fn cancel(&self, id: &str) -> Progress {
        let mut state = self.lock();
        if state.running.iter().any(|r| r == id) {
            Progress::Running
        } else if state.finished.ids.contains(id) {
            Progress::Finished
        } else {
            state.cancelled.insert(id);
            Progress::NotStarted
        }
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// Returns the number of slots.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the request counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let state = self.lock();
        Stats {
            running: state.running.len(),
            highest_running: state.highest_running,
            served: state.served,
            refused: state.refused,
        }
    }

    fn usable_slots(&self) -> u32 {
        let elapsed = self.start.elapsed();
        if elapsed >= self.cold_start {
            return self.slots;
        }
        let available =
            u128::from(self.slots) * elapsed.as_millis() / self.cold_start.as_millis().max(1);
        let available = u32::try_from(available).unwrap_or(self.slots);
        available.clamp(MIN_COLD_SLOTS.min(self.slots), self.slots)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn release_slot(&mut self, id: &str) {
        if let Some(i) = self.running.iter().position(|r| r == id) {
            self.running.swap_remove(i);
        }
    }
}

impl RecentIds {
    fn insert(&mut self, id: &str) {
        if !self.ids.insert(id.to_owned()) {
            return;
        }
        self.order.push_back(id.to_owned());
        if self.order.len() > MAX_RECENT_IDS {
            let oldest = self
                .order
                .pop_front()
                .expect("an identifier was just added");
            self.ids.remove(&oldest);
        }
    }
}
