//! Adaptive limit on requests in flight at the backend server.
//!
//! The latency of each window is compared with the lowest of recent windows. While requests queue
//! inside the server, latency grows and the limit shrinks; while the limit is used and latency is
//! normal, it grows by one for each window. The number of slots is the upper bound.

use std::collections::VecDeque;
use std::time;

/// Samples in a window.
const WINDOW: u32 = 20;

/// Windows from which the lowest latency is taken; old ones are forgotten, because service times
/// change with the mix of requests.
const HISTORY: usize = 64;

/// Latency in multiples of the lowest window that is still normal.
const TOLERANCE: f64 = 2.0;

/// Smallest factor by which one window shrinks the limit.
const MAX_SHRINK: f64 = 0.7;

/// Smallest limit; with one request in flight there is no latency to learn from.
const MIN_LIMIT: f64 = 2.0;

/// Weight of a new sample in the mean service time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Service time that is assumed before the first sample.
const FIRST_ESTIMATE: f64 = 0.010;

/// Adaptive limit.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    current: f64,
    sum: f64,
    count: u32,
    saturated: bool,
    lowest: VecDeque<f64>,
    mean: f64,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            current: f64::INFINITY,
            sum: 0.0,
            count: 0,
            saturated: false,
            lowest: VecDeque::new(),
            mean: FIRST_ESTIMATE,
        }
    }
}

impl ConcurrencyLimit {
    /// Returns how many requests may be in flight, given the limit of the server itself.
    #[must_use]
    pub fn allowed(&self, capacity: usize) -> usize {
        let capacity = capacity.max(1);
        if self.current >= capacity as f64 {
            return capacity;
        }
        // The limit is between MIN_LIMIT and the capacity here, so that the cast is exact enough.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is positive and below the capacity"
        )]
        let limit = self.current as usize;
        limit.max(1)
    }

    /// Returns the mean service time.
    #[must_use]
    pub fn service_time(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.mean)
    }

    /// Takes the latency of an answered request.
    pub fn record_latency(&mut self, latency: time::Duration, in_flight: usize, capacity: usize) {
        let seconds = latency.as_secs_f64();
        self.mean += (seconds - self.mean) * SAMPLE_WEIGHT;
        self.sum += seconds;
        self.count += 1;
        self.saturated |= in_flight >= self.allowed(capacity);
        if self.count >= WINDOW {
            self.close_window(capacity);
        }
    }

    /// Takes a request that the server shed or did not answer in time.
    pub fn record_overload(&mut self, capacity: usize) {
        self.current = (self.current.min(capacity as f64) * MAX_SHRINK).max(MIN_LIMIT);
    }

    fn close_window(&mut self, capacity: usize) {
        let window = self.sum / f64::from(self.count);
        self.lowest.push_back(window);
        if self.lowest.len() > HISTORY {
            self.lowest.pop_front();
        }
        let lowest = self.lowest.iter().copied().fold(f64::INFINITY, f64::min);
        let current = self.current.min(capacity as f64);
        let normal = lowest * TOLERANCE;
        if window > normal {
            self.current = (current * (normal / window).max(MAX_SHRINK)).max(MIN_LIMIT);
        } else if self.saturated {
            self.current = current + 1.0;
        }
        self.sum = 0.0;
        self.count = 0;
        self.saturated = false;
    }
}
