//! Creation of partition records, and claims when coordinator and standbys are all lost.
//!
//! Enforces the claimant's side of R6: a node that is neither coordinator nor standby announces
//! its claim in the record and claims only if the record has not changed for the hold time stored
//! with it. Any write of the coordinator cancels the claim, because the compare-and-swap of the
//! claim expects the announcement. The hold time is not needed if there is proof, as in R5, that
//! the processes of coordinator and standbys have all ended.

use std::sync::Arc;
use std::time;

use crate::coordination::{coordinator, node, standby, store};
use crate::protocol::peer;
use crate::state::{clock, ids, record, timing};

/// Interval at which a missing record is looked for.
const TICK: time::Duration = time::Duration::from_millis(500);

/// Time without a renewal after which the record is read again.
const STALE: time::Duration = time::Duration::from_millis(1500);

/// Time without a renewal after which the roles of the record are checked.
const ABANDONED: time::Duration = time::Duration::from_secs(3);

/// Interval at which a record with a pending claim is read.
const LOOK: time::Duration = time::Duration::from_secs(1);

/// Slices of a new record for a service that the document does not describe.
const DEFAULT_SLICES: u64 = 64;

/// Hold time of a new record while there is no document.
const DEFAULT_HOLD: time::Duration = time::Duration::from_mins(10);

/// Reads a record from the platform's service, so that this node knows it.
pub async fn look_up(node: &Arc<node::Node>, id: &ids::PartitionId) {
    match store::read(&node.platform, id).await {
        Ok(Some(stored)) => {
            node.records.offer((*stored.record).clone());
        }
        Ok(None) => {}
        Err(e) => {
            tracing::debug!(event = 425, partition = %id, error = %e, "can't read the record");
        }
    }
}

/// Creates missing records and announces claims on abandoned ones.
pub async fn run(node: Arc<node::Node>) {
    let state = Arc::clone(&node);
    run_with(node, move || state.backend.state()).await;
}

/// Creates missing records for a backend server whose state is given.
pub async fn run_with<F>(node: Arc<node::Node>, backend: F)
where
    F: Fn() -> Option<(String, peer::BackendState)> + Send,
{
    let start = clock::Instant::now();
    loop {
        if let Some((service, state)) = backend()
            && state.up
        {
            let id = ids::PartitionId::first(&service);
            let renewed = node.owner.renewed(&id).max(start);
            let idle = clock::Instant::now().since(renewed);
            if node.records.get(&id).is_none() {
                create(&node, &id, state).await;
            } else if idle > ABANDONED {
                claim_abandoned(&node, &id).await;
            } else if idle > STALE {
                look_up(&node, &id).await;
            }
        }
        let spread = rand::random_range(0.5..1.0);
        tokio::time::sleep(TICK.mul_f64(spread)).await;
    }
}

/// Claims a partition whose coordinator and standbys have all been lost.
async fn claim_abandoned(node: &Arc<node::Node>, id: &ids::PartitionId) {
    let stored = match store::read(&node.platform, id).await {
        Ok(Some(stored)) => stored,
        Ok(None) => {
            tracing::error!(event = 428, partition = %id, "the record is missing");
            return;
        }
        Err(e) => {
            tracing::debug!(event = 429, partition = %id, error = %e, "can't read the record");
            return;
        }
    };
    let known = node.records.get(id).map(|r| r.epoch);
    node.records.offer((*stored.record).clone());
    let record = &stored.record;
    let newer = known.is_some_and(|epoch| record.epoch > epoch);
    if newer || record.standbys.contains(&node.me) {
        return;
    }
    match roles(node, record).await {
        Roles::Answer => return,
        Roles::Ended => return claim(node, &stored).await,
        Roles::Silent => {}
    }
    let announced = match record.intent {
        Some(intent) if intent.node != node.me => {
            // The other claimant may have been lost too; it gets twice the time it needs.
            let stalled = clock::Instant::now() + timing::with_drift(stored.hold) * 2;
            if !stays(node, &stored, stalled).await {
                return;
            }
            announce(node, &stored).await
        }
        _ => announce(node, &stored).await,
    };
    let Some((announced, at)) = announced else {
        return;
    };
    if stays(node, &announced, at + timing::with_drift(announced.hold)).await {
        claim(node, &announced).await;
    }
}

/// State of coordinator and standbys as seen from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Roles {
    /// At least one answers.
    Answer,
    /// None answers, and at least one may still run.
    Silent,
    /// The processes of all have ended, so that none can act or claim any more.
    Ended,
}

async fn roles(node: &Arc<node::Node>, record: &record::PartitionRecord) -> Roles {
    let mut roles = Roles::Ended;
    for role in record.standbys.iter().chain([&record.coordinator]) {
        if coordinator::has_ended(node, *role).await {
            continue;
        }
        let answering = coordinator::ping(node, *role).await;
        if answering.is_ok_and(|i| i == role.incarnation) {
            return Roles::Answer;
        }
        roles = Roles::Silent;
    }
    roles
}

