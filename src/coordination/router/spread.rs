//! Idempotent requests of services that are not partitioned by key: any live server may run them.

use std::sync::Arc;
use std::time;

use tokio_util::sync::CancellationToken;

use crate::coordination::router::{Accepted, attempt, send};
use crate::coordination::{node, server_selection};
use crate::protocol::peer;
use crate::state::{clock, ids, timing};

/// Interval at which a request without a live server looks for one.
const LOOK: time::Duration = time::Duration::from_millis(50);

/// Share of the remaining time for which a request waits for a live server, in percent.
const HOLD_PERCENT: u32 = 80;

/// Requests that wait for a live server or an owner at once.
const MAX_HELD: usize = 1024;

/// Advice when to retry while no server is live.
const SERVER_RETRY: time::Duration = time::Duration::from_millis(500);

/// Routes a request to servers until one answers, the budget is spent or none is left.
pub async fn run(
    node: &Arc<node::Node>,
    req: &Accepted,
    cancel: &CancellationToken,
) -> peer::Outcome {
    let mut tried = Vec::new();
    let mut maybe_ran = None;
    let mut last = attempt::refusal(peer::NotRunReason::NoOwner, SERVER_RETRY);
    if !appear(node, req, cancel).await {
        if cancel.is_cancelled() {
            return send::withdrawn(req);
        }
        return attempt::conclude(req, maybe_ran, last);
    }
    loop {
        let offered = servers(node, &req.service);
        let untried: Vec<_> = offered
            .iter()
            .filter(|n| !tried.contains(*n))
            .copied()
            .collect();
        let picked = node.router.selector.select(&untried, clock::Instant::now());
        let Some(server) = picked else {
            return attempt::conclude(req, maybe_ran, last);
        };
        let started = clock::Instant::now();
        let id = ids::AttemptId::create();
        let mut visit = Visit::new(node, server, &offered, started);
        let sent = send::send(node, server, req, id, cancel).await;
        visit.finish(&sent);
        match sent {
            send::Sent::Outcome(answered @ peer::Outcome::Answered(_), _) => return answered,
            send::Sent::Outcome(peer::Outcome::NotRun(refusal), _) => last = refusal,
            send::Sent::Outcome(peer::Outcome::Unknown(reason), _) => maybe_ran = Some(reason),
            send::Sent::Unsent => last.reason = peer::NotRunReason::Unreachable,
            send::Sent::Lost => maybe_ran = Some(lost(req)),
            send::Sent::Cancelled(outcome) => return outcome,
        }
        tried.push(server);
        if !may_repeat(node, req, last.reason, maybe_ran) {
            return attempt::conclude(req, maybe_ran, last);
        }
    }
}

fn may_repeat(
    node: &node::Node,
    req: &Accepted,
    last: peer::NotRunReason,
    maybe_ran: Option<peer::UnknownReason>,
) -> bool {
    let ended = maybe_ran.is_none()
        && matches!(
            last,
            peer::NotRunReason::Expired | peer::NotRunReason::Cancelled
        );
    !ended && req.deadline.is_ahead() && node.router.try_retry(&req.service, req.percent)
}

fn lost(req: &Accepted) -> peer::UnknownReason {
    if req.deadline.is_ahead() {
        peer::UnknownReason::OwnerLost
    } else {
        peer::UnknownReason::Timeout
    }
}

/// Waits until a server is live; returns `false` if none appears in time.
async fn appear(node: &Arc<node::Node>, req: &Accepted, cancel: &CancellationToken) -> bool {
    if !servers(node, &req.service).is_empty() {
        return true;
    }
    let Some(_held) = node.router.hold(MAX_HELD) else {
        return false;
    };
    let patience = (req.deadline.left() * HOLD_PERCENT / 100).min(timing::OWNER_WAIT);
    let give_up = clock::Instant::now() + patience;
    while give_up.is_ahead() {
        tokio::select! {
            () = tokio::time::sleep(LOOK.min(give_up.left())) => {}
            () = cancel.cancelled() => return false,
        }
        if !servers(node, &req.service).is_empty() {
            return true;
        }
    }
    false
}

/// Returns the nodes whose backend server takes requests of a service.
fn servers(node: &node::Node, service: &str) -> Vec<ids::NodeRef> {
    let takes = |state: &peer::BackendState| state.up && !state.draining;
    let mut servers: Vec<_> = node
        .members
        .serving(service)
        .iter()
        .filter(|m| m.node != node.me && takes(&m.backend))
        .map(|m| m.node)
        .collect();
    // The own backend server is known at once, its member entry follows later.
    let own = node.backend.state();
    if own.is_some_and(|(name, state)| name == service && takes(&state)) {
        servers.push(node.me);
    }
    servers
}

/// Request on its way to a picked server, counted there until it is finished or dropped.
struct Visit<'a> {
    node: &'a node::Node,
    server: ids::NodeRef,
    offered: &'a [ids::NodeRef],
    started: clock::Instant,
    finished: bool,
}

impl<'a> Visit<'a> {
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

    fn finish(&mut self, sent: &send::Sent) {
        let (verdict, in_flight) = match sent {
            send::Sent::Outcome(outcome, in_flight) => (verdict(outcome), *in_flight),
            send::Sent::Unsent | send::Sent::Lost => {
                (server_selection::RequestResult::Failed, None)
            }
            send::Sent::Cancelled(_) => (server_selection::RequestResult::Refused, None),
        };
        self.report(verdict, in_flight);
    }

    fn report(&mut self, verdict: server_selection::RequestResult, in_flight: Option<u32>) {
        self.finished = true;
        let now = clock::Instant::now();
        let latency = now.since(self.started);
        self.node.router.selector.record_result(
            self.server,
            verdict,
            latency,
            in_flight,
            self.offered,
            now,
        );
    }
}

impl Drop for Visit<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.report(server_selection::RequestResult::Refused, None);
        }
    }
}

const fn verdict(outcome: &peer::Outcome) -> server_selection::RequestResult {
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
