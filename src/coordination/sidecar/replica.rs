//! Replica of the store's items below the product's prefix.
//!
//! A replica is the store's content at one revision. Its updates are pages that were read from the
//! store, events of a watch, and changes from other nodes' replicas. They arrive in any order and may
//! be late. Each update says which revisions it covers, so that a late one can't restore an item that
//! was removed meanwhile.
//!
//! Revisions are ordered within an era of the store. The first update of a later era is a complete set
//! of items and replaces all that was known of the earlier one.
//!
//! This module does no input or output, so that a test can simulate concurrent updates.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::coordination::sidecar::tables;
use crate::protocol::adapter::{Event, Item};
use crate::protocol::mesh::{Items, StoredItem};
use crate::protocol::ownership;
use crate::state::store_revision::{Era, Revision};

/// Maximum number of removals in the history; a node that is further behind gets all items.
const MAX_REMOVALS: usize = 64;

/// Maximum number of gaps in the history.
const MAX_GAPS: usize = 8;

/// Maximum number of earlier values of each assignment table, which are the bases of deltas. A table
/// takes 20 to 50 KB, and several changes a second are common while keys move.
const MAX_EARLIER_VALUES: usize = 6;

/// Change of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An item was added or has a new value.
    Put(Item),
    /// An item was removed.
    Removed(String),
}

/// Replica of the store's items at one revision.
#[derive(Debug, Default)]
pub struct Replica {
    /// Era of all revisions below.
    era: Era,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    removed: VecDeque<(u64, String)>,
    /// Newest revision whose removals are no longer in the history.
    history_start: u64,
    /// Ranges of revisions that were skipped by applying a complete set of items. An item that was
    /// added and removed within a gap is unknown here, but a node at a revision within it may have it.
    gaps: VecDeque<(u64, u64)>,
    revision: u64,
    /// Earlier values of the assignment tables, oldest first.
    earlier: HashMap<String, VecDeque<(u64, Vec<u8>)>>,
    /// Whether a delta didn't apply, so that all items have to be requested.
    needs_all: bool,
}

impl Replica {
    /// Returns the revision up to which all changes are known, if there is one.
    #[must_use]
    pub fn revision(&self) -> Revision {
        Revision::new(self.era, self.revision)
    }

    /// Returns the revision since which changes are to be requested, or none for all items.
    #[must_use]
    pub fn request_revision(&self) -> Revision {
        if self.needs_all {
            Revision::default()
        } else {
            self.revision()
        }
    }

    /// Returns the revision of an item.
    #[must_use]
    pub fn item_revision(&self, key: &str) -> Option<Revision> {
        let (number, _) = self.items.get(key)?;
        Some(Revision::new(self.era, *number))
    }

