//! Assignment of keys to backend servers, for the service of the local backend server.
//!
//! The service's nodes are ranked by address, and the first one makes the changes. A node of a higher
//! rank makes a needed change if it hasn't been made after `RANK_DELAY` for each lower rank. Safety
//! doesn't depend on this division of work: every change is a compare-and-swap on the table, and the
//! keys of a lost node are revoked only on condition that its entry is gone.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::coordination::sidecar::confirmation::Confirmation;
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::failure_rate;
use crate::coordination::sidecar::membership::MembershipView;
use crate::coordination::sidecar::plan::{self, Change, Member};
use crate::coordination::sidecar::registration::Registration;
use crate::coordination::sidecar::tables::Tables;
use crate::protocol::mesh::{Frame, Health, HolderRates, Load};
use crate::state::clock::Instant;
use crate::state::key_rates::KeyRateReport;
use crate::state::keyspace::{AssignmentTable, Holder, KEY_COUNT};
use crate::transport::sidecar::store::StoreClient;

/// Interval between two planning rounds.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(400);

/// Time after startup before a node plans, so that it knows most of the other nodes.
const STARTUP_DELAY: Duration = Duration::from_millis(1500);

/// Time for which a node leaves a needed change to each node of a lower rank.
const RANK_DELAY: Duration = Duration::from_millis(1200);

/// Time after a store error in which missing node entries may still be written again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2500);

/// Age at which a key rate report becomes outdated.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);

/// Service time that is assumed if no backend server has reported one, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 100.0;

/// Minimum fraction of its capacity with which a failing backend server is planned.
const MIN_CAPACITY_FRACTION: f64 = 0.2;

/// Number of other nodes, the lowest-ranked ones, to which a node reports key rates and claims. Nodes of a
/// higher rank don't plan.
pub const REPORT_RECEIVERS: usize = 2;

/// Planner of key assignments on one node.
#[derive(Debug)]
pub struct Planner {
    node: String,
    store: Rc<StoreClient>,
    dispatcher: Rc<Dispatcher>,
    membership: Rc<MembershipView>,
    tables: Rc<Tables>,
    registration: Rc<Registration>,
    confirmation: Rc<Confirmation>,
    rate_reports: RefCell<HashMap<Holder, (KeyRateReport, Instant)>>,
    started: Instant,
    /// Time since which a change is needed that no node has made.
    needed_since: Cell<Option<Instant>>,
}

impl Planner {
    /// Creates a planner without key rate reports.
    #[must_use]
    pub fn new(
        node: &str,
        store: Rc<StoreClient>,
        dispatcher: Rc<Dispatcher>,
        membership: Rc<MembershipView>,
        tables: Rc<Tables>,
        registration: Rc<Registration>,
        confirmation: Rc<Confirmation>,
    ) -> Self {
        Self {
            node: node.to_owned(),
            store,
            dispatcher,
            membership,
            tables,
            registration,
            confirmation,
            rate_reports: RefCell::new(HashMap::new()),
            started: Instant::now(),
            needed_since: Cell::new(None),
        }
    }

    /// Stores a key rate report.
    pub fn record_rates(&self, rates: HolderRates) {
        let now = Instant::now();
        self.rate_reports
            .borrow_mut()
            .insert(rates.holder, (rates.report, now));
    }

    /// Reports the local key rates, and makes the changes to the assignment table that are needed now.
    pub async fn tick(&self) {
        self.confirmation.send_other_claims();
        if let Some(service) = self.confirmation.pending_service() {
            let known = Instant::now().since(self.started) >= STARTUP_DELAY;
            self.confirmation.tick(&service, known).await;
            return;
        }
        let Some(backend) = self.dispatcher.backend().filter(|b| b.keyed) else {
            return;
        };
        let now = Instant::now();
        let (loads, rank) = self.membership.ranked_reports(&backend.service);
        let rates = HolderRates {
            holder: backend.holder.clone(),
            report: self.dispatcher.report_key_rates(),
        };
        for (link, _) in loads.iter().take(REPORT_RECEIVERS) {
            link.send(Frame::Heat(Box::new(rates.clone())));
        }
        self.record_rates(rates);
        let starting = now.since(self.started) < STARTUP_DELAY;
        if starting || rank > REPORT_RECEIVERS || self.registration.remaining(now).is_none() {
            return;
        }
        let mut all = vec![(Some(backend.holder.clone()), self.dispatcher.load())];
        all.extend(
            loads
                .into_iter()
                .map(|(_, r)| (r.backend_info.holder.clone(), r.load)),
        );
        let mut members = members(&all);
        let evacuations = &self.dispatcher.evacuations;
        let evacuated = evacuations.exclude(&mut members, |node| self.membership.domain_of(node));
        let planned = |table: &AssignmentTable| {
            let mut after = table.clone();
            for holder in &evacuated {
                after.cancel_moves(holder);
            }
            let plan = if evacuated.is_empty() {
                plan::plan
            } else {
                plan::plan_evacuation
            };
            let changes = plan(&after, &members, &self.rates(table, now));
            for change in &changes {
                change.apply(&mut after);
            }
            (after != *table).then_some((after, changes))
        };
        let table = self.tables.get(&backend.service);
        let base = table.map_or_else(Rc::default, |t| t.assignments);
        let lost = self.lost_holders(&base, now);
        let changes = planned(&base);
        if lost.is_empty() && changes.is_none() {
            self.needed_since.set(None);
            return;
        }
        let since = self.needed_since.get().unwrap_or(now);
        self.needed_since.set(Some(since));
        if now.since(since) < rank_delay(rank) {
            return;
        }
        for holder in &lost {
            self.revoke(&backend.service, holder).await;
        }
        if let Some((_, changes)) = changes {
            self.change(&backend.service, &changes, |table| {
                planned(table).map(|p| p.0)
            })
            .await;
        }
    }

