//! Standby of partitions: promises not to claim, and claims after its promise has run out.
//!
//! Enforces the standby's side of these rules:
//! - R1: a promise counts from the moment of the answer, plus the drift allowance.
//! - R4: a claim is sent only after the standby's own last promise has run out, as a
//!   compare-and-swap to the next epoch, and only if the record names this incarnation.
//! - R10: while the result of a claim is not known, no promise is given. The check of the promise
//!   and the mark that a claim is under way are made under one lock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use tokio::sync::{Notify, watch};

use crate::coordination::{coordinator, node, store};
use crate::protocol::{peer, record as wire};
use crate::state::{clock, ids, record, timing};

/// Shortest interval at which expired promises are looked for.
const TICK: time::Duration = time::Duration::from_millis(25);

/// Longest interval; a promise that is given meanwhile ends later than the one waited for.
const IDLE: time::Duration = time::Duration::from_secs(1);

/// Pause before an unresolved claim is sent again.
const CLAIM_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Further wait if the coordinator answers a ping: it may be replacing this standby, and a claim
/// would only change the epoch.
const ALIVE_WAIT: time::Duration = time::Duration::from_secs(1);

/// Promises given by this node.
#[derive(Debug, Default)]
pub struct Standby {
    duties: Mutex<HashMap<ids::PartitionId, Duty>>,
    changed: Notify,
}

#[derive(Debug)]
struct Duty {
    /// End of the last promise.
    until: clock::Instant,
    /// Earliest time of the next attempt to claim.
    next: clock::Instant,
    /// Whether an attempt is being prepared or a claim is under way.
    busy: bool,
    /// Whether a claim may have been sent whose result is not known.
    unresolved: bool,
}

impl Duty {
    fn new(until: clock::Instant) -> Self {
        Self {
            until,
            next: until,
            busy: false,
            unresolved: false,
        }
    }
}

impl Standby {
    /// Gives a promise unless a claim is unresolved.
    #[must_use]
    pub fn give(&self, id: &ids::PartitionId) -> bool {
        let mut duties = self.lock();
        let until = clock::Instant::now() + timing::with_drift(timing::PROMISE_DURATION);
        let duty = duties.entry(id.clone()).or_insert_with(|| {
            self.changed.notify_one();
            Duty::new(until)
        });
        if duty.unresolved {
            return false;
        }
        duty.until = until;
        duty.next = until;
        true
    }

    /// Marks a claim as sent if no promise is in force.
    #[must_use]
    pub fn begin(&self, id: &ids::PartitionId) -> bool {
        let mut duties = self.lock();
        let Some(duty) = duties.get_mut(id) else {
            return false;
        };
        if duty.until.is_ahead() || duty.unresolved {
            return false;
        }
        duty.unresolved = true;
        true
    }

    /// Marks the claim as resolved.
    pub fn end(&self, id: &ids::PartitionId) {
        if let Some(duty) = self.lock().get_mut(id) {
            duty.unresolved = false;
        }
    }

    /// Starts an attempt if the promise has run out; a first look counts as a promise.
    fn due(&self, id: &ids::PartitionId) -> bool {
        let mut duties = self.lock();
        let now = clock::Instant::now();
        let duty = duties
            .entry(id.clone())
            .or_insert_with(|| Duty::new(now + timing::with_drift(timing::PROMISE_DURATION)));
        if duty.busy || duty.until > now || duty.next > now {
            return false;
        }
        duty.busy = true;
        true
    }

    fn has(&self, id: &ids::PartitionId) -> bool {
        self.lock().contains_key(id)
    }

    /// Ends the duty for a partition whose record does not name this node.
    fn dismiss(&self, id: &ids::PartitionId) {
        self.lock()
            .retain(|i, d| i != id || d.unresolved || d.until.is_ahead());
        self.changed.notify_one();
    }

    /// Returns when the first of these partitions may become due.
    fn next(&self, own: &[Arc<record::PartitionRecord>]) -> Option<clock::Instant> {
        let duties = self.lock();
        let duties = own.iter().filter_map(|r| duties.get(&r.id));
        duties.map(|d| d.until.max(d.next)).min()
    }

