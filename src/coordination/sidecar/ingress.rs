//! Requests of callers on this host: where each goes, and what its caller is told.
//!
//! A request passes through `process`: its terms and route are read, a backend server is chosen, and
//! the request is sent on until it has an answer, may not be sent again, or can't be served in
//! time. A refusal is given as soon as that is known.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::dispatcher::Dispatcher;
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

/// Gates that a request is offered to before it is refused.
const MOST_OFFERS: usize = 4;

/// Time after a request's limit at which its final answer is due.
const OVERTIME: Duration = Duration::from_millis(20);

/// Pause after which a request without a node or holder may be sent again.
const NOBODY_PAUSE_MS: u32 = 400;

/// Shortest Retry-After, in seconds.
const SHORTEST_RETRY: f64 = 0.05;

/// Longest Retry-After, in seconds.
const LONGEST_RETRY: f64 = 2.0;

/// Part of the longest stated time below which a caller is taken to come again.
const AGAIN_SHARE: f64 = 0.7;

/// Time that is assumed for callers that don't state any, beside the route's timeout.
const USUAL_PATIENCE: Duration = Duration::from_secs(30);

/// How far a node is on its way to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Serves.
    Serving,
    /// Ends connections with their next response.
    Draining,
    /// Ends idle connections too.
    Terminating,
}

/// Entry of a node.
#[derive(Debug)]
pub struct Ingress {
    service: String,
    adapter: Rc<dyn Adapter>,
    configuration: Rc<Configuration>,
    roster: Rc<MembershipView>,
    targets: TargetSelector,
    dispatcher: Rc<Dispatcher>,
    retry_budget: RefCell<RetryBudget>,
    offers: RefCell<OverloadRetry>,
    metrics: Metrics,
    /// Unserved share of each part of a split route.
    splits: RefCell<HashMap<RouteId, Vec<f64>>>,
    /// Longest time that callers of a route have stated; less means that they come again.
    patience: RefCell<HashMap<RouteId, Duration>>,
    stage: Cell<ShutdownStage>,
    ending: Rc<Notify>,
}

/// Parts of a node that an entry works with.
#[derive(Debug)]
pub struct Dependencies {
    /// Address of the node.
    pub node: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Service of the host.
    pub service: String,
    /// Translation of headers.
    pub adapter: Rc<dyn Adapter>,
    /// Configuration.
    pub configuration: Rc<Configuration>,
    /// Other nodes.
    pub roster: Rc<MembershipView>,
    /// Ownership.
    pub tables: Rc<Tables>,
    /// Gate of this node.
    pub dispatcher: Rc<Dispatcher>,
    /// Budget for repeats.
    pub retry_budget: RetryBudget,
    /// Metrics.
    pub metrics: Metrics,
}

impl Ingress {
    /// Creates an entry.
    #[must_use]
    pub fn new(parts: Dependencies) -> Rc<Self> {
        Rc::new(Self {
            targets: TargetSelector::new(
                &parts.node,
                &parts.domain,
                Rc::clone(&parts.roster),
                parts.tables,
                Rc::clone(&parts.dispatcher),
            ),
            service: parts.service,
            adapter: parts.adapter,
            configuration: parts.configuration,
            roster: parts.roster,
            dispatcher: parts.dispatcher,
            retry_budget: RefCell::new(parts.retry_budget),
            offers: RefCell::default(),
            metrics: parts.metrics,
            splits: RefCell::new(HashMap::new()),
            patience: RefCell::new(HashMap::new()),
            stage: Cell::new(ShutdownStage::Serving),
            ending: Rc::new(Notify::new()),
        })
    }

    /// Sets the bounds on repeats.
    pub fn set_retry_limits(&self, bounds: retry_budget::RetryLimits) {
        self.retry_budget.borrow_mut().set_limits(bounds);
    }

    /// Goes on towards the node's end.
    pub fn set_stage(&self, stage: ShutdownStage) {
        self.stage.set(stage);
        self.ending.notify_waiters();
    }

