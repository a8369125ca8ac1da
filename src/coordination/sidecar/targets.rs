//! Selection of the destination of a request.
//!
//! A request without a key goes to any backend server of its service, by load reports. One with a
//! key goes to the holder of the key only. It waits for a holder for a share of its time, but only
//! briefly if other requests to the same range have just failed for lack of a holder.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::load_balancing::{self, Candidate, Limit};
use crate::coordination::sidecar::membership::MembershipView;
use crate::coordination::sidecar::reports;
use crate::coordination::sidecar::request_context::RequestContext;
use crate::coordination::sidecar::tables::Tables;
use crate::protocol::mesh::{Cause, Health, Load, Outcome};
use crate::state::clock::Instant;
use crate::state::keyspace::Key;
use crate::state::routes::RouteId;
use crate::state::store_revision::Revision;
use crate::transport::sidecar::links::Link;

/// Share of its total time for which a request waits for a key without a holder.
const HOLDER_WAIT_SHARE: f64 = 0.55;

/// Share of the latency objective for which a request waits if its range is marked unavailable.
const UNAVAILABLE_WAIT_SHARE: f64 = 0.12;

/// Time for which a range stays marked unavailable after a request to it has failed.
const UNAVAILABLE_TTL: Duration = Duration::from_millis(600);

/// Delay before the same holder is tried again after it could not be reached.
const SAME_HOLDER_DELAY: Duration = Duration::from_millis(120);

/// Longest wait for any node of a service.
const NODE_WAIT: Duration = Duration::from_millis(150);

/// Destination of a request.
#[derive(Debug)]
pub enum Destination {
    /// Backend server of this node.
    Local,
    /// Backend server of another node.
    Remote(Rc<Link>),
}

/// Selected destination, and the state that the selection is based on.
#[derive(Debug)]
pub struct Target {
    /// Destination.
    pub destination: Destination,
    /// Revision of the assignment table, 0 if none was used.
    pub table_revision: Revision,
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

    fn into_target(self, table_revision: Revision) -> Target {
        let report_ms = self.report_ms();
        Target {
            destination: self,
            table_revision,
            report_ms,
        }
    }
}

/// Selector of destinations, by one node's view of the other nodes.
#[derive(Debug)]
pub struct TargetSelector {
    node: String,
    domain: String,
    membership: Rc<MembershipView>,
    tables: Rc<Tables>,
    dispatcher: Rc<Dispatcher>,
    /// Time at which a request last failed because the holder of its range did not take it, by route
    /// and fencing token.
    unavailable: RefCell<HashMap<(RouteId, u64), Instant>>,
}

impl TargetSelector {
    /// Creates the selector of a node in a failure domain.
    #[must_use]
    pub fn new(
        node: &str,
        domain: &str,
        membership: Rc<MembershipView>,
        tables: Rc<Tables>,
        dispatcher: Rc<Dispatcher>,
    ) -> Self {
        Self {
            node: node.to_owned(),
            domain: domain.to_owned(),
            membership,
            tables,
            dispatcher,
            unavailable: RefCell::new(HashMap::new()),
        }
    }

    /// Selects a destination, waiting for one if necessary; `last_cause` is the cause of the
    /// previous failure, `tried` are the destinations already tried.
    pub async fn select(
        &self,
        context: &RequestContext,
        tried: &HashSet<String>,
        last_cause: Cause,
    ) -> Option<Target> {
        match context.key {
            Some(key) => self.select_holder(context, key, last_cause).await,
            None => self.select_any(context, tried).await,
        }
    }

    /// Waits until the holder of a key can take the request.
    async fn select_holder(
        &self,
        context: &RequestContext,
        key: Key,
        last_cause: Cause,
    ) -> Option<Target> {
        let wait_limit = if self.is_unavailable(context, key) {
            context.route.objective.mul_f64(UNAVAILABLE_WAIT_SHARE)
        } else {
            context
                .deadline
                .since(context.arrived)
                .mul_f64(HOLDER_WAIT_SHARE)
        };
        let end = context.arrived + wait_limit;
        // An immediate retry at the same holder helps only if the attempt itself failed.
        let immediate = [Cause::NoNode, Cause::Broken, Cause::Garbled, Cause::Shed];
        let mut delay_retry = !immediate.contains(&last_cause);
        let previous = delay_retry
            .then(|| self.holder_node(&context.service, key, last_cause))
            .flatten();
        loop {
            let changed = self.tables.changed.notified();
            let report_changed = self.membership.report_changed.notified();
            let node = self.holder_node(&context.service, key, last_cause);
            delay_retry = delay_retry && node == previous;
            if !delay_retry
                && let Some(destination) = node.as_deref().and_then(|n| self.connected(n))
            {
                let table = self.tables.route(&context.service);
                return Some(
                    destination.into_target(table.map_or(Revision::default(), |t| t.revision)),
                );
            }
            let left = end.left();
            if left.is_zero() {
                return None;
            }
            tokio::select! {
                () = changed => {}
                () = report_changed, if !delay_retry => {}
                () = time::sleep(left.min(SAME_HOLDER_DELAY)) => delay_retry = false,
            }
        }
    }

    /// Returns the route and the fencing token that identify a key's range under its present
    /// holder.
    fn range_id(&self, context: &RequestContext, key: Key) -> (RouteId, u64) {
        let table = self.tables.route(&context.service);
        let slice = table.as_ref().and_then(|t| t.assignments.slice_of(key));
        (context.route.id, slice.map_or(0, |s| s.token))
    }

