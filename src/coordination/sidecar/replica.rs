//! Copy of the store's items below the product's prefix.
//!
//! A copy is the store's content at one revision. What it learns comes from pages that were read,
//! from a watch, and from other nodes' copies, in any order and at times late. Each source says which
//! revisions it covers, so that a late one can't bring back an item that was removed meanwhile.
//!
//! Nothing here does input or output, so that a test can play sources against each other.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::coordination::sidecar::tables;
use crate::protocol::adapter::{Event, Item};
use crate::protocol::mesh::{Items, StoredItem};
use crate::protocol::ownership;

/// Removals that are remembered; a node further behind gets all items.
const REMOVALS: usize = 64;

/// Gaps that are remembered.
const GAPS: usize = 8;

/// Earlier values of an ownership table that are kept, to tell what is new since then; a table takes
/// 20 to 50 KB, and several changes a second are common while keys move.
const EARLIER: usize = 6;

/// Change of a copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An item is new or has another value.
    Put(Item),
    /// An item was removed.
    Removed(String),
}

/// Copy of the store's items at one revision.
#[derive(Debug, Default)]
pub struct Replica {
    items: BTreeMap<String, (u64, Vec<u8>)>,
    removed: VecDeque<(u64, String)>,
    /// Newest revision of which removals are remembered no longer.
    forgotten: u64,
    /// Spans of revisions between two contents that were taken over as wholes. An item that came and
    /// went within one is unknown here, but a node whose own revision lies within may have it.
    gaps: VecDeque<(u64, u64)>,
    newest: u64,
    /// Earlier values of the ownership tables, oldest first.
    earlier: HashMap<String, VecDeque<(u64, Vec<u8>)>>,
    /// Whether a difference did not fit, so that everything is to be asked for.
    unfit: bool,
}

