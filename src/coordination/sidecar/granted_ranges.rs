//! Key ranges that are granted to the local backend server.
//!
//! This is an estimate of the backend server's own state, valid from the reply to a heartbeat until
//! the grant in it expires. A wrong estimate is safe, since the backend server refuses keys that it
//! doesn't hold, but it costs a round trip.

use crate::protocol::adapter::GrantSet;
use crate::state::clock::Instant;
use crate::state::keyspace::Key;

/// Granted ranges and their common expiry.
#[derive(Debug, Default)]
pub struct GrantedRanges {
    ranges: Vec<(Key, Key)>,
    expiry: Option<Instant>,
}

impl GrantedRanges {
    /// Replaces the ranges by those of a heartbeat's reply; `sent` is the start of their validity.
    pub fn renew(&mut self, grants: &GrantSet, sent: Instant) {
        self.ranges = grants.ranges.iter().map(|g| (g.from, g.to)).collect();
        self.expiry = Some(sent + grants.valid_for);
    }

    /// Returns the time at which the grant expires.
    #[must_use]
    pub fn expiry(&self) -> Option<Instant> {
        self.expiry
    }

    /// Returns whether a key is granted at `now`.
    #[must_use]
    pub fn contains(&self, key: Key, now: Instant) -> bool {
        let valid = self.expiry.is_some_and(|expiry| now < expiry);
        valid
            && self
                .ranges
                .iter()
                .any(|&(from, to)| from <= key && key <= to)
    }

    /// Removes all ranges. Called when a new incarnation of the backend server starts.
    pub fn clear(&mut self) {
        self.ranges.clear();
        self.expiry = None;
    }
}
