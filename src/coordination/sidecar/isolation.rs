//! Permits for requests under which backend servers have crashed, so that one copy at a time runs over all
//! nodes.
//!
//! The dispatcher asks for a permit before it starts a copy of a suspected request. The arbiter decides:
//! of the connected nodes and this one, the one with the highest hash of request and address. What this
//! node knows of the request goes before the question, and before a call that sends the request to another
//! node, on the same connection. Without an answer in time the copy is refused. `quarantine` has the state
//! and the rules.

mod lease;

use std::cell::RefCell;
use std::collections::HashMap;
use std::mem;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, Semaphore};
use tokio::time;
use xxhash_rust::xxh3;

pub use crate::coordination::sidecar::isolation::lease::Lease;
use crate::coordination::sidecar::isolation::lease::Stage;
use crate::coordination::sidecar::local_backend::Backend;
use crate::coordination::sidecar::membership::MembershipView;
use crate::coordination::sidecar::quarantine::{Quarantine, Verdict};
use crate::protocol::mesh::{
    Call, Cause, CrashReport, Failure, Frame, Permission, PermitRequest, Response,
};
use crate::state::clock::{self, Instant};
use crate::state::crash_evidence::{CrashEvidence, Recordable};
use crate::state::fingerprint::Fingerprint;
use crate::transport::sidecar::backend::SendError;
use crate::transport::sidecar::links::Link;

/// Longest wait of a copy for a permit; a request that only ran beside another one is usually answered,
/// and so cleared, within it.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Time limit of the arbiter's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest pause between two questions for the same copy.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Retry delay of a copy that got no permit.
const RETRY: Duration = Duration::from_millis(400);

/// Time after a request's deadline at which its run has ended.
const RUN_GRACE: Duration = Duration::from_millis(100);

/// Interval at which new connections and old entries are looked for while a request is suspected.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of the connection to a node, and of the reports that were sent over it.
type SentReports = (u64, usize);

/// Isolation of the requests that crash backend servers.
#[derive(Debug)]
pub struct Isolation {
    quarantine: RefCell<Quarantine>,
    /// Other nodes; none until the node has started.
    membership: RefCell<Option<Rc<MembershipView>>>,
    sent: RefCell<HashMap<String, SentReports>>,
    /// Requests that run here without a permit, by the number of the run, with their deadlines.
    running: RefCell<HashMap<u64, (Rc<Call>, Instant)>>,
    /// Notified when a report to other nodes is due.
    report_due: Notify,
    /// Notified when the crashes under a request that are known may have changed.
    pub evidence_changed: Notify,
    /// Notified when a suspected request may have become ready.
    changed: Notify,
    /// Permits one suspected request at a time at the local backend server, so that no two are blamed for
    /// one crash.
    lane: Semaphore,
}

impl Default for Isolation {
    fn default() -> Self {
        Self {
            quarantine: RefCell::default(),
            membership: RefCell::default(),
            sent: RefCell::default(),
            running: RefCell::default(),
            report_due: Notify::new(),
            evidence_changed: Notify::new(),
            changed: Notify::new(),
            lane: Semaphore::new(1),
        }
    }
}

/// Registration of a request that runs without a permit, ended when dropped.
#[derive(Debug)]
pub struct Unpermitted<'a> {
    isolation: &'a Isolation,
    run: u64,
}

impl Drop for Unpermitted<'_> {
    fn drop(&mut self) {
        let ended = self.isolation.running.borrow_mut().remove(&self.run);
        let request = ended.and_then(|(call, _)| self.isolation.fingerprint(&call));
        if let Some(request) = request
            && self.isolation.quarantine.borrow().contains(request)
        {
            let (run, now) = (self.run, Instant::now());
            self.isolation.update(|q| q.record_end(request, run, now));
        }
    }
}

impl Isolation {
    /// Changes what is known, and wakes those that wait for it or report it.
    fn update<T>(&self, change: impl FnOnce(&mut Quarantine) -> T) -> T {
        let result = change(&mut self.quarantine.borrow_mut());
        self.report_due.notify_one();
        self.evidence_changed.notify_one();
        self.changed.notify_waiters();
        result
    }