impl Replica {
    /// Returns the revision up to which all changes are known, 0 if none are.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.newest
    }

    /// Returns the revision after which changes are to be asked for, 0 for everything.
    #[must_use]
    pub fn request_revision(&self) -> u64 {
        if self.unfit { 0 } else { self.newest }
    }

    /// Returns the revision of an item.
    #[must_use]
    pub fn item_revision(&self, key: &str) -> Option<u64> {
        self.items.get(key).map(|(revision, _)| *revision)
    }

    /// Returns what changed after a revision.
    #[must_use]
    pub fn changes_since(&self, since: u64) -> Items {
        let within = |&(from, to): &(u64, u64)| from < since && since < to;
        let whole = since == 0 || since < self.forgotten || self.gaps.iter().any(within);
        let present = self.items.iter().filter(|(_, (r, _))| whole || *r > since);
        let present = present.map(|(key, (revision, value))| {
            let known = if whole { 0 } else { since };
            let (base, told) = self
                .difference(key, value, known)
                .unwrap_or_else(|| (0, value.clone()));
            StoredItem {
                key: key.clone(),
                value: Some(told),
                revision: *revision,
                base,
            }
        });
        let gone = |key: &str| !self.items.contains_key(key);
        let removed = self.removed.iter();
        let removed = removed.filter(|(r, key)| !whole && *r > since && gone(key));
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
            since,
            as_of: self.newest,
            items,
        }
    }

    /// Returns what is new in a table for a node that knows all changes up to `since`, and the
    /// revision of the table that it has.
    fn difference(&self, key: &str, value: &[u8], since: u64) -> Option<(u64, Vec<u8>)> {
        let earlier = self.earlier.get(key)?;
        let (base, old) = earlier.iter().rev().find(|(r, _)| *r <= since)?;
        match ownership::encode_delta(old, value) {
            Ok(told) if told.len() < value.len() => Some((*base, told)),
            Ok(_) => None,
            Err(e) => {
                tracing::warn!(event = 329, key, base, error = %e, "the difference of two tables can't be told");
                None
            }
        }
    }

    /// Returns the value that another node has told.
    fn value(&self, key: &str, told: Vec<u8>, base: u64) -> Option<Vec<u8>> {
        if base == 0 {
            return Some(told);
        }
        let (_, old) = self.items.get(key).filter(|(r, _)| *r == base)?;
        match ownership::apply_delta(old, &told) {
            Ok(value) => Some(value),
            Err(e) => {
                tracing::warn!(event = 329, key, base, error = %e, "the difference of two tables does not fit");
                None
            }
        }
    }

    /// Takes over pages of all items, the first of which was read at revision `as_of`.
    ///
    /// Items of later pages that are newer than that are left to whatever tells the changes after it:
    /// a copy with one would seem to be older than it is to the nodes that it answers.
    pub fn apply_snapshot(&mut self, items: &[Item], as_of: u64) -> Vec<Change> {
        if as_of < self.newest {
            tracing::info!(
                event = 328,
                as_of,
                newest = self.newest,
                "items that were read are older than what is known"
            );
            return Vec::new();
        }
        let listed: HashSet<&str> = items.iter().map(|i| i.key.as_str()).collect();
        let mut changes = self.keep_only(&listed, as_of);
        for item in items.iter().filter(|i| i.revision <= as_of) {
            changes.extend(self.put(&item.key, item.value.clone(), item.revision));
        }
        // Other nodes ask whoever knows a newer revision, so one without news stays as it was.
        if self.newest == 0 || !changes.is_empty() {
            self.leap(as_of);
        }
        changes
    }

    /// Takes over changes that a watch has told, in their order.
    pub fn apply_events(&mut self, events: &[Event]) -> Vec<Change> {
        // All changes of one commit have the same revision.
        let base = self.newest;
        let mut changes = Vec::new();
        for event in events {
            let (Event::Put(Item { revision, .. }) | Event::Removed { revision, .. }) = event;
            if *revision <= base {
                continue;
            }
            self.newest = self.newest.max(*revision);
            changes.extend(match event {
                Event::Put(item) => self.put(&item.key, item.value.clone(), item.revision),
                Event::Removed { key, revision } => self.remove(key, *revision),
            });
        }
        changes
    }

    /// Takes over what another node knows.
    pub fn apply_remote(&mut self, items: Items) -> Vec<Change> {
        let base = self.newest;
        let gap = !items.whole && items.since > base;
        if items.as_of <= base || gap {
            return Vec::new();
        }
        let mut told = Vec::new();
        for item in items.items {
            if item.revision <= base && !items.whole {
                continue;
            }
            let StoredItem { key, value, .. } = item;
            let value = match value {
                None => None,
                Some(value) => {
                    let Some(value) = self.value(&key, value, item.base) else {
                        // The sender knew less than this node, or something went wrong.
                        self.unfit = items.since == base;
                        return Vec::new();
                    };
                    Some(value)
                }
            };
            told.push((key, value, item.revision));
        }
        self.unfit = false;
        let mut changes = Vec::new();
        if items.whole {
            let listed: HashSet<&str> = told.iter().map(|(key, ..)| key.as_str()).collect();
            changes = self.keep_only(&listed, items.as_of);
        }
        for (key, value, revision) in told {
            changes.extend(match value {
                Some(value) => self.put(&key, value, revision),
                None => self.remove(&key, revision),
            });
        }
        if items.whole {
            self.leap(items.as_of);
        }
        self.newest = items.as_of;
        changes
    }

    /// Goes to a revision without knowing each change until then.
    fn leap(&mut self, to: u64) {
        self.gaps.push_back((self.newest, to));
        if self.gaps.len() > GAPS
            && let Some((_, end)) = self.gaps.pop_front()
        {
            self.forgotten = self.forgotten.max(end);
        }
        self.newest = to;
    }

    /// Removes the items that are not listed in the content at revision `as_of`.
    fn keep_only(&mut self, listed: &HashSet<&str>, as_of: u64) -> Vec<Change> {
        let known = self.items.iter();
        let gone = known.filter(|(key, (r, _))| *r <= as_of && !listed.contains(key.as_str()));
        let gone: Vec<_> = gone.map(|(key, _)| key.clone()).collect();
        gone.iter()
            .filter_map(|key| self.remove(key, as_of))
            .collect()
    }

    fn put(&mut self, key: &str, value: Vec<u8>, revision: u64) -> Option<Change> {
        if self
            .item_revision(key)
            .is_some_and(|known| known >= revision)
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
        if let Some(before) = before.filter(|_| key.starts_with(tables::TABLES)) {
            let earlier = self.earlier.entry(item.key.clone()).or_default();
            earlier.push_back(before);
            if earlier.len() > EARLIER {
                earlier.pop_front();
            }
        }
        Some(Change::Put(item))
    }

    fn remove(&mut self, key: &str, revision: u64) -> Option<Change> {
        if self
            .item_revision(key)
            .is_some_and(|known| known > revision)
        {
            return None;
        }
        // Others may still have an item that this copy never had.
        self.removed.push_back((revision, key.to_owned()));
        if self.removed.len() > REMOVALS
            && let Some((oldest, _)) = self.removed.pop_front()
        {
            self.forgotten = self.forgotten.max(oldest);
        }
        let gone = self.items.remove(key).is_some();
        gone.then(|| Change::Removed(key.to_owned()))
    }
}
