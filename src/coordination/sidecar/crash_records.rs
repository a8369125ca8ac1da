//! Records of crashing requests in the store, which outlast all processes.
//!
//! Nodes tell each other of crashes at once, but all of them may be killed at the same moment. So the arbiter
//! of a suspected request also keeps a record of it in the store, below the prefix that all nodes replicate.
//! A process that starts applies the records with its first copy of the items, before it accepts a heartbeat
//! of the local backend server, and so before it runs any request.
//!
//! The arbiter compares what it knows with what the store has, whenever either changes, and writes the
//! difference: a record that is missing or lacks a crash, also because the store was restored from a copy, and
//! the removal of one whose request was answered or is no longer remembered. A record is applied once at each
//! revision, so that it doesn't bring back a request that was cleared meanwhile.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;

use crate::coordination::sidecar::backoff::Backoff;
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::quarantine::MAX_CRASHES;
use crate::coordination::sidecar::replication::Replicator;
use crate::protocol::adapter::{Commit, Item, StoreCall, StoreReply};
use crate::protocol::crash_record;
use crate::state::clock::Instant;
use crate::state::crash_evidence::{CrashEvidence, Recordable};
use crate::state::fingerprint::Fingerprint;
use crate::state::store_revision::{Era, Revision};
use crate::transport::sidecar::store::{self, StoreClient};

/// Time for which a request with a single crash is not recorded: most of those that only ran beside the one
/// that crashed the server are answered within it.
const FIRST_CRASH_DELAY: Duration = Duration::from_secs(1);

/// Interval at which records are compared while there are any.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause between two comparisons.
const PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of records in one transaction; each takes two of the store's 32 entries.
const MAX_BATCH: usize = 16;

/// Number of records above which only requests are recorded that are quarantined.
const MAX_RECORDS: usize = 512;

/// Record in the store.
#[derive(Debug, Clone)]
struct Present {
    revision: Revision,
    /// None if it can't be decoded; then it is left as it is.
    evidence: Option<CrashEvidence>,
}

/// Change of one record, on condition of its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Change {
    request: Fingerprint,
    /// 0 if there is no record.
    expected: u64,
    /// None to remove the record.
    evidence: Option<CrashEvidence>,
}

/// Records of this node's fleet, as far as the node knows and keeps them.
#[derive(Debug)]
pub struct CrashRecords {
    store: Rc<StoreClient>,
    replicator: Rc<Replicator>,
    dispatcher: Rc<Dispatcher>,
    present: RefCell<BTreeMap<Fingerprint, Present>>,
    /// Revision up to which this node's own changes must be replicated before it makes further ones.
    written: Cell<Revision>,
    changed: Notify,
}

impl CrashRecords {
    /// Creates the records, and has the replicator pass them on.
    #[must_use]
    pub fn new(
        store: Rc<StoreClient>,
        replicator: &Rc<Replicator>,
        dispatcher: Rc<Dispatcher>,
    ) -> Rc<Self> {
        let records = Rc::new(Self {
            store,
            replicator: Rc::clone(replicator),
            dispatcher,
            present: RefCell::default(),
            written: Cell::default(),
            changed: Notify::new(),
        });
        let receiver = Rc::downgrade(&records);
        replicator.set_record_handler(Box::new(move |key, item, era| {
            if let Some(records) = receiver.upgrade() {
                records.apply(key, item, era);
            }
        }));
        records
    }

    /// Applies a record that was written, or removed if there is no item.
    fn apply(&self, key: &str, item: Option<&Item>, era: Era) {
        self.changed.notify_one();
        let request = match crash_record::decode_key(key) {
            Ok(request) => request,
            Err(e) => {
                tracing::warn!(event = 595, key, error = %e, "ignored a crash record that can't be decoded");
                return;
            }
        };
        let Some(item) = item else {
            self.present.borrow_mut().remove(&request);
            return;
        };
        let evidence = match crash_record::decode(&item.value) {
            Ok(evidence) => {
                self.dispatcher.isolation.restore(request, &evidence);
                Some(evidence)
            }
            Err(e) => {
                tracing::warn!(event = 595, key, error = %e, "ignored a crash record that can't be decoded");
                None
            }
        };
        let revision = Revision::new(era, item.revision);
        let present = Present { revision, evidence };
        self.present.borrow_mut().insert(request, present);
    }

