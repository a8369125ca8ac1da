//! Routing of requests from the entry node to the owner of their slice.
//!
//! The entry node reads a caller's request, looks up the owner of its slice in the newest known
//! record and forwards the request. This module validates requests and counts responses; [`attempt`]
//! determines the outcome.

mod attempt;
mod send;
mod spread;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::{io, net, thread, time};

use tokio::runtime;
use tokio_util::sync::CancellationToken;

use crate::coordination::{node, retry_budget, server_selection};
use crate::protocol::{caller, peer};
use crate::state::{clock, document, ids, timing};
use crate::transport::caller_listener;

/// Path prefix under which callers cancel requests.
const REQUESTS_PATH: &str = "/-/requests/";

/// Retry delay while this node shuts down; another node can serve the request at once.
const SHUTDOWN_RETRY_DELAY: time::Duration = time::Duration::ZERO;

/// Retry delay while this node has no document yet.
const NO_DOCUMENT_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Routes the requests that callers send to this node.
#[derive(Debug, Default)]
pub struct Router {
    active: Mutex<HashMap<ids::RequestId, ActiveRequests>>,
    budgets: Mutex<HashMap<String, retry_budget::RetryBudget>>,
    selector: server_selection::ServerSelector,
    held: AtomicUsize,
    unanswered: OnceLock<Arc<AtomicUsize>>,
    closed: AtomicBool,
}

/// Requests in progress with the same identifier, which are cancelled together.
#[derive(Debug, Default)]
struct ActiveRequests {
    token: CancellationToken,
    count: usize,
}

/// Validated request.
#[derive(Debug, Clone)]
struct ValidRequest {
    service: String,
    class: String,
    retry_percent: u32,
    id: ids::RequestId,
    fresh: bool,
    idempotent: bool,
    priority: u8,
    key: Option<String>,
    hash: Option<ids::KeyHash>,
    method: String,
    path: String,
    content_type: Option<String>,
    body: Vec<u8>,
    deadline: clock::Instant,
}

/// Opens the listener for callers and serves it; must be called on the runtime.
///
/// # Errors
///
/// Returns the error of the socket or of a thread that can't be started.
pub fn start(node: &Arc<node::Node>) -> io::Result<net::SocketAddr> {
    let dropped = node.metrics.dropped.clone();
    let on_reject = Box::new(move |reason: &'static str| {
        dropped.with_label_values(&["entry", reason]).inc();
    });
    let listener = caller_listener::open(node.settings.caller, on_reject)?;
    let addr = listener.addr;
    node.router
        .unanswered
        .get_or_init(|| Arc::clone(&listener.in_progress));
    let node = Arc::clone(node);
    let runtime = runtime::Handle::current();
    thread::Builder::new()
        .name("caller-route".to_owned())
        .spawn(move || {
            for incoming in listener.requests {
                runtime.spawn(serve(Arc::clone(&node), incoming));
            }
        })?;
    Ok(addr)
}

async fn serve(node: Arc<node::Node>, incoming: caller_listener::Incoming) {
    let caller_listener::Incoming {
        request,
        arrived,
        responder,
    } = incoming;
    let response = respond(&node, request, arrived).await;
    responder.send(response);
}

async fn respond(
    node: &Arc<node::Node>,
    request: caller::Request,
    arrived: time::Instant,
) -> caller::Response {
    if let Some(id) = request.url.strip_prefix(REQUESTS_PATH) {
        return cancel(node, &request.method, id);
    }
    let valid = match validate(node, request) {
        Ok(valid) => valid,
        Err(response) => return response,
    };
    let (id, service, class) = (valid.id, valid.service.clone(), valid.class.clone());
    let outcome = if node.router.closed.load(Ordering::Relaxed) {
        let refusal = attempt::refusal(peer::NotRunReason::NoOwner, SHUTDOWN_RETRY_DELAY);
        attempt::final_outcome(&valid, None, refusal)
    } else {
        let guard = ActiveGuard::new(node, id);
        attempt::route(node, valid, &guard.token).await
    };
    record_outcome(node, id, &service, &class, &outcome, arrived);
    caller::Response::outcome(id, outcome)
}

fn record_outcome(
    node: &node::Node,
    id: ids::RequestId,
    service: &str,
    class: &str,
    outcome: &peer::Outcome,
    arrived: time::Instant,
) {
    let name = caller::outcome_name(outcome);
    let reason = caller::outcome_reason(outcome).unwrap_or_default();
    let metrics = &node.metrics;
    metrics
        .requests
        .with_label_values(&[service, class, name, reason])
        .inc();
    metrics
        .latency
        .with_label_values(&[service, class, name])
        .observe(arrived.elapsed().as_secs_f64());
    if !reason.is_empty() {
        tracing::debug!(event = 530, %id, service, outcome = name, reason, "request was not answered by a backend server");
    }
}

/// Cancels the requests in progress with the given identifier.
fn cancel(node: &node::Node, method: &str, id: &str) -> caller::Response {
    let invalid = |status, reason| {
        let count = &node.metrics.dropped;
        count.with_label_values(&["entry", reason]).inc();
        caller::Response::invalid(caller::InvalidRequest { status, reason })
    };
    if method != "DELETE" {
        return invalid(405, "method-unsupported");
    }
    let Ok(id) = id.parse::<ids::RequestId>() else {
        return invalid(400, "id-malformed");
    };
    let active = node.router.active.lock();
    let active = active.unwrap_or_else(PoisonError::into_inner);
    let Some(requests) = active.get(&id) else {
        return invalid(404, "request-unknown");
    };
    requests.token.cancel();
    tracing::debug!(event = 531, %id, "request cancelled by its caller");
    caller::Response {
        status: 202,
        headers: vec![(caller::REQUEST_ID_HEADER, id.to_string())],
        body: Vec::new(),
    }
}

