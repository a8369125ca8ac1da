//! Placement of slices that a join, a loss or a drain makes necessary.
//!
//! Plain functions on a record; the caller has checked that each loss is final (R5).

use std::collections::{BTreeMap, BTreeSet};

use crate::state::{ids, record};

/// Slices that may be in motion at once; a moving slice refuses requests for a short time.
const MOVES_AT_ONCE: usize = 16;

/// New owner that balancing has planned for the slice with this start.
pub type Planned = BTreeMap<ids::KeyHash, ids::NodeRef>;

/// Returns the planned server for a slice if it can take it, otherwise the one with the fewest
/// slices.
fn choose(
    record: &record::PartitionRecord,
    live: &BTreeSet<ids::NodeRef>,
    planned: &Planned,
    index: usize,
) -> Option<ids::NodeRef> {
    let next = planned.get(&record.slices[index].start).copied();
    let usable =
        |n: &ids::NodeRef| live.contains(n) && record.server(*n).is_some_and(|s| !s.draining);
    next.filter(usable).or_else(|| least_assigned(record, live))
}

/// Returns the server with the fewest slices among those that may get more.
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

/// Assigns the slices of lost servers and those without an owner.
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
        let ready = slice
            .target
            .filter(|t| live.contains(t) && record.server(*t).is_some_and(|s| !s.draining));
        let heir = slice.owner.and_then(|o| restarted(record, o, live));
        let next = ready.or(heir).or_else(|| choose(record, live, planned, i));
        if let Some(next) = next {
            record.assign(i, next);
        }
    }
}

/// Returns the live server at the address of a lost one; it gets the slices back, so that a
/// restart changes the owner of no others.
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

/// Ends moves to servers that can't take the slice any more.
pub fn cancel_moves(record: &mut record::PartitionRecord, live: &BTreeSet<ids::NodeRef>) {
    for i in 0..record.slices.len() {
        let slice = record.slices[i];
        let (Some(owner), Some(target)) = (slice.owner, slice.target) else {
            continue;
        };
        let usable = live.contains(&target) && record.server(target).is_some_and(|s| !s.draining);
        if !usable {
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
        if moving(record) >= MOVES_AT_ONCE {
            return;
        }
        if let Some(next) = choose(record, live, planned, i) {
            record.slices[i].target = Some(next);
        }
    }
}

/// Starts moves to servers that have no slices, up to an even share.
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
            let Some(i) = spare(record, share) else {
                break;
            };
            record.slices[i].target = Some(new);
        }
    }
}

/// Returns a slice of the server with the most, if that has more than an even share.
fn spare(record: &record::PartitionRecord, share: usize) -> Option<usize> {
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

fn moving(record: &record::PartitionRecord) -> usize {
    record.slices.iter().filter(|s| s.target.is_some()).count()
}

/// Removes servers that are not live and are named by no slice.
pub fn remove_unused_servers(record: &mut record::PartitionRecord, live: &BTreeSet<ids::NodeRef>) {
    let named: BTreeSet<_> = record
        .slices
        .iter()
        .flat_map(|s| [s.owner, s.target])
        .flatten()
        .collect();
    record
        .servers
        .retain(|s| live.contains(&s.node) || named.contains(&s.node));
}
