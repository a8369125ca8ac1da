//! Admission of requests to the local backend server: queue, slots and the outcome of each request.
//!
//! Each request runs in its own task, so that a lost connection to its entry node does not lose its
//! outcome. When the entry node abandons the request, the task is cancelled. Only this module sends
//! requests to the backend server, and it checks the lease immediately before each write.

pub mod limit;
pub mod queue;
mod run;

use std::sync::Arc;
use std::time;

use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::coordination::{backend, grants, load, node, outcomes};
use crate::protocol::peer;
use crate::state::{clock, ids, record};
use crate::transport::backend as http;

/// Retry delay for a request that arrived during a change of owner; about the time of a planned move.
const MOVE_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Retry delay while the backend server is unreachable.
const DOWN_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Queue length if the document does not set one.
const DEFAULT_QUEUE_LENGTH: usize = 128;

/// Admits requests to the backend server and runs them.
#[derive(Debug, Default)]
pub struct Gate {
    queue: queue::Queue,
    workers: http::WorkerPool,
    meter: load::Meter,
}

impl Gate {
    /// Returns the client of the backend server.
    #[must_use]
    pub fn client(&self) -> http::Client {
        self.workers.client()
    }

    /// Returns the load of the slices of a record.
    #[must_use]
    pub fn load(&self, record: &record::PartitionRecord) -> peer::Load {
        self.meter.report(record, clock::Instant::now())
    }

    /// Returns the number of requests that are queued or running.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.queue.in_flight()).unwrap_or(u32::MAX)
    }

    /// Refuses queued requests that can't finish in time, or all if the server is down.
    pub fn refuse_late(&self, server: Option<backend::Server>) {
        match server {
            Some(server) if server.up => self.queue.refuse_late(server.limit),
            _ => self.queue.refuse_all(peer::NotRun {
                reason: peer::NotRunReason::Unreachable,
                retry_after: DOWN_RETRY_DELAY,
            }),
        }
    }
}

const fn refuse(reason: peer::NotRunReason, retry_after: time::Duration) -> peer::Outcome {
    peer::Outcome::NotRun(peer::NotRun {
        reason,
        retry_after,
    })
}

/// Runs a request from a caller of this node or forwarded by another entry node.
///
/// Dropping the future cancels the request.
pub async fn forward(node: &Arc<node::Node>, req: peer::Forward) -> peer::Reply {
    let id = req.id;
    let cancel = CancellationToken::new();
    let _guard = cancel.clone().drop_guard();
    let (done, outcome) = oneshot::channel();
    let shared = Arc::clone(node);
    tokio::spawn(async move {
        let outcome = process(&shared, req, &cancel).await;
        record_unanswered(&shared, id, &outcome);
        drop(done.send(outcome));
    });
    let outcome = outcome.await;
    reply(
        node,
        id,
        outcome.unwrap_or(peer::Outcome::Unknown(peer::UnknownReason::Broken)),
    )
}

/// Returns the outcome of an attempt to an entry node whose connection was lost meanwhile.
pub async fn outcome(node: &Arc<node::Node>, query: peer::OutcomeQuery) -> peer::OutcomeReply {
    if query.to != node.me.incarnation {
        return peer::OutcomeReply::Incarnation(node.me.incarnation);
    }
    let deadline = deadline_in(query.deadline_ms);
    let outcome = match node.outcomes.resolve(query.id, query.attempt) {
        outcomes::StartDecision::Done(outcome) => outcome,
        outcomes::StartDecision::Wait(receiver) => wait_for_outcome(receiver, deadline).await,
        // `resolve` never starts a request.
        outcomes::StartDecision::Run(_) => peer::Outcome::Unknown(peer::UnknownReason::Broken),
    };
    peer::OutcomeReply::Final(reply(node, query.id, outcome))
}

fn reply(node: &node::Node, id: ids::RequestId, outcome: peer::Outcome) -> peer::Reply {
    peer::Reply {
        id,
        outcome,
        in_flight: node.gate.in_flight(),
    }
}

