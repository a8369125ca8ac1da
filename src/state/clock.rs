//! Monotonic clock that includes time spent in suspension.
//!
//! `std::time::Instant` stops while the host is suspended, so a lease measured with it would seem
//! valid after a long suspension. `CLOCK_BOOTTIME` keeps counting.

use std::ops::{Add, Sub};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Returns a duration in whole milliseconds, saturating at `u32::MAX`.
#[must_use]
pub fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}

/// Instant on `CLOCK_BOOTTIME` of this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// Reads the clock.
    ///
    /// # Panics
    ///
    /// Panics if the kernel has no `CLOCK_BOOTTIME`, which Linux has had since 2.6.39.
    #[must_use]
    pub fn now() -> Self {
        let t = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux provides CLOCK_BOOTTIME");
        Self(Duration::from(t))
    }

    /// Returns the time elapsed since another instant, or zero if that is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time left until this instant, or zero if it has passed.
    #[must_use]
    pub fn left(self) -> Duration {
        self.since(Self::now())
    }

    /// Returns whether the instant is in the future.
    #[must_use]
    pub fn is_ahead(self) -> bool {
        self > Self::now()
    }

    /// Returns the time since the host booted.
    #[must_use]
    pub fn since_boot(self) -> Duration {
        self.0
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0 + d)
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(d))
    }
}