    /// Keeps the records up to date until the task is dropped.
    pub async fn run(&self) {
        let isolation = &self.dispatcher.isolation;
        let mut backoff = Backoff::default();
        loop {
            let idle = self.present.borrow().is_empty() && isolation.is_idle();
            tokio::select! {
                () = self.changed.notified() => {}
                () = isolation.evidence_changed.notified() => {}
                () = time::sleep(CHECK_INTERVAL), if !idle => {}
            }
            for batch in self.due_changes(Instant::now()).chunks(MAX_BATCH) {
                match self.write(batch).await {
                    Ok(()) => backoff.reset(),
                    Err(e) => {
                        tracing::warn!(event = 594, records = batch.len(), error = %e, "can't record crashing requests in the store yet");
                        backoff.wait(&self.store).await;
                        break;
                    }
                }
            }
            // Further crashes accumulate meanwhile.
            time::sleep(PAUSE).await;
        }
    }

    /// Returns the changes that are this node's to make.
    fn due_changes(&self, now: Instant) -> Vec<Change> {
        let known = self.replicator.revision();
        // What the store has is known only by a copy of the present era with this node's own changes.
        if known.is_none() || known.era != self.store.era() || known < self.written.get() {
            return Vec::new();
        }
        let isolation = &self.dispatcher.isolation;
        let present = self.present.borrow();
        let suspects = isolation.recordable(now);
        let puts = suspects.iter().filter_map(|r| {
            let change = put(r, present.get(&r.request), present.len())?;
            isolation.is_arbiter(r.request).then_some(change)
        });
        let suspected: BTreeSet<_> = suspects.iter().map(|r| r.request).collect();
        let removals = present.iter().filter_map(|(&request, record)| {
            let outdated = record.evidence.is_some() && !suspected.contains(&request);
            (outdated && isolation.is_arbiter(request)).then_some(Change {
                request,
                expected: record.revision.number,
                evidence: None,
            })
        });
        puts.chain(removals).collect()
    }

    /// Makes changes in one transaction. If a record was changed by another node, nothing is written, and the
    /// changes are found again once the replica has it.
    async fn write(&self, changes: &[Change]) -> Result<(), store::Error> {
        let mut commit = Commit::default();
        for change in changes {
            let key = crash_record::key(change.request);
            commit.expect.push((key.clone(), change.expected));
            match &change.evidence {
                Some(evidence) => commit.put.push((key, crash_record::encode(evidence), None)),
                None => commit.delete.push(key),
            }
        }
        let answer = self.store.call(&StoreCall::Commit(commit)).await?;
        match answer.reply {
            StoreReply::Committed { revision } => {
                self.written.set(Revision::new(answer.era, revision));
                let removed = changes.iter().filter(|c| c.evidence.is_none()).count();
                tracing::info!(event = 593, records = changes.len() - removed, removed, %revision, "recorded crashing requests in the store");
                Ok(())
            }
            StoreReply::Conflict { .. } => Ok(()),
            _ => Err(store::Error::Refused),
        }
    }
}

/// Returns the change that brings the record of a suspect up to date, if one is due. `records` is the number
/// of records in the store.
fn put(suspect: &Recordable, present: Option<&Present>, records: usize) -> Option<Change> {
    let evidence = &suspect.evidence;
    let due = match present {
        Some(Present { evidence: None, .. }) => false,
        Some(Present {
            evidence: Some(recorded),
            ..
        }) => {
            let enough = recorded.lives.len() >= MAX_CRASHES;
            let known = enough && recorded.strikes >= evidence.strikes;
            !known && !recorded.covers(evidence)
        }
        None if evidence.lives.len() >= MAX_CRASHES => true,
        None if records >= MAX_RECORDS => false,
        None => evidence.lives.len() > 1 || suspect.age >= FIRST_CRASH_DELAY,
    };
    due.then(|| Change {
        request: suspect.request,
        expected: present.map_or(0, |p| p.revision.number),
        evidence: Some(evidence.clone()),
    })
}
