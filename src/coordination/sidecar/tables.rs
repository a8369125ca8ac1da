//! Assignment tables: this node's copies, and changes to them in the store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::protocol::adapter::{Commit, Item, StoreCall, StoreReply};
use crate::protocol::ownership;
use crate::state::keyspace::AssignmentTable;
use crate::transport::sidecar::store::{self, StoreClient};

/// Prefix of all replicated keys of this product in the store.
pub const PREFIX: &str = "filbertflow/";

/// Prefix of the entries of live nodes.
pub const NODES: &str = "filbertflow/node/";

/// Prefix of the assignment tables.
pub const TABLES: &str = "filbertflow/keys/";

/// Maximum number of attempts at one change, each on a newer table.
const MAX_ATTEMPTS: usize = 4;

/// Assignment table and the revision of its last change.
#[derive(Debug, Clone)]
pub struct Table {
    /// Revision in the store; 0 if there is no table yet.
    pub revision: u64,
    /// Holders of all keys.
    pub assignments: Rc<AssignmentTable>,
}

/// Assignment tables by service.
#[derive(Debug)]
pub struct Tables {
    store: Rc<StoreClient>,
    all: RefCell<HashMap<String, Table>>,
    /// Notified of each change.
    pub changed: Notify,
}

impl Tables {
    /// Creates an empty set of tables.
    #[must_use]
    pub fn new(store: Rc<StoreClient>) -> Self {
        Self {
            store,
            all: RefCell::new(HashMap::new()),
            changed: Notify::new(),
        }
    }

    /// Returns the table of a service.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<Table> {
        self.all.borrow().get(service).cloned()
    }

    /// Returns the names of the services with tables.
    #[must_use]
    pub fn services(&self) -> Vec<String> {
        self.all.borrow().keys().cloned().collect()
    }

    /// Applies an item of the store, unless a newer table is known.
    pub fn apply_item(&self, item: &Item) {
        let Some(service) = item.key.strip_prefix(TABLES) else {
            return;
        };
        match ownership::decode_table(&item.value) {
            Ok(assignments) => self.set(service, item.revision, Rc::new(assignments)),
            Err(e) => {
                tracing::error!(event = 441, service, revision = item.revision, error = %e, "ignored an assignment table that can't be decoded");
            }
        }
    }

    fn set(&self, service: &str, revision: u64, assignments: Rc<AssignmentTable>) {
        let mut all = self.all.borrow_mut();
        if all.get(service).is_some_and(|t| t.revision >= revision) {
            return;
        }
        tracing::info!(
            event = 442,
            service,
            revision,
            slices = assignments.slices.len(),
            "an assignment table changed"
        );
        all.insert(
            service.to_owned(),
            Table {
                revision,
                assignments,
            },
        );
        drop(all);
        self.changed.notify_waiters();
    }

    async fn refresh(&self, service: &str) -> Result<(), store::Error> {
        let call = StoreCall::Range {
            prefix: format!("{TABLES}{service}"),
            after: None,
        };
        if let StoreReply::Page { items, .. } = self.store.call(&call).await? {
            let name = format!("{TABLES}{service}");
            for item in items.iter().filter(|i| i.key == name) {
                self.apply_item(item);
            }
        }
        Ok(())
    }

    /// Changes a table by compare-and-swap and returns whether it was changed.
    ///
    /// `change` returns `None` if the table needs no change. `guard` holds further conditions on the
    /// store's items, as keys and expected revisions.
    ///
    /// # Errors
    ///
    /// Returns the store's error. Unless the store refused the call, the change may still take effect.
    pub async fn update(
        &self,
        service: &str,
        guard: &[(String, u64)],
        change: impl Fn(&AssignmentTable) -> Option<AssignmentTable>,
    ) -> Result<bool, store::Error> {
        let name = format!("{TABLES}{service}");
        for _ in 0..MAX_ATTEMPTS {
            let (revision, base) = match self.get(service) {
                Some(table) => (table.revision, table.assignments),
                None => (0, Rc::new(AssignmentTable::default())),
            };
            let Some(next) = change(&base) else {
                return Ok(false);
            };
            let mut expect = vec![(name.clone(), revision)];
            expect.extend_from_slice(guard);
            let call = StoreCall::Commit(Commit {
                expect,
                put: vec![(name.clone(), ownership::encode_table(&next), None)],
                delete: Vec::new(),
            });
            match self.store.call(&call).await {
                Ok(StoreReply::Committed { revision }) => {
                    self.set(service, revision, Rc::new(next));
                    return Ok(true);
                }
                Ok(reply) => {
                    let current = match &reply {
                        StoreReply::Conflict { items } => items.iter().find(|i| i.key == name),
                        _ => None,
                    };
                    match current {
                        Some(item) => self.apply_item(item),
                        None => self.refresh(service).await?,
                    }
                    let changed_meanwhile =
                        self.get(service).is_some_and(|t| t.revision != revision);
                    if !changed_meanwhile {
                        // The table is unchanged, so one of the further conditions doesn't hold.
                        return Ok(false);
                    }
                }
                Err(e) if e.is_refused() => return Err(e),
                Err(e) => {
                    tracing::warn!(event = 443, service, revision, error = %e, "no reply to a change of an assignment table; reading the table");
                    self.refresh(service).await?;
                    if self.get(service).is_some_and(|t| *t.assignments == next) {
                        return Ok(true);
                    }
                    return Err(e);
                }
            }
        }
        Ok(false)
    }
}