    fn finish(&self, id: &ids::PartitionId, pause: time::Duration) {
        if let Some(duty) = self.lock().get_mut(id) {
            duty.busy = false;
            duty.next = duty.next.max(clock::Instant::now() + pause);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ids::PartitionId, Duty>> {
        self.duties.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers a coordinator that asks for a promise.
pub async fn promise(node: &Arc<node::Node>, req: peer::Promise) -> peer::PromiseReply {
    if req.to != node.me.incarnation {
        return peer::PromiseReply::Incarnation(node.me.incarnation);
    }
    if let Some(offered) = req.record {
        match record::PartitionRecord::try_from(*offered) {
            Ok(new) => {
                node.records.offer(new);
            }
            Err(e) => {
                tracing::warn!(event = 414, error = %e, "coordinator sent an invalid record");
            }
        }
    }
    let Some(known) = node.records.get(&req.partition) else {
        return peer::PromiseReply::NeedRecord;
    };
    if known.epoch > req.stamp.0 {
        return peer::PromiseReply::Superseded(Box::new(wire::Record::from(&*known)));
    }
    if known.stamp() < req.stamp || known.coordinator != req.from {
        return peer::PromiseReply::NeedRecord;
    }
    if !node.standby.give(&req.partition) {
        return peer::PromiseReply::Unresolved;
    }
    peer::PromiseReply::Given {
        stamp: known.stamp(),
    }
}

/// Claims partitions whose coordinator is lost.
///
/// A node that has promised looks after the partition even if it does not know to be named: the
/// coordinator may have been lost between the write and the news of it.
pub async fn run(node: Arc<node::Node>) {
    let mut changes = node.records.changes();
    loop {
        changes.borrow_and_update();
        let mut own = node.records.all();
        own.retain(|r| r.standbys.contains(&node.me) || node.standby.has(&r.id));
        watch_over(&node, &own, &mut changes).await;
    }
}

/// Attempts claims that are due until a record changes or a further promise is given.
async fn watch_over(
    node: &Arc<node::Node>,
    own: &[Arc<record::PartitionRecord>],
    changes: &mut watch::Receiver<u64>,
) {
    loop {
        for record in own {
            if node.standby.due(&record.id) {
                tokio::spawn(attempt(Arc::clone(node), Arc::clone(record)));
            }
        }
        let next = node.standby.next(own);
        let wait = next.map_or(IDLE, |at| at.left().clamp(TICK, IDLE));
        let news = async {
            tokio::select! {
                // The sender lives as long as the node.
                _ = changes.changed() => {}
                () = node.standby.changed.notified() => {}
            }
        };
        if tokio::time::timeout(wait, news).await.is_ok() {
            return;
        }
    }
}

async fn attempt(node: Arc<node::Node>, record: Arc<record::PartitionRecord>) {
    let id = &record.id;
    let pause = match prepare(&node, &record).await {
        Ok(stored) => {
            claim(&node, stored).await;
            CLAIM_PAUSE
        }
        Err(pause) => pause,
    };
    node.standby.finish(id, pause);
}

/// Reads the record, and returns it if this node may claim it; otherwise the time to wait.
async fn prepare(
    node: &Arc<node::Node>,
    known: &record::PartitionRecord,
) -> Result<store::Stored, time::Duration> {
    let read = store::read(&node.platform, &known.id);
    let ping = coordinator::ping(node, known.coordinator);
    let (read, ping) = tokio::join!(read, ping);
    let stored = match read {
        Ok(Some(stored)) => stored,
        Ok(None) => return Err(CLAIM_PAUSE),
        Err(e) => {
            tracing::warn!(event = 415, partition = %known.id, error = %e, "can't read the record for a claim");
            return Err(CLAIM_PAUSE);
        }
    };
    let superseded = stored.record.epoch > known.epoch;
    node.records.offer((*stored.record).clone());
    if !stored.record.standbys.contains(&node.me) {
        node.standby.dismiss(&known.id);
        return Err(CLAIM_PAUSE);
    }
    if superseded {
        return Err(CLAIM_PAUSE);
    }
    let since = node.standby.lock().get(&known.id).map(|d| d.until);
    let waited = since.is_some_and(|u| clock::Instant::now().since(u) > ALIVE_WAIT);
    let alive = ping.is_ok_and(|answering| answering == known.coordinator.incarnation);
    if alive && !waited {
        return Err(TICK);
    }
    Ok(stored)
}

/// Sends the claim until its result is known.
pub async fn claim(node: &Arc<node::Node>, stored: store::Stored) {
    let old = &stored.record;
    let id = old.id.clone();
    if !old.standbys.contains(&node.me) || !node.standby.begin(&id) {
        return;
    }
    let write = store::Write {
        record: Arc::new(succeed(node.me, old)),
        hold: stored.hold,
        expect: stored.at,
    };
    tracing::info!(event = 416, partition = %id, epoch = %write.record.epoch, lost = %old.coordinator, "claiming the partition");
    resolve(node, &write).await;
    node.standby.end(&id);
}

async fn resolve(node: &Arc<node::Node>, write: &store::Write) {
    let mut ambiguous = false;
    loop {
        let sent = clock::Instant::now();
        match store::write(&node.platform, write).await {
            Ok(store::Written::Done(stored)) => return take(node, stored, sent),
            Ok(store::Written::Lost(current)) => {
                tracing::info!(event = 417, partition = %write.record.id, "claim lost");
                // The claim may have taken effect before the write that is read now.
                if let Some(stored) = current {
                    return take(node, stored, sent);
                }
                return;
            }
            Ok(store::Written::Unresolved) => ambiguous = true,
            Err(e) if ambiguous => {
                tracing::debug!(event = 418, error = %e, "claim is still unresolved");
            }
            Err(e) => {
                tracing::warn!(event = 419, error = %e, "can't claim the partition");
                return;
            }
        }
        tokio::time::sleep(CLAIM_PAUSE).await;
    }
}

fn take(node: &Arc<node::Node>, stored: store::Stored, sent: clock::Instant) {
    node.records.offer((*stored.record).clone());
    if stored.record.coordinator == node.me {
        coordinator::take(node, stored, sent);
    }
}

/// Returns the record with this node as coordinator of the next epoch; no key moves (R5).
#[must_use]
pub fn succeed(me: ids::NodeRef, old: &record::PartitionRecord) -> record::PartitionRecord {
    record::PartitionRecord {
        epoch: old.epoch.next(),
        revision: old.revision.next(),
        coordinator: me,
        standbys: old.standbys.iter().copied().filter(|s| *s != me).collect(),
        intent: None,
        writer: store::writer(me),
        ..old.clone()
    }
}
