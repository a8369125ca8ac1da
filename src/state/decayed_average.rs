//! Moving average that decays exponentially while there are no samples.

use std::time::Duration;

use crate::state::clock::Instant;

/// Exponentially weighted moving average that also decays over time.
#[derive(Debug, Clone, Copy)]
pub struct DecayedAverage {
    weight: f64,
    decay: Duration,
    value: f64,
    updated_at: Instant,
}

impl DecayedAverage {
    /// Creates an average of zero. `weight` is the weight of the newest sample, from 0 to 1;
    /// without samples, the average decays with the time constant `decay`.
    #[must_use]
    pub fn new(weight: f64, decay: Duration, now: Instant) -> Self {
        Self {
            weight,
            decay,
            value: 0.0,
            updated_at: now,
        }
    }

    /// Returns the average at a time.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.value * (-age / self.decay.as_secs_f64()).exp()
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: f64, now: Instant) {
        let old = self.get(now);
        self.set(old + self.weight * (sample - old), now);
    }

    /// Replaces the average.
    pub fn set(&mut self, value: f64, now: Instant) {
        self.value = value;
        self.updated_at = now;
    }
}
