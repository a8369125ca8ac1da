//! Replication of the store's items to all nodes.
//!
//! Few nodes watch the store; the others request changes from a node that has reported a newer
//! revision. A copy is complete up to its revision, so the changes since the requester's revision are
//! all that it needs. A node that hears from no watcher watches the store itself (`watchers`).

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::evacuation::Evacuations;
use crate::coordination::sidecar::membership::MembershipView;
use crate::coordination::sidecar::replica::{Change, Replica};
use crate::coordination::sidecar::tables::{self, Tables};
use crate::coordination::sidecar::watch::WatchHandler;
use crate::coordination::sidecar::watchers::Watchers;
use crate::protocol::adapter::{Event, Item};
use crate::protocol::crash_record;
use crate::protocol::mesh::Items;
use crate::protocol::ownership;
use crate::state::store_revision::{Era, Revision};
use crate::transport::sidecar::store::StoreClient;

/// Update that this node has yet to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingUpdate {
    /// Revision before the update.
    pub since: Revision,
    /// Whether it came from the store; otherwise from a node of another failure domain.
    pub from_store: bool,
}

/// Function that gets the key of a record, the item unless it was removed, and the era.
pub type ApplyRecord = Box<dyn Fn(&str, Option<&Item>, Era)>;

/// Receiver of crash records.
struct RecordHandler(ApplyRecord);

impl std::fmt::Debug for RecordHandler {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RecordHandler").finish_non_exhaustive()
    }
}

/// Replicated items below the product's prefix, applied to the parts that use them.
#[derive(Debug)]
pub struct Replicator {
    store: Rc<StoreClient>,
    membership: Rc<MembershipView>,
    /// Watchers of the store.
    pub watchers: Watchers,
    tables: Rc<Tables>,
    configuration: Rc<Configuration>,
    replica: RefCell<Replica>,
    /// Failure domain of this node.
    domain: String,
    pending: Cell<Option<PendingUpdate>>,
    record_handler: RefCell<RecordHandler>,
    /// Notified when there is an update to forward.
    pub update_ready: Notify,
    /// Notified when the entry of this node was written or removed.
    pub own_entry_changed: Notify,
}

impl Replicator {
    /// Creates a replicator without items.
    #[must_use]
    pub fn new(
        store: Rc<StoreClient>,
        membership: Rc<MembershipView>,
        tables: Rc<Tables>,
        configuration: Rc<Configuration>,
        domain: &str,
    ) -> Rc<Self> {
        let watchers = Watchers::new(Rc::clone(&store), Rc::clone(&membership));
        Rc::new(Self {
            store,
            membership,
            watchers,
            tables,
            configuration,
            replica: RefCell::default(),
            domain: domain.to_owned(),
            pending: Cell::new(None),
            record_handler: RefCell::new(RecordHandler(Box::new(|_, _, _| ()))),
            update_ready: Notify::new(),
            own_entry_changed: Notify::new(),
        })
    }

    /// Sets the handler of crash records; to be called before any item is known.
    pub fn set_record_handler(&self, handler: ApplyRecord) {
        *self.record_handler.borrow_mut() = RecordHandler(handler);
    }

