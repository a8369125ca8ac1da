//! One attempt at one server, and the recovery of its outcome.

use std::sync::Arc;
use std::time;

use tokio_util::sync::CancellationToken;

use crate::coordination::router::Accepted;
use crate::coordination::{gate, node};
use crate::protocol::peer;
use crate::state::{clock, ids, timing};
use crate::transport::error;

/// Time for which the owner's answer is awaited beyond the deadline, so that what the owner knows
/// about an expired request arrives.
const ANSWER_GRACE: time::Duration = time::Duration::from_millis(30);

/// Time for learning whether a cancelled request had started.
const CANCEL_WAIT: time::Duration = time::Duration::from_millis(150);

/// Pause between two attempts to reach an owner after a lost connection.
const RECOVERY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// How an attempt ended.
#[derive(Debug)]
pub enum Sent {
    /// The server decided.
    Outcome(peer::Outcome, Option<u32>),
    /// Nothing reached the server.
    Unsent,
    /// It was sent, and no answer came.
    Lost,
    /// The caller cancelled it.
    Cancelled(peer::Outcome),
}

/// Sends one attempt of a request.
pub async fn send(
    node: &Arc<node::Node>,
    to: ids::NodeRef,
    req: &Accepted,
    attempt: ids::AttemptId,
    cancel: &CancellationToken,
) -> Sent {
    if to == node.me {
        return local(node, req, attempt, cancel).await;
    }
    let left = req.deadline.left();
    let connected = tokio::select! {
        connected = tokio::time::timeout(left, node.peers.connect(to.addr)) => connected,
        () = cancel.cancelled() => return Sent::Cancelled(withdrawn(req)),
    };
    let Ok(Ok(connection)) = connected else {
        return Sent::Unsent;
    };
    let message = forward(node, to, req, attempt);
    let limit = req.deadline.left() + ANSWER_GRACE;
    let call = connection.call(limit, |client, context| async move {
        client.forward(context, message).await
    });
    let answered = tokio::select! {
        answered = call => answered,
        () = cancel.cancelled() => {
            return Sent::Cancelled(settle(node, to, req, attempt).await);
        }
    };
    match answered {
        Ok(reply) => accept(node, req.id, reply),
        Err(e) => {
            tracing::debug!(event = 540, peer = %to, id = %req.id, error = %e, "no answer to a forwarded request");
            Sent::Lost
        }
    }
}

async fn local(
    node: &Arc<node::Node>,
    req: &Accepted,
    attempt: ids::AttemptId,
    cancel: &CancellationToken,
) -> Sent {
    let message = forward(node, node.me, req, attempt);
    let limit = req.deadline.left() + ANSWER_GRACE;
    let run = tokio::time::timeout(limit, gate::forward(node, message));
    let reply = tokio::select! {
        reply = run => reply,
        () = cancel.cancelled() => {
            return Sent::Cancelled(settle(node, node.me, req, attempt).await);
        }
    };
    match reply {
        Ok(reply) => accept(node, req.id, reply),
        Err(_) => Sent::Lost,
    }
}

fn forward(
    node: &node::Node,
    to: ids::NodeRef,
    req: &Accepted,
    attempt: ids::AttemptId,
) -> peer::Forward {
    peer::Forward {
        from: node.me,
        to: to.incarnation,
        service: req.service.clone(),
        id: req.id,
        attempt,
        fresh: req.fresh,
        idempotent: req.idempotent,
        priority: req.priority,
        key: req.key.clone(),
        hash: req.hash,
        method: req.method.clone(),
        path: req.path.clone(),
        content_type: req.content_type.clone(),
        body: req.body.clone(),
        deadline_ms: millis(req.deadline),
    }
}

fn millis(deadline: clock::Instant) -> u32 {
    u32::try_from(deadline.left().as_millis()).unwrap_or(u32::MAX)
}

