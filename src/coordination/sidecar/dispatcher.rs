//! Dispatches requests to the local backend server, within its concurrency limit.
//!
//! Only this node sends requests to the backend server, so the dispatcher alone decides how many run
//! and in which order they start. It also checks whether the backend server is draining and whether
//! it holds the grant for a key.

mod backend_state;
mod warmup_state;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time;

use crate::coordination::sidecar::admission::{
    AdmissionDecision, AdmissionId, AdmissionQueue, AdmissionRequest, Dequeued, Rank,
};
use crate::coordination::sidecar::evacuation::Evacuations;
use crate::coordination::sidecar::failure_rate;
use crate::coordination::sidecar::granted_ranges::GrantedRanges;
use crate::coordination::sidecar::isolation::Isolation;
use crate::coordination::sidecar::local_backend::Backend;
use crate::coordination::sidecar::nested_calls::RunningDeadlines;
use crate::coordination::sidecar::quarantine::Verdict;
use crate::coordination::sidecar::service_times::Completion;
use crate::coordination::sidecar::signals::SignalTracker;
use crate::metrics::Metrics;
use crate::protocol::adapter::{self, Adapter};
use crate::protocol::http;
use crate::protocol::mesh::{
    BackendInfo, Call, Cause, Failure, Health, Load, Outcome, Reminder, Response,
};
use crate::state::clock::{self, Instant};
use crate::state::decayed_average::DecayedAverage;
use crate::state::key_rates::{KeyRateReport, KeyRates};
use crate::state::keyspace::Key;
use crate::transport::sidecar::backend::{self, Pool, SendError};
use crate::transport::sidecar::byte_budget::ByteBudget;
use crate::transport::sidecar::peer_server::Job;

/// Weight of the newest request in the failure rate.
const FAILURE_WEIGHT: f64 = 0.06;

/// Time constant with which the failure rate decays without requests, so that a backend server that
/// has recovered is tried again.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(4);

/// Failure rate after a refused connection.
const UNREACHABLE_FAILURE_RATE: f64 = 0.9;

/// Longest wait of a request for a grant that the backend server is about to get; a little longer
/// than the heartbeat interval.
const GRANT_WAIT: Duration = Duration::from_millis(1100);

/// Maximum length of that wait, as a share of a request's remaining time less its service time.
const GRANT_WAIT_SHARE: f64 = 0.7;

/// Maximum age of the last heartbeat at which requests wait for a grant with the next one.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(1500);

/// Retry delay, in milliseconds, of a request whose key the backend server has no grant for.
const NO_GRANT_RETRY_MS: u32 = 300;

/// Retry delay, in milliseconds, of a request to a backend server that can't be reached or has
/// refused it.
const UNREACHABLE_RETRY_MS: u32 = 200;

/// Time after a request's deadline for which its response is still awaited; the backend server's
/// own response to an expired deadline arrives within it.
const RESPONSE_GRACE: Duration = Duration::from_millis(80);

/// Share of the drain timeout within which new requests may still be started.
const DRAIN_ADMIT_SHARE: f64 = 0.6;

/// Returns whether the backend server is about to get the grant for a key.
type ExpectedKeys = Box<dyn Fn(Key) -> bool>;

/// Wake-up of a queued request.
#[derive(Debug)]
enum Wakeup {
    Start,
    Expired,
    Evacuated,
}

