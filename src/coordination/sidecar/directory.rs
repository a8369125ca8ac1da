//! Items of the store as this node knows them, and how it keeps up with them.
//!
//! Few nodes watch the store; the others ask a node that has reported a newer revision. What a node
//! knows is complete up to its newest revision, so the items after a revision are all that another
//! node needs. A node that reaches none of the watching ones watches the store itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::follow::Follower;
use crate::coordination::sidecar::roster::Roster;
use crate::coordination::sidecar::tables::{self, Tables};
use crate::protocol::edge::{Event, Item};
use crate::protocol::mesh::{Items, StoredItem};
use crate::protocol::ownership::NodeEntry;
use crate::transport::sidecar::store::Store;

/// Removals that are remembered; a node further behind gets all items.
const REMOVALS: usize = 64;

/// Nodes that watch the store.
const WATCHERS: usize = 3;

/// Items below the product's prefix, and the newest configuration.
#[derive(Debug)]
pub struct Directory {
    store: Rc<Store>,
    roster: Rc<Roster>,
    tables: Rc<Tables>,
    configuration: Rc<Configuration>,
    items: RefCell<BTreeMap<String, (u64, Vec<u8>)>>,
    removed: RefCell<VecDeque<(u64, String)>>,
    /// Newest removal that is remembered no longer.
    forgotten: Cell<u64>,
    newest: Cell<u64>,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(
        store: Rc<Store>,
        roster: Rc<Roster>,
        tables: Rc<Tables>,
        configuration: Rc<Configuration>,
    ) -> Rc<Self> {
        Rc::new(Self {
            store,
            roster,
            tables,
            configuration,
            items: RefCell::new(BTreeMap::new()),
            removed: RefCell::new(VecDeque::new()),
            forgotten: Cell::new(0),
            newest: Cell::new(0),
        })
    }

    /// Returns the revision up to which all items are known.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest.get()
    }

    /// Returns whether this node is among those that watch the store.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.roster.rank(self.store.is_up()) < WATCHERS
    }

    /// Returns what changed after a revision.
    #[must_use]
    pub fn after(&self, revision: u64) -> Items {
        let whole = revision < self.forgotten.get() || revision == 0;
        let items = self.items.borrow();
        let present = items.iter().filter(|(_, (r, _))| whole || *r > revision);
        let present = present.map(|(key, (revision, value))| StoredItem {
            key: key.clone(),
            value: Some(value.clone()),
            revision: *revision,
        });
        let removed = self.removed.borrow();
        let removed = removed.iter().filter(|(r, _)| *r > revision);
        let removed = removed.map(|(revision, key)| StoredItem {
            key: key.clone(),
            value: None,
            revision: *revision,
        });
        let mut all: Vec<_> = present.chain(removed).collect();
        all.sort_by_key(|i| i.revision);
        Items { whole, items: all }
    }

    /// Takes over what another node knows.
    pub fn take(&self, items: Items) {
        let top = items.items.iter().map(|i| i.revision).max().unwrap_or(0);
        if items.whole && top > self.newest.get() {
            let listed = |key: &str| items.items.iter().any(|i| i.key == key);
            let known = self.items.borrow();
            let gone = known.keys().filter(|k| !listed(k)).cloned();
            let gone: Vec<_> = gone.collect();
            drop(known);
            for key in gone {
                self.remove(&key, top);
            }
        }
        for StoredItem {
            key,
            value,
            revision,
        } in items.items
        {
            match value {
                Some(value) if !key.starts_with(tables::PREFIX) => {
                    self.configuration.take(key, value, revision);
                }
                Some(value) => self.put(&Item {
                    key,
                    value,
                    revision,
                }),
                None => self.remove(&key, revision),
            }
        }
    }

    fn put(&self, item: &Item) {
        let mut items = self.items.borrow_mut();
        if items
            .get(&item.key)
            .is_some_and(|(r, _)| *r >= item.revision)
        {
            return;
        }
        items.insert(item.key.clone(), (item.revision, item.value.clone()));
        drop(items);
        self.newest.set(self.newest.get().max(item.revision));
        if !item.key.starts_with(tables::NODES) {
            self.tables.take(item);
            return;
        }
        match serde_json::from_slice::<NodeEntry>(&item.value) {
            Ok(entry) => self.roster.list(&entry),
            Err(e) => {
                tracing::warn!(event = 325, key = %item.key, error = %e, "the entry of a node can't be read and is ignored");
            }
        }
    }

    fn remove(&self, key: &str, revision: u64) {
        let mut items = self.items.borrow_mut();
        if items.get(key).is_some_and(|(r, _)| *r < revision) {
            items.remove(key);
            let mut removed = self.removed.borrow_mut();
            removed.push_back((revision, key.to_owned()));
            if removed.len() > REMOVALS
                && let Some((oldest, _)) = removed.pop_front()
            {
                self.forgotten.set(self.forgotten.get().max(oldest));
            }
            if let Some(address) = key.strip_prefix(tables::NODES) {
                self.roster.unlist(address);
            }
        }
        self.newest.set(self.newest.get().max(revision));
    }
}

impl Follower for Directory {
    fn reset(&self, items: &[Item], as_of: u64) {
        let listed = |key: &String| items.iter().any(|i| i.key == *key);
        let known = self.items.borrow();
        let old = |(key, (r, _)): (&String, &(u64, Vec<u8>))| {
            (*r <= as_of && !listed(key)).then(|| key.clone())
        };
        let gone: Vec<_> = known.iter().filter_map(old).collect();
        drop(known);
        for key in gone {
            self.remove(&key, as_of);
        }
        for item in items {
            self.put(item);
        }
    }

    fn apply(&self, event: &Event) {
        match event {
            Event::Put(item) => self.put(item),
            Event::Removed { key, revision } => self.remove(key, *revision),
        }
    }

    fn position(&self) -> Option<u64> {
        Some(self.newest.get())
    }

    fn watches(&self) -> bool {
        self.is_watcher()
    }
}

/// Follower of the configuration alone.
#[derive(Debug)]
pub struct ConfigFollower {
    /// Directory.
    pub directory: Rc<Directory>,
}

impl Follower for ConfigFollower {
    fn reset(&self, items: &[Item], _as_of: u64) {
        for item in items {
            self.directory.configuration.put(item);
        }
    }

    fn apply(&self, event: &Event) {
        if let Event::Put(item) = event {
            self.directory.configuration.put(item);
        }
    }

    fn position(&self) -> Option<u64> {
        None
    }

    fn watches(&self) -> bool {
        self.directory.is_watcher()
    }
}
