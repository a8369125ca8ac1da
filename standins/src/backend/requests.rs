//! Requests that run, have finished or were cancelled.

use std::collections::{HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Number of identifiers that are remembered.
const REMEMBERED: usize = 100_000;

/// Slots of a cold server at its start.
const COLD_SLOTS: u32 = 2;

/// Slots and identifiers.
#[derive(Debug)]
pub struct Requests {
    slots: u32,
    cold: Duration,
    start: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: Vec<String>,
    finished: Memory,
    cancelled: Memory,
    served: u64,
    refused: u64,
    highest: usize,
}

/// Bounded set; the oldest identifier is forgotten first.
#[derive(Debug, Default)]
struct Memory {
    known: HashSet<String>,
    order: VecDeque<String>,
}

/// Why a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It was cancelled before its start.
    Cancelled,
    /// All slots are taken.
    Shed,
    /// All slots that a cold server has are taken.
    Cold,
}

/// State of a request, in response to its cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It has not started and will not start.
    NotStarted,
    /// It runs.
    Running,
    /// It has finished.
    Finished,
}

/// Numbers for tests.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Stats {
    running: usize,
    highest_running: usize,
    served: u64,
    refused: u64,
}

impl Requests {
    /// Creates the slots of a server that starts now.
    #[must_use]
    pub fn new(slots: u32, cold: Duration) -> Self {
        Self {
            slots,
            cold,
            start: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Takes a slot for a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request gets no slot.
    pub fn start(&self, id: &str) -> Result<(), Refused> {
        let mut state = self.lock();
        let warm = self.warm_slots();
        let refused = if state.cancelled.known.contains(id) {
            Some(Refused::Cancelled)
        } else if state.running.len() >= self.slots as usize {
            Some(Refused::Shed)
        } else if state.running.len() >= warm as usize {
            Some(Refused::Cold)
        } else {
            None
        };
        if let Some(refused) = refused {
            return Err(refused);
        }
        state.running.push(id.to_owned());
        state.highest = state.highest.max(state.running.len());
        Ok(())
    }

    /// Returns the slot of a request that has taken effect.
    pub fn finish(&self, id: &str) {
        let mut state = self.lock();
        state.served += 1;
        state.leave(id);
        state.finished.insert(id);
    }

    /// Returns the slot of a request that was given up without effect.
    pub fn abort(&self, id: &str) {
        self.lock().leave(id);
    }

    /// Counts a refusal.
    pub fn refuse(&self) {
        self.lock().refused += 1;
    }

    /// Cancels a request unless it has started.
    pub fn cancel(&self, id: &str) -> Progress {
        let mut state = self.lock();
        if state.running.iter().any(|r| r == id) {
            Progress::Running
        } else if state.finished.known.contains(id) {
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

    /// Returns numbers for tests.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let state = self.lock();
        Stats {
            running: state.running.len(),
            highest_running: state.highest,
            served: state.served,
            refused: state.refused,
        }
    }

    fn warm_slots(&self) -> u32 {
        let elapsed = self.start.elapsed();
        if elapsed >= self.cold {
            return self.slots;
        }
        let grown = u128::from(self.slots) * elapsed.as_millis() / self.cold.as_millis().max(1);
        let grown = u32::try_from(grown).unwrap_or(self.slots);
        grown.clamp(COLD_SLOTS.min(self.slots), self.slots)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn leave(&mut self, id: &str) {
        if let Some(i) = self.running.iter().position(|r| r == id) {
            self.running.swap_remove(i);
        }
    }
}

impl Memory {
    fn insert(&mut self, id: &str) {
        if !self.known.insert(id.to_owned()) {
            return;
        }
        self.order.push_back(id.to_owned());
        if self.order.len() > REMEMBERED {
            let oldest = self.order.pop_front().expect("the memory is not empty");
            self.known.remove(&oldest);
        }
    }
}
