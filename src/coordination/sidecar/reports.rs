//! When a node tells another one its load.
//!
//! A load concerns those who send work. In a large fleet a node sends work to few others, mostly in its
//! own failure domain, so only these are told at once; the rest hear of changes that decide whether work
//! may be sent at all, and of the load seldom. A node that begins to send work is told with the next
//! report.

use std::time::Duration;

use crate::protocol::mesh::Load;
use crate::state::clock::Instant;
use crate::transport::sidecar::peer_server::SentLoad;

/// Shortest interval between two reports in a small fleet.
const SHORTEST: Duration = Duration::from_millis(100);

/// Longest interval between two reports to a node that sends work or is near.
const LONGEST: Duration = Duration::from_secs(1);

/// Longest interval between two reports to another node.
const LONGEST_IDLE: Duration = Duration::from_secs(10);

/// Time after its last call for which a node counts as one that sends work.
const WORK_TIME: Duration = Duration::from_secs(3);

/// Change of the number of requests that run or wait that is worth a report.
const BUSY_STEP: u32 = 2;

/// Nodes above which reports depend on who needs them, and their interval grows with the number of
/// nodes.
const SMALL_FLEET: usize = 20;

/// Returns whether all nodes of a fleet are told everything.
#[must_use]
pub fn is_small_fleet(nodes: usize) -> bool {
    nodes <= SMALL_FLEET
}

/// Returns the shortest interval between two reports in a fleet of `nodes`.
#[must_use]
pub fn min_interval(nodes: usize) -> Duration {
    let share = u32::try_from(nodes / SMALL_FLEET).unwrap_or(u32::MAX);
    SHORTEST.saturating_mul(share.max(1)).min(LONGEST)
}

/// Returns whether a report is due to a node that has been told `told`, in a fleet of `nodes`.
///
/// What is new in the store is told by the nodes that watch it; from the others it goes along with
/// the next report, since nobody waits to hear it from them.
#[must_use]
pub fn is_due(load: &Load, told: &SentLoad, watches: bool, nodes: usize, now: Instant) -> bool {
    let last = &told.load;
    let works = told.last_call.is_some_and(|at| now.since(at) < WORK_TIME);
    let close = is_small_fleet(nodes) || told.same_domain || works;
    let busy = |l: &Load| u32::from(l.running) + u32::from(l.queued);
    let age = now.since(told.sent_at);
    let longest = if close || watches {
        LONGEST
    } else {
        LONGEST_IDLE
    };
    let usable = load.health != last.health || load.stopping != last.stopping;
    // Nodes look for newer state near them first.
    let state = load.config != last.config || load.store_up != last.store_up;
    age >= longest
        || usable
        || (close && busy(load).abs_diff(busy(last)) >= BUSY_STEP)
        || ((close || watches) && state)
        || (watches && load.items != last.items)
}
