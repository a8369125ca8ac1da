//! Ingress for the requests of callers on this host: routing, retries and responses.
//!
//! `process` handles a request: it decodes its terms, finds its route, selects a backend server and
//! forwards the request until it has a response, may not be retried, or can't be served in time. A
//! rejection is returned as soon as that is known.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::evacuation;
use crate::coordination::sidecar::membership::MembershipView;
use crate::coordination::sidecar::overload_retry::OverloadRetry;
use crate::coordination::sidecar::request_context::{RequestContext, RequestTrace};
use crate::coordination::sidecar::retry_budget::{self, RetryBudget};
use crate::coordination::sidecar::tables::Tables;
use crate::coordination::sidecar::targets::{Destination, TargetSelector};
use crate::metrics::Metrics;
use crate::protocol::adapter::{Adapter, Terms};
use crate::protocol::http;
use crate::protocol::mesh::{self, Call, Cause, Failure, Outcome};
use crate::state::clock::{self, Instant};
use crate::state::routes::{Limits, Repeat, Route, RouteId, RouteTable, Version};
use crate::transport::sidecar::caller::{self, Request, Response, ResponseFuture};
use crate::transport::sidecar::peer_server::RunningCall;

/// Maximum number of dispatchers that a request without a key is sent to.
const MAX_DISPATCHES: usize = 4;

/// Time after a request's deadline at which its final response is due.
const RESPONSE_GRACE: Duration = Duration::from_millis(20);

/// Retry delay, in milliseconds, of a request that no node or holder is known for.
const NO_TARGET_RETRY_MS: u32 = 400;

/// Retry delay, in milliseconds, of a request whose body has no room in memory. Bodies without progress can
/// be closed after a second.
const SHORTAGE_RETRY_MS: u32 = 1000;

/// Shortest Retry-After, in seconds.
const MIN_RETRY_AFTER: f64 = 0.05;

/// Longest Retry-After, in seconds.
const MAX_RETRY_AFTER: f64 = 2.0;

/// Longest Retry-After, in seconds, of a request that exceeds the limit of a backend server.
const MAX_THROTTLE_RETRY_AFTER: f64 = 10.0;

/// Share of the longest timeout seen on a route below which a request counts as a caller's retry.
const RETRY_TIMEOUT_SHARE: f64 = 0.7;

/// Timeout assumed for callers that don't state one; the route's timeout applies as well.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Stage of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Serves requests.
    Serving,
    /// Closes connections with their next response.
    Draining,
    /// Closes idle connections as well.
    Terminating,
    /// Ends the requests that have no answer yet.
    Abandoning,
}

/// Ingress of a node.
#[derive(Debug)]
pub struct Ingress {
    service: String,
    adapter: Rc<dyn Adapter>,
    configuration: Rc<Configuration>,
    membership: Rc<MembershipView>,
    targets: TargetSelector,
    dispatcher: Rc<Dispatcher>,
    retry_budget: RefCell<RetryBudget>,
    overload_retry: RefCell<OverloadRetry>,
    metrics: Metrics,
    /// Deficit of each part of a split route against its weight, in requests.
    split_deficits: RefCell<HashMap<RouteId, Vec<f64>>>,
    /// Longest timeout that callers of a route have stated; a much shorter one marks a caller's
    /// retry.
    longest_timeouts: RefCell<HashMap<RouteId, Duration>>,
    stage: Cell<ShutdownStage>,
    /// Latest deadline of requests that arrive during the shutdown.
    last_deadline: Cell<Option<Instant>>,
    stage_changed: Rc<Notify>,
}

/// Parts of a node that its ingress uses.
#[derive(Debug)]
pub struct Dependencies {
    /// Address of the node.
    pub node: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Service of the host.
    pub service: String,
    /// Adapter for the platform's headers.
    pub adapter: Rc<dyn Adapter>,
    /// Configuration.
    pub configuration: Rc<Configuration>,
    /// Other nodes.
    pub membership: Rc<MembershipView>,
    /// Assignment tables.
    pub tables: Rc<Tables>,
    /// Dispatcher to the local backend server.
    pub dispatcher: Rc<Dispatcher>,
    /// Retry budget.
    pub retry_budget: RetryBudget,
    /// Metrics.
    pub metrics: Metrics,
}