/// Dispatcher of the node: admission queue and connection pool of the local backend server.
pub struct Dispatcher {
    adapter: Rc<dyn Adapter>,
    pool: Pool,
    drain_timeout: Cell<Duration>,
    backend: RefCell<Option<Backend>>,
    queue: RefCell<AdmissionQueue>,
    waiters: RefCell<HashMap<AdmissionId, oneshot::Sender<Wakeup>>>,
    /// Ranges of keys that the backend server holds a grant for.
    pub granted_ranges: RefCell<GrantedRanges>,
    /// Notified when [`Dispatcher::granted_ranges`] has changed.
    pub ranges_changed: Notify,
    expected_keys: RefCell<ExpectedKeys>,
    /// Average share of failed requests.
    failure_average: RefCell<DecayedAverage>,
    signals: RefCell<SignalTracker>,
    /// Time of the last log line about a load that can't be used.
    load_logged: Cell<Option<Instant>>,
    /// What other nodes remember of backend servers that haven't registered with this process, and
    /// when they said so.
    reminders: RefCell<VecDeque<(Reminder, Instant)>>,
    /// Evacuated failure domains.
    pub evacuations: Rc<Evacuations>,
    /// Requests that crash backend servers.
    pub isolation: Isolation,
    /// Deadlines of the requests that the backend server runs.
    deadlines: RunningDeadlines,
    /// Notified when a queued request waits for the rate limit.
    throttled: Notify,
    /// Notified when a health check of the backend server is needed.
    pub check_due: Notify,
    metrics: Metrics,
    key_rates: RefCell<KeyRates>,
    stopping: Cell<bool>,
    /// Notified when the configuration or the state of the backend server changes.
    pub state_changed: Rc<Notify>,
}

impl std::fmt::Debug for Dispatcher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Dispatcher")
            .field("backend", &self.backend)
            .field("queue", &self.queue)
            .finish_non_exhaustive()
    }
}

/// Slot of a running request, released when dropped.
struct Permit {
    dispatcher: Rc<Dispatcher>,
    kind: u32,
    started: Instant,
    completion: Completion,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut queue = self.dispatcher.queue.borrow_mut();
        let dequeued = queue.finish(self.kind, self.started, self.completion, Instant::now());
        drop(queue);
        self.dispatcher.dispatch(dequeued);
    }
}

/// Queue position of a waiting request, released when dropped.
struct QueueGuard<'a> {
    dispatcher: &'a Dispatcher,
    id: AdmissionId,
    kind: u32,
    wakeup: oneshot::Receiver<Wakeup>,
    done: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.dispatcher.waiters.borrow_mut().remove(&self.id);
        let mut queue = self.dispatcher.queue.borrow_mut();
        match self.wakeup.try_recv() {
            // It was started while its caller disconnected.
            Ok(Wakeup::Start) => {
                let now = Instant::now();
                let dequeued = queue.finish(self.kind, now, Completion::Failed, now);
                drop(queue);
                self.dispatcher.dispatch(dequeued);
            }
            Ok(Wakeup::Expired | Wakeup::Evacuated) => {}
            Err(_) => {
                queue.cancel(self.id);
            }
        }
    }
}

