//! Whether a request that one gate has refused for want of room is offered to another.
//!
//! While one gate is full and others are not, a second offer helps. When a whole service is full,
//! each offer only carries the request over one more link, which slows down what the others there
//! wait for. So second offers become rare as they are refused, and frequent again as they are taken.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::decayed_average::DecayedAverage;

/// Weight of the newest offer in the share that is refused.
const WEIGHT: f64 = 0.05;

/// Time in which that share falls to about a third without offers.
const FADE: Duration = Duration::from_secs(2);

/// Share of taken offers from which every refused request is offered again.
const WORTH: f64 = 0.5;

/// Least share of refused requests that are offered again, to notice room elsewhere.
const PROBES: f64 = 0.1;

/// Second offers of one node.
#[derive(Debug, Default)]
pub struct OverloadRetry {
    /// Share of second offers that are refused for want of room, by service.
    refused: HashMap<String, DecayedAverage>,
}

impl OverloadRetry {
    /// Notes what became of a second offer.
    pub fn record(&mut self, service: &str, refused: bool, now: Instant) {
        let share = self.refused.entry(service.to_owned());
        share
            .or_insert_with(|| DecayedAverage::new(WEIGHT, FADE, now))
            .add(f64::from(u8::from(refused)), now);
    }

    /// Returns whether a refused request is offered to another gate; `luck`, from 0 to 1, decides
    /// about the part that is.
    #[must_use]
    pub fn should_retry(&self, service: &str, luck: f64, now: Instant) -> bool {
        let taken = self.refused.get(service).map_or(1.0, |r| 1.0 - r.get(now));
        luck < (taken / WORTH).max(PROBES)
    }
}
