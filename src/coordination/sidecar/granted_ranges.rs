//! Keys that the backend server beside this node may hold now.
//!
//! A belief about the backend server's own state: it lasts from the answer to a heartbeat until the
//! permission in it ends. Being wrong is harmless, since the backend server refuses what it does
//! not hold, but costs a round trip.

use crate::protocol::adapter::GrantSet;
use crate::state::clock::Instant;
use crate::state::keyspace::Key;

/// Ranges with the time until which they are held.
#[derive(Debug, Default)]
pub struct GrantedRanges {
    ranges: Vec<(Key, Key)>,
    until: Option<Instant>,
}

impl GrantedRanges {
    /// Takes over what a heartbeat's answer grants, `sent` being the time of the heartbeat.
    pub fn renew(&mut self, grants: &GrantSet, sent: Instant) {
        self.ranges = grants.ranges.iter().map(|g| (g.from, g.to)).collect();
        self.until = Some(sent + grants.valid_for);
    }

    /// Returns the time until which any key is held.
    #[must_use]
    pub fn expiry(&self) -> Option<Instant> {
        self.until
    }

    /// Returns whether a key is held.
    #[must_use]
    pub fn contains(&self, key: Key, now: Instant) -> bool {
        let live = self.until.is_some_and(|until| now < until);
        live && self
            .ranges
            .iter()
            .any(|&(from, to)| from <= key && key <= to)
    }

    /// Forgets everything, when another life of the backend server begins.
    pub fn clear(&mut self) {
        self.ranges.clear();
        self.until = None;
    }
}
