//! Whether a request that one dispatcher rejected as overloaded is retried at another.
//!
//! While one dispatcher is full and others are not, a retry elsewhere helps. When a whole service
//! is full, each retry only transfers the request over one more link, which delays the other
//! requests on it. So retries become rare while they are rejected, and frequent again as they are
//! accepted.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::decayed_average::DecayedAverage;

/// Weight of the newest retry in the average rejection rate.
const NEWEST_WEIGHT: f64 = 0.05;

/// Time constant with which the rejection rate decays while there are no retries.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Acceptance rate from which every rejected request is retried.
const FULL_RETRY_RATE: f64 = 0.5;

/// Minimum share of rejected requests that are retried, to detect free capacity elsewhere.
const PROBE_SHARE: f64 = 0.1;

/// Rejection rates of one node's overload retries.
#[derive(Debug, Default)]
pub struct OverloadRetry {
    /// Share of retries that are rejected as overloaded again, by service.
    rejected: HashMap<String, DecayedAverage>,
}

impl OverloadRetry {
    /// Records whether a retry was rejected as overloaded again.
    pub fn record(&mut self, service: &str, rejected: bool, now: Instant) {
        let rate = self.rejected.entry(service.to_owned());
        rate.or_insert_with(|| DecayedAverage::new(NEWEST_WEIGHT, DECAY_TIME, now))
            .add(f64::from(u8::from(rejected)), now);
    }

    /// Returns whether to retry a rejected request at another dispatcher; `sample` is a random
    /// number from 0 to 1 that selects the share of requests to retry.
    #[must_use]
    pub fn should_retry(&self, service: &str, sample: f64, now: Instant) -> bool {
        let accepted = self.rejected.get(service).map_or(1.0, |r| 1.0 - r.get(now));
        sample < (accepted / FULL_RETRY_RATE).max(PROBE_SHARE)
    }
}
