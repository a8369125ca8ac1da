//! Departures of the local backend server, persisted in the store across restarts of the sidecar.
//!
//! A heartbeat may arrive seconds late. The process that acknowledged a departure can tell such a
//! heartbeat from a new one; without a record, a restarted process would take it for a live backend
//! server. So a departure is recorded in the store before it is acknowledged, and a new process loads
//! the record before it accepts its first heartbeat. While the store doesn't respond, writing the record
//! is retried. A restored store may have lost the record, which is written again then.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Mutex, Notify};
use tokio::time;

use crate::coordination::sidecar::backoff::Backoff;
use crate::protocol::adapter::{Commit, Item, StoreCall, StoreReply};
use crate::state::clock::Instant;
use crate::state::keyspace::Holder;
use crate::state::store_revision::{Era, Revision};
use crate::transport::sidecar::store::{self, StoreClient};

/// Prefix of the records in the store. It is outside the prefix that all nodes replicate, since only
/// the next process of the same node reads its record.
const PREFIX: &str = "filbertflow-left/";

/// Lifetime of a record; heartbeats are late by seconds at most.
const RECORD_TTL: Duration = Duration::from_mins(1);

/// Maximum time to write a record before the departure is acknowledged; the backend server times out
/// after a second.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after startup in which heartbeats wait for the record. After it, heartbeats are accepted even
/// if the store doesn't respond.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum wait of one heartbeat, below its timeout of one second.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(800);

/// Maximum number of attempts at one write, each on a newer record.
const MAX_ATTEMPTS: usize = 3;

/// Incarnation of a backend server that has departed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Departed {
    backend: String,
    born: u64,
}

/// Departure record of one node's backend server.
#[derive(Debug)]
pub struct Departures {
    store: Rc<StoreClient>,
    key: String,
    last: RefCell<Option<Departed>>,
    /// Time at which `last` became known.
    departed_at: Cell<Instant>,
    /// Era in which the record of `last` is in the store.
    written: Cell<Option<Era>>,
    /// Revision of the last known record in the store, none if there is none.
    revision: Cell<Revision>,
    /// Held while the record is written.
    writing: Mutex<()>,
    started: Instant,
    loaded: Cell<bool>,
    load_done: Notify,
}

impl Departures {
    /// Creates the departures of a node's backend server, not loaded yet.
    #[must_use]
    pub fn new(node: &str, store: Rc<StoreClient>) -> Rc<Self> {
        Rc::new(Self {
            store,
            key: format!("{PREFIX}{node}"),
            last: RefCell::new(None),
            departed_at: Cell::new(Instant::now()),
            written: Cell::new(None),
            revision: Cell::default(),
            writing: Mutex::new(()),
            started: Instant::now(),
            loaded: Cell::new(false),
            load_done: Notify::new(),
        })
    }

    /// Loads the record of an earlier process of this node, with retries.
    pub async fn load(&self) {
        let mut backoff = Backoff::default();
        while !self.loaded.get() {
            match self.fetch().await {
                Ok(found) => {
                    if let Some(departed) = &found {
                        tracing::info!(event = 375, backend = %departed.backend, born = departed.born, "loaded a departure that an earlier process acknowledged");
                    }
                    // A departure that this process has recorded meanwhile is newer.
                    let mut last = self.last.borrow_mut();
                    if last.is_none() {
                        let era = self.revision.get().era;
                        self.written.set(found.is_some().then_some(era));
                        *last = found;
                    }
                    self.loaded.set(true);
                }
                Err(e) => {
                    tracing::warn!(event = 376, error = %e, "can't load the record of a departure from the store");
                    backoff.wait(&self.store).await;
                }
            }
        }
        self.load_done.notify_waiters();
    }

    async fn fetch(&self) -> Result<Option<Departed>, store::Error> {
        let call = StoreCall::Range {
            prefix: self.key.clone(),
            after: None,
        };
        let answer = self.store.call(&call).await?;
        let StoreReply::Page { items, .. } = answer.reply else {
            return Err(store::Error::Refused);
        };
        Ok(self.decode(&items, answer.era))
    }

    /// Returns the record among items of the store, and stores its revision for the next write.
    fn decode(&self, items: &[Item], era: Era) -> Option<Departed> {
        let item = items.iter().find(|i| i.key == self.key);
        self.revision
            .set(Revision::new(era, item.map_or(0, |i| i.revision)));
        match serde_json::from_slice(&item?.value) {
            Ok(departed) => Some(departed),
            Err(e) => {
                tracing::warn!(event = 377, key = %self.key, error = %e, "ignored a departure record that can't be decoded");
                None
            }
        }
    }