/// Validates a request against the document in force.
fn validate(node: &node::Node, request: caller::Request) -> Result<ValidRequest, caller::Response> {
    let Some(current) = node.config.current() else {
        node.metrics
            .dropped
            .with_label_values(&["entry", "no-document"])
            .inc();
        tracing::debug!(event = 532, "request refused, no document yet");
        return Err(no_document());
    };
    parse(&current.document, request).map_err(|invalid| {
        node.metrics
            .dropped
            .with_label_values(&["entry", invalid.reason])
            .inc();
        tracing::debug!(event = 533, reason = invalid.reason, "request is invalid");
        caller::Response::invalid(invalid)
    })
}

fn no_document() -> caller::Response {
    let mut response = caller::Response::invalid(caller::InvalidRequest {
        status: 503,
        reason: "no-document",
    });
    let delay = NO_DOCUMENT_RETRY_DELAY;
    response.headers.push((
        caller::RETRY_AFTER_HEADER,
        caller::whole_seconds(delay).to_string(),
    ));
    response
        .headers
        .push((caller::RETRY_AFTER_MS_HEADER, delay.as_millis().to_string()));
    response
}

fn parse(
    document: &document::Document,
    request: caller::Request,
) -> Result<ValidRequest, caller::InvalidRequest> {
    let not_found = |reason| caller::InvalidRequest {
        status: 404,
        reason,
    };
    let (name, path) = request.target()?;
    let service = document.service(name).ok_or(not_found("service-unknown"))?;
    let route = service
        .route(&request.method, &path)
        .ok_or(not_found("route-unknown"))?;
    let given = request.id()?;
    if given.is_some_and(|id| id.time() > ids::wall_time() + timing::CLOCK_SKEW) {
        return Err(caller::InvalidRequest::malformed("id-in-future"));
    }
    let id = given.unwrap_or_else(ids::RequestId::create);
    let limit = request.deadline()?.unwrap_or(route.deadline);
    let key = match &service.key {
        Some(source) => Some(
            request
                .key(source, &path)
                .ok_or(caller::InvalidRequest::malformed("key-missing"))?,
        ),
        None => None,
    };
    let hash = match &key {
        Some(key) => Some(ids::KeyHash::of(key)),
        None if route.idempotent => None,
        None => Some(id.hash()),
    };
    let class = document.class(request.header(caller::CLASS_HEADER));
    Ok(ValidRequest {
        service: service.name.clone(),
        class: class.map_or_else(String::new, |c| c.name.clone()),
        retry_percent: service.retry_percent,
        id,
        fresh: given.is_none(),
        idempotent: route.idempotent,
        priority: class.map_or(u8::MAX, |c| c.priority),
        key,
        hash,
        path,
        content_type: request.header("content-type").map(str::to_owned),
        deadline: clock::Instant::now() + limit.min(route.deadline),
        method: request.method,
        body: request.body,
    })
}

/// Registers a request as active, and so as cancellable, until dropped.
struct ActiveGuard {
    node: Arc<node::Node>,
    id: ids::RequestId,
    token: CancellationToken,
}

impl ActiveGuard {
    fn new(node: &Arc<node::Node>, id: ids::RequestId) -> Self {
        let mut table = node
            .router
            .active
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let requests = table.entry(id).or_default();
        requests.count += 1;
        let token = requests.token.clone();
        drop(table);
        Self {
            node: Arc::clone(node),
            id,
            token,
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let mut table = self
            .node
            .router
            .active
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(requests) = table.get_mut(&self.id) {
            requests.count -= 1;
            if requests.count == 0 {
                table.remove(&self.id);
            }
        }
    }
}

impl Router {
    /// Refuses all requests that arrive from now on, because this node is shutting down.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests whose response is not completely written yet.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        let count = self.unanswered.get();
        count.map_or(0, |n| n.load(Ordering::Relaxed))
    }

    /// Returns the number of requests from callers of this node that are in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        let active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.values().map(|r| r.count).sum()
    }

    /// Returns the identifiers of the requests from callers of this node that are in progress.
    #[must_use]
    pub fn active_ids(&self) -> Vec<ids::RequestId> {
        let active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.keys().copied().collect()
    }

    /// Returns the number of requests that wait for an owner or an available server.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Credits a success to the retry budget of a service.
    fn record_success(&self, service: &str, percent: u32) {
        self.with_budget(service, percent, |b| {
            b.record_success(clock::Instant::now());
        });
    }

    /// Takes a retry from the budget of a service; returns whether one was left.
    fn try_retry(&self, service: &str, percent: u32) -> bool {
        self.with_budget(service, percent, |b| b.try_retry(clock::Instant::now()))
    }

    fn with_budget<T, F>(&self, service: &str, percent: u32, f: F) -> T
    where
        F: FnOnce(&mut retry_budget::RetryBudget) -> T,
    {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(service.to_owned())
            .or_insert_with(|| retry_budget::RetryBudget::new(percent));
        budget.set_percent(percent);
        f(budget)
    }

    /// Counts a request as waiting for an owner or server, unless `max` others wait already.
    fn hold(&self, max: usize) -> Option<HeldGuard<'_>> {
        let before = self.held.fetch_add(1, Ordering::Relaxed);
        let guard = HeldGuard(&self.held);
        (before < max).then_some(guard)
    }
}

/// Counts a request as waiting until dropped.
struct HeldGuard<'a>(&'a AtomicUsize);

impl Drop for HeldGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
