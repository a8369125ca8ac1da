//! Sending of one attempt to one server, and recovery of its outcome.

use std::sync::Arc;
use std::time;

use tokio_util::sync::CancellationToken;

use crate::coordination::router::ValidRequest;
use crate::coordination::{gate, node};
use crate::protocol::peer;
use crate::state::{clock, ids, timing};
use crate::transport::error;

/// Extra time to wait for the owner's answer after the deadline, so that the outcome of an expired
/// request arrives.
const ANSWER_GRACE: time::Duration = time::Duration::from_millis(30);

/// Timeout for querying whether a cancelled request had started.
const CANCEL_QUERY_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Delay between queries to an owner after a lost connection.
const RECOVERY_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Result of sending an attempt.
#[derive(Debug)]
pub enum SendResult {
    /// Outcome reported by the server, with its number of requests in flight if known.
    Outcome(peer::Outcome, Option<u32>),
    /// Nothing reached the server.
    Unsent,
    /// The attempt was sent but not answered.
    Lost,
    /// The caller cancelled the request.
    Cancelled(peer::Outcome),
}

/// Sends one attempt of a request.
pub async fn send(
    node: &Arc<node::Node>,
    to: ids::NodeRef,
    req: &ValidRequest,
    attempt: ids::AttemptId,
    cancel: &CancellationToken,
) -> SendResult {
    if to == node.me {
        return send_local(node, req, attempt, cancel).await;
    }
    let left = req.deadline.left();
    let connected = tokio::select! {
        connected = tokio::time::timeout(left, node.peers.connect(to.addr)) => connected,
        () = cancel.cancelled() => return SendResult::Cancelled(cancelled_before_send(req)),
    };
    let Ok(Ok(connection)) = connected else {
        return SendResult::Unsent;
    };
    let message = build_message(node, to, req, attempt);
    let timeout = req.deadline.left() + ANSWER_GRACE;
    let call = connection.call(timeout, |client, context| async move {
        client.forward(context, message).await
    });
    let answered = tokio::select! {
        answered = call => answered,
        () = cancel.cancelled() => {
            return SendResult::Cancelled(query_cancelled(node, to, req, attempt).await);
        }
    };
    match answered {
        Ok(reply) => check_reply(node, req.id, reply),
        Err(e) => {
            tracing::debug!(event = 540, peer = %to, id = %req.id, error = %e, "no answer to a forwarded request");
            SendResult::Lost
        }
    }
}

async fn send_local(
    node: &Arc<node::Node>,
    req: &ValidRequest,
    attempt: ids::AttemptId,
    cancel: &CancellationToken,
) -> SendResult {
    let message = build_message(node, node.me, req, attempt);
    let timeout = req.deadline.left() + ANSWER_GRACE;
    let run = tokio::time::timeout(timeout, gate::forward(node, message));
    let reply = tokio::select! {
        reply = run => reply,
        () = cancel.cancelled() => {
            return SendResult::Cancelled(query_cancelled(node, node.me, req, attempt).await);
        }
    };
    match reply {
        Ok(reply) => check_reply(node, req.id, reply),
        Err(_) => SendResult::Lost,
    }
}

fn build_message(
    node: &node::Node,
    to: ids::NodeRef,
    req: &ValidRequest,
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
        deadline_ms: remaining_ms(req.deadline),
    }
}

fn remaining_ms(deadline: clock::Instant) -> u32 {
    u32::try_from(deadline.left().as_millis()).unwrap_or(u32::MAX)
}

/// Returns the outcome in a reply, unless the reply belongs to another request.
fn check_reply(node: &node::Node, id: ids::RequestId, reply: peer::Reply) -> SendResult {
    if reply.id == id {
        return SendResult::Outcome(reply.outcome, Some(reply.in_flight));
    }
    node.metrics
        .dropped
        .with_label_values(&["entry", "reply-mismatch"])
        .inc();
    tracing::warn!(event = 541, %id, received = %reply.id, "reply to another request dropped");
    SendResult::Lost
}

const fn cancelled() -> peer::Outcome {
    peer::Outcome::NotRun(peer::NotRun {
        reason: peer::NotRunReason::Cancelled,
        retry_after: time::Duration::ZERO,
    })
}

/// Returns the outcome of a request that was cancelled before the owner checked its outcome log,
/// which alone tells whether an earlier call with the caller's identifier ran.
pub const fn cancelled_before_send(req: &ValidRequest) -> peer::Outcome {
    if req.fresh || req.idempotent {
        cancelled()
    } else {
        peer::Outcome::Unknown(peer::UnknownReason::Cancelled)
    }
}

/// Queries the outcome of a cancelled attempt. Dropping its call has made the server cancel it.
async fn query_cancelled(
    node: &Arc<node::Node>,
    to: ids::NodeRef,
    req: &ValidRequest,
    attempt: ids::AttemptId,
) -> peer::Outcome {
    let unknown = peer::Outcome::Unknown(peer::UnknownReason::Cancelled);
    if req.idempotent {
        // The outcome log does not contain idempotent requests.
        return unknown;
    }
    let deadline = clock::Instant::now() + CANCEL_QUERY_TIMEOUT;
    let query = query_outcome(node, to, req.id, attempt, deadline);
    match tokio::time::timeout(CANCEL_QUERY_TIMEOUT, query).await {
        Ok(Ok(Some(outcome))) => match outcome {
            peer::Outcome::NotRun(refusal) => match refusal.reason {
                peer::NotRunReason::Barred => cancelled_before_send(req),
                _ => cancelled(),
            },
            peer::Outcome::Unknown(_) => unknown,
            answered @ peer::Outcome::Answered(_) => answered,
        },
        _ => unknown,
    }
}

/// Recovers the outcome of a non-idempotent attempt whose connection was lost; returns `None` if the
/// owner no longer has it.
pub async fn recover(
    node: &Arc<node::Node>,
    to: ids::NodeRef,
    req: &ValidRequest,
    attempt: ids::AttemptId,
) -> Option<peer::Outcome> {
    let query_deadline = clock::Instant::now() + timing::OWNER_WAIT;
    while req.deadline.is_ahead() && query_deadline.is_ahead() {
        match query_outcome(node, to, req.id, attempt, req.deadline).await {
            Ok(outcome) => return outcome,
            // The process that received the request has exited.
            Err(error::Error::Refused) => return None,
            Err(e) => {
                tracing::debug!(event = 542, peer = %to, id = %req.id, error = %e, "can't recover an outcome yet");
            }
        }
        tokio::time::sleep(RECOVERY_RETRY_DELAY.min(req.deadline.left())).await;
    }
    None
}

async fn query_outcome(
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
        deadline_ms: remaining_ms(deadline),
    };
    let answer = if to == node.me {
        gate::outcome(node, query).await
    } else {
        let timeout = deadline.left() + ANSWER_GRACE;
        let call = node
            .peers
            .call(to.addr, timeout, |client, context| async move {
                client.outcome(context, query).await
            });
        call.await?
    };
    match answer {
        peer::OutcomeReply::Final(reply) => match check_reply(node, id, reply) {
            SendResult::Outcome(outcome, _) => Ok(Some(outcome)),
            _ => Ok(None),
        },
        peer::OutcomeReply::Incarnation(_) => Ok(None),
    }
}
