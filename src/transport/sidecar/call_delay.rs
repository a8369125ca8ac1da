//! Estimates the queueing delay of frames on a connection.
//!
//! The clocks of two hosts have different origins, so the difference between a frame's arrival time
//! and its send timestamp is the one-way delay plus an unknown offset. The excess over the smallest
//! recent difference is queueing delay. A delay that lasts longer than the window goes undetected.

use std::time::Duration;

use crate::state::clock::Instant;

/// Length of the window for the minimum; a clock drift of 2% shifts the minimum by 80 ms per
/// window.
const WINDOW: Duration = Duration::from_secs(4);

/// Delay estimator of one connection.
#[derive(Debug, Default)]
pub struct CallDelay {
    /// Smallest difference in the current and in the previous window, in milliseconds.
    minimum: [Option<i64>; 2],
    window_start: Option<Instant>,
}

impl CallDelay {
    /// Returns the queueing delay of a frame sent at `sent_ms` on the sender's clock.
    pub fn observe(&mut self, sent_ms: u64, now: Instant) -> Duration {
        let window_start = *self.window_start.get_or_insert(now);
        if now.since(window_start) > WINDOW {
            let recent = now.since(window_start) <= WINDOW * 2;
            self.minimum = [None, self.minimum[0].filter(|_| recent)];
            self.window_start = Some(now);
        }
        let arrived = i64::try_from(now.since_boot().as_millis()).unwrap_or(i64::MAX);
        let sent = i64::try_from(sent_ms).unwrap_or(i64::MAX);
        let difference = arrived.saturating_sub(sent);
        let minimum = self.minimum[0].map_or(difference, |d| d.min(difference));
        self.minimum[0] = Some(minimum);
        let minimum = self.minimum[1].map_or(minimum, |d| d.min(minimum));
        Duration::from_millis(u64::try_from(difference.saturating_sub(minimum)).unwrap_or(0))
    }
}