    /// Registers a request that runs without a permit, in case that it becomes suspected.
    #[must_use]
    pub fn register(&self, call: &Rc<Call>, deadline: Instant) -> Unpermitted<'_> {
        let run = rand::random();
        let entry = (Rc::clone(call), deadline);
        self.running.borrow_mut().insert(run, entry);
        Unpermitted {
            isolation: self,
            run,
        }
    }

    /// Tells other nodes of the copies that run here of requests that have become suspected.
    fn report_running(&self, suspected: &[Fingerprint]) {
        if suspected.is_empty() {
            return;
        }
        let now = Instant::now();
        for (run, (call, deadline)) in &*self.running.borrow() {
            let request = call.fingerprint();
            if suspected.contains(&request) {
                let left = deadline.since(now) + RUN_GRACE;
                let mut quarantine = self.quarantine.borrow_mut();
                quarantine.record_running(request, *run, left, now);
            }
        }
    }

    /// Returns the fingerprint of a request while any is suspected.
    #[must_use]
    pub fn fingerprint(&self, call: &Call) -> Option<Fingerprint> {
        (!self.quarantine.borrow().is_empty()).then(|| call.fingerprint())
    }

    /// Returns whether and when a request may run.
    #[must_use]
    pub fn check(&self, call: &Call) -> Verdict {
        let request = self.fingerprint(call);
        request.map_or(Verdict::Clear, |request| {
            self.quarantine.borrow().check(request, Instant::now())
        })
    }

    /// Suspects a request that this node sends again after a backend server broke off under it.
    pub fn suspect_retry(&self, call: &Call) {
        let request = call.fingerprint();
        let known = self.quarantine.borrow().contains(request);
        self.update(|q| q.suspect_retry(request, Instant::now()));
        if !known {
            // The report of the crash doesn't make it a suspect here any more.
            self.report_running(&[request]);
        }
    }

    /// Sends a node what is known of a request before the request itself.
    pub fn report_before(&self, link: &Link, call: &Call) {
        if let Some(request) = self.fingerprint(call) {
            self.report_of(link, request);
        }
    }

    fn report_of(&self, link: &Link, request: Fingerprint) {
        let quarantine = self.quarantine.borrow();
        let reports = quarantine.reports_of(request, Instant::now());
        if !reports.is_empty() {
            link.send(Frame::Crashes(reports));
        }
    }

    /// Returns how long a request is quarantined.
    #[must_use]
    pub fn refuses(&self, call: &Call) -> Option<Duration> {
        match self.check(call) {
            Verdict::Refused(wait) => Some(wait),
            Verdict::Clear | Verdict::Ready | Verdict::Busy(_) => None,
        }
    }

    /// Waits a short time for the permit of a request; returns none if the request needs none.
    ///
    /// # Errors
    ///
    /// Returns the failure of a request that may not run now.
    pub async fn enter(
        &self,
        call: &Call,
        deadline: Instant,
    ) -> Result<Option<Lease<'_>>, Failure> {
        let end = deadline.min(Instant::now() + MAX_WAIT);
        loop {
            let changed = self.changed.notified();
            let wait = match self.check(call) {
                Verdict::Clear => return Ok(None),
                Verdict::Refused(wait) => return Err(refusal(Cause::Quarantined, wait)),
                Verdict::Busy(wait) => wait,
                Verdict::Ready => match self.acquire(call.fingerprint(), deadline, end).await {
                    Ok(lease) => {
                        tracing::info!(event = 590, id = %call.id, request = %lease.request, "a suspected request got a permit to run");
                        return Ok(Some(lease));
                    }
                    Err(wait) => wait,
                },
            };
            if !end.is_ahead() {
                return Err(refusal(Cause::Isolated, RETRY));
            }
            tokio::select! {
                () = changed => {}
                () = time::sleep(wait.max(MIN_PAUSE).min(end.left())) => {}
            }
        }
    }

    /// Asks for a permit; returns how long to wait if there is none.
    async fn acquire(
        &self,
        request: Fingerprint,
        deadline: Instant,
        end: Instant,
    ) -> Result<Lease<'_>, Duration> {
        let changed = self.changed.notified();
        let lane = tokio::select! {
            lane = self.lane.acquire() => lane.map_err(|_| MAX_WAIT)?,
            // The request may be cleared, or run elsewhere.
            () = changed => return Err(Duration::ZERO),
            () = time::sleep(end.left()) => return Err(Duration::ZERO),
        };
        let run = rand::random();
        let mut lease = Lease {
            isolation: self,
            _lane: lane,
            request,
            run,
            stage: Stage::Open,
        };
        let left = deadline.left() + RUN_GRACE;
        match self.ask(request, run, left).await {
            Some(Permission::Granted) => {
                let now = Instant::now();
                self.update(|quarantine| quarantine.record_run(request, run, left, now));
                Ok(lease)
            }
            Some(Permission::Denied { wait_ms }) => {
                lease.stage = Stage::Settled;
                Err(Duration::from_millis(wait_ms.into()))
            }
            // The arbiter may have granted it; dropping the lease tells that it doesn't run.
            None => Err(ASK_TIMEOUT),
        }
    }

    async fn ask(&self, request: Fingerprint, run: u64, left: Duration) -> Option<Permission> {
        let ask = PermitRequest {
            request,
            run,
            left_ms: clock::millis(left),
        };
        let Some(arbiter) = self.arbiter(request) else {
            return Some(self.decide(ask));
        };
        // The arbiter must know what this node knows before it decides.
        self.report_of(&arbiter, request);
        let permission = arbiter.ask(ask, ASK_TIMEOUT).await;
        if permission.is_none() {
            tracing::info!(event = 591, %request, arbiter = %arbiter.node, "no answer from the node that decides whether a suspected request may run");
        }
        permission
    }

    /// Returns the connection to the arbiter of a request; none if this node is the arbiter.
    fn arbiter(&self, request: Fingerprint) -> Option<Rc<Link>> {
        let membership = self.membership.borrow().clone()?;
        let links = membership.links();
        let connected = links.into_iter().filter(|link| link.is_connected());
        let best = connected.max_by_key(|link| weight(request, &link.node))?;
        let own = weight(request, membership.node());
        (weight(request, &best.node) > own).then_some(best)
    }

    /// Decides as the arbiter whether a copy of a request may run.
    pub fn decide(&self, ask: PermitRequest) -> Permission {
        let left = Duration::from_millis(ask.left_ms.into());
        let mut quarantine = self.quarantine.borrow_mut();
        let verdict = quarantine.grant(ask.request, ask.run, left, Instant::now());
        if let Verdict::Busy(_) | Verdict::Refused(_) = verdict {
            tracing::info!(event = 592, request = %ask.request, verdict = ?verdict, "denied a suspected request the permit to run");
        }
        verdict.into()
    }

    /// Records the end of a request that was sent to the local backend server.
    pub fn record_result(
        &self,
        call: &Call,
        backend: &Backend,
        lease: Option<Lease<'_>>,
        result: &Result<Response, SendError>,
    ) {
        let (now, alone) = (Instant::now(), lease.is_some());
        match result {
            Err(SendError::Unknown(Cause::Broken)) => {
                let request = call.fingerprint();
                let (life, slots) = (backend.holder.life(), usize::from(backend.slots));
                let is_new = !self.quarantine.borrow().contains(request);
                let crashes = self
                    .update(|quarantine| quarantine.record_crash(request, life, alone, slots, now));
                if is_new {
                    self.report_running(&[request]);
                }
                tracing::info!(event = 568, id = %call.id, %request, backend = %backend.holder.backend, born = backend.holder.born, crashes, "the backend server broke off while it ran a request");
            }
            Ok(_) => {
                let request = self.fingerprint(call);
                if let Some(request) = request
                    && self.quarantine.borrow().check(request, now) != Verdict::Clear
                    && self.update(|quarantine| quarantine.record_answer(request, now))
                {
                    tracing::info!(event = 569, id = %call.id, %request, "a request was answered under which a backend server had broken off");
                }
            }
            Err(_) => {}
        }
        if let Some(mut lease) = lease {
            lease.stage = match result {
                Ok(_) | Err(SendError::Unknown(Cause::Broken)) => Stage::Settled,
                // A backend server that didn't answer in time may still run it.
                Err(SendError::Unknown(Cause::Timeout | Cause::Endless)) => Stage::Sent,
                Err(_) => Stage::Open,
            };
        }
    }

    /// Applies the reports of another node.
    pub fn apply(&self, reports: Vec<CrashReport>) {
        let mut suspected = Vec::new();
        let mut quarantine = self.quarantine.borrow_mut();
        for report in reports {
            if !quarantine.contains(report.request) {
                suspected.push(report.request);
            }
            quarantine.apply(report, Instant::now());
        }
        suspected.retain(|request| quarantine.contains(*request));
        drop(quarantine);
        self.report_running(&suspected);
        self.report_due.notify_one();
        self.evidence_changed.notify_one();
        self.changed.notify_waiters();
    }

    /// Adds the evidence of earlier processes against a request.
    pub fn restore(&self, request: Fingerprint, evidence: &CrashEvidence) {
        let known = self.quarantine.borrow().contains(request);
        self.update(|q| q.restore(request, evidence, Instant::now()));
        if !known {
            self.report_running(&[request]);
        }
    }

    /// Returns whether no request is suspected.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.quarantine.borrow().is_empty()
    }

    /// Returns the suspects of which a life is known.
    #[must_use]
    pub fn recordable(&self, now: Instant) -> Vec<Recordable> {
        self.quarantine.borrow().recordable(now)
    }

    /// Returns whether this node is the arbiter of a request.
    #[must_use]
    pub fn is_arbiter(&self, request: Fingerprint) -> bool {
        self.membership.borrow().is_some() && self.arbiter(request).is_none()
    }

    /// Sends reports to other nodes as soon as there are any.
    pub async fn run(&self, membership: Rc<MembershipView>) {
        *self.membership.borrow_mut() = Some(Rc::clone(&membership));
        loop {
            if self.quarantine.borrow().is_empty() {
                let count = self.quarantine.borrow().report_count();
                self.report_due.notified().await;
                self.skip_reports(&membership, count);
            } else {
                tokio::select! {
                    () = self.report_due.notified() => {}
                    () = membership.report_changed.notified() => {}
                    () = time::sleep(CHECK_INTERVAL) => {}
                }
            }
            let now = Instant::now();
            self.quarantine.borrow_mut().prune(now);
            let links = membership.links();
            for link in &links {
                self.report_to(link, now);
            }
            let mut sent = self.sent.borrow_mut();
            sent.retain(|node, _| links.iter().any(|link| link.node == *node));
        }
    }

    /// Marks the first `count` reports as sent over all connections, after a time in which nothing was known.
    /// Otherwise each node would send all others what one of them has just sent to all.
    fn skip_reports(&self, membership: &MembershipView, count: usize) {
        let links = membership.links();
        let connected = links.iter().filter(|link| link.is_connected());
        let sent = connected.map(|link| (link.node.clone(), (link.connection_number(), count)));
        *self.sent.borrow_mut() = sent.collect();
    }

    /// Sends a node what this one has seen since, and all that is known over a connection that is new.
    fn report_to(&self, link: &Link, now: Instant) {
        // The last reports may be lost with a connection.
        if !link.is_connected() {
            return;
        }
        let quarantine = self.quarantine.borrow();
        let (connection, count) = (link.connection_number(), quarantine.report_count());
        let mut sent = self.sent.borrow_mut();
        let current = (connection, count);
        let before = match sent.get_mut(&link.node) {
            Some(sent) => Some(mem::replace(sent, current)),
            None => sent.insert(link.node.clone(), current),
        };
        let reports = match before {
            Some((known, reported)) if known == connection => quarantine.reports_after(reported),
            _ => quarantine.all_reports(now),
        };
        if !reports.is_empty() {
            link.send(Frame::Crashes(reports));
        }
    }
}

/// Returns the weight of a node in the selection of a request's arbiter.
fn weight(request: Fingerprint, node: &str) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_bytes(), request.0)
}

fn refusal(cause: Cause, wait: Duration) -> Failure {
    Failure::before_send(cause, clock::millis(wait))
}

impl From<Verdict> for Permission {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Clear | Verdict::Ready => Self::Granted,
            Verdict::Busy(wait) | Verdict::Refused(wait) => Self::Denied {
                wait_ms: clock::millis(wait),
            },
        }
    }
}
