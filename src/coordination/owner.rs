//! Owner of slices: renews leases, passes grants to the backend server, releases moving slices.
//!
//! Enforces the owner's side of these rules:
//! - R1: a lease counts from the moment its request was sent.
//! - R2: the owner asks; nothing that is pushed to it extends a lease.
//! - R5: a reply of a lower epoch than the newest known record is discarded.
//! - R7: a reply is discarded if its request was sent before the last release, or if its record is
//!   older than the one applied ([`Owner::accept`]).
//! - R8: the backend server gets each grant with its tokens and with the end of the node's lease.

mod leave;

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::{net, time};

use tokio::sync::watch;

use crate::coordination::{coordinator, grants, node, succession};
use crate::protocol::{backend, peer};
use crate::state::{clock, ids, record, timing};
use crate::transport::{error as transport, grant};

/// Time for one renewal; a later answer leaves too little of the lease to be useful.
const RENEWAL_LIMIT: time::Duration = time::Duration::from_millis(400);

/// Pause after a renewal that brought no lease.
const RETRY: time::Duration = time::Duration::from_millis(50);

/// Interval between reports; with one in every renewal, control traffic of a coordinator with 16
/// servers would exceed the limit of 12 KB/s.
const REPORT: time::Duration = time::Duration::from_secs(1);

/// Renewals and moves of this node's own slices.
#[derive(Debug, Default)]
pub struct Owner {
    table: Mutex<HashMap<ids::PartitionId, Owned>>,
    draining: AtomicBool,
    delivery: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct Owned {
    applied: Option<Arc<record::PartitionRecord>>,
    released: clock::Instant,
    renewed: clock::Instant,
    reported: Option<(ids::NodeRef, clock::Instant)>,
    handed: grants::Horizons,
    moving: HashSet<(ids::KeyHash, ids::SliceVersion)>,
}

/// Result of one renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Renewal {
    /// A lease was granted and applied.
    Applied,
    /// The answer was discarded or brought no lease.
    Refused,
}

impl Owner {
    /// Asks the coordinator, with each renewal from now on, to move all slices away.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the stamp of the record applied last.
    #[must_use]
    pub fn stamp(&self, id: &ids::PartitionId) -> (ids::Epoch, ids::Revision) {
        let table = self.lock();
        let applied = table.get(id).and_then(|o| o.applied.as_ref());
        applied.map(|r| r.stamp()).unwrap_or_default()
    }

    /// Returns when the last applied renewal was sent.
    #[must_use]
    pub fn renewed(&self, id: &ids::PartitionId) -> clock::Instant {
        self.lock().get(id).map(|o| o.renewed).unwrap_or_default()
    }

    /// Returns the record of a reply if the reply may be applied (R5, R7), and notes it.
    #[must_use]
    pub fn accept(
        &self,
        id: &ids::PartitionId,
        sent: clock::Instant,
        stamp: (ids::Epoch, ids::Revision),
        record: Option<record::PartitionRecord>,
        newest: ids::Epoch,
    ) -> Option<Arc<record::PartitionRecord>> {
        let mut table = self.lock();
        let owned = table.entry(id.clone()).or_default();
        let applied = owned
            .applied
            .as_ref()
            .map(|r| r.stamp())
            .unwrap_or_default();
        if sent <= owned.released || stamp < applied || stamp.0 < newest {
            return None;
        }
        let record = record.map(Arc::new).or_else(|| owned.applied.clone())?;
        if record.stamp() != stamp || record.id != *id {
            return None;
        }
        owned.applied = Some(Arc::clone(&record));
        owned.renewed = owned.renewed.max(sent);
        Some(record)
    }

    /// Notes that slices stop being served: replies to earlier requests are discarded.
    pub fn release(&self, id: &ids::PartitionId) {
        let mut table = self.lock();
        table.entry(id.clone()).or_default().released = clock::Instant::now();
    }

