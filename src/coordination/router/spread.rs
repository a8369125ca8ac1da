//! Routing of idempotent requests without a key, which any available server of the service may run.

use std::sync::Arc;
use std::time;

use tokio_util::sync::CancellationToken;

use crate::coordination::router::{ValidRequest, attempt, send};
use crate::coordination::{node, server_selection};
use crate::protocol::peer;
use crate::state::{clock, ids, timing};

/// Interval at which a waiting request looks for an available server.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Percentage of the remaining time that a request may wait for an available server.
const HOLD_PERCENT: u32 = 80;

/// Maximum number of requests that wait for an available server or an owner.
const MAX_HELD: usize = 1024;

/// Retry delay while no server is available.
const SERVER_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Sends a request to one server after another until one answers, the retry budget is exhausted or
/// no server is left.
pub async fn run(
    node: &Arc<node::Node>,
    req: &ValidRequest,
    cancel: &CancellationToken,
) -> peer::Outcome {
    let mut tried = Vec::new();
    let mut maybe_ran = None;
    let mut last = attempt::refusal(peer::NotRunReason::NoOwner, SERVER_RETRY_DELAY);
    if !wait_for_server(node, req, cancel).await {
        if cancel.is_cancelled() {
            return send::cancelled_before_send(req);
        }
        return attempt::final_outcome(req, maybe_ran, last);
    }
    loop {
        let offered = available_servers(node, &req.service);
        let untried: Vec<_> = offered
            .iter()
            .filter(|n| !tried.contains(*n))
            .copied()
            .collect();
        let picked = node.router.selector.select(&untried, clock::Instant::now());
        let Some(server) = picked else {
            return attempt::final_outcome(req, maybe_ran, last);
        };
        let started = clock::Instant::now();
        let id = ids::AttemptId::create();
        let mut dispatch = Dispatch::new(node, server, &offered, started);
        let sent = send::send(node, server, req, id, cancel).await;
        dispatch.finish(&sent);
        match sent {
            send::SendResult::Outcome(answered @ peer::Outcome::Answered(_), _) => return answered,
            send::SendResult::Outcome(peer::Outcome::NotRun(refusal), _) => last = refusal,
            send::SendResult::Outcome(peer::Outcome::Unknown(reason), _) => {
                maybe_ran = Some(reason);
            }
            send::SendResult::Unsent => last.reason = peer::NotRunReason::Unreachable,
            send::SendResult::Lost => maybe_ran = Some(lost_reason(req)),
            send::SendResult::Cancelled(outcome) => return outcome,
        }
        tried.push(server);
        if !may_retry(node, req, last.reason, maybe_ran) {
            return attempt::final_outcome(req, maybe_ran, last);
        }
    }
}

fn may_retry(
    node: &node::Node,
    req: &ValidRequest,
    last: peer::NotRunReason,
    maybe_ran: Option<peer::UnknownReason>,
) -> bool {
    let ended = maybe_ran.is_none()
        && matches!(
            last,
            peer::NotRunReason::Expired | peer::NotRunReason::Cancelled
        );
    !ended && req.deadline.is_ahead() && node.router.try_retry(&req.service, req.retry_percent)
}

fn lost_reason(req: &ValidRequest) -> peer::UnknownReason {
    if req.deadline.is_ahead() {
        peer::UnknownReason::OwnerLost
    } else {
        peer::UnknownReason::Timeout
    }
}

/// Waits until a server is available; returns `false` if there is none in time.
async fn wait_for_server(
    node: &Arc<node::Node>,
    req: &ValidRequest,
    cancel: &CancellationToken,
) -> bool {
    if !available_servers(node, &req.service).is_empty() {
        return true;
    }
    let Some(_held) = node.router.hold(MAX_HELD) else {
        return false;
    };
    let max_wait = (req.deadline.left() * HOLD_PERCENT / 100).min(timing::OWNER_WAIT);
    let wait_deadline = clock::Instant::now() + max_wait;
    while wait_deadline.is_ahead() {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL.min(wait_deadline.left())) => {}
            () = cancel.cancelled() => return false,
        }
        if !available_servers(node, &req.service).is_empty() {
            return true;
        }
    }
    false
}

/// Returns the nodes whose backend server accepts requests of a service.
fn available_servers(node: &node::Node, service: &str) -> Vec<ids::NodeRef> {
    let is_available = |state: &peer::BackendState| state.up && !state.draining;
    let mut servers: Vec<_> = node
        .members
        .serving(service)
        .iter()
        .filter(|m| m.node != node.me && is_available(&m.backend))
        .map(|m| m.node)
        .collect();
    // The state of the local backend server is known before its member entry is.
    let own = node.backend.state();
    if own.is_some_and(|(name, state)| name == service && is_available(&state)) {
        servers.push(node.me);
    }
    servers
}

/// Request sent to a selected server, counted as in flight there until finished or dropped.
struct Dispatch<'a> {
    node: &'a node::Node,
    server: ids::NodeRef,
    offered: &'a [ids::NodeRef],
    started: clock::Instant,
    finished: bool,
}

impl<'a> Dispatch<'a> {
    const fn new(
        node: &'a node::Node,
        server: ids::NodeRef,
        offered: &'a [ids::NodeRef],
        started: clock::Instant,
    ) -> Self {
        Self {
            node,
            server,
            offered,
            started,
            finished: false,
        }
    }

    fn finish(&mut self, sent: &send::SendResult) {
        let (result, in_flight) = match sent {
            send::SendResult::Outcome(outcome, in_flight) => (classify(outcome), *in_flight),
            send::SendResult::Unsent | send::SendResult::Lost => {
                (server_selection::RequestResult::Failed, None)
            }
            send::SendResult::Cancelled(_) => (server_selection::RequestResult::Refused, None),
        };
        self.report(result, in_flight);
    }

    fn report(&mut self, result: server_selection::RequestResult, in_flight: Option<u32>) {
        self.finished = true;
        let now = clock::Instant::now();
        let latency = now.since(self.started);
        self.node.router.selector.record_result(
            self.server,
            result,
            latency,
            in_flight,
            self.offered,
            now,
        );
    }
}

impl Drop for Dispatch<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.report(server_selection::RequestResult::Refused, None);
        }
    }
}

const fn classify(outcome: &peer::Outcome) -> server_selection::RequestResult {
    match outcome {
        peer::Outcome::Answered(answer) if answer.status >= 500 => {
            server_selection::RequestResult::Failed
        }
        peer::Outcome::Answered(_) => server_selection::RequestResult::Answered,
        peer::Outcome::NotRun(refusal) => match refusal.reason {
            peer::NotRunReason::Unreachable => server_selection::RequestResult::Failed,
            _ => server_selection::RequestResult::Refused,
        },
        peer::Outcome::Unknown(peer::UnknownReason::Cancelled) => {
            server_selection::RequestResult::Refused
        }
        peer::Outcome::Unknown(_) => server_selection::RequestResult::Failed,
    }
}