impl Dispatcher {
    /// Creates a dispatcher without a backend server; `state_changed` is notified when the backend
    /// server is replaced, starts to drain or when the node stops.
    #[must_use]
    pub fn new(
        adapter: Rc<dyn Adapter>,
        drain_timeout: Duration,
        state_changed: Rc<Notify>,
        evacuations: Rc<Evacuations>,
        metrics: Metrics,
    ) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            pool: Pool::new(Rc::clone(&adapter)),
            adapter,
            drain_timeout: Cell::new(drain_timeout),
            backend: RefCell::new(None),
            queue: RefCell::new(AdmissionQueue::new(0)),
            waiters: RefCell::new(HashMap::new()),
            granted_ranges: RefCell::new(GrantedRanges::default()),
            ranges_changed: Notify::new(),
            expected_keys: RefCell::new(Box::new(|_| false)),
            failure_average: RefCell::new(DecayedAverage::new(
                FAILURE_WEIGHT,
                FAILURE_DECAY_TIME,
                now,
            )),
            signals: RefCell::default(),
            load_logged: Cell::new(None),
            reminders: RefCell::default(),
            evacuations,
            isolation: Isolation::default(),
            deadlines: RunningDeadlines::default(),
            throttled: Notify::new(),
            check_due: Notify::new(),
            metrics,
            key_rates: RefCell::new(KeyRates::new(now)),
            stopping: Cell::new(false),
            state_changed,
        })
    }

    /// Returns the latest description of the backend server.
    #[must_use]
    pub fn backend(&self) -> Option<Backend> {
        self.backend.borrow().clone()
    }

    /// Returns the drain timeout of the backend server.
    #[must_use]
    pub fn drain_timeout(&self) -> Duration {
        self.drain_timeout.get()
    }

    /// Sets the budget for responses of the backend server.
    pub fn set_budget(&self, budget: &Rc<ByteBudget>) {
        self.pool.set_budget(budget);
    }

    /// Sets the drain timeout of the backend server.
    pub fn set_drain_timeout(&self, timeout: Duration) {
        self.drain_timeout.set(timeout);
    }

    /// Rejects further calls, because the node is about to stop.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.state_changed.notify_waiters();
    }

    /// Returns the number of running and queued requests.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let queue = self.queue.borrow();
        queue.running() + queue.waiting()
    }

    /// Returns whether the backend server runs a request with a deadline, so that a request of this host
    /// with the same one is a call that it makes for it.
    #[must_use]
    pub fn runs_until(&self, deadline: Instant) -> bool {
        self.deadlines.contains(deadline)
    }

    /// Returns the average share of failed requests.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_average.borrow().get(Instant::now())
    }

    fn record_result(&self, failed: bool) {
        let sample = f64::from(u8::from(failed));
        self.failure_average
            .borrow_mut()
            .add(sample, Instant::now());
    }

    /// Returns the state of the backend server.
    #[must_use]
    pub fn health(&self) -> Health {
        let backend = self.backend.borrow();
        backend.as_ref().map_or(Health::Absent, Backend::health)
    }

    /// Returns the backend server as it is advertised to other nodes.
    #[must_use]
    pub fn backend_info(&self) -> BackendInfo {
        let backend = self.backend.borrow();
        backend
            .as_ref()
            .map_or_else(BackendInfo::default, Backend::info)
    }

    /// Returns the load as it is reported to other nodes; fields that the dispatcher doesn't know
    /// keep their defaults.
    #[must_use]
    pub fn load(&self) -> Load {
        let backend = self.backend.borrow();
        let queue = self.queue.borrow();
        let now = Instant::now();
        let millis = |mean: Option<Duration>| mean.map_or(0.0, |d| d.as_secs_f32() * 1000.0);
        let saturate = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        let warmup = backend
            .as_ref()
            .map_or(Duration::ZERO, |b| b.warmup_end.left())
            .max(self.warmup_left(now));
        Load {
            health: self.health(),
            slots: backend.as_ref().map_or(0, |b| b.slots),
            running: saturate(queue.running()),
            queued: saturate(queue.waiting()),
            service_ms: millis(queue.service_times.mean(now)),
            steady_ms: millis(queue.service_times.steady_mean(now)),
            slowdown: queue.service_times.speed.stated(now).unwrap_or_default(),
            failing: self.failure_rate(),
            warmup_ms: clock::millis(warmup),
            stopping: self.stopping.get(),
            limit: self.signals.borrow().limit(),
            limit_room: queue.limit_room(now),
            cold_rate: self.cold_rate().unwrap_or_default(),
            ..Load::default()
        }
    }

    /// Returns the request rates of the keys since the last report.
    pub fn report_key_rates(&self) -> KeyRateReport {
        self.key_rates.borrow_mut().report(Instant::now())
    }

    /// Rejects queued requests that can no longer complete in time, and closes old connections.
    pub fn tick(&self) {
        self.expire();
        self.pool.prune();
    }

    /// Rejects the queued requests if the failure domain of the backend server is evacuated.
    pub fn refuse_evacuated(&self) {
        let keyed = self.backend.borrow().as_ref().is_some_and(|b| b.keyed);
        let refused = self.evacuations.check_local(keyed, Instant::now()).is_err();
        if !refused || self.waiters.borrow().is_empty() {
            return;
        }
        let waiters = self.waiters.take();
        tracing::info!(
            event = 587,
            queued = waiters.len(),
            "refused queued requests, because the failure domain is evacuated"
        );
        for (id, waiter) in waiters {
            self.queue.borrow_mut().cancel(id);
            // The receiver is gone if the request's caller has disconnected.
            let _delivered = waiter.send(Wakeup::Evacuated);
        }
    }

    fn expire(&self) {
        let expired = self.queue.borrow_mut().expire(Instant::now());
        self.dispatch(Dequeued {
            expired,
            ..Dequeued::default()
        });
    }

    fn dispatch(&self, dequeued: Dequeued) {
        for id in dequeued.expired {
            if let Some(waiter) = self.waiters.borrow_mut().remove(&id) {
                // The receiver is gone if the request's caller has disconnected.
                let _delivered = waiter.send(Wakeup::Expired);
            }
        }
        for id in dequeued.started {
            let waiter = self.waiters.borrow_mut().remove(&id);
            let woken = waiter.is_some_and(|w| w.send(Wakeup::Start).is_ok());
            debug_assert!(woken, "a dropped request removes itself from the queue");
        }
        self.notify_throttled();
        self.notify_check();
    }

    fn notify_throttled(&self) {
        if self.queue.borrow().next_start(Instant::now()).is_some() {
            self.throttled.notify_one();
        }
    }

    /// Starts queued requests as the rate limit of the backend server allows.
    pub async fn run_throttled(&self) {
        loop {
            let next = self.queue.borrow().next_start(Instant::now());
            match next {
                None => self.throttled.notified().await,
                Some(wait) => {
                    tokio::select! {
                        () = time::sleep(wait) => {}
                        () = self.throttled.notified() => {}
                    }
                    let dequeued = self.queue.borrow_mut().dequeue(Instant::now());
                    if dequeued != Dequeued::default() {
                        self.dispatch(dequeued);
                    }
                }
            }
        }
    }

    /// Creates the job that executes a call.
    #[must_use]
    pub fn create_job(self: &Rc<Self>, call: Call) -> Job {
        let started = Rc::new(Cell::new(false));
        let repeat = call.repeat;
        let started_flag = Rc::clone(&started);
        let dispatcher = Rc::clone(self);
        let arrived = Instant::now();
        Job {
            outcome: Box::pin(async move { dispatcher.serve(call, arrived, &started_flag).await }),
            started,
            repeat,
        }
    }

    /// Returns the backend server if it may start a request of a service now.
    fn available_backend(&self, service: &str) -> Result<Backend, Cause> {
        let backend = self.backend().ok_or(Cause::NoBackend)?;
        if backend.service != service {
            return Err(Cause::NoBackend);
        }
        if self.stopping.get() {
            return Err(Cause::Stopping);
        }
        self.evacuations
            .check_local(backend.keyed, Instant::now())?;
        match backend.draining_since {
            None => Ok(backend),
            Some(since) => {
                let window = self.drain_timeout.get().mul_f64(DRAIN_ADMIT_SHARE);
                let open = backend.keyed && Instant::now().since(since) < window;
                open.then_some(backend).ok_or(Cause::Leaving)
            }
        }
    }

    /// Returns whether the backend server is about to get the grant for a key with its next
    /// heartbeat.
    fn is_expected(&self, key: Key) -> bool {
        let last_heartbeat = self.backend.borrow().as_ref().map(|b| b.last_heartbeat);
        let silent = last_heartbeat.is_none_or(|at| Instant::now().since(at) > MAX_HEARTBEAT_AGE);
        !silent && (self.expected_keys.borrow())(key)
    }

    /// Sets the function that returns whether the backend server is about to get the grant for a
    /// key.
    pub fn set_expected_keys(&self, expected: ExpectedKeys) {
        *self.expected_keys.borrow_mut() = expected;
    }

    /// Waits for the grant for a key if it is expected soon; returns whether the backend server has
    /// it.
    async fn wait_for_grant(&self, key: Key, call: &Call, deadline: Instant) -> bool {
        let now = Instant::now();
        let objective = Duration::from_millis(call.objective_ms.into());
        let estimate =
            |queue: &AdmissionQueue| queue.service_times.estimate(call.route.0, objective, now);
        let service_time = estimate(&self.queue.borrow());
        let wait = deadline.since(now + service_time).mul_f64(GRANT_WAIT_SHARE);
        let end = now + wait.min(GRANT_WAIT);
        loop {
            let changed = self.ranges_changed.notified();
            let now = Instant::now();
            if self.granted_ranges.borrow().contains(key, now) {
                return true;
            }
            let give_up = now >= end || !self.is_expected(key);
            if give_up || time::timeout(end.left(), changed).await.is_err() {
                return false;
            }
        }
    }

    fn reject(&self, call: &Call, cause: Cause, wait_ms: u32, waited: Duration) -> Outcome {
        let load = self.load();
        tracing::info!(event = 561, id = %call.id, cause = cause.name(), wait_ms, waited_ms = waited.as_millis(), left_ms = call.left_ms, running = load.running, queued = load.queued, service_ms = load.service_ms, limit = ?self.signals.borrow().limit(), "request rejected by the dispatcher");
        Outcome::NotRun(Failure::before_send(cause, wait_ms))
    }

    async fn serve(self: Rc<Self>, call: Call, arrived: Instant, started: &Cell<bool>) -> Outcome {
        let call = Rc::new(call);
        let deadline = arrived + Duration::from_millis(call.left_ms.into());
        let waited = || Instant::now().since(arrived);
        if let Some(wait) = self.isolation.refuses(&call) {
            return self.reject(&call, Cause::Quarantined, clock::millis(wait), waited());
        }
        if let Err(cause) = self.available_backend(&call.service) {
            return self.reject(&call, cause, 0, waited());
        }
        if let Some(key) = call.key {
            let keyed = self.backend.borrow().as_ref().is_some_and(|b| b.keyed);
            if keyed && !self.wait_for_grant(key, &call, deadline).await {
                return self.reject(&call, Cause::NotHolder, NO_GRANT_RETRY_MS, waited());
            }
            self.key_rates.borrow_mut().record(key);
        }
        let request = AdmissionRequest {
            rank: Rank::new(
                call.priority,
                Duration::from_millis(call.objective_ms.into()),
            ),
            kind: call.route.0,
            soft_deadline: arrived + Duration::from_millis(call.aim_ms.into()),
            deadline,
            nested: call.nested,
        };
        let mut lease = None;
        let mut permit = loop {
            if lease.is_none() {
                lease = match self.isolation.enter(&call, deadline).await {
                    Ok(lease) => lease,
                    Err(f) => return self.reject(&call, f.cause, f.wait_ms, waited()),
                };
            }
            let mut permit = match self.admit(request).await {
                Ok(permit) => permit,
                Err((cause, wait)) => {
                    return self.reject(&call, cause, clock::millis(wait), waited());
                }
            };
            // Others may have run it while it was queued; it waits for the permit without a slot.
            if lease.is_some() || self.isolation.check(&call) == Verdict::Clear {
                break permit;
            }
            permit.completion = Completion::Failed;
        };
        let backend = match self.available_backend(&call.service) {
            Ok(backend) => backend,
            Err(cause) => return self.reject(&call, cause, 0, waited()),
        };
        if let Some(key) = call.key.filter(|_| backend.keyed)
            && !self.granted_ranges.borrow().contains(key, Instant::now())
        {
            return self.reject(&call, Cause::NotHolder, NO_GRANT_RETRY_MS, waited());
        }
        if lease.as_mut().is_some_and(|lease| !lease.start()) {
            return self.reject(&call, Cause::Isolated, UNREACHABLE_RETRY_MS, waited());
        }
        started.set(true);
        let sent = Instant::now();
        let unpermitted = lease
            .is_none()
            .then(|| self.isolation.register(&call, deadline));
        let result = self.send(&call, &backend, deadline).await;
        drop(unpermitted);
        let took = Instant::now().since(sent);
        permit.completion = failure_rate::completion(&result);
        self.isolation
            .record_result(&call, &backend, lease, &result);
        self.record_outcome(&call, result, took)
    }

    async fn admit(
        self: &Rc<Self>,
        request: AdmissionRequest,
    ) -> Result<Permit, (Cause, Duration)> {
        let decision = self.queue.borrow_mut().admit(request, Instant::now());
        match decision {
            AdmissionDecision::Admit => self.notify_check(),
            AdmissionDecision::Reject(wait) => return Err((Cause::Full, wait)),
            AdmissionDecision::Throttle(wait) => return Err((Cause::Throttled, wait)),
            AdmissionDecision::Enqueue(id) => {
                let (waiter, wakeup) = oneshot::channel();
                self.waiters.borrow_mut().insert(id, waiter);
                if self.queue.borrow().has_displaced(id) {
                    self.expire();
                }
                self.notify_throttled();
                self.notify_check();
                let mut guard = QueueGuard {
                    dispatcher: self,
                    id,
                    kind: request.kind,
                    wakeup,
                    done: false,
                };
                let woken = (&mut guard.wakeup).await;
                guard.done = true;
                if matches!(woken, Ok(Wakeup::Evacuated)) {
                    return Err((Cause::Evacuated, Duration::ZERO));
                }
                if !matches!(woken, Ok(Wakeup::Start)) {
                    let queue = self.queue.borrow();
                    return Err(match queue.time_to_room(&request, Instant::now()) {
                        (wait, true) => (Cause::Throttled, wait),
                        (_, false) => (Cause::Expired, Duration::ZERO),
                    });
                }
            }
        }
        Ok(Permit {
            dispatcher: Rc::clone(self),
            kind: request.kind,
            started: Instant::now(),
            completion: Completion::Interrupted,
        })
    }

    async fn send(
        &self,
        call: &Call,
        backend: &Backend,
        deadline: Instant,
    ) -> Result<Response, SendError> {
        let sent = Instant::now();
        let metadata = adapter::RequestMetadata {
            left_ms: clock::millis(deadline.left()),
            backend: &backend.holder.backend,
            origin: &call.origin,
        };
        let mut headers = call.headers.clone();
        headers.extend(self.adapter.metadata_headers(metadata));
        let (method, target) = (&call.method, &call.target);
        let mut bytes = http::write_request_head(method, target, &headers, call.body.len());
        // A large body is written from where it is.
        let (joined, body) = if call.body.len() <= http::JOINED_BYTES {
            (&*call.body, &[][..])
        } else {
            (&[][..], &*call.body)
        };
        bytes.extend_from_slice(joined);
        let request = backend::Request {
            id: &call.id,
            method: &call.method,
            repeat: call.repeat,
            bytes: &bytes,
            body,
            on_signals: &|signals| self.record_signals(backend, signals, sent),
        };
        let service = [backend.service.as_str()];
        self.metrics
            .backend_requests
            .with_label_values(&service)
            .inc();
        let _running = self.deadlines.add(deadline);
        self.pool
            .send(backend.address, &request, deadline + RESPONSE_GRACE)
            .await
    }

    fn record_outcome(
        &self,
        call: &Call,
        result: Result<Response, SendError>,
        took: Duration,
    ) -> Outcome {
        let outcome = match result {
            Ok(response) => {
                self.record_result(failure_rate::is_failure(response.status));
                return Outcome::Answered(response);
            }
            Err(SendError::NotSent(cause)) => {
                self.failure_average
                    .borrow_mut()
                    .set(UNREACHABLE_FAILURE_RATE, Instant::now());
                Outcome::NotRun(Failure::before_send(cause, UNREACHABLE_RETRY_MS))
            }
            Err(SendError::NotRun(cause)) => {
                self.record_result(true);
                Outcome::NotRun(Failure {
                    arrived: true,
                    ..Failure::before_send(cause, UNREACHABLE_RETRY_MS)
                })
            }
            Err(SendError::Unknown(cause)) => {
                self.record_result(cause != Cause::Timeout);
                Outcome::Unknown(Failure::after_send(cause))
            }
        };
        let request = match &outcome {
            Outcome::Unknown(f) if f.cause == Cause::Broken => Some(call.fingerprint()),
            _ => self.isolation.fingerprint(call),
        };
        let request = request.map(tracing::field::display);
        tracing::info!(event = 562, id = %call.id, request, outcome = ?outcome, took_ms = took.as_millis(), failing = self.failure_rate(), "no response from the backend server");
        outcome
    }
}
