//! History of ownership changes, which explains to operators where a key is placed and why.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::coordination::node;
use crate::protocol::admin;
use crate::state::{ids, record};

/// Maximum number of changes kept per partition. At about 100 bytes each they stay far below the
/// memory budget of the control plane.
const MAX_CHANGES: usize = 4096;

/// Recent changes of owner by partition.
#[derive(Debug, Default)]
pub struct History(Mutex<HashMap<ids::PartitionId, VecDeque<Change>>>);

#[derive(Debug)]
struct Change {
    first: ids::KeyHash,
    last: ids::KeyHash,
    entry: admin::OwnerChange,
}

impl History {
    /// Returns the last changes of the slices that contain a hash, newest first.
    #[must_use]
    pub fn changes_of(
        &self,
        partition: &ids::PartitionId,
        hash: ids::KeyHash,
        limit: usize,
    ) -> Vec<admin::OwnerChange> {
        let table = self.lock();
        let changes = table.get(partition).into_iter().flatten();
        changes
            .rev()
            .filter(|c| (c.first..=c.last).contains(&hash))
            .map(|c| c.entry.clone())
            .take(limit)
            .collect()
    }

    /// Records the changes of owner between two records of a partition.
    pub fn record(&self, old: Option<&record::PartitionRecord>, new: &record::PartitionRecord) {
        let mut table = self.lock();
        let changes = table.entry(new.id.clone()).or_default();
        for (i, slice) in new.slices.iter().enumerate() {
            let before = old.and_then(|o| o.slice_at(slice.start));
            let from = before.and_then(|s| s.owner);
            if from == slice.owner {
                continue;
            }
            if changes.len() == MAX_CHANGES {
                changes.pop_front();
            }
            changes.push_back(Change {
                first: slice.start,
                last: new.slice_end(i),
                entry: admin::OwnerChange {
                    time_s: ids::wall_time().as_secs(),
                    from: from.map(|n| n.addr),
                    to: slice.owner.map(|n| n.addr),
                    token: new.token(slice).to_string(),
                    cause: cause(old, before, new, slice).to_owned(),
                },
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ids::PartitionId, VecDeque<Change>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the cause of a change of owner, as far as the two records show it.
fn cause(
    old: Option<&record::PartitionRecord>,
    before: Option<&record::Slice>,
    new: &record::PartitionRecord,
    slice: &record::Slice,
) -> &'static str {
    let (Some(old), Some(before)) = (old, before) else {
        return "first record that this node has seen";
    };
    let Some(from) = before.owner else {
        return "had no owner";
    };
    let Some(to) = slice.owner else {
        return "owner was lost";
    };
    if to.addr == from.addr {
        return "owner's process restarted";
    }
    let drained = |r: &record::PartitionRecord| r.server(from).is_some_and(|s| s.draining);
    if drained(old) || drained(new) {
        "owner is drained"
    } else if before.target == Some(to) {
        "planned move to balance load"
    } else {
        "owner was lost"
    }
}

/// Records changes of owner as new partition records arrive.
pub async fn run(node: Arc<node::Node>, history: Arc<History>) {
    let mut changes = node.records.changes();
    let mut known: BTreeMap<ids::PartitionId, Arc<record::PartitionRecord>> = BTreeMap::new();
    loop {
        for new in node.records.all() {
            let old = known.get(&new.id);
            if old.is_some_and(|o| o.stamp() == new.stamp()) {
                continue;
            }
            history.record(old.map(AsRef::as_ref), &new);
            known.insert(new.id.clone(), new);
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}
