//! Load of the slices that this node owns, reported with renewals.
//!
//! Rates are measured over the last ten seconds, because balance would follow chance otherwise. When
//! slices were split or merged the measurement starts anew: earlier counts belong to other ranges.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time;

use crate::protocol::peer;
use crate::state::{clock, ids, record, sketch};

/// Time over which rates are measured.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Part of the window that is dropped at once.
const STEP: time::Duration = time::Duration::from_secs(1);

/// Keys that are counted apart; a key with more than 1/256 of the requests is certainly among them.
const KEYS: usize = 256;

/// Time after which a request counts half in the rate of its key.
const HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// Hottest keys that are reported.
const REPORTED: usize = 16;

/// Requests in the window.
#[derive(Debug)]
pub struct Meter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Starts of the slices that the counts refer to.
    layout: Vec<ids::KeyHash>,
    steps: VecDeque<Step>,
    keys: sketch::Sketch,
}

#[derive(Debug)]
struct Step {
    since: clock::Instant,
    slices: HashMap<ids::KeyHash, u64>,
}

impl Step {
    fn new(since: clock::Instant) -> Self {
        Self {
            since,
            slices: HashMap::new(),
        }
    }
}

impl Default for Meter {
    fn default() -> Self {
        Self::new(clock::Instant::now())
    }
}

impl Meter {
    /// Creates a meter that measures from now on.
    #[must_use]
    pub fn new(now: clock::Instant) -> Self {
        let state = State {
            layout: Vec::new(),
            steps: VecDeque::from([Step::new(now)]),
            keys: sketch::Sketch::new(KEYS, HALF_LIFE, now),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Counts a request for a slice and its hash.
    pub fn record(&self, slice: ids::KeyHash, hash: ids::KeyHash, now: clock::Instant) {
        let mut state = self.lock();
        state.advance(now);
        if let Some(step) = state.steps.back_mut() {
            *step.slices.entry(slice).or_default() += 1;
        }
        state.keys.add(hash, now);
    }

    /// Returns the rates of the slices of a record.
    #[must_use]
    pub fn report(&self, record: &record::PartitionRecord, now: clock::Instant) -> peer::Load {
        let mut state = self.lock();
        let starts = record.slices.iter().map(|s| s.start);
        if !starts.clone().eq(state.layout.iter().copied()) {
            state.layout = starts.collect();
            state.steps = VecDeque::from([Step::new(now)]);
        }
        state.advance(now);
        state.load(now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Begins a new step when the last one is over, and drops those that have left the window.
    fn advance(&mut self, now: clock::Instant) {
        let last = self.steps.back().map(|s| s.since);
        if last.is_none_or(|since| now.since(since) >= STEP) {
            self.steps.push_back(Step::new(now));
        }
        while self
            .steps
            .get(1)
            .is_some_and(|s| now.since(s.since) >= WINDOW)
        {
            self.steps.pop_front();
        }
    }

    fn load(&self, now: clock::Instant) -> peer::Load {
        let since = self.steps.front().map_or(now, |s| s.since);
        let seconds = now.since(since).as_secs_f64();
        let mut counts: HashMap<_, u64> = HashMap::new();
        for (start, count) in self.steps.iter().flat_map(|s| &s.slices) {
            *counts.entry(*start).or_default() += count;
        }
        let rate = |count: u64| {
            if seconds > 0.0 {
                count as f64 / seconds
            } else {
                0.0
            }
        };
        peer::Load {
            seconds,
            rate: rate(counts.values().sum()),
            slices: counts.iter().map(|(s, n)| (*s, rate(*n))).collect(),
            hot: self.keys.top(REPORTED, now),
        }
    }
}