    /// Returns whether the next renewal at a coordinator is to carry a report.
    fn report_due(&self, id: &ids::PartitionId, to: ids::NodeRef) -> bool {
        let mut table = self.lock();
        let owned = table.entry(id.clone()).or_default();
        let now = clock::Instant::now();
        let due = owned
            .reported
            .is_none_or(|(last, at)| last != to || now.since(at) >= REPORT);
        if due {
            owned.reported = Some((to, now));
        }
        due
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ids::PartitionId, Owned>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps the outcomes of a slice that is about to be granted to this node.
pub async fn handover(node: &Arc<node::Node>, req: peer::Handover) -> peer::HandoverReply {
    if req.to != node.me.incarnation {
        return peer::HandoverReply::Incarnation(node.me.incarnation);
    }
    node.outcomes.import(&req.partition, req.outcomes);
    // Only the last of several messages carries the horizon; without it the slice counts as not
    // handed over.
    if req.horizon < time::Duration::MAX {
        let mut table = node.owner.lock();
        let owned = table.entry(req.partition).or_default();
        owned
            .handed
            .insert((req.start, req.version.next()), req.horizon);
    }
    peer::HandoverReply::Taken
}

/// Renews the leases of this node.
pub async fn run(node: Arc<node::Node>) {
    let state = Arc::clone(&node);
    run_with(node, move || state.backend.state()).await;
}

/// Renews the leases of this node for a backend server whose state is given.
pub async fn run_with<F>(node: Arc<node::Node>, backend: F)
where
    F: Fn() -> Option<(String, peer::BackendState)> + Send,
{
    let mut records = node.records.changes();
    let mut states = node.backend.changes();
    let mut was = None;
    loop {
        let start = clock::Instant::now();
        let state = backend();
        let id = state.as_ref().map(|(s, _)| ids::PartitionId::first(s));
        if let Some(old) = was.take_if(|old| Some(&*old) != id.as_ref()) {
            surrender(&node, &old);
        }
        was.clone_from(&id);
        let mut pause = timing::LEASE_RENEWAL;
        if let (Some(id), Some((_, state))) = (&id, state) {
            if !state.up {
                surrender(&node, id);
            }
            if renew(&node, id, state).await == Renewal::Refused {
                pause = RETRY;
            }
        }
        let wait = (start + pause).left().max(RETRY / 2);
        let changed = async {
            tokio::select! {
                () = outdated(&node, id.as_ref(), &mut records) => {}
                // The sender lives as long as the node.
                _ = states.changed() => {}
            }
        };
        drop(tokio::time::timeout(wait, changed).await);
    }
}

/// Waits until a record is known that is newer than the one applied: it may assign slices to this
/// node, or name another coordinator.
async fn outdated(
    node: &Arc<node::Node>,
    id: Option<&ids::PartitionId>,
    records: &mut watch::Receiver<u64>,
) {
    loop {
        // The sender lives as long as the node.
        drop(records.changed().await);
        let known = id.and_then(|id| node.records.get(id));
        if known.is_some_and(|r| r.stamp() > node.owner.stamp(&r.id)) {
            return;
        }
    }
}

/// Stops serving a partition at once.
fn surrender(node: &Arc<node::Node>, id: &ids::PartitionId) {
    node.grants.drop_lease(id);
    node.owner.release(id);
}

/// Asks the coordinator once for a lease and applies it.
pub async fn renew(
    node: &Arc<node::Node>,
    id: &ids::PartitionId,
    state: peer::BackendState,
) -> Renewal {
    let Some(known) = node.records.get(id) else {
        succession::look_up(node, id).await;
        return Renewal::Refused;
    };
    let to = known.coordinator;
    let req = peer::Renew {
        from: node.me,
        to: to.incarnation,
        partition: id.clone(),
        stamp: node.owner.stamp(id),
        backend: peer::BackendState {
            draining: state.draining || node.owner.draining.load(Ordering::Relaxed),
            ..state
        },
        report: node.owner.report_due(id, to).then(|| peer::Report {
            domain: node.settings.domain.clone(),
            load: node.gate.load(&known),
        }),
    };
    let sent = clock::Instant::now();
    let reply = match call(node, to, req).await {
        Ok(reply) => reply,
        Err(e) => {
            tracing::debug!(event = 420, partition = %id, coordinator = %to, error = %e, "renewal failed");
            return Renewal::Refused;
        }
    };
    apply(node, id, state, sent, reply).await
}

async fn call(
    node: &Arc<node::Node>,
    to: ids::NodeRef,
    req: peer::Renew,
) -> Result<peer::RenewReply, transport::Error> {
    if to == node.me {
        return Ok(coordinator::renew(node, req).await);
    }
    let call = node
        .peers
        .call(to.addr, RENEWAL_LIMIT, |client, context| async move {
            client.renew(context, req).await
        });
    call.await
}

/// Applies the answer to a renewal that was sent at `sent`.
pub async fn apply(
    node: &Arc<node::Node>,
    id: &ids::PartitionId,
    state: peer::BackendState,
    sent: clock::Instant,
    reply: peer::RenewReply,
) -> Renewal {
    let (stamp, record) = match reply {
        peer::RenewReply::Granted { stamp, record } => (stamp, record),
        peer::RenewReply::NotCoordinator(Some(newer)) => {
            if let Ok(newer) = record::PartitionRecord::try_from(*newer) {
                node.records.offer(newer);
            }
            return Renewal::Refused;
        }
        peer::RenewReply::NotCoordinator(None) | peer::RenewReply::NoAuthority => {
            return Renewal::Refused;
        }
    };
    let Ok(record) = record
        .map(|r| record::PartitionRecord::try_from(*r))
        .transpose()
    else {
        tracing::warn!(event = 421, partition = %id, "coordinator sent an invalid record");
        return Renewal::Refused;
    };
    let newest = node.records.get(id).map(|r| r.epoch).unwrap_or_default();
    let Some(record) = node.owner.accept(id, sent, stamp, record, newest) else {
        tracing::info!(event = 422, partition = %id, epoch = %stamp.0, revision = %stamp.1, "renewal discarded");
        return Renewal::Refused;
    };
    node.records.offer((*record).clone());
    if !state.up {
        return Renewal::Refused;
    }
    let until = sent + timing::LEASE_DURATION;
    deliver(node, &record, until).await;
    let handed = handed(node, &record);
    node.grants.renew(Arc::clone(&record), until, &handed);
    leave::start_moves(node, &record);
    Renewal::Applied
}

/// Passes the lease on to the backend server (R8).
///
/// Waits for the server only if it gets other slices or tokens than before, since it refuses
/// requests for those until then.
async fn deliver(
    node: &Arc<node::Node>,
    record: &Arc<record::PartitionRecord>,
    until: clock::Instant,
) {
    let Some(server) = node.backend.server() else {
        return;
    };
    let applied = node.grants.live();
    if applied.iter().any(|(r, _)| r == record) {
        let node = Arc::clone(node);
        let record = Arc::clone(record);
        tokio::spawn(async move {
            // One delivery at a time, so that an older grant never replaces a newer one.
            if let Ok(_turn) = node.owner.delivery.try_lock() {
                send_grant(&node, server.addr, &record, until).await;
            }
        });
        return;
    }
    let _turn = node.owner.delivery.lock().await;
    send_grant(node, server.addr, record, until).await;
}

async fn send_grant(
    node: &Arc<node::Node>,
    addr: net::SocketAddr,
    record: &record::PartitionRecord,
    until: clock::Instant,
) {
    let grant = backend::GrantBody::new(node.me, record, until.left());
    if let Err(e) = grant::send(addr, grant).await {
        tracing::warn!(event = 434, partition = %record.id, error = %e, "backend server did not take the grant");
    }
}

/// Returns the horizons that were handed over, and forgets those of slices that moved on.
fn handed(node: &Arc<node::Node>, record: &record::PartitionRecord) -> grants::Horizons {
    let mut table = node.owner.lock();
    let owned = table.entry(record.id.clone()).or_default();
    owned.handed.retain(|(start, version), _| {
        record
            .slice_at(*start)
            .is_some_and(|s| s.version <= *version)
    });
    owned.handed.clone()
}
