//! Items of the store as this node knows them, and how it keeps up with them.
//!
//! Few nodes watch the store; the others ask a node that has reported a newer revision. What a node
//! knows is complete up to its newest revision, so the items after a revision are all that another
//! node needs. A node that reaches none of the watching ones watches the store itself.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::membership::MembershipView;
use crate::coordination::sidecar::replica::{Change, Replica};
use crate::coordination::sidecar::tables::{self, Tables};
use crate::coordination::sidecar::watch::WatchHandler;
use crate::protocol::adapter::{Event, Item};
use crate::protocol::mesh::Items;
use crate::protocol::ownership::NodeEntry;
use crate::transport::sidecar::store::StoreClient;

/// Nodes that watch the store.
const WATCHERS: usize = 3;

/// News that this node passes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingUpdate {
    /// Revision before the news.
    pub since: u64,
    /// Whether the store told it; otherwise a node of another failure domain did.
    pub from_store: bool,
}

/// Items below the product's prefix, and the newest configuration.
#[derive(Debug)]
pub struct Replicator {
    store: Rc<StoreClient>,
    membership: Rc<MembershipView>,
    tables: Rc<Tables>,
    configuration: Rc<Configuration>,
    replica: RefCell<Replica>,
    /// Failure domain of this node.
    domain: String,
    news: Cell<Option<PendingUpdate>>,
    /// Told of news to pass on.
    pub update_ready: Notify,
}

impl Replicator {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(
        store: Rc<StoreClient>,
        membership: Rc<MembershipView>,
        tables: Rc<Tables>,
        configuration: Rc<Configuration>,
        domain: &str,
    ) -> Rc<Self> {
        Rc::new(Self {
            store,
            membership,
            tables,
            configuration,
            replica: RefCell::default(),
            domain: domain.to_owned(),
            news: Cell::new(None),
            update_ready: Notify::new(),
        })
    }

    /// Returns the revision up to which all items are known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.replica.borrow().revision()
    }

    /// Returns the revision after which other nodes are asked for changes.
    #[must_use]
    pub fn request_revision(&self) -> u64 {
        self.replica.borrow().request_revision()
    }

    /// Takes the news to pass on.
    pub fn take_update(&self) -> Option<PendingUpdate> {
        self.news.take()
    }

    /// Notes news since a revision, if there are any.
    fn note(&self, since: u64, read: bool) {
        if self.revision() == since || since == 0 {
            return;
        }
        let before = self.news.get();
        self.news.set(Some(PendingUpdate {
            since: before.map_or(since, |n| n.since.min(since)),
            from_store: read || before.is_some_and(|n| n.from_store),
        }));
        self.update_ready.notify_one();
    }

    /// Returns whether this node is among those that watch the store.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.membership.rank(self.store.is_reachable()) < WATCHERS
    }

    /// Returns what changed after a revision.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Items {
        self.replica.borrow().changes_since(revision)
    }

    /// Takes over what a node of a failure domain knows.
    pub fn apply_remote(&self, domain: &str, items: Items) {
        if items.as_of > 0 {
            let since = self.revision();
            let changes = self.replica.borrow_mut().apply_remote(items);
            self.carry_out(changes);
            if domain != self.domain {
                self.note(since, false);
            }
            return;
        }
        for item in items.items {
            if let Some(packed) = item.value {
                self.configuration
                    .apply_compressed(item.key, packed, item.revision);
            }
        }
    }

    fn carry_out(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(item) if item.key.starts_with(tables::NODES) => self.list(&item),
                Change::Put(item) => self.tables.apply_item(&item),
                Change::Removed(key) => {
                    if let Some(address) = key.strip_prefix(tables::NODES) {
                        self.membership.mark_removed(address);
                    }
                }
            }
        }
    }

    fn list(&self, item: &Item) {
        match serde_json::from_slice::<NodeEntry>(&item.value) {
            Ok(entry) => self.membership.add(&entry),
            Err(e) => {
                tracing::warn!(event = 325, key = %item.key, error = %e, "the entry of a node can't be read and is ignored");
            }
        }
    }
}

impl WatchHandler for Replicator {
    fn apply_snapshot(&self, items: &[Item], as_of: u64) {
        let changes = self.replica.borrow_mut().apply_snapshot(items, as_of);
        self.carry_out(changes);
    }

    fn apply(&self, events: &[Event]) {
        let since = self.revision();
        let changes = self.replica.borrow_mut().apply_events(events);
        self.carry_out(changes);
        self.note(since, true);
    }

    fn revision(&self) -> Option<u64> {
        Some(self.revision())
    }

    fn is_watcher(&self) -> bool {
        self.is_watcher()
    }
}

/// Follower of the configuration alone.
#[derive(Debug)]
pub struct ConfigWatchHandler {
    /// Directory.
    pub replicator: Rc<Replicator>,
}

impl WatchHandler for ConfigWatchHandler {
    fn apply_snapshot(&self, items: &[Item], _as_of: u64) {
        for item in items {
            self.replicator.configuration.apply_item(item);
        }
    }

    fn apply(&self, events: &[Event]) {
        for event in events {
            if let Event::Put(item) = event {
                self.replicator.configuration.apply_item(item);
            }
        }
    }

    fn revision(&self) -> Option<u64> {
        None
    }

    fn is_watcher(&self) -> bool {
        self.replicator.is_watcher()
    }
}
