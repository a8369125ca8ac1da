//! Load measurement of the slices that this node owns, reported with lease renewals.
//!
//! Rates are averaged over the last ten seconds, so that balancing does not react to noise. When
//! slices are split or merged the measurement restarts, because earlier counts refer to other ranges.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time;

use crate::protocol::peer;
use crate::state::{clock, ids, record, sketch};

/// Sliding window over which rates are measured.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Length of the buckets of the window.
const BUCKET_LENGTH: time::Duration = time::Duration::from_secs(1);

/// Number of keys that are counted individually. A key with more than 1/256 of the requests is
/// guaranteed to be among them.
const TRACKED_KEYS: usize = 256;

/// Half-life of a request in the rate of its key.
const KEY_RATE_HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// Number of hot keys that are reported.
const REPORTED_KEYS: usize = 16;

/// Measures request rates per slice and per key.
#[derive(Debug)]
pub struct Meter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Starts of the slices to which the counts refer.
    layout: Vec<ids::KeyHash>,
    buckets: VecDeque<Bucket>,
    keys: sketch::Sketch,
}

#[derive(Debug)]
struct Bucket {
    start: clock::Instant,
    slices: HashMap<ids::KeyHash, u64>,
}

impl Bucket {
    fn new(start: clock::Instant) -> Self {
        Self {
            start,
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
            buckets: VecDeque::from([Bucket::new(now)]),
            keys: sketch::Sketch::new(TRACKED_KEYS, KEY_RATE_HALF_LIFE, now),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Records a request to a slice with the hash of its key.
    pub fn record(&self, slice: ids::KeyHash, hash: ids::KeyHash, now: clock::Instant) {
        let mut state = self.lock();
        state.rotate(now);
        if let Some(bucket) = state.buckets.back_mut() {
            *bucket.slices.entry(slice).or_default() += 1;
        }
        state.keys.add(hash, now);
    }

    /// Returns the load of the slices of a record, and restarts the measurement if they have changed.
    #[must_use]
    pub fn report(&self, record: &record::PartitionRecord, now: clock::Instant) -> peer::Load {
        let mut state = self.lock();
        let starts = record.slices.iter().map(|s| s.start);
        if !starts.clone().eq(state.layout.iter().copied()) {
            state.layout = starts.collect();
            state.buckets = VecDeque::from([Bucket::new(now)]);
        }
        state.rotate(now);
        state.load(now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Starts a new bucket when the last one is full, and drops those that have left the window.
    fn rotate(&mut self, now: clock::Instant) {
        let last = self.buckets.back().map(|s| s.start);
        if last.is_none_or(|start| now.since(start) >= BUCKET_LENGTH) {
            self.buckets.push_back(Bucket::new(now));
        }
        while self
            .buckets
            .get(1)
            .is_some_and(|s| now.since(s.start) >= WINDOW)
        {
            self.buckets.pop_front();
        }
    }

    fn load(&self, now: clock::Instant) -> peer::Load {
        let start = self.buckets.front().map_or(now, |s| s.start);
        let seconds = now.since(start).as_secs_f64();
        let mut counts: HashMap<_, u64> = HashMap::new();
        for (slice, count) in self.buckets.iter().flat_map(|s| &s.slices) {
            *counts.entry(*slice).or_default() += count;
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
            hot: self.keys.top(REPORTED_KEYS, now),
        }
    }
}
