//! Places that a request may be sent to.
//!
//! A request without a key goes to any backend server of its service, by load reports. One with a
//! key goes to the holder of the key and nowhere else; it waits for a holder for part of its time,
//! but not if others have just waited for the same range in vain.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::load_balancing::{self, Candidate};
use crate::coordination::sidecar::membership::MembershipView;
use crate::coordination::sidecar::request_context::RequestContext;
use crate::coordination::sidecar::tables::Tables;
use crate::protocol::mesh::{Cause, Health, Load, Outcome};
use crate::state::clock::Instant;
use crate::state::keyspace::Key;
use crate::state::routes::RouteId;
use crate::transport::sidecar::links::Link;

/// Part of its time for which a request waits for a key without a holder.
const PARKED_SHARE: f64 = 0.55;

/// Part of the objective for which it waits if others have just waited in vain.
const BLOCKED_SHARE: f64 = 0.12;

/// Time after a wait in vain in which others wait less.
const BLOCKED_TIME: Duration = Duration::from_millis(600);

/// Pause before the holder of a key is tried again after it could not be reached.
const SAME_PAUSE: Duration = Duration::from_millis(120);

/// Longest wait for a first node of a service.
const NODE_WAIT: Duration = Duration::from_millis(150);

/// Place to send a request to.
#[derive(Debug)]
pub enum Destination {
    /// Backend server beside this node.
    Local,
    /// Backend server beside another node.
    Remote(Rc<Link>),
}

/// Place with the age of what it was chosen by.
#[derive(Debug)]
pub struct Target {
    /// Place.
    pub destination: Destination,
    /// Revision of the ownership table, 0 if none was used.
    pub table_revision: u64,
    /// Age of the load report, in milliseconds.
    pub report_ms: u128,
}

impl Destination {
    /// Returns the name in logs.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Local => "here",
            Self::Remote(link) => &link.node,
        }
    }

    fn report_ms(&self) -> u128 {
        let at = match self {
            Self::Local => None,
            Self::Remote(link) => link.report().map(|r| r.received_at),
        };
        at.map_or(0, |at| Instant::now().since(at).as_millis())
    }

    fn chosen(self, table: u64) -> Target {
        let report_ms = self.report_ms();
        Target {
            destination: self,
            table_revision: table,
            report_ms,
        }
    }
}

/// Places as one node knows them.
#[derive(Debug)]
pub struct TargetSelector {
    node: String,
    domain: String,
    roster: Rc<MembershipView>,
    tables: Rc<Tables>,
    dispatcher: Rc<Dispatcher>,
    /// Ranges, by route and token, whose holders did not take requests when last tried.
    blocked: RefCell<HashMap<(RouteId, u64), Instant>>,
}

impl TargetSelector {
    /// Creates the places of a node in a failure domain.
    #[must_use]
    pub fn new(
        node: &str,
        domain: &str,
        roster: Rc<MembershipView>,
        tables: Rc<Tables>,
        dispatcher: Rc<Dispatcher>,
    ) -> Self {
        Self {
            node: node.to_owned(),
            domain: domain.to_owned(),
            roster,
            tables,
            dispatcher,
            blocked: RefCell::new(HashMap::new()),
        }
    }

    /// Chooses a place, or waits for one; `last` is the reason why the last one failed, `tried` the
    /// places that were asked.
    pub async fn select(
        &self,
        passage: &RequestContext,
        tried: &HashSet<String>,
        last: Cause,
    ) -> Option<Target> {
        match passage.key {
            Some(key) => self.owner(passage, key, last).await,
            None => self.any(passage, tried).await,
        }
    }

    /// Waits for a node beside the holder of a key that may take the request now.
    async fn owner(&self, passage: &RequestContext, key: Key, last: Cause) -> Option<Target> {
        let time = if self.is_blocked(passage, key) {
            passage.route.objective.mul_f64(BLOCKED_SHARE)
        } else {
            passage
                .deadline
                .since(passage.arrived)
                .mul_f64(PARKED_SHARE)
        };
        let end = passage.arrived + time;
        // Another try at the same place is of use at once only if it was the attempt that failed.
        let at_once = [Cause::NoNode, Cause::Broken, Cause::Garbled, Cause::Shed];
        let mut wait = !at_once.contains(&last);
        let before = wait
            .then(|| self.holder(&passage.service, key, last))
            .flatten();
        loop {
            let changed = self.tables.changed.notified();
            let news = self.roster.report_changed.notified();
            let node = self.holder(&passage.service, key, last);
            wait = wait && node == before;
            if !wait && let Some(place) = node.as_deref().and_then(|n| self.reach(n)) {
                let table = self.tables.get(&passage.service);
                return Some(place.chosen(table.map_or(0, |t| t.revision)));
            }
            let left = end.left();
            if left.is_zero() {
                return None;
            }
            tokio::select! {
                () = changed => {}
                () = news, if !wait => {}
                () = time::sleep(left.min(SAME_PAUSE)) => wait = false,
            }
        }
    }

