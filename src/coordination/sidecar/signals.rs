//! What the local backend server has said of itself in its responses.
//!
//! Responses of concurrent requests arrive in any order, so one that names no limit may be older than
//! one that does. A limit therefore ends only with a response to a request that was sent after the
//! limit was last named. A leaving backend server doesn't come back in the same incarnation.
//!
//! Nothing here does input or output.

use crate::protocol::adapter::Signals;
use crate::protocol::mesh::{RateLimit, Reminder};
use crate::state::clock::Instant;

/// Signals of one incarnation of a backend server.
#[derive(Debug, Clone, Copy, Default)]
pub struct SignalTracker {
    limit: RateLimit,
    /// Arrival of the last response that named a limit.
    named_at: Option<Instant>,
    /// Whether no response since the start of this process has told the limit.
    recalled: bool,
    leaving: bool,
}

/// What a response has changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SignalChange {
    /// The limit is another one, has ended or is known for the first time.
    pub limit: bool,
    /// The backend server has begun to leave.
    pub leaving: bool,
}

impl SignalTracker {
    /// Returns the limit.
    #[must_use]
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Returns whether the backend server is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Records the signals of a response to a request that was sent at `sent`.
    pub fn record(&mut self, signals: Signals, sent: Instant, now: Instant) -> SignalChange {
        let before = *self;
        match signals.limit {
            RateLimit::PerSecond(_) => {
                self.limit = signals.limit;
                self.named_at = Some(now);
                self.recalled = false;
            }
            RateLimit::Unlimited if self.named_at.is_none_or(|at| sent > at) => {
                self.limit = RateLimit::Unlimited;
                self.recalled = false;
            }
            RateLimit::Unlimited | RateLimit::Unknown => {}
        }
        self.leaving |= signals.leaving;
        self.change_since(&before)
    }

    /// Takes in what another node remembers of the same incarnation. Of several limits the one that
    /// was confirmed last counts, but none against a response to this process.
    pub fn recall(&mut self, reminder: &Reminder, now: Instant) -> SignalChange {
        let before = *self;
        let at = reminder.limit_at(now);
        let newer = self.recalled && self.named_at.is_none_or(|named| at > named);
        if let Some(rate) = reminder.limit
            && (self.limit == RateLimit::Unknown || newer)
        {
            self.limit = RateLimit::PerSecond(rate);
            self.named_at = Some(at);
            self.recalled = true;
        }
        self.leaving |= reminder.leaving_ms.is_some();
        self.change_since(&before)
    }

    fn change_since(&self, before: &Self) -> SignalChange {
        SignalChange {
            limit: self.limit != before.limit,
            leaving: self.leaving != before.leaving,
        }
    }
}
