//! Assignment tables: this node's copies, and changes to them in the store.
//!
//! A table is confirmed if it names the era in which the store has it. One that a restored store returns
//! is not: it may lack the newest changes. The node keeps the last confirmed table then, by which keys
//! are granted and requests are routed, and changes nothing until the table is confirmed again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::protocol::adapter::{Commit, Item, StoreCall, StoreReply};
use crate::protocol::ownership;
use crate::state::keyspace::AssignmentTable;
use crate::state::store_revision::{Era, Revision};
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
    /// Revision in the store; none if there is no table yet.
    pub revision: Revision,
    /// Holders of all keys.
    pub assignments: Rc<AssignmentTable>,
}

/// Copies of a service's table.
#[derive(Debug, Default)]
struct Copies {
    /// Newest confirmed table, of the present era or an earlier one.
    confirmed: Option<Table>,
    /// Table that the store has, if it isn't confirmed.
    unconfirmed: Option<Table>,
}

/// Assignment tables by service.
#[derive(Debug)]
pub struct Tables {
    store: Rc<StoreClient>,
    all: RefCell<HashMap<String, Copies>>,
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

    /// Returns the newest confirmed table of a service, which may be of an earlier era.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<Table> {
        self.all.borrow().get(service)?.confirmed.clone()
    }

    /// Returns the table by which requests are routed: the confirmed one, or else what the store has.
    #[must_use]
    pub fn route(&self, service: &str) -> Option<Table> {
        let all = self.all.borrow();
        let copies = all.get(service)?;
        copies
            .confirmed
            .as_ref()
            .or(copies.unconfirmed.as_ref())
            .cloned()
    }

    /// Returns the table of a service if it is confirmed in the present era.
    #[must_use]
    pub fn confirmed(&self, service: &str) -> Option<Table> {
        let era = self.store.era();
        self.get(service).filter(|t| t.revision.era == era)
    }

    /// Returns whether a service's table is confirmed in the present era.
    #[must_use]
    pub fn is_confirmed(&self, service: &str) -> bool {
        self.confirmed(service).is_some()
    }

    /// Returns the names of the services with tables.
    #[must_use]
    pub fn services(&self) -> Vec<String> {
        self.all.borrow().keys().cloned().collect()
    }

    /// Applies an item that the store has in an era, unless a newer table is known.
    pub fn apply_item(&self, item: &Item, era: Era) {
        let Some(service) = item.key.strip_prefix(TABLES) else {
            return;
        };
        match ownership::decode_table(&item.value) {
            Ok(assignments) => {
                let revision = Revision::new(era, item.revision);
                self.set(service, revision, Rc::new(assignments));
            }
            Err(e) => {
                tracing::error!(event = 441, service, revision = item.revision, error = %e, "ignored an assignment table that can't be decoded");
            }
        }
    }

    /// Applies the removal of an item.
    pub fn apply_removal(&self, key: &str) {
        let service = key.strip_prefix(TABLES);
        let mut all = self.all.borrow_mut();
        if let Some(copies) = service.and_then(|service| all.get_mut(service)) {
            copies.unconfirmed = None;
        }
    }

    fn set(&self, service: &str, revision: Revision, assignments: Rc<AssignmentTable>) {
        // Claims for the present era are made by the tables that were known when it began.
        if revision.era < self.store.era() {
            tracing::info!(event = 444, service, %revision, "ignored an assignment table of an earlier era");
            return;
        }
        let mut all = self.all.borrow_mut();
        let copies = all.entry(service.to_owned()).or_default();
        let known = [&copies.confirmed, &copies.unconfirmed]
            .into_iter()
            .flatten();
        if known.map(|t| t.revision).max() >= Some(revision) {
            return;
        }
        let slices = assignments.slices.len();
        let confirmed = assignments.era == revision.era;
        let era = assignments.era;
        let table = Table {
            revision,
            assignments,
        };
        if confirmed {
            tracing::info!(
                event = 442,
                service,
                revision = revision.number,
                era = revision.era.0,
                slices,
                "an assignment table changed"
            );
            copies.confirmed = Some(table);
            copies.unconfirmed = None;
        } else {
            tracing::warn!(event = 445, service, %revision, confirmed = era.0, slices, "the store has an assignment table of an earlier era; keys are granted by the last known one until it is confirmed");
            copies.unconfirmed = Some(table);
        }
        drop(all);
        self.changed.notify_waiters();
    }

    async fn refresh(&self, service: &str) -> Result<(), store::Error> {
        let call = StoreCall::Range {
            prefix: format!("{TABLES}{service}"),
            after: None,
        };
        let answer = self.store.call(&call).await?;
        if let StoreReply::Page { items, .. } = answer.reply {
            let name = format!("{TABLES}{service}");
            for item in items.iter().filter(|i| i.key == name) {
                self.apply_item(item, answer.era);
            }
        }
        Ok(())
    }

    /// Changes a table by compare-and-swap and returns whether it was changed. A table that isn't
    /// confirmed in the present era isn't changed.
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
        for _ in 0..MAX_ATTEMPTS {
            let Some(table) = self.confirmed(service) else {
                return Ok(false);
            };
            let Some(next) = change(&table.assignments) else {
                return Ok(false);
            };
            let revision = table.revision;
            match self.write(service, revision, guard, &next).await {
                Ok(true) => return Ok(true),
                Ok(false) => {
                    let changed_meanwhile =
                        self.get(service).is_some_and(|t| t.revision != revision);
                    if !changed_meanwhile {
                        // The table is unchanged, so one of the further conditions doesn't hold.
                        return Ok(false);
                    }
                }
                Err(e) if e.is_refused() => return Err(e),
                Err(e) => {
                    tracing::warn!(event = 443, service, revision = revision.number, error = %e, "no reply to a change of an assignment table; reading the table");
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

    /// Writes the table that is confirmed for the present era over the unconfirmed one that the store
    /// has, and returns whether that was done.
    ///
    /// # Errors
    ///
    /// Returns the store's error. Unless the store refused the call, the table may still be written.
    pub async fn write_confirmed(
        &self,
        service: &str,
        table: &AssignmentTable,
    ) -> Result<bool, store::Error> {
        let unconfirmed = {
            let all = self.all.borrow();
            let copies = all.get(service);
            copies.and_then(|c| c.unconfirmed.as_ref().map(|t| t.revision))
        };
        let none = Revision::new(table.era, 0);
        self.write(service, unconfirmed.unwrap_or(none), &[], table)
            .await
    }

    /// Writes a table in place of the one at a revision. Returns whether it was written; otherwise the
    /// present table is read.
    async fn write(
        &self,
        service: &str,
        revision: Revision,
        guard: &[(String, u64)],
        table: &AssignmentTable,
    ) -> Result<bool, store::Error> {
        let name = format!("{TABLES}{service}");
        let mut expect = vec![(name.clone(), revision.number)];
        expect.extend_from_slice(guard);
        let call = StoreCall::Commit(Commit {
            expect,
            put: vec![(name.clone(), ownership::encode_table(table), None)],
            delete: Vec::new(),
        });
        let answer = self.store.call(&call).await?;
        match &answer.reply {
            StoreReply::Committed { revision: number } => {
                let written = Revision::new(answer.era, *number);
                self.set(service, written, Rc::new(table.clone()));
                // A restored store may have had a table with this revision; what it has now is
                // unconfirmed.
                if answer.era == revision.era {
                    Ok(true)
                } else {
                    Err(store::Error::Outdated(revision.era))
                }
            }
            reply => {
                let current = match reply {
                    StoreReply::Conflict { items } => items.iter().find(|i| i.key == name),
                    _ => None,
                };
                match current {
                    Some(item) => self.apply_item(item, answer.era),
                    None => self.refresh(service).await?,
                }
                Ok(false)
            }
        }
    }
}