    /// Returns what identifies the range of a key under its present holder.
    fn stretch(&self, passage: &RequestContext, key: Key) -> (RouteId, u64) {
        let table = self.tables.get(&passage.service);
        let slice = table.as_ref().and_then(|t| t.assignments.slice_of(key));
        (passage.route.id, slice.map_or(0, |s| s.token))
    }

    /// Returns whether requests to the range of a key have just failed for want of a holder.
    fn is_blocked(&self, passage: &RequestContext, key: Key) -> bool {
        let blocked = self.blocked.borrow();
        let since = blocked.get(&self.stretch(passage, key));
        since.is_some_and(|at| Instant::now().since(*at) < BLOCKED_TIME)
    }

    /// Notes whether the range of a key has a holder that takes requests.
    pub fn record_outcome(&self, passage: &RequestContext, outcome: &Outcome) {
        let Some(key) = passage.key else { return };
        let stretch = self.stretch(passage, key);
        let mut blocked = self.blocked.borrow_mut();
        match outcome {
            Outcome::NotRun(f) if !matches!(f.cause, Cause::Full | Cause::Expired) => {
                let now = Instant::now();
                blocked.retain(|_, at| now.since(*at) < BLOCKED_TIME);
                blocked.insert(stretch, now);
            }
            Outcome::Answered(_) => {
                blocked.remove(&stretch);
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => {}
        }
    }

    /// Returns the node beside the holder of a key.
    fn holder(&self, service: &str, key: Key, last: Cause) -> Option<String> {
        let table = self.tables.get(service)?;
        let slice = table.assignments.slice_of(key)?;
        // A holder that has let go of the key is followed by its target.
        let holder = match &slice.target {
            Some(target) if last == Cause::NotHolder => Some(target),
            _ => slice.holder.as_ref(),
        };
        holder.map(|h| h.node.clone())
    }

    fn reach(&self, node: &str) -> Option<Destination> {
        if node == self.node {
            return Some(Destination::Local);
        }
        let link = self.roster.link(node).filter(|l| l.is_connected())?;
        Some(Destination::Remote(link))
    }

    /// Chooses among all backend servers of a service.
    async fn any(&self, passage: &RequestContext, tried: &HashSet<String>) -> Option<Target> {
        let end = Instant::now() + NODE_WAIT;
        loop {
            let news = self.roster.report_changed.notified();
            if let Some(place) = self.best(passage, tried) {
                return Some(place.chosen(0));
            }
            if !tried.is_empty() || time::timeout(end.left(), news).await.is_err() {
                return None;
            }
        }
    }

    fn best(&self, passage: &RequestContext, tried: &HashSet<String>) -> Option<Destination> {
        let service = passage.service.as_str();
        let objective_ms = passage.route.objective.as_secs_f64() * 1000.0;
        let mut places = Vec::new();
        let mut candidates = Vec::new();
        let usable = |l: &Load| l.health == Health::Ready && !l.stopping && l.slots > 0;
        let own = self.dispatcher.load();
        if self.dispatcher.backend_info().service == service
            && usable(&own)
            && !tried.contains(Destination::Local.name())
        {
            candidates.push(candidate(&own, 0, true));
            places.push(Destination::Local);
        }
        for (link, report) in self.roster.service_reports(service) {
            let load = report.load;
            if usable(&load) && !tried.contains(&link.node) {
                let near = *link.domain.borrow() == self.domain;
                candidates.push(candidate(&load, link.calls_since_report(), near));
                places.push(Destination::Remote(link));
            }
        }
        let i = load_balancing::pick(&candidates, objective_ms, &mut rand::rng())?;
        Some(places.swap_remove(i))
    }
}

fn candidate(load: &Load, since: i32, near: bool) -> Candidate {
    let busy = i32::from(load.running) + i32::from(load.queued) + since;
    Candidate {
        slots: load.slots,
        outstanding: u16::try_from(busy.max(0)).unwrap_or(u16::MAX),
        service_ms: load.service_ms.into(),
        failure_rate: load.failing,
        delay_ms: load.late_ms,
        warming: load.warmup_ms > 0,
        same_domain: near,
    }
}