    /// Returns whether a request to the range of a key has just failed for lack of a holder.
    fn is_unavailable(&self, context: &RequestContext, key: Key) -> bool {
        let unavailable = self.unavailable.borrow();
        let since = unavailable.get(&self.range_id(context, key));
        since.is_some_and(|at| Instant::now().since(*at) < UNAVAILABLE_TTL)
    }

    /// Records whether the range of a key has a holder that takes requests.
    pub fn record_outcome(&self, context: &RequestContext, outcome: &Outcome) {
        let Some(key) = context.key else { return };
        let range = self.range_id(context, key);
        let mut unavailable = self.unavailable.borrow_mut();
        match outcome {
            Outcome::NotRun(f) if f.cause.concerns_holder() => {
                let now = Instant::now();
                unavailable.retain(|_, at| now.since(*at) < UNAVAILABLE_TTL);
                unavailable.insert(range, now);
            }
            Outcome::Answered(_) => {
                unavailable.remove(&range);
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => {}
        }
    }

    /// Returns the node of the holder of a key.
    fn holder_node(&self, service: &str, key: Key, last_cause: Cause) -> Option<String> {
        let table = self.tables.route(service)?;
        let slice = table.assignments.slice_of(key)?;
        // After the holder has released the key, the target of the move takes it over.
        let holder = match &slice.target {
            Some(target) if last_cause == Cause::NotHolder => Some(target),
            _ => slice.holder.as_ref(),
        };
        holder.map(|h| h.node.clone())
    }

    /// Returns a node with a holder of keys as a destination, if it is connected and takes requests.
    fn connected(&self, node: &str) -> Option<Destination> {
        if node == self.node {
            return Some(Destination::Local);
        }
        let link = self.membership.link(node).filter(|l| l.is_connected())?;
        let evacuations = &self.dispatcher.evacuations;
        if evacuations.is_closed(&link.domain.borrow(), true, Instant::now()) {
            return None;
        }
        Some(Destination::Remote(link))
    }

    /// Returns whether all backend servers of a service are in evacuated failure domains.
    #[must_use]
    pub fn is_evacuated(&self, service: &str) -> bool {
        let evacuations = &self.dispatcher.evacuations;
        if evacuations.is_empty() {
            return false;
        }
        let reports = self.membership.service_reports(service).into_iter();
        let mut domains: Vec<_> = reports.map(|(l, _)| l.domain.borrow().clone()).collect();
        if self.dispatcher.backend_info().service == service {
            domains.push(self.domain.clone());
        }
        !domains.is_empty() && domains.iter().all(|d| evacuations.is_evacuated(d))
    }

    /// Selects among all backend servers of a service.
    async fn select_any(
        &self,
        context: &RequestContext,
        tried: &HashSet<String>,
    ) -> Option<Target> {
        let end = Instant::now() + NODE_WAIT;
        loop {
            let report_changed = self.membership.report_changed.notified();
            if let Some(destination) = self.select_by_load(context, tried) {
                return Some(destination.into_target(Revision::default()));
            }
            if !tried.is_empty() || time::timeout(end.left(), report_changed).await.is_err() {
                return None;
            }
        }
    }

    fn select_by_load(
        &self,
        context: &RequestContext,
        tried: &HashSet<String>,
    ) -> Option<Destination> {
        let service = context.service.as_str();
        let objective_ms = context.route.objective.as_secs_f64() * 1000.0;
        let mut destinations = Vec::new();
        let mut candidates = Vec::new();
        let usable = |l: &Load| l.health == Health::Ready && !l.stopping && l.slots > 0;
        let evacuations = &self.dispatcher.evacuations;
        let local = self.dispatcher.load();
        if self.dispatcher.backend_info().service == service
            && usable(&local)
            && !evacuations.is_evacuated(&self.domain)
            && !tried.contains(Destination::Local.name())
        {
            candidates.push(candidate(&local, 0, true));
            destinations.push(Destination::Local);
        }
        for (link, report) in self.membership.service_reports(service) {
            let load = report.load;
            let evacuated = evacuations.is_evacuated(&link.domain.borrow());
            if usable(&load) && !evacuated && !tried.contains(&link.node) {
                let same_domain = *link.domain.borrow() == self.domain;
                candidates.push(candidate(&load, link.calls_since_report(), same_domain));
                destinations.push(Destination::Remote(link));
            }
        }
        let rng = &mut rand::rng();
        let i = if reports::is_small_fleet(self.membership.size()) {
            load_balancing::pick(&candidates, objective_ms, rng)
        } else {
            let ages = destinations
                .iter()
                .map(|d: &Destination| d.report_ms() as f64);
            let ages: Vec<_> = ages.collect();
            load_balancing::pick_share(&candidates, &ages, objective_ms, rng)
        }?;
        Some(destinations.swap_remove(i))
    }
}

fn candidate(load: &Load, sent_since: i32, same_domain: bool) -> Candidate {
    let outstanding = i32::from(load.running) + i32::from(load.queued) + sent_since;
    let limit = load.effective_limit().map(|rate| Limit {
        rate,
        room: load.limit_room - f64::from(sent_since.max(0)),
    });
    Candidate {
        slots: load.slots,
        outstanding: u16::try_from(outstanding.max(0)).unwrap_or(u16::MAX),
        service_ms: load.service_ms.into(),
        failure_rate: load.failing,
        delay_ms: load.late_ms,
        warming: load.warmup_ms > 0,
        same_domain,
        limit,
    }
}
