//! Execution of one admitted request: queueing, lease check, backend call and outcome.

use std::sync::Arc;
use std::time;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::coordination::gate::{
    DEFAULT_QUEUE_LENGTH, DOWN_RETRY_DELAY, MOVE_RETRY_DELAY, queue, refuse,
};
use crate::coordination::{backend, grants, node};
use crate::protocol::{backend as wire, peer};
use crate::state::{clock, ids};
use crate::transport::backend as http;

/// Extra time to wait for a response after the deadline sent to the backend server, so that its
/// refusal of an expired request arrives.
const ANSWER_GRACE: time::Duration = time::Duration::from_millis(10);

/// Timeout of a cancel request.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Multiple of the mean service time after which a timeout counts as a failure of the server and
/// not as too short a deadline of the caller.
const FAILURE_TIMEOUT_FACTOR: u32 = 4;

/// Shortest wait after which a timeout counts as a failure of the server.
const MIN_FAILURE_TIMEOUT: time::Duration = time::Duration::from_millis(20);

type PendingResult = oneshot::Receiver<Result<http::Received, http::SendError>>;

/// Queues a request and runs it once it has a slot.
pub async fn run(
    node: &Arc<node::Node>,
    req: peer::Forward,
    ticket: Option<Arc<grants::Ticket>>,
    deadline: clock::Instant,
    cancel: &CancellationToken,
) -> peer::Outcome {
    let server = match find_server(node, &req.service) {
        Ok(server) => server,
        Err(outcome) => return outcome,
    };
    if !deadline.is_ahead() {
        return refuse(peer::NotRunReason::Expired, time::Duration::ZERO);
    }
    let limits = queue::QueueLimits {
        capacity: server.limit,
        queue: queue_limit(node, &req.service),
    };
    let queued = match node.gate.queue.enqueue(req.priority, deadline, limits) {
        Ok(queued) => queued,
        Err(refusal) => return peer::Outcome::NotRun(refusal),
    };
    let slot = tokio::select! {
        slot = queued.wait_for_slot() => slot,
        () = cancel.cancelled() => {
            return refuse(peer::NotRunReason::Cancelled, time::Duration::ZERO);
        }
    };
    let slot = match slot {
        Ok(slot) => slot,
        Err(refusal) => return peer::Outcome::NotRun(refusal),
    };
    call(node, req, &server, ticket, deadline, cancel, slot).await
}

fn find_server(node: &node::Node, service: &str) -> Result<backend::Server, peer::Outcome> {
    let server = node
        .backend
        .server()
        .filter(|s| s.service == service)
        .ok_or_else(|| refuse(peer::NotRunReason::NotOwner, MOVE_RETRY_DELAY))?;
    if !server.up {
        return Err(refuse(peer::NotRunReason::Unreachable, DOWN_RETRY_DELAY));
    }
    if !server.accepts_requests {
        return Err(refuse(peer::NotRunReason::Draining, MOVE_RETRY_DELAY));
    }
    Ok(server)
}

fn queue_limit(node: &node::Node, service: &str) -> usize {
    let current = node.config.current();
    current
        .and_then(|c| c.document.service(service).map(|s| s.queue))
        .unwrap_or(DEFAULT_QUEUE_LENGTH)
}

/// Calls the backend server and translates the result into an outcome.
async fn call(
    node: &Arc<node::Node>,
    req: peer::Forward,
    server: &backend::Server,
    ticket: Option<Arc<grants::Ticket>>,
    deadline: clock::Instant,
    cancel: &CancellationToken,
    slot: queue::Slot,
) -> peer::Outcome {
    if let (Some(ticket), Some(hash)) = (&ticket, req.hash) {
        let now = clock::Instant::now();
        node.gate.meter.record(ticket.slice(), hash, now);
    }
    let id = req.id;
    let call = build_call(server, req, ticket.as_deref());
    let check = pre_send_check(server.checks_tokens, ticket, deadline, cancel.clone());
    let started = clock::Instant::now();
    let pending = node.gate.workers.submit(call, check);
    let Some(result) = wait_for_result(node, server, id, pending, cancel, slot).await else {
        return refuse(peer::NotRunReason::Cancelled, time::Duration::ZERO);
    };
    let elapsed = clock::Instant::now().since(started);
    record_result(node, server, &result, elapsed);
    translate(node, server, result)
}

fn build_call(
    server: &backend::Server,
    req: peer::Forward,
    ticket: Option<&grants::Ticket>,
) -> http::Call {
    let mut headers = vec![(wire::ATTEMPT_ID_HEADER, req.attempt.to_string())];
    if let Some(key) = &req.key {
        headers.push((wire::KEY_HEADER, wire::encode_key(key)));
    }
    if let Some(ticket) = ticket {
        headers.push((wire::TOKEN_HEADER, ticket.token.to_string()));
    }
    http::Call {
        addr: server.addr,
        method: req.method,
        path: req.path,
        id: req.id.to_string(),
        headers,
        content_type: req.content_type,
        body: req.body,
    }
}

