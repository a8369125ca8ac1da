//! Gate in front of the backend server beside this node.
//!
//! Only this node talks to it, so what must be exact is decided here: how many requests run, in
//! which order they start, whether the backend server is leaving, and whether it may run a key.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::coordination::sidecar::admission::{
    AdmissionDecision, AdmissionId, AdmissionQueue, AdmissionRequest, Dequeued, Rank,
};
use crate::coordination::sidecar::failure_rate;
use crate::coordination::sidecar::granted_ranges::GrantedRanges;
use crate::coordination::sidecar::local_backend::Backend;
use crate::coordination::sidecar::service_times::Completion;
use crate::protocol::adapter::{self, Adapter};
use crate::protocol::http;
use crate::protocol::mesh::{BackendInfo, Call, Cause, Failure, Health, Load, Outcome, Response};
use crate::state::clock::{self, Instant};
use crate::state::decayed_average::DecayedAverage;
use crate::state::key_rates::{KeyRateReport, KeyRates};
use crate::state::keyspace::Key;
use crate::transport::sidecar::backend::{self, Pool, SendError};
use crate::transport::sidecar::peer_server::Job;

/// Weight of the newest request in the share of failures.
const FAILURE_WEIGHT: f64 = 0.06;

/// Time in which the share of failures falls to about a third without requests, so that a backend
/// server that has recovered is tried again.
const FAILURE_FADE: Duration = Duration::from_secs(4);

/// Share of failures after a refused connection.
const UNREACHABLE: f64 = 0.9;

/// Longest wait of a request for a permission that its backend server is about to get; a bit more
/// than one heartbeat.
const PERMISSION_WAIT: Duration = Duration::from_millis(1100);

/// Part of the time that a request can spare for such a wait.
const PERMISSION_SHARE: f64 = 0.7;

/// Silence of a backend server after which no heartbeat is awaited.
const SILENCE: Duration = Duration::from_millis(1500);

/// Pause after which a request without permission may be sent again.
const PERMISSION_PAUSE_MS: u32 = 300;

/// Pause after which a request to a backend server that can't be reached may be sent again.
const UNREACHABLE_PAUSE_MS: u32 = 200;

/// Time after the limit of a request for which a response is still awaited; the backend server's
/// own answer at its deadline comes within it.
const OVERTIME: Duration = Duration::from_millis(80);

/// Part of the bound on draining within which new requests may still be started.
const DRAIN_SHARE: f64 = 0.6;

/// Tells whether the backend server is about to get a key.
type Expected = Box<dyn Fn(Key) -> bool>;

/// Word to a waiting request.
#[derive(Debug)]
enum Go {
    Start,
    Expired,
}

/// Gate of the node.
pub struct Dispatcher {
    adapter: Rc<dyn Adapter>,
    pool: Pool,
    drain: Cell<Duration>,
    backend: RefCell<Option<Backend>>,
    queue: RefCell<AdmissionQueue>,
    waiters: RefCell<HashMap<AdmissionId, oneshot::Sender<Go>>>,
    /// Keys that may be run.
    pub granted_ranges: RefCell<GrantedRanges>,
    /// Told when [`Dispatcher::granted_ranges`] has changed.
    pub ranges_changed: Notify,
    expected: RefCell<Expected>,
    /// Share of failed requests.
    failures: RefCell<DecayedAverage>,
    heat: RefCell<KeyRates>,
    stopping: Cell<bool>,
    changed: Rc<Notify>,
}

impl std::fmt::Debug for Dispatcher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Dispatcher")
            .field("backend", &self.backend)
            .field("queue", &self.queue)
            .finish_non_exhaustive()
    }
}

/// Place among the running requests, given back when dropped.
struct Place {
    dispatcher: Rc<Dispatcher>,
    kind: u32,
    begun: Instant,
    end: Completion,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut queue = self.dispatcher.queue.borrow_mut();
        let turn = queue.finish(self.kind, self.begun, self.end, Instant::now());
        drop(queue);
        self.dispatcher.dispatch(turn);
    }
}