/// Waits, and returns whether the record is not known to have changed until then.
async fn stays(node: &Arc<node::Node>, stored: &store::Stored, until: clock::Instant) -> bool {
    while until.is_ahead() {
        tokio::time::sleep(until.left().min(LOOK)).await;
        let read = store::read(&node.platform, &stored.record.id).await;
        if let Ok(Some(now)) = read
            && now.at != stored.at
        {
            node.records.offer((*now.record).clone());
            return false;
        }
    }
    true
}

/// Writes the claim intent; returns the record with it and the time at which it was confirmed.
async fn announce(
    node: &Arc<node::Node>,
    stored: &store::Stored,
) -> Option<(store::Stored, clock::Instant)> {
    let old = &stored.record;
    let revision = old.revision.next();
    let record = record::PartitionRecord {
        revision,
        intent: Some(record::Intent {
            node: node.me,
            revision,
        }),
        writer: store::writer(node.me),
        ..(**old).clone()
    };
    let write = store::Write {
        record: Arc::new(record),
        hold: stored.hold,
        expect: stored.at,
    };
    tracing::warn!(event = 430, partition = %old.id, lost = %old.coordinator, hold_ms = stored.hold.as_millis(), "coordinator and standbys are lost, announcing a claim");
    match settle(node, &write).await {
        Some(store::Written::Done(stored)) => {
            node.records.offer((*stored.record).clone());
            Some((stored, clock::Instant::now()))
        }
        Some(store::Written::Lost(Some(current))) => {
            node.records.offer((*current.record).clone());
            None
        }
        _ => None,
    }
}

async fn claim(node: &Arc<node::Node>, stored: &store::Stored) {
    let mut record = standby::succeed(node.me, &stored.record);
    // None of the standbys answers; the first coordinator's task names new ones.
    record.standbys.clear();
    let write = store::Write {
        record: Arc::new(record),
        hold: stored.hold,
        expect: stored.at,
    };
    tracing::warn!(event = 431, partition = %write.record.id, epoch = %write.record.epoch, "claiming the abandoned partition");
    let sent = clock::Instant::now();
    take(node, settle(node, &write).await, sent);
}

/// Sends a write until its result is known; `None` if it certainly had no effect.
async fn settle(node: &Arc<node::Node>, write: &store::Write) -> Option<store::Written> {
    let mut ambiguous = false;
    loop {
        match store::write(&node.platform, write).await {
            Ok(store::Written::Unresolved) => ambiguous = true,
            Ok(written) => return Some(written),
            Err(e) if ambiguous => {
                tracing::debug!(event = 432, error = %e, "write is still unresolved");
            }
            Err(e) => {
                tracing::warn!(event = 433, error = %e, "can't write the record");
                return None;
            }
        }
        tokio::time::sleep(TICK).await;
    }
}

async fn create(node: &Arc<node::Node>, id: &ids::PartitionId, state: peer::BackendState) {
    let document = node.config.current();
    let service = document
        .as_ref()
        .and_then(|c| c.document.service(&id.service));
    let slices = service.map_or(DEFAULT_SLICES, |s| s.slices);
    let write = store::Write {
        record: Arc::new(first(node, id, state, slices)),
        hold: document
            .as_ref()
            .map_or(DEFAULT_HOLD, |c| c.document.cancel_window),
        expect: ids::ModRevision(0),
    };
    let sent = clock::Instant::now();
    take(node, settle(node, &write).await, sent);
}

/// Begins to coordinate if the record as it is now names this node.
fn take(node: &Arc<node::Node>, written: Option<store::Written>, sent: clock::Instant) {
    if let Some(store::Written::Done(stored) | store::Written::Lost(Some(stored))) = written {
        node.records.offer((*stored.record).clone());
        if stored.record.coordinator == node.me {
            coordinator::take(node, stored, sent);
        }
    }
}

/// Returns the first record of a partition: slices divided among the known servers.
fn first(
    node: &Arc<node::Node>,
    id: &ids::PartitionId,
    state: peer::BackendState,
    slices: u64,
) -> record::PartitionRecord {
    let mut servers = vec![record::Server {
        node: node.me,
        domain: node.settings.domain.clone(),
        draining: false,
        checks: state.checks,
    }];
    let others = node.members.live().into_iter().filter(|m| {
        let same = m.service.as_ref() == Some(&id.service);
        same && m.backend.up && !m.backend.draining && !m.left && m.node.addr != node.me.addr
    });
    servers.extend(others.map(|m| record::Server {
        node: m.node,
        domain: m.domain,
        draining: false,
        checks: m.backend.checks,
    }));
    let mut slices = record::even_slices(slices.max(1));
    for (slice, server) in slices.iter_mut().zip(servers.iter().cycle()) {
        slice.owner = Some(server.node);
    }
    record::PartitionRecord {
        id: id.clone(),
        epoch: ids::Epoch(1),
        revision: ids::Revision(1),
        coordinator: node.me,
        standbys: Vec::new(),
        servers,
        slices,
        intent: None,
        writer: store::writer(node.me),
    }
}
