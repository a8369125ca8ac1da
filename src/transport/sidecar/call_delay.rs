//! Delay of frames on their way, beyond what is usual for their connection.
//!
//! Two hosts' clocks share no zero, but the difference between the sender's stamp and the arrival
//! is the same for all frames, but for the time on the way. What exceeds the least difference seen
//! lately is delay in queues. A delay that lasts longer than that is not seen.

use std::time::Duration;

use crate::state::clock::Instant;

/// Time for which the least difference counts; clocks that drift apart by 2% move it by 80 ms.
const WINDOW: Duration = Duration::from_secs(4);

/// Differences of one connection.
#[derive(Debug, Default)]
pub struct CallDelay {
    /// Least difference, in milliseconds, in this window and in the one before.
    least: [Option<i64>; 2],
    began: Option<Instant>,
}

impl CallDelay {
    /// Returns the delay of a frame that the sender stamped with `sent_ms` of its own clock.
    pub fn observe(&mut self, sent_ms: u64, now: Instant) -> Duration {
        let began = *self.began.get_or_insert(now);
        if now.since(began) > WINDOW {
            let recent = now.since(began) <= WINDOW * 2;
            self.least = [None, self.least[0].filter(|_| recent)];
            self.began = Some(now);
        }
        let arrived = i64::try_from(now.since_boot().as_millis()).unwrap_or(i64::MAX);
        let sent = i64::try_from(sent_ms).unwrap_or(i64::MAX);
        let difference = arrived.saturating_sub(sent);
        let least = self.least[0].map_or(difference, |d| d.min(difference));
        self.least[0] = Some(least);
        let least = self.least[1].map_or(least, |d| d.min(least));
        Duration::from_millis(u64::try_from(difference.saturating_sub(least)).unwrap_or(0))
    }
}
