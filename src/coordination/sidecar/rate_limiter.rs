//! Token bucket for the limit on a backend server's requests: the one that it has named, or its warm-up
//! rate.
//!
//! All requests to a backend server pass the dispatcher beside it, so this one bucket holds the limit
//! for all nodes together. Time is passed in.

use std::time::Duration;

use crate::state::clock::Instant;

/// Time at the rate in which unused tokens accumulate; bounds a burst after a pause.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Lowest rate, in requests per second. Only a response can tell that a limit has ended, so even a
/// limit of zero lets a request through from time to time.
pub const MIN_RATE: f64 = 0.2;

/// Returns the number of requests that may start at once after a pause, at a rate in requests per second.
#[must_use]
pub fn burst(rate: f64) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(1.0)
}

/// Token bucket, empty at first.
#[derive(Debug, Clone, Copy)]
pub struct RateLimiter {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    updated_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter of `rate` requests per second.
    #[must_use]
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Sets the rate in requests per second.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        let tokens = self.tokens(now);
        self.rate = rate.max(MIN_RATE);
        self.tokens = tokens.min(self.capacity());
        self.updated_at = now;
    }

    fn capacity(&self) -> f64 {
        burst(self.rate)
    }

    /// Returns the number of requests that may start now.
    #[must_use]
    pub fn tokens(&self, now: Instant) -> f64 {
        let added = self.rate * now.since(self.updated_at).as_secs_f64();
        (self.tokens + added).min(self.capacity())
    }

    /// Takes a token for a request that starts.
    pub fn take(&mut self, now: Instant) {
        self.tokens = self.tokens(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns the time after which `count` more requests can have started at `rate` requests per
    /// second.
    #[must_use]
    pub fn wait(&self, count: usize, rate: f64, now: Instant) -> Duration {
        let missing = count as f64 - self.tokens(now);
        Duration::from_secs_f64(missing.max(0.0) / rate)
    }
}
