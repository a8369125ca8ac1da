//! Coordinator of partitions: grants leases and moves slices.
//!
//! Each partition has two tasks: one keeps the authority (promises, contact, proofs that a process
//! has ended), the other writes the record, one write at a time (R12). The rules are enforced in
//! [`lead`](crate::coordination::lead), under one lock for each decision.

mod calls;

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use tokio::sync::Notify;

use crate::coordination::{lead, node, store};
use crate::protocol::{peer, record as wire};
use crate::state::{clock, ids, record, timing};

use calls::{ask, probe, push};
pub use calls::{has_ended, ping};

/// Interval at which the writer looks for work without being notified.
const WRITER_TICK: time::Duration = time::Duration::from_millis(100);

/// Pause before an unresolved or failed write is sent again.
const WRITE_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Age of the last answer of the platform's service after which a write is preceded by a read. A
/// write that is sent into an outage stays unresolved until its end, and the owners that it takes
/// slices from get no lease meanwhile, even if they come back.
const REACHED: time::Duration = time::Duration::from_millis(500);

/// Longest interval between reads that prove contact to the platform's service.
const CONTACT: time::Duration = time::Duration::from_secs(2);

/// Age at which the environment of a partition is collected again.
const SURROUNDINGS: time::Duration = time::Duration::from_millis(500);

/// Interval at which the balance is planned.
const BALANCE: time::Duration = time::Duration::from_secs(1);

/// Partitions that this node coordinates.
#[derive(Debug, Default)]
pub struct Coordinator {
    led: Mutex<HashMap<ids::PartitionId, lead::Led>>,
    wake: Notify,
}

impl Coordinator {
    /// Returns the record of a partition that this node coordinates.
    #[must_use]
    pub fn leads(&self, id: &ids::PartitionId) -> Option<Arc<record::PartitionRecord>> {
        self.lock().get(id).map(|l| Arc::clone(l.record()))
    }

    /// Returns whether this node may grant leases on a partition now.
    #[must_use]
    pub fn has_authority(&self, id: &ids::PartitionId) -> bool {
        let now = clock::Instant::now();
        self.lock().get(id).is_some_and(|l| l.authority(now))
    }

    /// Returns the partitions that this node coordinates.
    #[must_use]
    pub fn partitions(&self) -> Vec<ids::PartitionId> {
        self.lock().keys().cloned().collect()
    }

