//! Mean of the last samples, which fades while there are none.

use std::time::Duration;

use crate::state::clock::Instant;

/// Mean that forgets.
#[derive(Debug, Clone, Copy)]
pub struct DecayedAverage {
    weight: f64,
    fade: Duration,
    value: f64,
    at: Instant,
}

impl DecayedAverage {
    /// Creates a mean of zero. `weight` is that of the newest sample, 0 to 1; without samples the mean
    /// falls to about a third within `fade`.
    #[must_use]
    pub fn new(weight: f64, fade: Duration, now: Instant) -> Self {
        Self {
            weight,
            fade,
            value: 0.0,
            at: now,
        }
    }

    /// Returns the mean.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.value * (-age / self.fade.as_secs_f64()).exp()
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: f64, now: Instant) {
        let old = self.get(now);
        self.set(old + self.weight * (sample - old), now);
    }

    /// Sets the mean.
    pub fn set(&mut self, value: f64, now: Instant) {
        self.value = value;
        self.at = now;
    }
}
