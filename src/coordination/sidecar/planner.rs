//! Decides which backend server owns which keys, for the service beside this node.
//!
//! The node with the lowest address among those beside the service acts; the next ones follow if
//! what is needed isn't done after a while. That is a division of work, not a safeguard: every
//! change is a compare-and-swap on the table, and what a node that is gone held is taken away only
//! on condition that its entry is gone too.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::failure_rate;
use crate::coordination::sidecar::membership::MembershipView;
use crate::coordination::sidecar::plan::{self, Change, Member};
use crate::coordination::sidecar::registration::Registration;
use crate::coordination::sidecar::replication::Replicator;
use crate::coordination::sidecar::tables::Tables;
use crate::protocol::mesh::{Frame, Health, HolderRates, Load};
use crate::state::clock::Instant;
use crate::state::key_rates::KeyRateReport;
use crate::state::keyspace::{AssignmentTable, Holder, KEY_COUNT};
use crate::transport::sidecar::store::StoreClient;

/// Interval of planning.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(400);

/// Time after the start before a node plans, so that it knows most of the others.
const FIRST_PLAN: Duration = Duration::from_millis(1500);

/// Time for which a node waits for each node before it in the order.
const TURN: Duration = Duration::from_millis(1200);

/// Time after trouble with the store in which missing entries may still come back.
const RETURN_TIME: Duration = Duration::from_millis(2500);

/// Age up to which a report of rates counts.
const REPORT_AGE: Duration = Duration::from_secs(4);

/// Run time that is assumed for a backend server without reports, in milliseconds.
const FIRST_GUESS_MS: f64 = 100.0;

/// Least share of its capacity that a failing backend server counts with.
const LEAST_SHARE: f64 = 0.2;

/// Nodes that get reports of rates.
const REPORTED: usize = 2;

/// Planner of one node.
#[derive(Debug)]
pub struct Planner {
    node: String,
    store: Rc<StoreClient>,
    dispatcher: Rc<Dispatcher>,
    membership: Rc<MembershipView>,
    tables: Rc<Tables>,
    replicator: Rc<Replicator>,
    registration: Rc<Registration>,
    heats: RefCell<HashMap<Holder, (KeyRateReport, Instant)>>,
    started: Instant,
    needed: Cell<Option<Instant>>,
}

impl Planner {
    /// Creates a planner without reports.
    #[must_use]
    pub fn new(
        node: &str,
        store: Rc<StoreClient>,
        dispatcher: Rc<Dispatcher>,
        membership: Rc<MembershipView>,
        tables: Rc<Tables>,
        replicator: Rc<Replicator>,
        registration: Rc<Registration>,
    ) -> Self {
        Self {
            node: node.to_owned(),
            store,
            dispatcher,
            membership,
            tables,
            replicator,
            registration,
            heats: RefCell::new(HashMap::new()),
            started: Instant::now(),
            needed: Cell::new(None),
        }
    }

    /// Takes a report of rates.
    pub fn record_rates(&self, heat: HolderRates) {
        let now = Instant::now();
        self.heats
            .borrow_mut()
            .insert(heat.holder, (heat.report, now));
    }

