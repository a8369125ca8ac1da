//! Share of requests that fail at a backend server.
//!
//! A running mean over the last requests, which fades while there are none, so that a backend server
//! that has recovered is tried again.

use std::time::Duration;

use crate::state::clock::Instant;

/// Weight of the newest request.
const WEIGHT: f64 = 0.06;

/// Time in which the share falls to about a third without requests.
const FADE: Duration = Duration::from_secs(4);

/// Share after a refused connection.
const UNREACHABLE: f64 = 0.9;

/// Share of failures.
#[derive(Debug, Clone, Copy)]
pub struct Failures {
    share: f64,
    at: Instant,
}

impl Failures {
    /// Creates a backend server without failures.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            share: 0.0,
            at: now,
        }
    }

    /// Returns the share, from 0 to 1.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.share * (-age / FADE.as_secs_f64()).exp()
    }

    /// Counts a request.
    pub fn count(&mut self, failed: bool, now: Instant) {
        let sample = if failed { 1.0 } else { 0.0 };
        let old = self.share(now);
        self.share = old + WEIGHT * (sample - old);
        self.at = now;
    }

    /// Counts a refused connection.
    pub fn unreachable(&mut self, now: Instant) {
        self.share = UNREACHABLE;
        self.at = now;
    }
}