    /// Runs a function on the state of a partition, if this node coordinates it.
    pub fn with<T>(&self, id: &ids::PartitionId, f: impl FnOnce(&mut lead::Led) -> T) -> Option<T> {
        self.lock().get_mut(id).map(f)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ids::PartitionId, lead::Led>> {
        self.led.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers an owner that asks for its lease.
pub async fn renew(node: &Arc<node::Node>, req: peer::Renew) -> peer::RenewReply {
    let mut led = node.coordinator.lock();
    let known = node.records.get(&req.partition);
    let led = led.get_mut(&req.partition).filter(|l| {
        let superseded = known.as_ref().is_some_and(|k| k.epoch > l.record().epoch);
        !superseded && req.to == node.me.incarnation
    });
    let Some(led) = led else {
        return peer::RenewReply::NotCoordinator(known.map(|r| boxed(&r)));
    };
    if req.stamp.0 > led.record().epoch {
        led.recheck = true;
        return peer::RenewReply::NotCoordinator(None);
    }
    led.report(&req);
    if !led.grant(req.from) {
        tracing::debug!(event = 402, partition = %req.partition, owner = %req.from, "renewal refused");
        return peer::RenewReply::NoAuthority;
    }
    let record = led.record();
    let stamp = record.stamp();
    peer::RenewReply::Granted {
        stamp,
        record: (req.stamp != stamp).then(|| boxed(record)),
    }
}

/// Takes back slices that an owner has stopped serving.
pub async fn release(node: &Arc<node::Node>, req: peer::Release) -> peer::ReleaseReply {
    let done = node.coordinator.with(&req.partition, |led| {
        if req.to != node.me.incarnation {
            return None;
        }
        let mut open = false;
        for (start, version) in &req.slices {
            led.release(req.from, *start, *version);
            open |= led.moving(req.from, *start, *version);
        }
        (!open).then(|| boxed(led.record()))
    });
    node.coordinator.wake.notify_waiters();
    match done.flatten() {
        Some(record) => peer::ReleaseReply::Done(record),
        None => peer::ReleaseReply::Again,
    }
}

/// Coordinates a partition from now on; the record names this node and is confirmed.
///
/// `sent` is the time at which the call was sent that confirmed it.
pub fn take(node: &Arc<node::Node>, stored: store::Stored, sent: clock::Instant) {
    let id = stored.record.id.clone();
    let record = Arc::clone(&stored.record);
    {
        let mut led = node.coordinator.lock();
        if led
            .get(&id)
            .is_some_and(|l| l.record().stamp() >= record.stamp())
        {
            return;
        }
        led.insert(id.clone(), lead::Led::new(node.me, stored, sent));
    }
    tracing::info!(event = 403, partition = %id, epoch = %record.epoch, "coordinating the partition");
    node.records.offer((*record).clone());
    push(node, &record);
    let epoch = record.epoch;
    tokio::spawn(keep_authority(Arc::clone(node), id.clone(), epoch));
    tokio::spawn(write_changes(Arc::clone(node), id, epoch));
}

fn step_down(node: &Arc<node::Node>, id: &ids::PartitionId, epoch: ids::Epoch) {
    let mut led = node.coordinator.lock();
    if led.get(id).is_some_and(|l| l.record().epoch == epoch) {
        led.remove(id);
        tracing::warn!(event = 404, partition = %id, epoch = %epoch, "no longer coordinating the partition");
    }
}

fn boxed(record: &record::PartitionRecord) -> Box<wire::Record> {
    Box::new(wire::Record::from(record))
}

/// Collects what the decisions about a partition need from the rest of the node.
fn env(node: &node::Node, id: &ids::PartitionId) -> lead::Env {
    let document = node.config.current();
    let drain = document.as_ref().map(|c| c.document.drain.clone());
    let drain = drain.unwrap_or_default();
    let candidates = node.members.serving(&id.service).into_iter();
    let candidates = candidates.filter(|m| !m.backend.draining && !drain.contains(&m.node.addr));
    lead::Env {
        domain: node.settings.domain.clone(),
        hold: document.as_ref().map(|c| c.document.cancel_window),
        policy: document
            .as_ref()
            .and_then(|c| c.document.service(&id.service))
            .map(|s| lead::Policy {
                weights: s.weights,
                churn_budget: s.churn_budget,
                slices: s.slices,
            }),
        candidates: candidates
            .map(|m| lead::Candidate {
                node: m.node,
                domain: m.domain,
            })
            .collect(),
        drain,
    }
}

/// Environment of a partition, collected again only now and then: the member table of a large
/// fleet is too long for every tick.
#[derive(Debug)]
struct Surroundings {
    env: lead::Env,
    at: clock::Instant,
}

impl Surroundings {
    fn new(node: &node::Node, id: &ids::PartitionId) -> Self {
        Self {
            env: env(node, id),
            at: clock::Instant::now(),
        }
    }

    fn get(&mut self, node: &node::Node, id: &ids::PartitionId) -> &lead::Env {
        if now_since(self.at) > SURROUNDINGS {
            *self = Self::new(node, id);
        }
        &self.env
    }
}

/// Returns whether this node still coordinates the partition in this epoch.
fn continues(node: &Arc<node::Node>, id: &ids::PartitionId, epoch: ids::Epoch) -> bool {
    if node.records.get(id).is_some_and(|k| k.epoch > epoch) {
        step_down(node, id, epoch);
    }
    let led = node.coordinator.lock();
    led.get(id).is_some_and(|l| l.record().epoch == epoch)
}

async fn keep_authority(node: Arc<node::Node>, id: ids::PartitionId, epoch: ids::Epoch) {
    let mut tick = tokio::time::interval(timing::PROMISE_RENEWAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let busy: Arc<Mutex<BTreeSet<ids::NodeRef>>> = Arc::default();
    let mut around = Surroundings::new(&node, &id);
    while continues(&node, &id, epoch) {
        let now = clock::Instant::now();
        let env = around.get(&node, &id);
        let work = node.coordinator.with(&id, |led| {
            led.tick(now);
            for server in led.record().servers.clone() {
                let newest = node.members.incarnation(server.node.addr);
                if newest.is_some_and(|i| i > server.node.incarnation) {
                    led.ended(server.node);
                }
            }
            (led.asked(env, now), led.quiet(now))
        });
        let Some((asked, quiet)) = work else { return };
        for standby in asked {
            start(
                &node,
                &busy,
                standby,
                ask(Arc::clone(&node), id.clone(), standby),
            );
        }
        for server in quiet {
            start(
                &node,
                &busy,
                server,
                probe(Arc::clone(&node), id.clone(), server),
            );
        }
        tick.tick().await;
    }
}

/// Runs a call to a node unless one is outstanding.
fn start(
    node: &Arc<node::Node>,
    busy: &Arc<Mutex<BTreeSet<ids::NodeRef>>>,
    to: ids::NodeRef,
    call: impl Future<Output = ()> + Send + 'static,
) {
    let lock = |busy: &Mutex<BTreeSet<ids::NodeRef>>, f: &dyn Fn(&mut BTreeSet<_>) -> bool| {
        f(&mut busy.lock().unwrap_or_else(PoisonError::into_inner))
    };
    if to.addr == node.me.addr || !lock(busy, &|b| b.insert(to)) {
        return;
    }
    let busy = Arc::clone(busy);
    tokio::spawn(async move {
        call.await;
        lock(&busy, &|b| b.remove(&to));
    });
}

async fn write_changes(node: Arc<node::Node>, id: ids::PartitionId, epoch: ids::Epoch) {
    let mut read_at = clock::Instant::now();
    let mut reached = clock::Instant::default();
    let mut around = Surroundings::new(&node, &id);
    while continues(&node, &id, epoch) {
        let env = around.get(&node, &id);
        let job = node.coordinator.with(&id, |led| {
            if led.pending.is_none() {
                led.plan(env);
            }
            let due = led.recheck || now_since(read_at) > CONTACT.min(led.stored.hold / 4);
            (led.pending.clone(), due)
        });
        let Some((pending, due)) = job else { return };
        match pending {
            Some(pending) if !pending.ambiguous && now_since(reached) > REACHED => {
                if refresh(&node, &id).await {
                    reached = clock::Instant::now();
                } else {
                    drop_unsent(&node, &id);
                    tokio::time::sleep(WRITE_PAUSE).await;
                }
            }
            Some(pending) => settle(&node, &id, &pending).await,
            None if due => {
                read_at = clock::Instant::now();
                if refresh(&node, &id).await {
                    reached = clock::Instant::now();
                }
            }
            None => {
                let woken = node.coordinator.wake.notified();
                drop(tokio::time::timeout(WRITER_TICK, woken).await);
            }
        }
    }
}

fn now_since(at: clock::Instant) -> time::Duration {
    clock::Instant::now().since(at)
}

async fn settle(node: &Arc<node::Node>, id: &ids::PartitionId, pending: &lead::Pending) {
    let sent = clock::Instant::now();
    let result = store::write(&node.platform, &pending.write).await;
    match result {
        Ok(store::Written::Done(stored)) => adopt(node, id, stored, sent),
        Ok(store::Written::Lost(Some(stored))) => adopt_other(node, id, stored, sent),
        Ok(store::Written::Lost(None)) => step_down(node, id, pending.write.record.epoch),
        Ok(store::Written::Unresolved) => {
            node.coordinator.with(id, |led| {
                if let Some(p) = &mut led.pending {
                    p.ambiguous = true;
                }
            });
            tracing::warn!(event = 406, partition = %id, "write of the record is unresolved");
            tokio::time::sleep(WRITE_PAUSE).await;
        }
        Err(e) => {
            tracing::warn!(event = 407, partition = %id, error = %e, "can't write the record");
            drop_unsent(node, id);
            tokio::time::sleep(WRITE_PAUSE).await;
        }
    }
}

/// Gives up a write that certainly had no effect; the owners that it barred may renew again.
fn drop_unsent(node: &Arc<node::Node>, id: &ids::PartitionId) {
    node.coordinator.with(id, |led| {
        led.pending.take_if(|p| !p.ambiguous);
    });
}

/// Reads the record again; returns whether the platform's service answered.
async fn refresh(node: &Arc<node::Node>, id: &ids::PartitionId) -> bool {
    let sent = clock::Instant::now();
    match store::read(&node.platform, id).await {
        Ok(Some(stored)) => {
            let same = node.coordinator.with(id, |led| {
                let same = led.stored.at == stored.at;
                if same {
                    led.confirm(sent);
                }
                same
            });
            if same == Some(false) {
                adopt_other(node, id, stored, sent);
            }
            true
        }
        Ok(None) => {
            tracing::error!(event = 408, partition = %id, "the record is missing");
            true
        }
        Err(e) => {
            tracing::debug!(event = 409, partition = %id, error = %e, "no contact to the platform's service");
            false
        }
    }
}

/// Takes a record that someone else wrote: keeps the role if it still names this node.
fn adopt_other(
    node: &Arc<node::Node>,
    id: &ids::PartitionId,
    stored: store::Stored,
    sent: clock::Instant,
) {
    let epoch = node.coordinator.leads(id).map(|r| r.epoch);
    let mine = stored.record.coordinator == node.me && Some(stored.record.epoch) == epoch;
    if mine {
        adopt(node, id, stored, sent);
        return;
    }
    node.records.offer((*stored.record).clone());
    if let Some(epoch) = epoch.filter(|e| *e < stored.record.epoch) {
        step_down(node, id, epoch);
    }
}

fn adopt(
    node: &Arc<node::Node>,
    id: &ids::PartitionId,
    stored: store::Stored,
    sent: clock::Instant,
) {
    let record = Arc::clone(&stored.record);
    let old = node.coordinator.with(id, |led| {
        let old = Arc::clone(led.record());
        led.adopt(stored, sent);
        old
    });
    if let Some(old) = old {
        log_changes(&old, &record);
    }
    node.records.offer((*record).clone());
    push(node, &record);
}

fn log_changes(old: &record::PartitionRecord, new: &record::PartitionRecord) {
    let id = &new.id;
    if old.standbys != new.standbys {
        tracing::info!(event = 410, partition = %id, revision = %new.revision, standbys = names(&new.standbys), "standbys changed");
    }
    for slice in &new.slices {
        let Some(before) = old.slice_at(slice.start) else {
            continue;
        };
        let start = slice.start.0;
        if before.owner != slice.owner {
            tracing::info!(event = 411, partition = %id, start, from = name(before.owner), to = name(slice.owner), version = %slice.version, "slice has a new owner");
        } else if before.target != slice.target {
            tracing::info!(event = 412, partition = %id, start, owner = name(slice.owner), to = name(slice.target), "move of the slice changed");
        }
    }
}

fn name(node: Option<ids::NodeRef>) -> String {
    node.map_or_else(|| "none".to_owned(), |n| n.to_string())
}

fn names(nodes: &[ids::NodeRef]) -> String {
    let names: Vec<_> = nodes.iter().map(ToString::to_string).collect();
    names.join(" ")
}

/// Plans the balance of the partitions that this node coordinates.
pub async fn run(node: Arc<node::Node>) {
    let mut tick = tokio::time::interval(BALANCE);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        for id in node.coordinator.partitions() {
            let env = env(&node, &id);
            if env.policy.is_some() {
                node.coordinator.with(&id, |led| led.rebalance(&env));
                node.coordinator.wake.notify_waiters();
            }
        }
    }
}