    async fn process(&self, request: Request) -> Response {
        let terms = match self.adapter.decode_terms(&request.head) {
            Ok(terms) => terms,
            Err(e) => {
                tracing::info!(event = 571, error = %e, "refused a request without the terms it needs");
                return Response::empty(400);
            }
        };
        let mut response = match self.configuration.get() {
            Some(routes) => self.routed(&routes, &terms, request).await,
            None => Self::refuse(
                &terms.id,
                "",
                Failure::before_send(Cause::NoConfiguration, NOBODY_PAUSE_MS),
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

    async fn routed(&self, routes: &RouteTable, terms: &Terms, request: Request) -> Response {
        let host = http::header_value(&request.head.headers, "host").unwrap_or_default();
        let Some(route) = routes.find(host, &request.head.target).cloned() else {
            tracing::info!(event = 572, id = %terms.id, host, target = %request.head.target, version = routes.version.0, "no route");
            return Response::empty(404);
        };
        let service = self.part(&route);
        let keyed = routes.service(&service).is_some_and(|s| s.keyed);
        let found = (route, routes.version);
        let passage = self.passage(found, service, keyed, terms, request);
        self.retry_budget
            .borrow_mut()
            .record_request(&passage.service, passage.arrived);
        let mut trail = RequestTrace::default();
        let due = passage.deadline + OVERTIME;
        let passed = time::timeout(due.left(), self.pass(&passage, &mut trail)).await;
        let outcome = passed.unwrap_or(Outcome::Unknown(Failure {
            arrived: trail.attempts > 0,
            ..Failure::after_send(Cause::Timeout)
        }));
        self.finish(&passage, &trail, outcome)
    }

    /// Chooses the part of a split route whose share is furthest behind.
    fn part(&self, route: &Route) -> String {
        let [only] = &route.parts[..] else {
            let mut splits = self.splits.borrow_mut();
            let owed = splits.entry(route.id).or_default();
            owed.resize(route.parts.len(), 0.0);
            let total: u32 = route.parts.iter().map(|p| p.weight).sum();
            for (owed, part) in owed.iter_mut().zip(&route.parts) {
                *owed += f64::from(part.weight) / f64::from(total.max(1));
            }
            let most = (0..owed.len()).max_by(|&a, &b| owed[a].total_cmp(&owed[b]));
            let most = most.unwrap_or(0);
            owed[most] -= 1.0;
            return route.parts[most].service.clone();
        };
        only.service.clone()
    }

    fn passage(
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
        let patience = terms.patience.unwrap_or(USUAL_PATIENCE);
        let mut longest = self.patience.borrow_mut();
        let longest = longest.entry(route.id).or_insert(patience);
        *longest = patience.max(*longest);
        // A caller that comes again has much less time left than callers have at first.
        let again = patience < longest.mul_f64(AGAIN_SHARE);
        let spent = longest.saturating_sub(patience);
        let spent = spent
            .min(route.objective)
            .mul_f64(f64::from(u8::from(again)));
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
        };
        RequestContext {
            deadline: arrived + route.timeout.min(patience),
            soft_deadline: arrived + route.objective.saturating_sub(spent),
            route,
            version,
            service,
            key,
            arrived,
            call,
        }
    }

    /// Sends a request on until there is a final outcome.
    async fn pass(&self, passage: &RequestContext, trail: &mut RequestTrace) -> Outcome {
        let mut tried = HashSet::new();
        let mut last = Failure::before_send(Cause::NoNode, NOBODY_PAUSE_MS);
        let mut first = true;
        // Failure that a backend server has answered itself; the caller gets it in the end.
        let mut answered = None;
        loop {
            let Some(target) = self.targets.select(passage, &tried, last.cause).await else {
                if let Some(answer) = answered {
                    return answer;
                }
                let failed = if first && passage.key.is_some() {
                    Failure::before_send(Cause::NoHolder, NOBODY_PAUSE_MS)
                } else {
                    last
                };
                return Outcome::NotRun(failed);
            };
            first = false;
            trail.dispatches += 1;
            target.destination.name().clone_into(&mut trail.node);
            (trail.table_revision, trail.report_ms) = (target.table_revision, target.report_ms);
            if passage.key.is_none() {
                tried.insert(target.destination.name().to_owned());
            }
            let outcome = self.send(passage, &target.destination).await;
            if trail.dispatches > 1 && passage.key.is_none() {
                let refused = matches!(&outcome, Outcome::NotRun(f) if f.cause == Cause::Full);
                let mut offers = self.offers.borrow_mut();
                offers.record(&passage.service, refused, Instant::now());
            }
            let (failure, ran) = match &outcome {
                Outcome::Answered(r) if r.status >= 500 => {
                    (Failure::after_send(Cause::Broken), true)
                }
                Outcome::Answered(_) => {
                    trail.attempts += 1;
                    return outcome;
                }
                Outcome::NotRun(f) => (*f, false),
                Outcome::Unknown(f) => (*f, true),
            };
            trail.attempts += u32::from(failure.arrived);
            trail.maybe_ran |= ran;
            if !self.again(passage, trail, failure, ran) {
                return outcome;
            }
            tracing::info!(event = 573, id = %passage.call.id, node = %trail.node, cause = failure.cause.name(), offers = trail.dispatches, arrivals = trail.attempts, "a request is sent on to another place");
            if matches!(outcome, Outcome::Answered(_)) {
                answered = Some(outcome);
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

    /// Returns whether a request may be sent once more after a failure.
    fn again(
        &self,
        passage: &RequestContext,
        trail: &RequestTrace,
        failure: Failure,
        ran: bool,
    ) -> bool {
        if trail.dispatches >= MOST_OFFERS && passage.key.is_none() {
            return false;
        }
        if ran && passage.route.repeat == Repeat::Once {
            return false;
        }
        let now = Instant::now();
        if now >= passage.deadline || failure.cause == Cause::Timeout {
            return false;
        }
        // The owner of a key is the only place for it, so its refusals are final.
        let final_one = matches!(
            failure.cause,
            Cause::Full | Cause::Expired | Cause::Stopping
        );
        if passage.key.is_some() && final_one {
            return false;
        }
        if failure.cause == Cause::Full {
            let offers = self.offers.borrow();
            return offers.should_retry(&passage.service, rand::random(), now);
        }
        if !failure.arrived {
            return true;
        }
        let nodes = self.roster.size();
        trail.attempts < passage.route.attempts
            && self
                .retry_budget
                .borrow_mut()
                .try_retry(&passage.service, nodes, now)
    }

    async fn send(&self, passage: &RequestContext, place: &Destination) -> Outcome {
        let now = Instant::now();
        let call = Call {
            left_ms: clock::millis(passage.deadline.since(now)),
            aim_ms: clock::millis(passage.soft_deadline.since(now)),
            ..passage.call.clone()
        };
        match place {
            Destination::Remote(link) => match link.call(call) {
                Some(call) => call.outcome().await,
                None => Outcome::NotRun(Failure::before_send(Cause::LinkLost, 0)),
            },
            Destination::Local => {
                let (tell, told) = oneshot::channel();
                let running = RunningCall::spawn(self.dispatcher.run(call), move |outcome| {
                    // The receiver is gone if the caller has left.
                    let _told = tell.send(outcome);
                });
                let guard = Cancel(running);
                let outcome = told.await;
                drop(guard);
                outcome.unwrap_or(Outcome::Unknown(Failure::after_send(Cause::Broken)))
            }
        }
    }

    fn refuse(id: &str, service: &str, failure: Failure) -> Response {
        let spread = 0.8 + 0.4 * rand::random::<f64>();
        let wait = f64::from(failure.wait_ms) / 1000.0 * spread;
        let wait = wait.clamp(SHORTEST_RETRY, LONGEST_RETRY);
        tracing::debug!(
            event = 574,
            id,
            service,
            cause = failure.cause.name(),
            retry_after = wait,
            "told a caller to come back"
        );
        Response {
            headers: vec![http::Header::new("Retry-After", format!("{wait:.3}"))],
            ..Response::empty(503)
        }
    }

    fn finish(&self, passage: &RequestContext, trail: &RequestTrace, outcome: Outcome) -> Response {
        self.targets.record_outcome(passage, &outcome);
        let id = &passage.call.id;
        let took = Instant::now().since(passage.arrived);
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
            Outcome::NotRun(f) if !trail.maybe_ran => Self::refuse(id, &passage.service, f),
            Outcome::Unknown(f) if matches!(f.cause, Cause::Timeout | Cause::Endless) => {
                Response::empty(504)
            }
            // After an attempt that may have run, a refusal does not mean that the request has not run.
            Outcome::NotRun(_) | Outcome::Unknown(_) => Response::empty(502),
        };
        tracing::info!(event = 575, id, route = %passage.route.name, priority = passage.call.priority, service = %passage.service, key = passage.key, node = %trail.node, offers = trail.dispatches, arrivals = trail.attempts, table = trail.table_revision, report_ms = trail.report_ms, config = passage.version.0, status = response.status, cause, took_ms = took.as_millis(), "answered a request");
        let class = passage.call.priority.to_string();
        let labels = [passage.service.as_str(), class.as_str(), name];
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
struct Cancel(RunningCall);

impl Drop for Cancel {
    fn drop(&mut self) {
        // What may not be repeated and has begun runs to its end.
        let _cancelled = self.0.cancel();
    }
}

/// Entry as the handler of callers' connections.
#[derive(Debug)]
pub struct CallerHandler(pub Rc<Ingress>);

impl caller::Handler for CallerHandler {
    fn answer(&self, request: Request) -> ResponseFuture {
        let entry = Rc::clone(&self.0);
        Box::pin(async move { entry.process(request).await })
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
        Rc::clone(&self.0.ending)
    }
}
