//! Gate of the backend server: admission, queue, slots and the outcome of each request.
//!
//! A request runs in a task of its own, so that a lost connection to its entry does not lose its
//! outcome; when the entry gives the request up, the task is told to cancel it. Only here is a
//! request written to the backend server, after a check of the lease that belongs to the write.

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

/// Advice when to retry a request that met a change of owner, about the time of a planned move.
const MOVE_RETRY: time::Duration = time::Duration::from_millis(100);

/// Advice when to retry while the backend server can't be reached.
const DOWN_RETRY: time::Duration = time::Duration::from_millis(500);

/// Requests that wait if the document gives no number.
const DEFAULT_QUEUE: usize = 128;

/// Admission to the backend server.
#[derive(Debug, Default)]
pub struct Gate {
    queue: queue::Queue,
    workers: http::WorkerPool,
    load: load::Meter,
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
        self.load.report(record, clock::Instant::now())
    }

    /// Returns the number of requests that run or wait here.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.queue.in_flight()).unwrap_or(u32::MAX)
    }

    /// Refuses requests that wait in vain.
    pub fn refuse_late(&self, server: Option<backend::Server>) {
        match server {
            Some(server) if server.up => self.queue.refuse_late(server.limit),
            _ => self.queue.refuse_all(peer::NotRun {
                reason: peer::NotRunReason::Unreachable,
                retry_after: DOWN_RETRY,
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

/// Runs a request that an entry node has forwarded, or that entered here. Dropping the future
/// cancels the request.
pub async fn forward(node: &Arc<node::Node>, req: peer::Forward) -> peer::Reply {
    let id = req.id;
    let cancel = CancellationToken::new();
    let _guard = cancel.clone().drop_guard();
    let (done, outcome) = oneshot::channel();
    let shared = Arc::clone(node);
    tokio::spawn(async move {
        let outcome = decide(&shared, req, &cancel).await;
        count(&shared, id, &outcome);
        drop(done.send(outcome));
    });
    let outcome = outcome.await;
    reply(
        node,
        id,
        outcome.unwrap_or(peer::Outcome::Unknown(peer::UnknownReason::Broken)),
    )
}

/// Answers an entry node that has lost its connection while a request was running.
pub async fn outcome(node: &Arc<node::Node>, query: peer::OutcomeQuery) -> peer::OutcomeReply {
    if query.to != node.me.incarnation {
        return peer::OutcomeReply::Incarnation(node.me.incarnation);
    }
    let deadline = after(query.deadline_ms);
    let outcome = match node.outcomes.resolve(query.id, query.attempt) {
        outcomes::StartDecision::Done(outcome) => outcome,
        outcomes::StartDecision::Wait(receiver) => wait(receiver, deadline).await,
        // Settling never starts a request.
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

fn after(ms: u32) -> clock::Instant {
    clock::Instant::now() + time::Duration::from_millis(u64::from(ms))
}

fn count(node: &node::Node, id: ids::RequestId, outcome: &peer::Outcome) {
    let Some(reason) = crate::protocol::caller::outcome_reason(outcome) else {
        return;
    };
    node.metrics
        .dropped
        .with_label_values(&["gate", reason])
        .inc();
    tracing::debug!(event = 510, %id, reason, "gate refused a request or lost its outcome");
}

/// Waits for the outcome of a request that is running in another attempt.
async fn wait(
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

/// Decides about a request: refuses it, answers it from the log, or runs it.
async fn decide(
    node: &Arc<node::Node>,
    req: peer::Forward,
    cancel: &CancellationToken,
) -> peer::Outcome {
    if req.to != node.me.incarnation {
        return refuse(peer::NotRunReason::Incarnation, time::Duration::ZERO);
    }
    let deadline = after(req.deadline_ms);
    let ticket = match admit(node, &req) {
        Ok(ticket) => ticket,
        Err(outcome) => return outcome,
    };
    match ticket {
        Some(ticket) if !req.idempotent => run_once(node, req, ticket, deadline, cancel).await,
        ticket => run::run(node, req, ticket.map(Arc::new), deadline, cancel).await,
    }
}

/// Admits a request under the lease of its slice; any server may run a request without a hash.
fn admit(
    node: &Arc<node::Node>,
    req: &peer::Forward,
) -> Result<Option<grants::Ticket>, peer::Outcome> {
    let Some(hash) = req.hash else {
        if req.idempotent {
            return Ok(None);
        }
        return Err(refuse(peer::NotRunReason::NotOwner, MOVE_RETRY));
    };
    let partition = ids::PartitionId::first(&req.service);
    let ticket = node.grants.admit(&partition, hash).map_err(|e| match e {
        grants::Refusal::NotOwner => refuse(peer::NotRunReason::NotOwner, MOVE_RETRY),
        grants::Refusal::Moving => refuse(peer::NotRunReason::Moving, MOVE_RETRY),
    })?;
    Ok(Some(ticket))
}

/// Runs a non-idempotent request unless the log knows its outcome.
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
    let begin = node.outcomes.begin(outcomes::Start {
        partition: ids::PartitionId::first(&req.service),
        hash,
        id: req.id,
        attempt: req.attempt,
        horizon,
    });
    match begin {
        outcomes::StartDecision::Done(outcome) => outcome,
        outcomes::StartDecision::Wait(receiver) => wait(receiver, deadline).await,
        outcomes::StartDecision::Run(running) => {
            let ticket = Arc::new(ticket);
            let held = Some(Arc::clone(&ticket));
            let outcome = run::run(node, req, held, deadline, cancel).await;
            running.finish(outcome.clone());
            // The slice is released only after the log has the outcome, so that it is handed over.
            drop(ticket);
            outcome
        }
    }
}
