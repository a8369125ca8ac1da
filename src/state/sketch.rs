//! Heavy hitters among key hashes: the SpaceSaving algorithm with exponential decay.
//!
//! Instead of decaying all earlier counts, each observation is weighted by the time since the
//! sketch's start, so that an addition updates only one counter.

use std::collections::HashMap;
use std::time;

use crate::state::{clock, ids};

/// Weight of one observation above which all counts are scaled down, long before they overflow.
const RESCALE: f64 = 1e12;

/// Decayed counts of the most frequent keys and of all requests.
#[derive(Debug, Clone)]
pub struct Sketch {
    capacity: usize,
    half_life: time::Duration,
    start: clock::Instant,
    total: f64,
    counters: HashMap<ids::KeyHash, Counter>,
}

#[derive(Debug, Clone, Copy)]
struct Counter {
    count: f64,
    /// Part of the count that may belong to previously evicted keys.
    error: f64,
}

impl Sketch {
    /// Creates an empty sketch that tracks at most `capacity` keys.
    ///
    /// # Panics
    ///
    /// Panics if the capacity or the half-life is zero.
    #[must_use]
    pub fn new(capacity: usize, half_life: time::Duration, now: clock::Instant) -> Self {
        assert!(capacity > 0, "the capacity must be positive");
        assert!(!half_life.is_zero(), "the half-life must be positive");
        Self {
            capacity,
            half_life,
            start: now,
            total: 0.0,
            counters: HashMap::with_capacity(capacity),
        }
    }

    /// Counts one request.
    pub fn add(&mut self, key: ids::KeyHash, now: clock::Instant) {
        let weight = self.weight(now);
        let weight = if weight > RESCALE {
            self.rescale(now, weight);
            1.0
        } else {
            weight
        };
        self.total += weight;
        if let Some(counter) = self.counters.get_mut(&key) {
            counter.count += weight;
            return;
        }
        let error = self.evict_if_full();
        let counter = Counter {
            count: error + weight,
            error,
        };
        self.counters.insert(key, counter);
    }

    /// Returns the total rate, in requests per second.
    #[must_use]
    pub fn rate(&self, now: clock::Instant) -> f64 {
        self.total * self.scale(now)
    }

    /// Returns the most frequent keys with a lower bound of their rates, the highest first.
    #[must_use]
    pub fn top(&self, count: usize, now: clock::Instant) -> Vec<(ids::KeyHash, f64)> {
        let scale = self.scale(now);
        let mut all: Vec<_> = self
            .counters
            .iter()
            .map(|(key, c)| (*key, (c.count - c.error) * scale))
            .filter(|(_, rate)| *rate > 0.0)
            .collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        all.truncate(count);
        all
    }

    /// Evicts the least frequent key if the sketch is full; returns its count, or 0.
    fn evict_if_full(&mut self) -> f64 {
        if self.counters.len() < self.capacity {
            return 0.0;
        }
        let least = self
            .counters
            .iter()
            .min_by(|a, b| a.1.count.total_cmp(&b.1.count).then(a.0.cmp(b.0)));
        let Some((&key, &counter)) = least else {
            return 0.0;
        };
        self.counters.remove(&key);
        counter.count
    }

    fn weight(&self, now: clock::Instant) -> f64 {
        let half_lives = now.since(self.start).as_secs_f64() / self.half_life.as_secs_f64();
        half_lives.exp2()
    }

    /// Returns the factor from a count to a rate: at a steady rate, the decayed count converges to
    /// the rate times the mean lifetime.
    fn scale(&self, now: clock::Instant) -> f64 {
        let lifetime = self.half_life.as_secs_f64() / std::f64::consts::LN_2;
        1.0 / (self.weight(now) * lifetime)
    }

    fn rescale(&mut self, now: clock::Instant, weight: f64) {
        self.start = now;
        self.total /= weight;
        for counter in self.counters.values_mut() {
            counter.count /= weight;
            counter.error /= weight;
        }
    }
}