/// Takes a reply, unless it belongs to another request.
fn accept(node: &node::Node, id: ids::RequestId, reply: peer::Reply) -> Sent {
    if reply.id == id {
        return Sent::Outcome(reply.outcome, Some(reply.in_flight));
    }
    node.metrics
        .dropped
        .with_label_values(&["entry", "reply-mismatch"])
        .inc();
    tracing::warn!(event = 541, %id, received = %reply.id, "reply to another request dropped");
    Sent::Lost
}

const fn cancelled() -> peer::Outcome {
    peer::Outcome::NotRun(peer::NotRun {
        reason: peer::NotRunReason::Cancelled,
        retry_after: time::Duration::ZERO,
    })
}

/// Outcome of a request that was cancelled before the owner looked into its log, which alone tells
/// whether an earlier call with the caller's identifier ran.
pub const fn withdrawn(req: &Accepted) -> peer::Outcome {
    if req.fresh || req.idempotent {
        cancelled()
    } else {
        peer::Outcome::Unknown(peer::UnknownReason::Cancelled)
    }
}

/// Learns what became of a cancelled attempt. Dropping the call has told the server to cancel it.
async fn settle(
    node: &Arc<node::Node>,
    to: ids::NodeRef,
    req: &Accepted,
    attempt: ids::AttemptId,
) -> peer::Outcome {
    let unknown = peer::Outcome::Unknown(peer::UnknownReason::Cancelled);
    if req.idempotent {
        // The log has no idempotent requests, so that nothing could be proved.
        return unknown;
    }
    let limit = clock::Instant::now() + CANCEL_WAIT;
    let asked = ask(node, to, req.id, attempt, limit);
    match tokio::time::timeout(CANCEL_WAIT, asked).await {
        Ok(Ok(Some(outcome))) => match outcome {
            peer::Outcome::NotRun(refusal) => match refusal.reason {
                peer::NotRunReason::Barred => withdrawn(req),
                _ => cancelled(),
            },
            peer::Outcome::Unknown(_) => unknown,
            answered @ peer::Outcome::Answered(_) => answered,
        },
        _ => unknown,
    }
}

/// Recovers the outcome of a non-idempotent attempt whose connection was lost; `None` if the owner
/// can't tell any more.
pub async fn recover(
    node: &Arc<node::Node>,
    to: ids::NodeRef,
    req: &Accepted,
    attempt: ids::AttemptId,
) -> Option<peer::Outcome> {
    let give_up = clock::Instant::now() + timing::OWNER_WAIT;
    while req.deadline.is_ahead() && give_up.is_ahead() {
        match ask(node, to, req.id, attempt, req.deadline).await {
            Ok(outcome) => return outcome,
            // The process that had the request has ended.
            Err(error::Error::Refused) => return None,
            Err(e) => {
                tracing::debug!(event = 542, peer = %to, id = %req.id, error = %e, "can't recover an outcome yet");
            }
        }
        tokio::time::sleep(RECOVERY_PAUSE.min(req.deadline.left())).await;
    }
    None
}

async fn ask(
    node: &Arc<node::Node>,
    to: ids::NodeRef,
    id: ids::RequestId,
    attempt: ids::AttemptId,
    deadline: clock::Instant,
) -> Result<Option<peer::Outcome>, error::Error> {
    let query = peer::OutcomeQuery {
        from: node.me,
        to: to.incarnation,
        id,
        attempt,
        deadline_ms: millis(deadline),
    };
    let answer = if to == node.me {
        gate::outcome(node, query).await
    } else {
        let limit = deadline.left() + ANSWER_GRACE;
        let call = node
            .peers
            .call(to.addr, limit, |client, context| async move {
                client.outcome(context, query).await
            });
        call.await?
    };
    match answer {
        peer::OutcomeReply::Final(reply) => match accept(node, id, reply) {
            Sent::Outcome(outcome, _) => Ok(Some(outcome)),
            _ => Ok(None),
        },
        peer::OutcomeReply::Incarnation(_) => Ok(None),
    }
}