/// Place in the queue, given back when dropped.
struct Waiting<'a> {
    dispatcher: &'a Dispatcher,
    id: AdmissionId,
    kind: u32,
    told: oneshot::Receiver<Go>,
    done: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.dispatcher.waiters.borrow_mut().remove(&self.id);
        let mut queue = self.dispatcher.queue.borrow_mut();
        match self.told.try_recv() {
            // Started at the moment at which its caller left.
            Ok(Go::Start) => {
                let now = Instant::now();
                let turn = queue.finish(self.kind, now, Completion::Failed, now);
                drop(queue);
                self.dispatcher.dispatch(turn);
            }
            Ok(Go::Expired) => {}
            Err(_) => {
                queue.cancel(self.id);
            }
        }
    }
}

impl Dispatcher {
    /// Creates a dispatcher without a backend server; `changed` is told of changes of state.
    #[must_use]
    pub fn new(adapter: Rc<dyn Adapter>, drain: Duration, changed: Rc<Notify>) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            pool: Pool::new(Rc::clone(&adapter)),
            adapter,
            drain: Cell::new(drain),
            backend: RefCell::new(None),
            queue: RefCell::new(AdmissionQueue::new(0)),
            waiters: RefCell::new(HashMap::new()),
            granted_ranges: RefCell::new(GrantedRanges::default()),
            ranges_changed: Notify::new(),
            expected: RefCell::new(Box::new(|_| false)),
            failures: RefCell::new(DecayedAverage::new(FAILURE_WEIGHT, FAILURE_FADE, now)),
            heat: RefCell::new(KeyRates::new(now)),
            stopping: Cell::new(false),
            changed,
        })
    }

    /// Returns the backend server.
    #[must_use]
    pub fn backend(&self) -> Option<Backend> {
        self.backend.borrow().clone()
    }

    /// Takes over the backend server's newest description.
    pub fn set_backend(&self, backend: Backend) {
        let backend = Some(backend);
        let before = self.backend.replace(backend.clone());
        let life = |b: &Option<Backend>| b.as_ref().map(|b| b.holder.clone());
        if life(&before) != life(&backend) {
            self.pool.clear();
            self.granted_ranges.borrow_mut().clear();
            self.queue.borrow_mut().service_times.reset();
            self.failures.borrow_mut().set(0.0, Instant::now());
        }
        let slots = backend.as_ref().map_or(0, |b| usize::from(b.slots));
        let warming = backend.as_ref().is_some_and(|b| b.warmup_end.is_ahead());
        let mut queue = self.queue.borrow_mut();
        queue.service_times.set_warming(warming);
        queue.set_slots(slots);
        let turn = queue.dequeue(Instant::now());
        drop(queue);
        self.dispatch(turn);
        let phase = |b: &Option<Backend>| b.as_ref().map(|b| b.draining_since.is_some());
        if life(&before) != life(&backend) || phase(&before) != phase(&backend) {
            self.changed.notify_waiters();
        }
    }

    /// Sets the bound on draining.
    pub fn set_drain_timeout(&self, drain: Duration) {
        self.drain.set(drain);
    }

    /// Refuses further calls, because the node is about to end.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.changed.notify_waiters();
    }

    /// Returns the number of requests that run or wait.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let queue = self.queue.borrow();
        queue.running() + queue.waiting()
    }

    /// Returns the share of failures.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failures.borrow().get(Instant::now())
    }

    fn count(&self, failed: bool) {
        let sample = f64::from(u8::from(failed));
        self.failures.borrow_mut().add(sample, Instant::now());
    }

    /// Returns the state of the backend server for callers.
    #[must_use]
    pub fn health(&self) -> Health {
        let backend = self.backend.borrow();
        backend.as_ref().map_or(Health::Absent, Backend::health)
    }

    /// Returns the backend server as other nodes see it.
    #[must_use]
    pub fn backend_info(&self) -> BackendInfo {
        let backend = self.backend.borrow();
        backend
            .as_ref()
            .map_or_else(BackendInfo::default, Backend::about)
    }

    /// Returns the load as other nodes see it, without what the dispatcher doesn't know.
    #[must_use]
    pub fn load(&self) -> Load {
        let backend = self.backend.borrow();
        let queue = self.queue.borrow();
        let short = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        let warm = backend
            .as_ref()
            .map_or(Duration::ZERO, |b| b.warmup_end.left());
        Load {
            health: self.health(),
            slots: backend.as_ref().map_or(0, |b| b.slots),
            running: short(queue.running()),
            queued: short(queue.waiting()),
            service_ms: queue
                .service_times
                .mean(Instant::now())
                .map_or(0.0, |d| d.as_secs_f32() * 1000.0),
            failing: self.failure_rate(),
            warmup_ms: clock::millis(warm),
            stopping: self.stopping.get(),
            ..Load::default()
        }
    }

    /// Returns the rates of the keys since the last report.
    pub fn heat(&self) -> KeyRateReport {
        self.heat.borrow_mut().report(Instant::now())
    }

    /// Refuses waiting requests that can't end in time, and closes old connections.
    pub fn tick(&self) {
        let expired = self.queue.borrow_mut().expire(Instant::now());
        let turn = Dequeued {
            expired,
            ..Dequeued::default()
        };
        self.dispatch(turn);
        self.pool.prune();
    }

    fn dispatch(&self, turn: Dequeued) {
        for id in turn.expired {
            if let Some(waiter) = self.waiters.borrow_mut().remove(&id) {
                // The request's future is gone if its caller has left.
                let _told = waiter.send(Go::Expired);
            }
        }
        for id in turn.started {
            let waiter = self.waiters.borrow_mut().remove(&id);
            let started = waiter.is_some_and(|w| w.send(Go::Start).is_ok());
            debug_assert!(started, "a waiting request takes itself out of the queue");
        }
    }

    /// Starts a call.
    #[must_use]
    pub fn run(self: &Rc<Self>, call: Call) -> Job {
        let started = Rc::new(Cell::new(false));
        let repeat = call.repeat;
        let flag = Rc::clone(&started);
        let dispatcher = Rc::clone(self);
        let arrived = Instant::now();
        Job {
            outcome: Box::pin(async move { dispatcher.serve(call, arrived, &flag).await }),
            started,
            repeat,
        }
    }

    /// Returns the backend server if it may start a request now.
    fn open(&self, service: &str) -> Result<Backend, Cause> {
        let backend = self.backend().ok_or(Cause::NoBackend)?;
        if backend.service != service {
            return Err(Cause::NoBackend);
        }
        if self.stopping.get() {
            return Err(Cause::Stopping);
        }
        match backend.draining_since {
            None => Ok(backend),
            Some(since) => {
                let window = self.drain.get().mul_f64(DRAIN_SHARE);
                let open = backend.keyed && Instant::now().since(since) < window;
                open.then_some(backend).ok_or(Cause::Leaving)
            }
        }
    }

    /// Returns whether the backend server is to get a key with its next heartbeat.
    fn is_expected(&self, key: Key) -> bool {
        let heard = self.backend.borrow().as_ref().map(|b| b.last_heartbeat);
        let silent = heard.is_none_or(|at| Instant::now().since(at) > SILENCE);
        !silent && (self.expected.borrow())(key)
    }

    /// Sets what tells whether the backend server is about to get a key.
    pub fn set_expected_keys(&self, expected: Expected) {
        *self.expected.borrow_mut() = expected;
    }

    async fn permitted(&self, key: Key, call: &Call, limit: Instant) -> bool {
        let now = Instant::now();
        let objective = Duration::from_millis(call.objective_ms.into());
        let times =
            |queue: &AdmissionQueue| queue.service_times.estimate(call.route.0, objective, now);
        let cost = times(&self.queue.borrow());
        let time = limit.since(now + cost).mul_f64(PERMISSION_SHARE);
        let end = now + time.min(PERMISSION_WAIT);
        loop {
            let granted = self.ranges_changed.notified();
            let now = Instant::now();
            if self.granted_ranges.borrow().contains(key, now) {
                return true;
            }
            let hopeless = now >= end || !self.is_expected(key);
            if hopeless || time::timeout(end.left(), granted).await.is_err() {
                return false;
            }
        }
    }

    fn refuse(&self, call: &Call, cause: Cause, wait_ms: u32, waited: Duration) -> Outcome {
        let load = self.load();
        tracing::info!(event = 561, id = %call.id, cause = cause.name(), wait_ms, waited_ms = waited.as_millis(), left_ms = call.left_ms, running = load.running, queued = load.queued, service_ms = load.service_ms, "the dispatcher did not run a request");
        Outcome::NotRun(Failure::before_send(cause, wait_ms))
    }

    async fn serve(self: Rc<Self>, call: Call, arrived: Instant, started: &Cell<bool>) -> Outcome {
        let limit = arrived + Duration::from_millis(call.left_ms.into());
        let waited = || Instant::now().since(arrived);
        if let Err(cause) = self.open(&call.service) {
            return self.refuse(&call, cause, 0, waited());
        }
        if let Some(key) = call.key {
            let keyed = self.backend.borrow().as_ref().is_some_and(|b| b.keyed);
            if keyed && !self.permitted(key, &call, limit).await {
                return self.refuse(&call, Cause::NotHolder, PERMISSION_PAUSE_MS, waited());
            }
            self.heat.borrow_mut().record(key);
        }
        let ticket = AdmissionRequest {
            rank: Rank::new(
                call.priority,
                Duration::from_millis(call.objective_ms.into()),
            ),
            kind: call.route.0,
            soft_deadline: arrived + Duration::from_millis(call.aim_ms.into()),
            deadline: limit,
        };
        let mut place = match self.admit(ticket).await {
            Ok(place) => place,
            Err((cause, wait)) => {
                return self.refuse(&call, cause, clock::millis(wait), waited());
            }
        };
        let backend = match self.open(&call.service) {
            Ok(backend) => backend,
            Err(cause) => return self.refuse(&call, cause, 0, waited()),
        };
        if let Some(key) = call.key.filter(|_| backend.keyed)
            && !self.granted_ranges.borrow().contains(key, Instant::now())
        {
            return self.refuse(&call, Cause::NotHolder, PERMISSION_PAUSE_MS, waited());
        }
        started.set(true);
        let begun = Instant::now();
        let done = self.send(&call, &backend, limit).await;
        let took = Instant::now().since(begun);
        place.end = failure_rate::completion(&done);
        self.settle(&call, done, took)
    }

    async fn admit(self: &Rc<Self>, ticket: AdmissionRequest) -> Result<Place, (Cause, Duration)> {
        let verdict = self.queue.borrow_mut().admit(ticket, Instant::now());
        match verdict {
            AdmissionDecision::Admit => {}
            AdmissionDecision::Reject(wait) => return Err((Cause::Full, wait)),
            AdmissionDecision::Enqueue(id) => {
                let (tell, told) = oneshot::channel();
                self.waiters.borrow_mut().insert(id, tell);
                let mut waiting = Waiting {
                    dispatcher: self,
                    id,
                    kind: ticket.kind,
                    told,
                    done: false,
                };
                let go = (&mut waiting.told).await;
                waiting.done = true;
                if !matches!(go, Ok(Go::Start)) {
                    return Err((Cause::Expired, Duration::ZERO));
                }
            }
        }
        Ok(Place {
            dispatcher: Rc::clone(self),
            kind: ticket.kind,
            begun: Instant::now(),
            end: Completion::Interrupted,
        })
    }

    async fn send(
        &self,
        call: &Call,
        backend: &Backend,
        limit: Instant,
    ) -> Result<Response, SendError> {
        let order = adapter::RequestMetadata {
            left_ms: clock::millis(limit.left()),
            backend: &backend.holder.backend,
            origin: &call.origin,
        };
        let mut headers = call.headers.clone();
        headers.extend(self.adapter.metadata_headers(order));
        let bytes = http::write_request(&call.method, &call.target, &headers, &call.body);
        let request = backend::Request {
            id: &call.id,
            method: &call.method,
            repeat: call.repeat,
            bytes: &bytes,
        };
        self.pool
            .send(backend.address, &request, limit + OVERTIME)
            .await
    }

    fn settle(&self, call: &Call, done: Result<Response, SendError>, took: Duration) -> Outcome {
        let outcome = match done {
            Ok(response) => {
                self.count(failure_rate::is_failure(response.status));
                return Outcome::Answered(response);
            }
            Err(SendError::NotSent(cause)) => {
                self.failures.borrow_mut().set(UNREACHABLE, Instant::now());
                Outcome::NotRun(Failure::before_send(cause, UNREACHABLE_PAUSE_MS))
            }
            Err(SendError::NotRun(cause)) => {
                self.count(true);
                Outcome::NotRun(Failure {
                    arrived: true,
                    ..Failure::before_send(cause, UNREACHABLE_PAUSE_MS)
                })
            }
            Err(SendError::Unknown(cause)) => {
                self.count(cause != Cause::Timeout);
                Outcome::Unknown(Failure::after_send(cause))
            }
        };
        tracing::info!(event = 562, id = %call.id, outcome = ?outcome, took_ms = took.as_millis(), failing = self.failure_rate(), "the backend server did not answer a request");
        outcome
    }
}
