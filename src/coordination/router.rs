//! Routing of requests from their entry to their owner.
//!
//! The entry reads a caller's request, finds the owner of its slice in the newest known record and
//! sends it there. What the caller is told is decided in [`attempt`]; here requests are checked and
//! responses counted.

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

/// Path below which callers cancel requests.
const REQUESTS: &str = "/-/requests/";

/// Advice when to ask another node instead of one that is about to stop.
const CLOSED_RETRY: time::Duration = time::Duration::ZERO;

/// Advice when to come back to a node that has no document yet.
const NO_DOCUMENT_RETRY: time::Duration = time::Duration::from_secs(1);

/// Routing of requests that entered here.
#[derive(Debug, Default)]
pub struct Router {
    active: Mutex<HashMap<ids::RequestId, Cancel>>,
    budgets: Mutex<HashMap<String, retry_budget::RetryBudget>>,
    selector: server_selection::ServerSelector,
    held: AtomicUsize,
    unanswered: OnceLock<Arc<AtomicUsize>>,
    closed: AtomicBool,
}

/// Requests in progress with one identifier, which are cancelled together.
#[derive(Debug, Default)]
struct Cancel {
    token: CancellationToken,
    requests: usize,
}

/// Request that has been checked.
#[derive(Debug, Clone)]
struct Accepted {
    service: String,
    class: String,
    percent: u32,
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
    let refused = Box::new(move |reason: &'static str| {
        dropped.with_label_values(&["entry", reason]).inc();
    });
    let entry = caller_listener::open(node.settings.caller, refused)?;
    let addr = entry.addr;
    node.router
        .unanswered
        .get_or_init(|| Arc::clone(&entry.in_progress));
    let node = Arc::clone(node);
    let runtime = runtime::Handle::current();
    thread::Builder::new()
        .name("caller-route".to_owned())
        .spawn(move || {
            for incoming in entry.requests {
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
    if let Some(id) = request.url.strip_prefix(REQUESTS) {
        return cancel(node, &request.method, id);
    }
    let accepted = match accept(node, request) {
        Ok(accepted) => accepted,
        Err(response) => return response,
    };
    let (id, service, class) = (
        accepted.id,
        accepted.service.clone(),
        accepted.class.clone(),
    );
    let outcome = if node.router.closed.load(Ordering::Relaxed) {
        let refusal = attempt::refusal(peer::NotRunReason::NoOwner, CLOSED_RETRY);
        attempt::conclude(&accepted, None, refusal)
    } else {
        let active = Active::new(node, id);
        attempt::route(node, accepted, &active.token).await
    };
    record(node, id, &service, &class, &outcome, arrived);
    caller::Response::outcome(id, outcome)
}

fn record(
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
        tracing::debug!(event = 530, %id, service, outcome = name, reason, "request not answered by a backend server");
    }
}

/// Cancels a request that entered here.
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
    let Some(cancel) = active.get(&id) else {
        return invalid(404, "request-unknown");
    };
    cancel.token.cancel();
    tracing::debug!(event = 531, %id, "caller cancels a request");
    caller::Response {
        status: 202,
        headers: vec![(caller::REQUEST_ID_HEADER, id.to_string())],
        body: Vec::new(),
    }
}

/// Checks a request against the document.
fn accept(node: &node::Node, request: caller::Request) -> Result<Accepted, caller::Response> {
    let Some(current) = node.config.current() else {
        node.metrics
            .dropped
            .with_label_values(&["entry", "no-document"])
            .inc();
        tracing::debug!(event = 532, "no document yet, refusing a request");
        return Err(no_document());
    };
    check(&current.document, request).map_err(|invalid| {
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
    let after = NO_DOCUMENT_RETRY;
    response.headers.push((
        caller::RETRY_AFTER_HEADER,
        caller::whole_seconds(after).to_string(),
    ));
    response
        .headers
        .push((caller::RETRY_AFTER_MS_HEADER, after.as_millis().to_string()));
    response
}

fn check(
    document: &document::Document,
    request: caller::Request,
) -> Result<Accepted, caller::InvalidRequest> {
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
    Ok(Accepted {
        service: service.name.clone(),
        class: class.map_or_else(String::new, |c| c.name.clone()),
        percent: service.retry_percent,
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

/// Entry of a request in the table of those that can be cancelled.
struct Active {
    node: Arc<node::Node>,
    id: ids::RequestId,
    token: CancellationToken,
}

impl Active {
    fn new(node: &Arc<node::Node>, id: ids::RequestId) -> Self {
        let mut table = node
            .router
            .active
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let cancel = table.entry(id).or_default();
        cancel.requests += 1;
        let token = cancel.token.clone();
        drop(table);
        Self {
            node: Arc::clone(node),
            id,
            token,
        }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        let mut table = self
            .node
            .router
            .active
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(cancel) = table.get_mut(&self.id) {
            cancel.requests -= 1;
            if cancel.requests == 0 {
                table.remove(&self.id);
            }
        }
    }
}

impl Router {
    /// Refuses all requests that arrive from now on, because this node is about to stop.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests whose callers have not got their whole response yet.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        let count = self.unanswered.get();
        count.map_or(0, |n| n.load(Ordering::Relaxed))
    }

    /// Returns the number of requests in progress that entered here.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        let active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.values().map(|c| c.requests).sum()
    }

    /// Returns the identifiers of the requests in progress that entered here.
    #[must_use]
    pub fn active_ids(&self) -> Vec<ids::RequestId> {
        let active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        active.keys().copied().collect()
    }

    /// Returns the number of requests that wait for an owner or a live server.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Counts a success towards the retry budget of a service.
    fn record_success(&self, service: &str, percent: u32) {
        self.with_budget(service, percent, |b| {
            b.record_success(clock::Instant::now())
        });
    }

    /// Takes a retry out of the budget of a service.
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

    /// Takes one of the places for requests that wait for an owner.
    fn hold(&self, max: usize) -> Option<Held<'_>> {
        let before = self.held.fetch_add(1, Ordering::Relaxed);
        let held = Held(&self.held);
        (before < max).then_some(held)
    }
}

/// Place of a request that waits for an owner.
struct Held<'a>(&'a AtomicUsize);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
