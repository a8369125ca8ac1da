//! Departures of the local backend server, persisted in the store across restarts of the sidecar.
//!
//! A heartbeat may arrive seconds late. The process that acknowledged a departure can tell such a
//! heartbeat from a new one; without a record, a restarted process would take it for a live backend
//! server. So a departure is recorded in the store before it is acknowledged, and a new process loads
//! the record before it accepts its first heartbeat. While the store doesn't respond, writing the record
//! is retried. A restored store may have lost the record, which is written again then.
//!
//! A leave notice may be the first message to a process, or name no incarnation. It is recorded then as
//! well, without a start for all incarnations of the identifier that had started when it arrived. Such a
//! record holds for `RECORD_TTL`, since a server without a start can't be told from its successor.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

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
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Departed {
    /// Identifier of the backend server.
    pub backend: String,
    /// Start of the incarnation, in Unix milliseconds; 0 if unknown.
    pub born: u64,
    /// Latest start of the incarnations that the departure covers, in Unix milliseconds; 0 if `born`
    /// tells.
    #[serde(default)]
    pub until: u64,
}

impl Departed {
    /// Returns the departure that a leave notice tells of, at a time in Unix milliseconds.
    #[must_use]
    pub fn from_notice(backend: &str, born: Option<u64>, now_ms: u64) -> Self {
        let born = born.unwrap_or_default();
        Self {
            backend: backend.to_owned(),
            born,
            until: if born == 0 { now_ms } else { 0 },
        }
    }

    /// Returns whether an incarnation has departed; `age` is the time since the departure.
    #[must_use]
    pub fn covers(&self, holder: &Holder, age: Duration) -> bool {
        let known = self.born > 0 && self.born == holder.born;
        let same = known || (age < RECORD_TTL && holder.born <= self.until.max(self.born));
        self.backend == holder.backend && same
    }

    /// Returns whether an incarnation has ended, since one that started later has departed; `age` is the
    /// time since the departure.
    #[must_use]
    pub fn succeeds(&self, holder: &Holder, age: Duration) -> bool {
        let earlier = 0 < holder.born && holder.born < self.born;
        earlier && age < RECORD_TTL
    }

    /// Returns whether this departure is of a later incarnation than another one.
    #[must_use]
    pub fn is_later_than(&self, other: &Self) -> bool {
        self.born > other.born.max(other.until)
    }
}

impl From<&Holder> for Departed {
    fn from(holder: &Holder) -> Self {
        Self {
            backend: holder.backend.clone(),
            born: holder.born,
            until: 0,
        }
    }
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
    /// Notified of a departure whose record isn't written yet.
    pub unwritten: Notify,
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
            unwritten: Notify::new(),
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
                    // A departure that this process has recorded meanwhile is newer, unless its notice was
                    // late.
                    let mut last = self.last.borrow_mut();
                    let known = last.as_ref();
                    if known.is_none_or(|l| found.as_ref().is_some_and(|f| f.is_later_than(l))) {
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

    /// Returns for how long a heartbeat waits for what the store knows of earlier incarnations.
    #[must_use]
    pub fn load_wait(&self) -> Duration {
        (self.started + LOAD_TIMEOUT).left().min(HEARTBEAT_WAIT)
    }

    /// Waits until the record of earlier processes is loaded or the wait has timed out.
    pub async fn wait_loaded(&self) {
        let end = self.load_wait();
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
        let age = Instant::now().since(self.departed_at.get());
        let last = self.last.borrow();
        last.as_ref().is_some_and(|d| d.covers(holder, age))
    }

    /// Returns whether an incarnation has ended, since a later one has departed.
    #[must_use]
    pub fn has_ended(&self, holder: &Holder) -> bool {
        let age = Instant::now().since(self.departed_at.get());
        let last = self.last.borrow();
        last.as_ref().is_some_and(|d| d.succeeds(holder, age))
    }

    /// Returns whether the departure of an incarnation, or of a later one, is recorded in the store.
    #[must_use]
    pub fn is_recorded(&self, holder: &Holder) -> bool {
        let last = self.last.borrow();
        let covers =
            |d: &Departed| d.covers(holder, Duration::ZERO) || d.succeeds(holder, Duration::ZERO);
        self.is_written() && last.as_ref().is_some_and(covers)
    }

    fn is_written(&self) -> bool {
        self.written.get() == Some(self.store.era())
    }

    /// Returns the last departure if the store doesn't have its record, or has lost it, while that still
    /// matters.
    #[must_use]
    pub fn missing_record(&self) -> Option<Departed> {
        let departed = self.last.borrow().clone()?;
        let is_recent = Instant::now().since(self.departed_at.get()) < RECORD_TTL;
        (is_recent && !self.is_written()).then_some(departed)
    }

    /// Records a departure in the store unless it is recorded already; takes at most `RECORD_TIMEOUT`.
    pub async fn record(&self, holder: &Holder) {
        let known = self.last.borrow().clone().filter(|_| self.has_left(holder));
        self.record_departed(known.unwrap_or_else(|| holder.into()))
            .await;
    }

    /// Records the departure that a leave notice of a backend server tells of which this process doesn't
    /// know, like [`Departures::record`].
    pub async fn record_notice(&self, backend: &str, born: Option<u64>) {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let now_ms = u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX);
        self.record_departed(Departed::from_notice(backend, born, now_ms))
            .await;
    }

    /// Writes the record of a departure unless that is done already or a later one is known.
    pub async fn record_departed(&self, departed: Departed) {
        let known = self.last.borrow().clone();
        if known.as_ref().is_some_and(|k| k.is_later_than(&departed)) {
            return;
        }
        if known.as_ref() != Some(&departed) {
            *self.last.borrow_mut() = Some(departed.clone());
            self.departed_at.set(Instant::now());
            self.written.set(None);
            self.unwritten.notify_one();
        }
        let write = async {
            let _writing = self.writing.lock().await;
            let is_last = || self.last.borrow().as_ref() == Some(&departed);
            if !is_last() || self.is_written() {
                return Ok(());
            }
            let era = self.write(&departed).await?;
            self.written.set(is_last().then_some(era));
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
                    if let Some(other) = other.filter(|d| d.is_later_than(departed)) {
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
