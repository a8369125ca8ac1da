//! Assignment of slices after servers join, are lost or drain.
//!
//! The functions change a record only. Their caller has verified that each loss is final (R5).

use std::collections::{BTreeMap, BTreeSet};

use crate::state::{ids, record};

/// Maximum number of concurrent moves; a moving slice refuses requests for a short time.
const MAX_CONCURRENT_MOVES: usize = 16;

/// Planned new owners by the start of their slice.
pub type Planned = BTreeMap<ids::KeyHash, ids::NodeRef>;

/// Returns the planned server of a slice if it is usable, otherwise the one with the fewest slices.
fn select_server(
    record: &record::PartitionRecord,
    live: &BTreeSet<ids::NodeRef>,
    planned: &Planned,
    index: usize,
) -> Option<ids::NodeRef> {
    let planned_server = planned.get(&record.slices[index].start).copied();
    let usable =
        |n: &ids::NodeRef| live.contains(n) && record.server(*n).is_some_and(|s| !s.draining);
    planned_server
        .filter(usable)
        .or_else(|| least_assigned(record, live))
}

/// Returns the live server with the fewest slices that is not draining.
#[must_use]
pub fn least_assigned(
    record: &record::PartitionRecord,
    live: &BTreeSet<ids::NodeRef>,
) -> Option<ids::NodeRef> {
    record
        .servers
        .iter()
        .filter(|s| !s.draining && live.contains(&s.node))
        .map(|s| s.node)
        .min_by_key(|n| (record.count(*n), *n))
}

/// Assigns the slices of lost servers and slices without an owner.
pub fn reassign(
    record: &mut record::PartitionRecord,
    lost: &BTreeSet<ids::NodeRef>,
    live: &BTreeSet<ids::NodeRef>,
    planned: &Planned,
) {
    for i in 0..record.slices.len() {
        let slice = record.slices[i];
        if slice.owner.is_some_and(|o| !lost.contains(&o)) {
            continue;
        }
        let move_target = slice
            .target
            .filter(|t| live.contains(t) && record.server(*t).is_some_and(|s| !s.draining));
        let successor = slice.owner.and_then(|o| restarted(record, o, live));
        let next = move_target
            .or(successor)
            .or_else(|| select_server(record, live, planned, i));
        if let Some(next) = next {
            record.assign(i, next);
        }
    }
}

/// Returns the live server at the address of a lost one. It gets the slices back, so that a restart
/// moves no slices between hosts.
fn restarted(
    record: &record::PartitionRecord,
    lost: ids::NodeRef,
    live: &BTreeSet<ids::NodeRef>,
) -> Option<ids::NodeRef> {
    let next = record.servers.iter().find(|s| {
        s.node.addr == lost.addr && s.node.incarnation > lost.incarnation && !s.draining
    })?;
    live.contains(&next.node).then_some(next.node)
}

/// Cancels moves to servers that can no longer take the slice.
pub fn cancel_moves(record: &mut record::PartitionRecord, live: &BTreeSet<ids::NodeRef>) {
    for i in 0..record.slices.len() {
        let slice = record.slices[i];
        let (Some(owner), Some(target)) = (slice.owner, slice.target) else {
            continue;
        };
        let is_usable =
            live.contains(&target) && record.server(target).is_some_and(|s| !s.draining);
        if !is_usable {
            record.assign(i, owner);
        }
    }
}

/// Starts moves away from draining servers.
pub fn drain_servers(
    record: &mut record::PartitionRecord,
    live: &BTreeSet<ids::NodeRef>,
    planned: &Planned,
) {
    let draining: BTreeSet<_> = record
        .servers
        .iter()
        .filter(|s| s.draining)
        .map(|s| s.node)
        .collect();
    for i in 0..record.slices.len() {
        let slice = record.slices[i];
        if slice.target.is_some() || slice.owner.is_none_or(|o| !draining.contains(&o)) {
            continue;
        }
        if count_moves(record) >= MAX_CONCURRENT_MOVES {
            return;
        }
        if let Some(next) = select_server(record, live, planned, i) {
            record.slices[i].target = Some(next);
        }
    }
}

/// Starts moves to servers without slices, up to an even share for each.
pub fn fill_new_servers(record: &mut record::PartitionRecord, live: &BTreeSet<ids::NodeRef>) {
    let ready: Vec<_> = record
        .servers
        .iter()
        .filter(|s| !s.draining && live.contains(&s.node))
        .map(|s| s.node)
        .collect();
    if ready.is_empty() {
        return;
    }
    let share = record.slices.len() / ready.len();
    for &new in &ready {
        if record.count(new) > 0 {
            continue;
        }
        for _ in 0..share {
            let Some(i) = find_surplus_slice(record, share) else {
                break;
            };
            record.slices[i].target = Some(new);
        }
    }
}

/// Returns a slice of the server with the most slices, if it has more than an even share.
fn find_surplus_slice(record: &record::PartitionRecord, share: usize) -> Option<usize> {
    let owners = record.owners();
    let fullest = owners.into_iter().max_by_key(|o| record.count(*o))?;
    if record.count(fullest) <= share {
        return None;
    }
    record
        .slices
        .iter()
        .rposition(|s| s.owner == Some(fullest) && s.target.is_none())
}

fn count_moves(record: &record::PartitionRecord) -> usize {
    record.slices.iter().filter(|s| s.target.is_some()).count()
}

/// Removes servers that are not live and neither own nor receive a slice.
pub fn remove_unused_servers(record: &mut record::PartitionRecord, live: &BTreeSet<ids::NodeRef>) {
    let referenced: BTreeSet<_> = record
        .slices
        .iter()
        .flat_map(|s| [s.owner, s.target])
        .flatten()
        .collect();
    record
        .servers
        .retain(|s| live.contains(&s.node) || referenced.contains(&s.node));
}
