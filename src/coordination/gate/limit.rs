//! Adaptive concurrency limit of the backend server.
//!
//! The mean latency of each window is compared with the lowest of recent windows. Latency that rises
//! because requests queue inside the server shrinks the limit. While latency is normal and the limit
//! is reached, it grows by one per window, up to the number of slots.

use std::collections::VecDeque;
use std::time;

/// Number of latency samples in a window.
const WINDOW_SAMPLES: u32 = 20;

/// Number of windows from which the lowest latency is taken. Older ones are dropped, because service
/// times change with the mix of requests.
const BASELINE_WINDOWS: usize = 64;

/// Highest normal latency, as a multiple of the lowest window.
const LATENCY_TOLERANCE: f64 = 2.0;

/// Smallest factor by which one window or one overload reduces the limit.
const MIN_DECREASE_FACTOR: f64 = 0.7;

/// Smallest limit. With a single request in flight, latency says nothing about queueing.
const MIN_LIMIT: f64 = 2.0;

/// Weight of a new sample in the mean service time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Service time in seconds that is assumed before the first sample.
const INITIAL_SERVICE_TIME: f64 = 0.010;

/// Concurrency limit that adapts to latency.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    current: f64,
    sum: f64,
    count: u32,
    saturated: bool,
    windows: VecDeque<f64>,
    mean: f64,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            current: f64::INFINITY,
            sum: 0.0,
            count: 0,
            saturated: false,
            windows: VecDeque::new(),
            mean: INITIAL_SERVICE_TIME,
        }
    }
}

impl ConcurrencyLimit {
    /// Returns the number of requests that may be in flight at a server of the given capacity.
    #[must_use]
    pub fn allowed(&self, capacity: usize) -> usize {
        let capacity = capacity.max(1);
        if self.current >= capacity as f64 {
            return capacity;
        }
        // The limit is between MIN_LIMIT and the capacity here, so the cast only drops the fraction.
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

    /// Records the latency of an answered request.
    pub fn record_latency(&mut self, latency: time::Duration, in_flight: usize, capacity: usize) {
        let seconds = latency.as_secs_f64();
        self.mean += (seconds - self.mean) * SAMPLE_WEIGHT;
        self.sum += seconds;
        self.count += 1;
        self.saturated |= in_flight >= self.allowed(capacity);
        if self.count >= WINDOW_SAMPLES {
            self.close_window(capacity);
        }
    }

    /// Records a request that the server shed or did not answer in time.
    pub fn record_overload(&mut self, capacity: usize) {
        self.current = (self.current.min(capacity as f64) * MIN_DECREASE_FACTOR).max(MIN_LIMIT);
    }

    fn close_window(&mut self, capacity: usize) {
        let window = self.sum / f64::from(self.count);
        self.windows.push_back(window);
        if self.windows.len() > BASELINE_WINDOWS {
            self.windows.pop_front();
        }
        let lowest = self.windows.iter().copied().fold(f64::INFINITY, f64::min);
        let current = self.current.min(capacity as f64);
        let normal = lowest * LATENCY_TOLERANCE;
        if window > normal {
            self.current = (current * (normal / window).max(MIN_DECREASE_FACTOR)).max(MIN_LIMIT);
        } else if self.saturated {
            self.current = current + 1.0;
        }
        self.sum = 0.0;
        self.count = 0;
        self.saturated = false;
    }
}
