//! Retry budget: how many requests an entry may send again.
//!
//! Retries that grow with failures turn a slow server into an overloaded one. The budget ties them
//! to recent successes; a small floor lets a service with little traffic retry at all.

use std::collections::VecDeque;
use std::time;

use crate::state::clock;

/// Time over which successes and retries are counted.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Retries in a window that need no successes.
pub const MIN_RETRIES: u64 = 10;

/// Length of the intervals in which the window moves.
const STEP: time::Duration = time::Duration::from_secs(1);

/// RetryBudget of one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u32,
    steps: VecDeque<Step>,
    successes: u64,
    retries: u64,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    start: clock::Instant,
    successes: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget of retries in percent of successes.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        Self {
            percent,
            steps: VecDeque::new(),
            successes: 0,
            retries: 0,
        }
    }

    /// Changes the share.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a success.
    pub fn record_success(&mut self, now: clock::Instant) {
        self.step(now).successes += 1;
        self.successes += 1;
    }

    /// Takes a retry out of the budget; returns whether there was one left.
    #[must_use]
    pub fn try_retry(&mut self, now: clock::Instant) -> bool {
        self.advance(now);
        let share = self.successes * u64::from(self.percent) / 100;
        if self.retries >= share + MIN_RETRIES {
            return false;
        }
        self.step(now).retries += 1;
        self.retries += 1;
        true
    }

    fn step(&mut self, now: clock::Instant) -> &mut Step {
        self.advance(now);
        let current = self.steps.back().is_some_and(|s| now.since(s.start) < STEP);
        if !current {
            self.steps.push_back(Step {
                start: now,
                successes: 0,
                retries: 0,
            });
        }
        self.steps
            .back_mut()
            .expect("a step was added if there was none")
    }

    /// Forgets the steps that have left the window.
    fn advance(&mut self, now: clock::Instant) {
        while let Some(step) = self.steps.front()
            && now.since(step.start) > WINDOW
        {
            self.successes -= step.successes;
            self.retries -= step.retries;
            self.steps.pop_front();
        }
    }
}