    /// Returns the value of an item.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.items.get(key).map(|(_, value)| value.as_slice())
    }

    /// Returns the changes since a revision, or all items if the history doesn't cover it.
    #[must_use]
    pub fn changes_since(&self, after: Revision) -> Items {
        let since = if after.era == self.era {
            after.number
        } else {
            0
        };
        let within = |&(from, to): &(u64, u64)| from < since && since < to;
        let whole = since == 0 || since < self.history_start || self.gaps.iter().any(within);
        let present = self.items.iter().filter(|(_, (r, _))| whole || *r > since);
        let present = present.map(|(key, (revision, value))| {
            let known = if whole { 0 } else { since };
            let (base, encoded) = self
                .delta(key, value, known)
                .unwrap_or_else(|| (0, value.clone()));
            StoredItem {
                key: key.clone(),
                value: Some(encoded),
                revision: *revision,
                base,
            }
        });
        let absent = |key: &str| !self.items.contains_key(key);
        let removed = self.removed.iter();
        let removed = removed.filter(|(r, key)| !whole && *r > since && absent(key));
        let removed = removed.map(|(revision, key)| StoredItem {
            key: key.clone(),
            value: None,
            revision: *revision,
            base: 0,
        });
        let mut items: Vec<_> = present.chain(removed).collect();
        items.sort_by_key(|i| i.revision);
        Items {
            whole,
            since: after,
            as_of: self.revision(),
            items,
        }
    }

    /// Returns the delta of a table for a node at revision `since`, and the revision of the table that
    /// is its base. Returns `None` if there is no such base or the delta isn't smaller than the table.
    fn delta(&self, key: &str, value: &[u8], since: u64) -> Option<(u64, Vec<u8>)> {
        let earlier = self.earlier.get(key)?;
        let (base, old) = earlier.iter().rev().find(|(r, _)| *r <= since)?;
        match ownership::encode_delta(old, value) {
            Ok(delta) if delta.len() < value.len() => Some((*base, delta)),
            Ok(_) => None,
            Err(e) => {
                tracing::warn!(event = 329, key, base, error = %e, "can't encode the delta of two tables");
                None
            }
        }
    }

    /// Returns the full value of an item from another node, which may be a delta to revision `base`.
    fn decode_value(&self, key: &str, received: Vec<u8>, base: u64) -> Option<Vec<u8>> {
        if base == 0 {
            return Some(received);
        }
        let (_, old) = self.items.get(key).filter(|(r, _)| *r == base)?;
        match ownership::apply_delta(old, &received) {
            Ok(value) => Some(value),
            Err(e) => {
                tracing::warn!(event = 329, key, base, error = %e, "can't apply the delta of a table");
                None
            }
        }
    }

    /// Applies all items of the store. They were read in pages, the first at revision `as_of`.
    ///
    /// Newer items of later pages are skipped; the next update brings them. A replica with one would
    /// have content that is newer than the revision it reports to other nodes.
    pub fn apply_snapshot(&mut self, items: &[Item], as_of: Revision) -> Vec<Change> {
        if as_of < self.revision() {
            tracing::info!(
                event = 328,
                as_of = as_of.number,
                era = as_of.era.0,
                newest = %self.revision(),
                "ignored items that are older than the replica"
            );
            return Vec::new();
        }
        let begins = self.begin_era(as_of.era);
        let as_of = as_of.number;
        // The value of an item that is skipped below may be one that the store has lost.
        let kept = items.iter().filter(|i| !begins || i.revision <= as_of);
        let listed: HashSet<&str> = kept.map(|i| i.key.as_str()).collect();
        let mut changes = self.retain_listed(&listed, as_of);
        for item in items.iter().filter(|i| i.revision <= as_of) {
            changes.extend(self.put(&item.key, item.value.clone(), item.revision));
        }
        // Other nodes send requests to a node with a newer revision, so the revision stays the same
        // if nothing has changed.
        if self.revision == 0 || !changes.is_empty() {
            self.skip_to(as_of);
        }
        changes
    }

    /// Applies changes of a watch, in the order of their revisions. Those of another era are ignored.
    pub fn apply_events(&mut self, events: &[Event], era: Era) -> Vec<Change> {
        if era != self.era {
            return Vec::new();
        }
        // All changes of one commit have the same revision.
        let base = self.revision;
        let mut changes = Vec::new();
        for event in events {
            let (Event::Put(Item { revision, .. }) | Event::Removed { revision, .. }) = event;
            if *revision <= base {
                continue;
            }
            self.revision = self.revision.max(*revision);
            changes.extend(match event {
                Event::Put(item) => self.put(&item.key, item.value.clone(), item.revision),
                Event::Removed { key, revision } => self.remove(key, *revision),
            });
        }
        changes
    }

    /// Applies changes or all items from another node.
    pub fn apply_remote(&mut self, items: Items) -> Vec<Change> {
        let known = self.revision();
        let gap = !items.whole && (items.as_of.era != self.era || items.since > known);
        if items.as_of <= known || gap {
            return Vec::new();
        }
        let base = known.number;
        let mut received = Vec::new();
        for item in items.items {
            if item.revision <= base && !items.whole {
                continue;
            }
            let StoredItem { key, value, .. } = item;
            let value = match value {
                None => None,
                Some(value) => {
                    let Some(value) = self.decode_value(&key, value, item.base) else {
                        // This replica doesn't have the base of the delta. Unless the response is late, all
                        // items have to be requested.
                        self.needs_all = items.since == known;
                        return Vec::new();
                    };
                    Some(value)
                }
            };
            received.push((key, value, item.revision));
        }
        self.needs_all = false;
        self.begin_era(items.as_of.era);
        let as_of = items.as_of.number;
        let mut changes = Vec::new();
        if items.whole {
            let listed: HashSet<&str> = received.iter().map(|(key, ..)| key.as_str()).collect();
            changes = self.retain_listed(&listed, as_of);
        }
        for (key, value, revision) in received {
            changes.extend(match value {
                Some(value) => self.put(&key, value, revision),
                None => self.remove(&key, revision),
            });
        }
        if items.whole {
            self.skip_to(as_of);
        }
        self.revision = as_of;
        changes
    }

    /// Begins an era if it is later, and returns whether it is. The items stay until a complete set
    /// replaces them, but their revisions mean nothing any more.
    fn begin_era(&mut self, era: Era) -> bool {
        if era <= self.era {
            return false;
        }
        tracing::info!(
            event = 318,
            before = %self.revision(),
            era = era.0,
            items = self.items.len(),
            "the replica begins a new era"
        );
        let items = std::mem::take(&mut self.items);
        *self = Self {
            era,
            items: items.into_iter().map(|(k, (_, v))| (k, (0, v))).collect(),
            ..Self::default()
        };
        true
    }

    /// Advances to a revision without knowledge of each change in between.
    fn skip_to(&mut self, to: u64) {
        self.gaps.push_back((self.revision, to));
        if self.gaps.len() > MAX_GAPS
            && let Some((_, end)) = self.gaps.pop_front()
        {
            self.history_start = self.history_start.max(end);
        }
        self.revision = to;
    }

    /// Removes the items that are not listed in a complete set of revision `as_of`.
    fn retain_listed(&mut self, listed: &HashSet<&str>, as_of: u64) -> Vec<Change> {
        let known = self.items.iter();
        let unlisted = known.filter(|(key, (r, _))| *r <= as_of && !listed.contains(key.as_str()));
        let unlisted: Vec<_> = unlisted.map(|(key, _)| key.clone()).collect();
        unlisted
            .iter()
            .filter_map(|key| self.remove(key, as_of))
            .collect()
    }

    fn put(&mut self, key: &str, value: Vec<u8>, revision: u64) -> Option<Change> {
        if self
            .items
            .get(key)
            .is_some_and(|(known, _)| *known >= revision)
        {
            return None;
        }
        let item = Item {
            key: key.to_owned(),
            value,
            revision,
        };
        let before = self
            .items
            .insert(item.key.clone(), (revision, item.value.clone()));
        // Values of an earlier era have no revision that another node could refer to.
        let before = before.filter(|(revision, _)| *revision > 0);
        if let Some(before) = before.filter(|_| key.starts_with(tables::TABLES)) {
            let earlier = self.earlier.entry(item.key.clone()).or_default();
            earlier.push_back(before);
            if earlier.len() > MAX_EARLIER_VALUES {
                earlier.pop_front();
            }
        }
        Some(Change::Put(item))
    }

    fn remove(&mut self, key: &str, revision: u64) -> Option<Change> {
        if self
            .items
            .get(key)
            .is_some_and(|(known, _)| *known > revision)
        {
            return None;
        }
        // Other nodes may still have an item that this replica never had.
        self.removed.push_back((revision, key.to_owned()));
        if self.removed.len() > MAX_REMOVALS
            && let Some((oldest, _)) = self.removed.pop_front()
        {
            self.history_start = self.history_start.max(oldest);
        }
        let existed = self.items.remove(key).is_some();
        existed.then(|| Change::Removed(key.to_owned()))
    }
}
