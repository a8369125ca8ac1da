//! Departures of the backend server beside a node, kept beyond the life of the node's process.
//!
//! A heartbeat may be seconds late. A process that has acknowledged a departure knows which heartbeats
//! are from before; its successor would take one for a backend server to use. So a departure is
//! recorded in the store before it is acknowledged, and a new process reads the record before it takes
//! its first heartbeat.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;

use crate::coordination::sidecar::backoff::Backoff;
use crate::protocol::adapter::{Commit, StoreCall, StoreReply};
use crate::state::clock::Instant;
use crate::state::keyspace::Holder;
use crate::transport::sidecar::store::{self, StoreClient};

/// Prefix of the records in the store. Only the next process of the same node needs one, so they are
/// not among the items that all nodes keep.
const PREFIX: &str = "filbertflow-left/";

/// Time for which a record is kept; heartbeats are late by seconds.
const KEPT: Duration = Duration::from_mins(1);

/// Longest wait of an acknowledgement for its record; the backend server waits for a second.
const RECORD_LIMIT: Duration = Duration::from_millis(500);

/// Time after the start of a process in which heartbeats wait for the record. Without the store, a
/// backend server is used after it all the same.
const READ_LIMIT: Duration = Duration::from_millis(1500);

/// Longest wait of one heartbeat, below the second in which it must be answered.
const WAIT_LIMIT: Duration = Duration::from_millis(800);

/// Life of a backend server that has left.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Departed {
    backend: String,
    born: u64,
}

/// Departures beside one node.
#[derive(Debug)]
pub struct Departures {
    store: Rc<StoreClient>,
    key: String,
    last: RefCell<Option<Departed>>,
    started: Instant,
    read: Cell<bool>,
    told: Notify,
}

impl Departures {
    /// Creates the departures beside the node of an address, not read yet.
    #[must_use]
    pub fn new(node: &str, store: Rc<StoreClient>) -> Rc<Self> {
        Rc::new(Self {
            store,
            key: format!("{PREFIX}{node}"),
            last: RefCell::new(None),
            started: Instant::now(),
            read: Cell::new(false),
            told: Notify::new(),
        })
    }

    /// Reads what a process before this one has recorded.
    pub async fn load(&self) {
        let mut backoff = Backoff::default();
        while !self.read.get() {
            match self.find().await {
                Ok(found) => {
                    if let Some(departed) = &found {
                        tracing::info!(event = 375, backend = %departed.backend, born = departed.born, "a process before this one has acknowledged a departure");
                    }
                    // What this process has recorded meanwhile is newer.
                    let mut last = self.last.borrow_mut();
                    *last = last.take().or(found);
                    self.read.set(true);
                }
                Err(e) => {
                    tracing::warn!(event = 376, error = %e, "can't read whether the backend server has left");
                    backoff.wait(&self.store).await;
                }
            }
        }
        self.told.notify_waiters();
    }

    async fn find(&self) -> Result<Option<Departed>, store::Error> {
        let call = StoreCall::Range {
            prefix: self.key.clone(),
            after: None,
        };
        let StoreReply::Page { items, .. } = self.store.call(&call).await? else {
            return Err(store::Error::Refused);
        };
        let Some(item) = items.into_iter().find(|i| i.key == self.key) else {
            return Ok(None);
        };
        match serde_json::from_slice(&item.value) {
            Ok(departed) => Ok(Some(departed)),
            Err(e) => {
                tracing::warn!(event = 377, key = %self.key, error = %e, "the record of a departure can't be read and is ignored");
                Ok(None)
            }
        }
    }

    /// Waits until the record of earlier processes is known, or has been waited for long enough.
    pub async fn wait_loaded(&self) {
        let end = (self.started + READ_LIMIT).left().min(WAIT_LIMIT);
        let told = self.told.notified();
        if !self.read.get() && time::timeout(end, told).await.is_err() {
            tracing::warn!(
                event = 378,
                "a heartbeat is taken without knowing whether its backend server has left"
            );
        }
    }

    /// Returns whether a life of a backend server has left.
    #[must_use]
    pub fn has_left(&self, holder: &Holder) -> bool {
        let last = self.last.borrow();
        let same = |d: &Departed| d.backend == holder.backend && d.born == holder.born;
        last.as_ref().is_some_and(same)
    }

    /// Records a departure, unless that is done; waits for the store for a while at most.
    pub async fn record(&self, holder: &Holder) {
        if self.has_left(holder) {
            return;
        }
        let departed = Departed {
            backend: holder.backend.clone(),
            born: holder.born,
        };
        *self.last.borrow_mut() = Some(departed.clone());
        let done = time::timeout(RECORD_LIMIT, self.write(&departed)).await;
        let error = match done {
            Ok(Ok(())) => return,
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        tracing::warn!(event = 379, backend = %departed.backend, born = departed.born, error, "a departure is not recorded; a process after this one will not know it");
    }

    async fn write(&self, departed: &Departed) -> Result<(), store::Error> {
        let call = StoreCall::Grant { ttl: KEPT };
        let StoreReply::Lease { id: Some(id), .. } = self.store.call(&call).await? else {
            return Err(store::Error::Refused);
        };
        let value = serde_json::to_vec(departed).expect("a departure has only numbers and text");
        let call = StoreCall::Commit(Commit {
            expect: Vec::new(),
            put: vec![(self.key.clone(), value, Some(id))],
            delete: Vec::new(),
        });
        match self.store.call(&call).await? {
            StoreReply::Committed { .. } => Ok(()),
            _ => Err(store::Error::Refused),
        }
    }
}