    /// Reports rates, and makes the changes of ownership that are needed now.
    pub async fn tick(&self) {
        let Some(backend) = self.dispatcher.backend().filter(|b| b.keyed) else {
            return;
        };
        let now = Instant::now();
        let mut loads = self.membership.service_reports(&backend.service);
        loads.sort_by(|a, b| a.0.node.cmp(&b.0.node));
        let rank = loads.iter().filter(|(l, _)| l.node < self.node).count();
        let heat = HolderRates {
            holder: backend.holder.clone(),
            report: self.dispatcher.report_key_rates(),
        };
        for (link, _) in loads.iter().take(REPORTED) {
            link.send(Frame::Heat(Box::new(heat.clone())));
        }
        self.record_rates(heat);
        let young = now.since(self.started) < FIRST_PLAN;
        let known = self.replicator.revision();
        if young || rank > REPORTED || self.registration.remaining(known, now).is_none() {
            return;
        }
        let mut all = vec![(Some(backend.holder.clone()), self.dispatcher.load())];
        all.extend(
            loads
                .into_iter()
                .map(|(_, r)| (r.about.holder.clone(), r.load)),
        );
        let members = members(&all);
        let planned = |keys: &AssignmentTable| {
            let changes = plan::plan(keys, &members, &self.rates(keys, now));
            let mut after = keys.clone();
            for change in &changes {
                change.apply(&mut after);
            }
            (after != *keys).then_some((after, changes))
        };
        let table = self.tables.get(&backend.service);
        let base = table.map_or_else(Rc::default, |t| t.assignments);
        let gone = self.gone(&base, now);
        let changes = planned(&base);
        if gone.is_empty() && changes.is_none() {
            self.needed.set(None);
            return;
        }
        let since = self.needed.get().unwrap_or(now);
        self.needed.set(Some(since));
        let turns = u32::try_from(rank).unwrap_or(u32::MAX);
        if now.since(since) < TURN.saturating_mul(turns) {
            return;
        }
        for holder in &gone {
            self.expire(&backend.service, holder).await;
        }
        if let Some((_, changes)) = changes {
            self.change(&backend.service, &changes, |keys| {
                planned(keys).map(|p| p.0)
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
                tracing::info!(event = 461, service, changes = ?changes, "ownership was planned anew");
                self.needed.set(None);
            }
            Ok(false) => {}
            Err(e) => {
                tracing::warn!(event = 462, service, error = %e, "a plan is not recorded yet");
            }
        }
    }

    /// Returns the holders on nodes whose entries have ended.
    fn gone(&self, keys: &AssignmentTable, now: Instant) -> Vec<Holder> {
        let trouble = self.store.last_failure().unwrap_or(self.started);
        if now.since(trouble) < RETURN_TIME {
            return Vec::new();
        }
        let holders = keys.holders().into_iter();
        let elsewhere = holders.filter(|h| h.node != self.node);
        elsewhere
            .filter(|h| !self.membership.is_listed(&h.node))
            .cloned()
            .collect()
    }

    async fn expire(&self, service: &str, holder: &Holder) {
        let guard = [(Registration::entry_key(&holder.node), 0)];
        let done = self
            .tables
            .update(service, &guard, |keys| {
                let mut after = keys.clone();
                after.expire(holder);
                (after != *keys).then_some(after)
            })
            .await;
        match done {
            Ok(changed) => {
                tracing::warn!(event = 463, node = %holder.node, backend = %holder.backend, changed, "the keys of a node that is gone are taken away");
            }
            Err(e) => {
                tracing::warn!(event = 464, node = %holder.node, error = %e, "the keys of a node that is gone are not taken away yet");
            }
        }
    }

    /// Returns the rates of all keys, each as its holder reports it.
    fn rates(&self, keys: &AssignmentTable, now: Instant) -> Vec<f32> {
        let mut rates = vec![0.0; KEY_COUNT];
        let mut own = vec![0.0; KEY_COUNT];
        for (holder, (report, at)) in &*self.heats.borrow() {
            if now.since(*at) > REPORT_AGE {
                continue;
            }
            own.fill(0.0);
            report.add_to(&mut own);
            for s in keys.held_by(holder) {
                let range = usize::from(s.from)..=usize::from(s.to);
                rates[range.clone()].copy_from_slice(&own[range]);
            }
        }
        rates
    }
}

/// Returns the backend servers that may hold keys, with what they can do.
fn members(loads: &[(Option<Holder>, Load)]) -> Vec<Member> {
    let known = loads.iter().map(|l| l.1).filter(|l| l.service_ms > 0.0);
    let times: Vec<f64> = known.map(|l| f64::from(l.service_ms)).collect();
    let usual = match times.len() {
        0 => FIRST_GUESS_MS,
        n => times.iter().sum::<f64>() / n as f64,
    };
    let failing = failure_rate::baseline(loads.iter().map(|l| l.1.failing));
    let member = |(holder, load): &(Option<Holder>, Load)| {
        let ms = if load.service_ms > 0.0 {
            f64::from(load.service_ms)
        } else {
            usual
        };
        let sound = 1.0 - failure_rate::excess(load.failing, failing);
        Some(Member {
            holder: holder.clone()?,
            capacity: f64::from(load.slots) * 1000.0 / ms * sound.max(LEAST_SHARE),
            accepts: load.health == Health::Ready && !load.stopping,
            keeps: load.health == Health::Ready,
        })
    };
    loads.iter().filter_map(member).collect()
}