    async fn change(
        &self,
        service: &str,
        changes: &[Change],
        planned: impl Fn(&AssignmentTable) -> Option<AssignmentTable>,
    ) {
        match self.tables.update(service, &[], planned).await {
            Ok(true) => {
                tracing::info!(event = 461, service, changes = ?changes, "changed the assignment of keys");
                self.needed_since.set(None);
            }
            Ok(false) => {}
            Err(e) => {
                tracing::warn!(event = 462, service, error = %e, "can't change the assignment of keys yet");
            }
        }
    }

    /// Returns the holders on nodes without an entry.
    fn lost_holders(&self, table: &AssignmentTable, now: Instant) -> Vec<Holder> {
        let last_failure = self.store.last_failure().unwrap_or(self.started);
        if now.since(last_failure) < REREGISTRATION_TIME {
            return Vec::new();
        }
        let holders = table.holders().into_iter();
        let on_other_nodes = holders.filter(|h| h.node != self.node);
        on_other_nodes
            .filter(|h| !self.membership.is_listed(&h.node))
            .cloned()
            .collect()
    }

    async fn revoke(&self, service: &str, holder: &Holder) {
        let guard = [(Registration::entry_key(&holder.node), 0)];
        let done = self
            .tables
            .update(service, &guard, |table| {
                let mut after = table.clone();
                after.expire(holder);
                (after != *table).then_some(after)
            })
            .await;
        match done {
            Ok(changed) => {
                tracing::warn!(event = 463, node = %holder.node, backend = %holder.backend, changed, "revoked the keys of a lost node");
            }
            Err(e) => {
                tracing::warn!(event = 464, node = %holder.node, error = %e, "can't revoke the keys of a lost node yet");
            }
        }
    }

    /// Returns the request rates of all keys, each as reported by its holder.
    fn rates(&self, table: &AssignmentTable, now: Instant) -> Vec<f32> {
        let mut rates = vec![0.0; KEY_COUNT];
        let mut reported = vec![0.0; KEY_COUNT];
        for (holder, (report, at)) in &*self.rate_reports.borrow() {
            if now.since(*at) > MAX_REPORT_AGE {
                continue;
            }
            reported.fill(0.0);
            report.add_to(&mut reported);
            for s in table.held_by(holder) {
                let range = usize::from(s.from)..=usize::from(s.to);
                rates[range.clone()].copy_from_slice(&reported[range]);
            }
        }
        rates
    }
}

/// Returns the time for which a node of a rank leaves a needed change to those before it.
#[must_use]
pub fn rank_delay(rank: usize) -> Duration {
    RANK_DELAY.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
}

/// Returns the backend servers that may hold keys, with their capacities.
#[must_use]
pub fn members(loads: &[(Option<Holder>, Load)]) -> Vec<Member> {
    // The present speed of a backend server changes faster than keys can move.
    let service_ms = |load: &Load| match load.steady_ms {
        ms if ms > 0.0 => f64::from(ms),
        _ => f64::from(load.service_ms),
    };
    let times: Vec<f64> = loads
        .iter()
        .map(|l| service_ms(&l.1))
        .filter(|ms| *ms > 0.0)
        .collect();
    let mean = match times.len() {
        0 => DEFAULT_SERVICE_MS,
        n => times.iter().sum::<f64>() / n as f64,
    };
    let baseline = failure_rate::baseline(loads.iter().map(|l| l.1.failing));
    let member = |(holder, load): &(Option<Holder>, Load)| {
        let ms = Some(service_ms(load))
            .filter(|ms| *ms > 0.0)
            .unwrap_or(mean);
        let healthy = 1.0 - failure_rate::excess(load.failing, baseline);
        let capacity = f64::from(load.slots) * 1000.0 / ms * healthy.max(MIN_CAPACITY_FRACTION);
        let limit = load.limit.per_second().unwrap_or(f64::INFINITY);
        Some(Member {
            holder: holder.clone()?,
            capacity: capacity.min(load.effective_limit().unwrap_or(f64::INFINITY)),
            // A move takes a good part of a warm-up, so only a named limit is worth one.
            limited: limit < capacity,
            accepts: load.health == Health::Ready && !load.stopping,
            keeps: load.health == Health::Ready,
        })
    };
    loads.iter().filter_map(member).collect()
}