/// Returns the check that the worker runs just before it writes the request.
///
/// A server that checks tokens rejects the effects of a request once its grant has expired (R8). For
/// other servers the deadline is cut to the end of the lease (R9), less the time that opening a
/// connection may take after the check.
fn pre_send_check(
    checks_tokens: bool,
    ticket: Option<Arc<grants::Ticket>>,
    deadline: clock::Instant,
    cancel: CancellationToken,
) -> http::PreSendCheck {
    Box::new(move |call| {
        if cancel.is_cancelled() {
            return Err(peer::NotRunReason::Cancelled);
        }
        let mut left = deadline.left();
        if left.as_millis() == 0 {
            return Err(peer::NotRunReason::Expired);
        }
        if let Some(ticket) = &ticket {
            let expiry = ticket.valid_until().ok_or(peer::NotRunReason::NotOwner)?;
            if !checks_tokens {
                left = left.min(expiry.left().saturating_sub(http::CONNECT_TIMEOUT));
            }
        }
        let ms = left.as_millis();
        if ms == 0 {
            // The lease, not the deadline, is about to expire; the entry node may retry.
            return Err(peer::NotRunReason::NotOwner);
        }
        call.headers
            .push((wire::DEADLINE_MS_HEADER, ms.to_string()));
        let expires = (clock::Instant::now() + left).since_boot().as_millis();
        call.headers
            .push((wire::EXPIRES_MS_HEADER, expires.to_string()));
        Ok(left + ANSWER_GRACE)
    })
}

/// Waits for the result of a call and forwards a cancellation to the backend server.
///
/// Returns `None` if the server confirms that it will not start the cancelled request. Otherwise
/// waits for the result, which alone tells whether the request ran.
async fn wait_for_result(
    node: &Arc<node::Node>,
    server: &backend::Server,
    id: ids::RequestId,
    mut pending: PendingResult,
    cancel: &CancellationToken,
    slot: queue::Slot,
) -> Option<Result<http::Received, http::SendError>> {
    let lost = |_| {
        Err(http::SendError::Broken(
            "the worker thread ended".to_owned(),
        ))
    };
    tokio::select! {
        result = &mut pending => return Some(result.unwrap_or_else(lost)),
        () = cancel.cancelled() => {}
    }
    tracing::debug!(event = 511, %id, "cancelling a request at the backend server");
    let client = node.gate.client();
    let addr = server.addr;
    let path = format!("/-/cancel/{id}");
    let mut cancelling =
        tokio::task::spawn_blocking(move || client.control("POST", addr, &path, CANCEL_TIMEOUT));
    let answer = tokio::select! {
        result = &mut pending => return Some(result.unwrap_or_else(lost)),
        answer = &mut cancelling => answer,
    };
    let cancel_result = match answer {
        Ok(Ok((200, text))) => wire::CancelResult::parse(&text),
        _ => None,
    };
    if cancel_result != Some(wire::CancelResult::NotStarted) {
        return Some(pending.await.unwrap_or_else(lost));
    }
    // The call still occupies its worker and connection until it ends, so the slot is kept.
    tokio::spawn(async move {
        drop(pending.await);
        drop(slot);
    });
    None
}

/// Updates the concurrency limit and the health of the backend server from a result.
fn record_result(
    node: &node::Node,
    server: &backend::Server,
    result: &Result<http::Received, http::SendError>,
    elapsed: time::Duration,
) {
    match result {
        Ok(http::Received::Answer(_)) => {
            node.gate.queue.record_latency(elapsed);
            node.backend.record_answer(server.incarnation);
        }
        Ok(http::Received::Refused(refusal)) => {
            if *refusal == wire::Refusal::Shed {
                node.gate.queue.record_overload();
            }
            node.backend.record_answer(server.incarnation);
        }
        Err(http::SendError::Timeout) => {
            let threshold =
                (node.gate.queue.service_time() * FAILURE_TIMEOUT_FACTOR).max(MIN_FAILURE_TIMEOUT);
            if elapsed >= threshold {
                node.gate.queue.record_overload();
                node.backend.record_timeout(server.incarnation);
            }
        }
        Err(http::SendError::Refused) => node.backend.record_connection_refused(server.incarnation),
        Err(http::SendError::NotSent(message)) => {
            tracing::debug!(event = 512, error = %message, "backend server is unreachable");
            node.backend.record_timeout(server.incarnation);
        }
        Err(http::SendError::Mismatch(message)) => {
            tracing::warn!(event = 513, error = %message, "invalid response of the backend server dropped");
        }
        Err(http::SendError::Broken(message)) => {
            tracing::debug!(event = 514, error = %message, "connection to the backend server lost");
        }
        Err(http::SendError::Withheld(_)) => {}
    }
}

fn translate(
    node: &node::Node,
    server: &backend::Server,
    result: Result<http::Received, http::SendError>,
) -> peer::Outcome {
    let unknown = peer::Outcome::Unknown;
    match result {
        Ok(http::Received::Answer(answer)) => peer::Outcome::Answered(answer),
        Ok(http::Received::Refused(refusal)) => {
            refuse(refusal.into(), retry_after(node, server, refusal))
        }
        Err(http::SendError::Refused | http::SendError::NotSent(_)) => {
            refuse(peer::NotRunReason::Unreachable, DOWN_RETRY_DELAY)
        }
        Err(http::SendError::Withheld(reason)) => refuse(reason, MOVE_RETRY_DELAY),
        Err(http::SendError::Timeout) => unknown(peer::UnknownReason::Timeout),
        Err(http::SendError::Broken(_)) => unknown(peer::UnknownReason::Broken),
        Err(http::SendError::Mismatch(_)) => unknown(peer::UnknownReason::Mismatch),
    }
}

/// Returns the retry delay for a request that the backend server refused.
fn retry_after(
    node: &node::Node,
    server: &backend::Server,
    refusal: wire::Refusal,
) -> time::Duration {
    match refusal {
        wire::Refusal::Shed => {
            let rounds = node.gate.queue.in_flight() / server.limit.max(1) + 1;
            let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
            node.gate.queue.service_time().saturating_mul(rounds)
        }
        wire::Refusal::Cold => DOWN_RETRY_DELAY,
        wire::Refusal::StaleToken | wire::Refusal::NoGrant | wire::Refusal::Draining => {
            MOVE_RETRY_DELAY
        }
        wire::Refusal::Cancelled | wire::Refusal::Expired => time::Duration::ZERO,
    }
}