    /// Waits until the record of earlier processes is loaded or the wait has timed out.
    pub async fn wait_loaded(&self) {
        let end = (self.started + LOAD_TIMEOUT).left().min(HEARTBEAT_WAIT);
        let load_done = self.load_done.notified();
        if !self.loaded.get() && time::timeout(end, load_done).await.is_err() {
            tracing::warn!(
                event = 378,
                "accepted a heartbeat before the departure record was loaded"
            );
        }
    }

    /// Returns whether an incarnation of a backend server has departed.
    #[must_use]
    pub fn has_left(&self, holder: &Holder) -> bool {
        let last = self.last.borrow();
        let same = |d: &Departed| d.backend == holder.backend && d.born == holder.born;
        last.as_ref().is_some_and(same)
    }

    /// Returns whether the departure of an incarnation is recorded in the store.
    #[must_use]
    pub fn is_recorded(&self, holder: &Holder) -> bool {
        self.is_written() && self.has_left(holder)
    }

    fn is_written(&self) -> bool {
        self.written.get() == Some(self.store.era())
    }

    /// Returns the last departure if the store has lost its record while that still matters. `node` is
    /// the address of this node.
    #[must_use]
    pub fn lost_record(&self, node: &str) -> Option<Holder> {
        let departed = self.last.borrow().clone()?;
        let is_recent = Instant::now().since(self.departed_at.get()) < RECORD_TTL;
        let was_written = self.written.get().is_some();
        (is_recent && was_written && !self.is_written()).then(|| Holder {
            node: node.to_owned(),
            backend: departed.backend,
            born: departed.born,
        })
    }

    /// Records a departure in the store unless it is recorded already; takes at most `RECORD_TIMEOUT`.
    pub async fn record(&self, holder: &Holder) {
        let departed = Departed {
            backend: holder.backend.clone(),
            born: holder.born,
        };
        if !self.has_left(holder) {
            *self.last.borrow_mut() = Some(departed.clone());
            self.departed_at.set(Instant::now());
            self.written.set(None);
        }
        let write = async {
            let _writing = self.writing.lock().await;
            if self.is_recorded(holder) {
                return Ok(());
            }
            let era = self.write(&departed).await?;
            self.written.set(self.has_left(holder).then_some(era));
            Ok::<_, store::Error>(())
        };
        let error = match time::timeout(RECORD_TIMEOUT, write).await {
            Ok(Ok(())) => return,
            Ok(Err(e)) => e.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        tracing::warn!(event = 379, backend = %departed.backend, born = departed.born, error, "can't record a departure in the store yet");
    }

    /// Writes a record in place of the last known one.
    ///
    /// The store may execute a write late, when the next process of this node has recorded a later
    /// departure, so it is conditional on the record that it replaces.
    async fn write(&self, departed: &Departed) -> Result<Era, store::Error> {
        let call = StoreCall::Grant { ttl: RECORD_TTL };
        let answer = self.store.call(&call).await?;
        let StoreReply::Lease { id: Some(id), .. } = answer.reply else {
            return Err(store::Error::Refused);
        };
        let era = answer.era;
        let value = serde_json::to_vec(departed).expect("a departure is serializable");
        for _ in 0..MAX_ATTEMPTS {
            if self.revision.get().era != era {
                self.fetch().await?;
            }
            let call = StoreCall::Commit(Commit {
                expect: vec![(self.key.clone(), self.revision.get().number)],
                put: vec![(self.key.clone(), value.clone(), Some(id))],
                delete: Vec::new(),
            });
            let answer = self.store.call(&call).await?;
            if answer.era != era {
                // The lease may be lost.
                return Err(store::Error::Outdated(era));
            }
            match answer.reply {
                StoreReply::Committed { revision } => {
                    self.revision.set(Revision::new(era, revision));
                    return Ok(era);
                }
                StoreReply::Conflict { items } => {
                    let other = self.decode(&items, era);
                    if let Some(other) = other.filter(|d| d.born > departed.born) {
                        tracing::info!(event = 380, backend = %departed.backend, born = departed.born, later = other.born, "kept the record of a later departure");
                        return Ok(era);
                    }
                }
                _ => return Err(store::Error::Refused),
            }
        }
        Err(store::Error::Refused)
    }
}
