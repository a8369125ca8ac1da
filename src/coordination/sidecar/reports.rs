//! When a node tells the others its load.

use std::time::Duration;

use crate::protocol::mesh::Load;

/// Shortest interval between two reports in a small fleet.
const SHORTEST: Duration = Duration::from_millis(100);

/// Longest interval between two reports.
const LONGEST: Duration = Duration::from_secs(1);

/// Change of the number of requests that run or wait that is worth a report.
const BUSY_STEP: u32 = 2;

/// Nodes above which the interval between reports grows with their number, since each node gets
/// those of all others.
const SMALL_FLEET: usize = 20;

/// Returns the shortest interval between two reports in a fleet of `nodes`.
#[must_use]
pub fn interval(nodes: usize) -> Duration {
    let share = u32::try_from(nodes / SMALL_FLEET).unwrap_or(u32::MAX);
    SHORTEST.saturating_mul(share.max(1)).min(LONGEST)
}

/// Returns whether a report is due, `age` after the last one.
///
/// What is new in the store is told by the nodes that watch it; from the others it goes along with
/// the next report, since nobody waits to hear it from them.
#[must_use]
pub fn is_due(load: &Load, last: &Load, watches: bool, age: Duration) -> bool {
    let busy = |l: &Load| u32::from(l.running) + u32::from(l.queued);
    age >= LONGEST
        || busy(load).abs_diff(busy(last)) >= BUSY_STEP
        || load.health != last.health
        || load.stopping != last.stopping
        || load.config != last.config
        || load.store_up != last.store_up
        || (watches && load.items != last.items)
}
