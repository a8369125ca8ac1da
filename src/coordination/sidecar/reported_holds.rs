//! What backend servers have reported of their ranges, by incarnation.
//!
//! A report of an earlier incarnation may be late, so it says nothing of what a later one holds or has
//! released.

use crate::protocol::adapter::{Hold, Released};
use crate::state::keyspace::{Holder, Slice};

/// Ranges that a backend server has reported as held.
#[derive(Debug)]
pub struct ReportedRanges {
    /// Service of the backend server.
    pub service: String,
    /// Backend server and its ranges.
    pub ranges: (Holder, Vec<Hold>),
}

/// Returns what a backend server holds, as it has reported itself. Returns `None` as long as grants of an
/// earlier process may be in force: a first heartbeat may be a late one of an earlier incarnation, and
/// then doesn't tell what the later one holds.
#[must_use]
pub fn claimed_slices(
    reported: Option<&(Holder, Vec<Hold>)>,
    earlier_expired: bool,
) -> Option<Vec<Slice>> {
    if !earlier_expired {
        return None;
    }
    let Some((holder, holds)) = reported else {
        return Some(Vec::new());
    };
    let slice = |hold: &Hold| Slice {
        from: hold.from,
        to: hold.to,
        token: hold.token,
        holder: Some(holder.clone()),
        target: None,
        handover: String::new(),
    };
    Some(holds.iter().map(slice).collect())
}

/// Returns the releases that one incarnation has reported. The proofs of another one don't count for its
/// ranges.
#[must_use]
pub fn released_by(released: &[(Holder, Released)], holder: &Holder) -> Vec<Released> {
    let own = released.iter().filter(|(h, _)| h == holder);
    own.map(|(_, r)| r.clone()).collect()
}