    /// Returns the revision up to which all changes are known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.replica.borrow().revision()
    }

    /// Returns the revision of an item.
    #[must_use]
    pub fn item_revision(&self, key: &str) -> Option<Revision> {
        self.replica.borrow().item_revision(key)
    }

    /// Returns the value of an item.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.replica.borrow().value(key).map(<[u8]>::to_vec)
    }

    /// Returns the revision since which changes are requested from other nodes.
    #[must_use]
    pub fn request_revision(&self) -> Revision {
        self.replica.borrow().request_revision()
    }

    /// Takes the update to forward, if there is one.
    pub fn take_update(&self) -> Option<PendingUpdate> {
        self.pending.take()
    }

    /// Queues the changes since a revision for forwarding, if there are any.
    fn queue_update(&self, since: Revision, from_store: bool) {
        if self.revision() == since || since.is_none() {
            return;
        }
        let before = self.pending.get();
        self.pending.set(Some(PendingUpdate {
            since: before.map_or(since, |b| b.since.min(since)),
            from_store: from_store || before.is_some_and(|b| b.from_store),
        }));
        self.update_ready.notify_one();
    }

    /// Returns the changes since a revision.
    #[must_use]
    pub fn changes_since(&self, revision: Revision) -> Items {
        self.replica.borrow().changes_since(revision)
    }

    /// Applies items from a node of the given failure domain.
    pub fn apply_remote(&self, domain: &str, items: Items) {
        if !items.as_of.is_none() {
            self.store.learn_era(items.as_of.era);
            let since = self.revision();
            let changes = self.replica.borrow_mut().apply_remote(items);
            self.apply_changes(changes);
            if domain != self.domain {
                self.queue_update(since, false);
            }
            return;
        }
        for item in items.items {
            if let Some(compressed) = item.value {
                self.configuration
                    .apply_compressed(item.key, compressed, item.revision);
            }
        }
    }

    fn apply_changes(&self, changes: Vec<Change>) {
        let own = format!("{}{}", tables::NODES, self.membership.node());
        let era = self.revision().era;
        for change in changes {
            let (Change::Put(Item { key, .. }) | Change::Removed(key)) = &change;
            if *key == own {
                self.own_entry_changed.notify_one();
            }
            if key.starts_with(crash_record::PREFIX) {
                let item = match &change {
                    Change::Put(item) => Some(item),
                    Change::Removed(_) => None,
                };
                (self.record_handler.borrow().0)(key, item, era);
                continue;
            }
            match change {
                Change::Put(item) => match item.key.strip_prefix(tables::NODES) {
                    Some(address) => self.add_node(address, &item),
                    None => self.tables.apply_item(&item, era),
                },
                Change::Removed(key) => {
                    if let Some(address) = key.strip_prefix(tables::NODES) {
                        self.membership.mark_removed(address);
                    } else {
                        self.tables.apply_removal(&key);
                    }
                }
            }
        }
    }

    fn add_node(&self, address: &str, item: &Item) {
        match ownership::decode_entry(address, &item.value) {
            Ok(entry) => self.membership.add(&entry),
            Err(e) => {
                tracing::warn!(event = 325, key = %item.key, revision = item.revision, error = %e, "ignored a node entry that can't be decoded");
            }
        }
    }
}

impl WatchHandler for Replicator {
    fn apply_snapshot(&self, items: &[Item], as_of: Revision) {
        let changes = self.replica.borrow_mut().apply_snapshot(items, as_of);
        self.apply_changes(changes);
    }

    fn apply_events(&self, events: &[Event], era: Era) {
        let since = self.revision();
        let changes = self.replica.borrow_mut().apply_events(events, era);
        self.apply_changes(changes);
        if self.watchers.includes_self() {
            self.queue_update(since, true);
        }
    }

    fn revision(&self) -> Option<Revision> {
        Some(Self::revision(self))
    }

    fn watchers(&self) -> &Watchers {
        &self.watchers
    }
}

/// Watch handler of the keys that the operator writes: the configuration's, and those of evacuations.
#[derive(Debug)]
pub struct ConfigWatchHandler {
    /// Replicator, which holds the configuration.
    pub replicator: Rc<Replicator>,
    /// Evacuations.
    pub evacuations: Rc<Evacuations>,
}

impl WatchHandler for ConfigWatchHandler {
    fn apply_snapshot(&self, items: &[Item], as_of: Revision) {
        for item in items {
            self.replicator.configuration.apply_item(item);
        }
        self.evacuations.apply_snapshot(items, as_of);
    }

    fn apply_events(&self, events: &[Event], era: Era) {
        for event in events {
            if let Event::Put(item) = event {
                self.replicator.configuration.apply_item(item);
            }
        }
        self.evacuations.apply_events(events, era);
    }

    fn revision(&self) -> Option<Revision> {
        None
    }

    fn watchers(&self) -> &Watchers {
        &self.replicator.watchers
    }
}