impl Ingress {
    /// Creates an ingress that serves requests.
    #[must_use]
    pub fn new(dependencies: Dependencies) -> Rc<Self> {
        Rc::new(Self {
            targets: TargetSelector::new(
                &dependencies.node,
                &dependencies.domain,
                Rc::clone(&dependencies.membership),
                dependencies.tables,
                Rc::clone(&dependencies.dispatcher),
            ),
            service: dependencies.service,
            adapter: dependencies.adapter,
            configuration: dependencies.configuration,
            membership: dependencies.membership,
            dispatcher: dependencies.dispatcher,
            retry_budget: RefCell::new(dependencies.retry_budget),
            overload_retry: RefCell::default(),
            metrics: dependencies.metrics,
            split_deficits: RefCell::new(HashMap::new()),
            longest_timeouts: RefCell::new(HashMap::new()),
            stage: Cell::new(ShutdownStage::Serving),
            last_deadline: Cell::new(None),
            stage_changed: Rc::new(Notify::new()),
        })
    }

    /// Sets the limits on retries.
    pub fn set_retry_limits(&self, limits: retry_budget::RetryLimits) {
        self.retry_budget.borrow_mut().set_limits(limits);
    }

    /// Sets the latest deadline of requests that arrive from now on, so that each has its answer before
    /// the process ends.
    pub fn set_last_deadline(&self, deadline: Instant) {
        self.last_deadline.set(Some(deadline));
    }

    /// Waits until the requests without an answer are to be ended.
    async fn abandoned(&self) {
        while self.stage.get() < ShutdownStage::Abandoning {
            self.stage_changed.notified().await;
        }
    }

    /// Sets the stage of the shutdown.
    pub fn set_stage(&self, stage: ShutdownStage) {
        self.stage.set(stage);
        self.stage_changed.notify_waiters();
    }

    async fn process(&self, request: Request) -> Response {
        let terms = match self.adapter.decode_terms(&request.head) {
            Ok(terms) => terms,
            Err(e) => {
                tracing::info!(event = 571, error = %e, "request rejected: its headers can't be decoded");
                return Response::empty(400);
            }
        };
        let mut response = match self.configuration.get() {
            Some(routes) => self.route_request(&routes, &terms, request).await,
            None => Self::unavailable_response(
                &terms.id,
                "",
                Failure::before_send(Cause::NoConfiguration, NO_TARGET_RETRY_MS),
            ),
        };
        if http::header_value(
            &response.headers,
            &self.adapter.request_id_header(&terms.id).name,
        )
        .is_none()
        {
            response
                .headers
                .push(self.adapter.request_id_header(&terms.id));
        }
        response
    }

    async fn route_request(
        &self,
        routes: &RouteTable,
        terms: &Terms,
        request: Request,
    ) -> Response {
        let host = http::header_value(&request.head.headers, "host").unwrap_or_default();
        let Some(route) = routes.find(host, &request.head.target).cloned() else {
            tracing::info!(event = 572, id = %terms.id, host, target = %request.head.target, version = routes.version.0, "no route for the request");
            return Response::empty(404);
        };
        let service = self.choose_part(&route);
        let keyed = routes.service(&service).is_some_and(|s| s.keyed);
        let versioned_route = (route, routes.version);
        let context = self.request_context(versioned_route, service, keyed, terms, request);
        self.retry_budget
            .borrow_mut()
            .record_request(&context.service, context.arrived);
        let mut trace = RequestTrace::default();
        let due = context.deadline + RESPONSE_GRACE;
        let ended = tokio::select! {
            outcome = self.forward(&context, &mut trace) => Ok(outcome),
            () = time::sleep(due.left()) => Err(Cause::Timeout),
            () = self.abandoned() => Err(Cause::Stopping),
        };
        let outcome = ended.unwrap_or_else(|cause| {
            Outcome::Unknown(Failure {
                arrived: trace.attempts > 0,
                ..Failure::after_send(cause)
            })
        });
        self.respond(&context, &trace, outcome)
    }

