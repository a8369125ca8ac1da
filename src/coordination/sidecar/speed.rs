//! Present speed of the local backend server, as its responses state it.
//!
//! It changes many times a second, so a value is used only for a short time; without one the backend
//! server is taken to work at its normal speed. Decisions that last use an average over seconds.
//!
//! Nothing here does input or output.

use std::time::Duration;

use crate::state::clock::Instant;

/// Time for which a stated value is used.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Time constant of the average.
const AVERAGE_TIME: Duration = Duration::from_secs(5);

/// Duration of work relative to the normal one: 2 if it takes twice as long.
#[derive(Debug, Clone, Copy)]
struct Stated {
    slowdown: f64,
    average: f64,
    at: Instant,
}

/// Tracker of the speed of one incarnation of a backend server.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedTracker(Option<Stated>);

impl SpeedTracker {
    /// Records the duration of work, relative to the normal one, that a response states.
    pub fn record(&mut self, slowdown: f64, now: Instant) {
        let average = self.0.map_or(slowdown, |before| {
            let age = now.since(before.at).as_secs_f64();
            let kept = (-age / AVERAGE_TIME.as_secs_f64()).exp();
            slowdown + (before.average - slowdown) * kept
        });
        self.0 = Some(Stated {
            slowdown,
            average,
            at: now,
        });
    }

    /// Returns the present duration of work relative to the normal one; 1 if it isn't known.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        self.stated(now).unwrap_or(1.0)
    }

    /// Returns the present duration of work relative to the normal one, if it is known.
    #[must_use]
    pub fn stated(&self, now: Instant) -> Option<f64> {
        let fresh = self.0.filter(|s| now.since(s.at) <= MAX_AGE);
        fresh.map(|s| s.slowdown)
    }

    /// Returns the average over the last seconds; `None` if the backend server states no speed.
    #[must_use]
    pub fn average(&self) -> Option<f64> {
        self.0.map(|s| s.average)
    }
}