fn deadline_in(ms: u32) -> clock::Instant {
    clock::Instant::now() + time::Duration::from_millis(u64::from(ms))
}

fn record_unanswered(node: &node::Node, id: ids::RequestId, outcome: &peer::Outcome) {
    let Some(reason) = crate::protocol::caller::outcome_reason(outcome) else {
        return;
    };
    node.metrics
        .dropped
        .with_label_values(&["gate", reason])
        .inc();
    tracing::debug!(event = 510, %id, reason, "request was refused or its outcome is unknown");
}

/// Waits for the outcome of a request that another attempt is running.
async fn wait_for_outcome(
    mut receiver: watch::Receiver<Option<peer::Outcome>>,
    deadline: clock::Instant,
) -> peer::Outcome {
    let unknown = peer::Outcome::Unknown(peer::UnknownReason::Timeout);
    let finished = receiver.wait_for(Option::is_some);
    match tokio::time::timeout(deadline.left(), finished).await {
        Ok(Ok(outcome)) => outcome.clone().unwrap_or(unknown),
        _ => unknown,
    }
}

/// Refuses a request, answers it from the outcome log, or runs it.
async fn process(
    node: &Arc<node::Node>,
    req: peer::Forward,
    cancel: &CancellationToken,
) -> peer::Outcome {
    if req.to != node.me.incarnation {
        return refuse(peer::NotRunReason::Incarnation, time::Duration::ZERO);
    }
    let deadline = deadline_in(req.deadline_ms);
    let ticket = match admit(node, &req) {
        Ok(ticket) => ticket,
        Err(outcome) => return outcome,
    };
    match ticket {
        Some(ticket) if !req.idempotent => run_once(node, req, ticket, deadline, cancel).await,
        ticket => run::run(node, req, ticket.map(Arc::new), deadline, cancel).await,
    }
}

/// Admits a request under the lease of its slice. An idempotent request without a hash needs no
/// lease, because any server may run it.
fn admit(
    node: &Arc<node::Node>,
    req: &peer::Forward,
) -> Result<Option<grants::Ticket>, peer::Outcome> {
    let Some(hash) = req.hash else {
        if req.idempotent {
            return Ok(None);
        }
        return Err(refuse(peer::NotRunReason::NotOwner, MOVE_RETRY_DELAY));
    };
    let partition = ids::PartitionId::first(&req.service);
    let ticket = node.grants.admit(&partition, hash).map_err(|e| match e {
        grants::Refusal::NotOwner => refuse(peer::NotRunReason::NotOwner, MOVE_RETRY_DELAY),
        grants::Refusal::Moving => refuse(peer::NotRunReason::Moving, MOVE_RETRY_DELAY),
    })?;
    Ok(Some(ticket))
}

/// Runs a non-idempotent request unless the outcome log already has it.
async fn run_once(
    node: &Arc<node::Node>,
    req: peer::Forward,
    ticket: grants::Ticket,
    deadline: clock::Instant,
    cancel: &CancellationToken,
) -> peer::Outcome {
    let hash = req.hash.unwrap_or_else(|| req.id.hash());
    let horizon = if req.fresh {
        time::Duration::ZERO
    } else {
        ticket.horizon
    };
    let decision = node.outcomes.begin(outcomes::Start {
        partition: ids::PartitionId::first(&req.service),
        hash,
        id: req.id,
        attempt: req.attempt,
        horizon,
    });
    match decision {
        outcomes::StartDecision::Done(outcome) => outcome,
        outcomes::StartDecision::Wait(receiver) => wait_for_outcome(receiver, deadline).await,
        outcomes::StartDecision::Run(running) => {
            let ticket = Arc::new(ticket);
            let run_ticket = Some(Arc::clone(&ticket));
            let outcome = run::run(node, req, run_ticket, deadline, cancel).await;
            running.finish(outcome.clone());
            // Keeps the slice until the outcome is in the log, so that a handover includes it.
            drop(ticket);
            outcome
        }
    }
}