    /// Chooses a part of a route by smooth weighted round robin: the one with the largest deficit.
    fn choose_part(&self, route: &Route) -> String {
        let [part] = &route.parts[..] else {
            let mut deficits = self.split_deficits.borrow_mut();
            let deficits = deficits.entry(route.id).or_default();
            deficits.resize(route.parts.len(), 0.0);
            let total: u32 = route.parts.iter().map(|p| p.weight).sum();
            for (deficit, part) in deficits.iter_mut().zip(&route.parts) {
                *deficit += f64::from(part.weight) / f64::from(total.max(1));
            }
            let index = (0..deficits.len()).max_by(|&a, &b| deficits[a].total_cmp(&deficits[b]));
            let index = index.unwrap_or(0);
            deficits[index] -= 1.0;
            return route.parts[index].service.clone();
        };
        part.service.clone()
    }

    fn request_context(
        &self,
        (route, version): (Rc<Route>, Version),
        service: String,
        keyed: bool,
        terms: &Terms,
        request: Request,
    ) -> RequestContext {
        let Request {
            head,
            body,
            arrived,
        } = request;
        let timeout = terms.patience.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let mut longest = self.longest_timeouts.borrow_mut();
        let longest = longest.entry(route.id).or_insert(timeout);
        *longest = timeout.max(*longest);
        // A caller's retry has much less time left than its first attempt had; its objective counts
        // from the first attempt.
        let is_retry = timeout < longest.mul_f64(RETRY_TIMEOUT_SHARE);
        let spent = longest.saturating_sub(timeout);
        let spent = spent
            .min(route.objective)
            .mul_f64(f64::from(u8::from(is_retry)));
        let mut headers = http::end_to_end_headers(&head.headers);
        self.adapter.strip_reserved_headers(&mut headers);
        let key = terms.key.filter(|_| keyed);
        let call = Call {
            id: terms.id.clone(),
            service: service.clone(),
            origin: self.service.clone(),
            route: route.id,
            repeat: route.repeat,
            priority: route.priority,
            objective_ms: clock::millis(route.objective),
            key,
            left_ms: 0,
            aim_ms: 0,
            sent_ms: 0,
            method: head.method,
            target: head.target,
            headers,
            body,
            nested: terms
                .patience
                .is_some_and(|time| self.dispatcher.runs_until(arrived + time)),
        };
        let deadline = arrived + route.timeout.min(timeout);
        RequestContext {
            deadline: self
                .last_deadline
                .get()
                .map_or(deadline, |d| d.min(deadline)),
            soft_deadline: arrived + route.objective.saturating_sub(spent),
            route,
            version,
            service,
            key,
            arrived,
            call,
        }
    }

    /// Forwards a request, with retries, until there is a final outcome.
    async fn forward(&self, context: &RequestContext, trace: &mut RequestTrace) -> Outcome {
        let mut tried = HashSet::new();
        let mut last = Failure::before_send(Cause::NoNode, NO_TARGET_RETRY_MS);
        if let Some(wait) = self.dispatcher.isolation.refuses(&context.call) {
            tracing::info!(event = 570, id = %context.call.id, request = %context.call.fingerprint(), "refused a request under which backend servers have crashed");
            let wait = clock::millis(wait);
            return Outcome::NotRun(Failure::before_send(Cause::Quarantined, wait));
        }
        if self.targets.is_evacuated(&context.service) {
            let wait = evacuation::EVACUATED_RETRY_MS;
            return Outcome::NotRun(Failure::before_send(Cause::Evacuated, wait));
        }
        let mut first = true;
        // Failure response of a backend server, returned to the caller if no retry succeeds.
        let mut failure_response = None;
        loop {
            let Some(target) = self.targets.select(context, &tried, last.cause).await else {
                if let Some(response) = failure_response {
                    return response;
                }
                let failure = if first && context.key.is_some() {
                    Failure::before_send(Cause::NoHolder, NO_TARGET_RETRY_MS)
                } else {
                    last
                };
                return Outcome::NotRun(failure);
            };
            first = false;
            trace.dispatches += 1;
            target.destination.name().clone_into(&mut trace.node);
            (trace.table_revision, trace.report_ms) =
                (target.table_revision.number, target.report_ms);
            if context.key.is_none() {
                tried.insert(target.destination.name().to_owned());
            }
            let outcome = self.send(context, &target.destination).await;
            if trace.dispatches > 1 && context.key.is_none() {
                let rejected = matches!(&outcome, Outcome::NotRun(f) if f.cause.is_overload());
                let mut retry = self.overload_retry.borrow_mut();
                retry.record(&context.service, rejected, Instant::now());
            }
            let (failure, maybe_ran) = match &outcome {
                Outcome::Answered(r) if r.status >= 500 => {
                    (Failure::after_send(Cause::Broken), true)
                }
                Outcome::Answered(_) => {
                    trace.attempts += 1;
                    return outcome;
                }
                Outcome::NotRun(f) => (*f, false),
                Outcome::Unknown(f) => (*f, true),
            };
            trace.attempts += u32::from(failure.arrived);
            trace.maybe_ran |= maybe_ran;
            if !self.may_retry(context, trace, failure, maybe_ran) {
                return outcome;
            }
            tracing::info!(event = 573, id = %context.call.id, node = %trace.node, cause = failure.cause.name(), offers = trace.dispatches, arrivals = trace.attempts, "retrying a request");
            if failure.cause == Cause::Broken && !matches!(outcome, Outcome::Answered(_)) {
                self.dispatcher.isolation.suspect_retry(&context.call);
            }
            if matches!(outcome, Outcome::Answered(_)) {
                failure_response = Some(outcome);
            }
            last = Failure {
                wait_ms: match last.cause {
                    Cause::NoNode => failure.wait_ms,
                    _ => failure.wait_ms.min(last.wait_ms),
                },
                ..failure
            };
        }
    }

