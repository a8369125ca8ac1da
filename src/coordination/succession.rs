//! Creation of partition records, and claims when coordinator and standbys are all lost.

use std::sync::Arc;
use std::time;

use crate::coordination::{coordinator, node, store};
use crate::protocol::peer;
use crate::state::{clock, ids, record};

/// Interval at which a missing record is looked for.
const TICK: time::Duration = time::Duration::from_millis(500);

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
    loop {
        if let Some((service, state)) = backend()
            && state.up
        {
            let id = ids::PartitionId::first(&service);
            if node.records.get(&id).is_none() {
                create(&node, &id, state).await;
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
        hold: document.as_ref().map_or(DEFAULT_HOLD, |c| c.document.hold),
        expect: ids::ModRevision(0),
    };
    loop {
        let sent = clock::Instant::now();
        match store::write(&node.platform, &write).await {
            Ok(store::Written::Done(stored)) => {
                tracing::info!(event = 426, partition = %id, "record created");
                coordinator::take(node, stored, sent);
                return;
            }
            Ok(store::Written::Lost(current)) => {
                if let Some(stored) = current {
                    node.records.offer((*stored.record).clone());
                    if stored.record.coordinator == node.me {
                        coordinator::take(node, stored, sent);
                    }
                }
                return;
            }
            Ok(store::Written::Unresolved) => tokio::time::sleep(TICK).await,
            Err(e) => {
                tracing::debug!(event = 427, partition = %id, error = %e, "can't create the record");
                tokio::time::sleep(TICK).await;
            }
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