    /// Returns whether a request may be retried after a failure.
    fn may_retry(
        &self,
        context: &RequestContext,
        trace: &RequestTrace,
        failure: Failure,
        maybe_ran: bool,
    ) -> bool {
        if trace.dispatches >= MAX_DISPATCHES && context.key.is_none() {
            return false;
        }
        if maybe_ran && context.route.repeat == Repeat::Once {
            return false;
        }
        let now = Instant::now();
        // Every dispatcher asks the same node whether the request may run.
        let given_up = matches!(
            failure.cause,
            Cause::Timeout | Cause::Quarantined | Cause::Isolated
        );
        if now >= context.deadline || given_up {
            return false;
        }
        // The holder of a key is the only destination for it, so its rejections are final.
        let is_final = failure.cause.is_overload()
            || matches!(failure.cause, Cause::Expired | Cause::Stopping);
        if context.key.is_some() && is_final {
            return false;
        }
        if failure.cause.is_overload() {
            let retry = self.overload_retry.borrow();
            return retry.should_retry(&context.service, rand::random(), now);
        }
        if !failure.arrived {
            return true;
        }
        let nodes = self.membership.size();
        trace.attempts < context.route.attempts
            && self
                .retry_budget
                .borrow_mut()
                .try_retry(&context.service, nodes, now)
    }

    async fn send(&self, context: &RequestContext, destination: &Destination) -> Outcome {
        let now = Instant::now();
        let call = Call {
            left_ms: clock::millis(context.deadline.since(now)),
            aim_ms: clock::millis(context.soft_deadline.since(now)),
            ..context.call.clone()
        };
        match destination {
            Destination::Remote(link) => {
                let holder = link.holder();
                self.dispatcher.isolation.report_before(link, &call);
                let Some(call) = link.call(call) else {
                    return Outcome::NotRun(Failure::before_send(Cause::LinkLost, 0));
                };
                let outcome = call.outcome().await;
                if let (Outcome::Answered(response), Some(holder)) = (&outcome, holder)
                    && link.holder().as_ref() == Some(&holder)
                {
                    let signals = self.adapter.decode_signals(&response.headers);
                    link.record_signals(&holder, signals);
                }
                outcome
            }
            Destination::Local => {
                let (sender, receiver) = oneshot::channel();
                let running =
                    RunningCall::spawn(self.dispatcher.create_job(call), move |outcome| {
                        // The receiver is gone if the caller has disconnected.
                        let _delivered = sender.send(outcome);
                    });
                let guard = CancelOnDrop(running);
                let outcome = receiver.await;
                drop(guard);
                outcome.unwrap_or(Outcome::Unknown(Failure::after_send(Cause::Broken)))
            }
        }
    }

    fn unavailable_response(id: &str, service: &str, failure: Failure) -> Response {
        let jitter = 0.8 + 0.4 * rand::random::<f64>();
        let wait = f64::from(failure.wait_ms) / 1000.0 * jitter;
        let longest = match failure.cause {
            Cause::Throttled => MAX_THROTTLE_RETRY_AFTER,
            _ => MAX_RETRY_AFTER,
        };
        let wait = wait.clamp(MIN_RETRY_AFTER, longest);
        tracing::debug!(
            event = 574,
            id,
            service,
            cause = failure.cause.name(),
            retry_after = wait,
            "returned 503 with Retry-After"
        );
        Response {
            headers: vec![http::Header::new("Retry-After", format!("{wait:.3}"))],
            ..Response::empty(503)
        }
    }

    fn respond(
        &self,
        context: &RequestContext,
        trace: &RequestTrace,
        outcome: Outcome,
    ) -> Response {
        self.targets.record_outcome(context, &outcome);
        let id = &context.call.id;
        let took = Instant::now().since(context.arrived);
        let (name, cause) = match &outcome {
            Outcome::Answered(_) => ("answered", ""),
            Outcome::NotRun(f) => ("not_run", f.cause.name()),
            Outcome::Unknown(f) => ("unknown", f.cause.name()),
        };
        let response = match outcome {
            Outcome::Answered(mesh::Response {
                status,
                headers,
                body,
            }) => Response {
                status,
                headers,
                body,
            },
            Outcome::NotRun(f) if !trace.maybe_ran => {
                Self::unavailable_response(id, &context.service, f)
            }
            Outcome::Unknown(f) if matches!(f.cause, Cause::Timeout | Cause::Endless) => {
                Response::empty(504)
            }
            // If an earlier attempt may have run, a rejection doesn't mean that the request has
            // not.
            Outcome::NotRun(_) | Outcome::Unknown(_) => Response::empty(502),
        };
        let request = self.dispatcher.isolation.fingerprint(&context.call);
        let request = request.map(tracing::field::display);
        tracing::info!(event = 575, id, request, route = %context.route.name, priority = context.call.priority, service = %context.service, key = context.key, node = %trace.node, offers = trace.dispatches, arrivals = trace.attempts, table = trace.table_revision, report_ms = trace.report_ms, config = context.version.0, status = response.status, cause, nested = context.call.nested, took_ms = took.as_millis(), "responded to a request");
        let class = context.call.priority.to_string();
        let labels = [context.service.as_str(), class.as_str(), name];
        self.metrics
            .latency
            .with_label_values(&labels)
            .observe(took.as_secs_f64());
        let labels = [labels[0], labels[1], name, cause];
        self.metrics.requests.with_label_values(&labels).inc();
        response
    }
}

/// Cancels a call when dropped.
struct CancelOnDrop(RunningCall);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        // A call that may not be retried and has started runs to completion.
        let _cancelled = self.0.cancel();
    }
}

/// Passes the requests on callers' connections to an ingress.
#[derive(Debug)]
pub struct CallerHandler(pub Rc<Ingress>);

impl caller::Handler for CallerHandler {
    fn answer(&self, request: Request) -> ResponseFuture {
        let ingress = Rc::clone(&self.0);
        Box::pin(async move { ingress.process(request).await })
    }

    fn refuse(&self, head: Option<&http::RequestHead>) -> Response {
        let failure = Failure::before_send(Cause::Full, SHORTAGE_RETRY_MS);
        let terms = head.and_then(|head| self.0.adapter.decode_terms(head).ok());
        let id = terms.as_ref().map_or("", |t| &t.id);
        let mut response = Ingress::unavailable_response(id, "", failure);
        if !id.is_empty() {
            response.headers.push(self.0.adapter.request_id_header(id));
        }
        response
    }

    fn limits(&self) -> Option<Limits> {
        self.0.configuration.get().map(|c| c.limits)
    }

    fn is_draining(&self) -> bool {
        self.0.stage.get() >= ShutdownStage::Draining
    }

    fn is_terminating(&self) -> bool {
        self.0.stage.get() >= ShutdownStage::Terminating
    }

    fn stage_changed(&self) -> Rc<Notify> {
        Rc::clone(&self.0.stage_changed)
    }
}
