//! Confirmation of an assignment table in a new era of the store.
//!
//! A restored store returns a table that may lack the newest changes, or none. The nodes of the service
//! go on granting by the last table that they know, and tell the nodes of the lowest ranks what their
//! backend servers may hold. Once every node has made its claim, one of them writes the table that
//! follows from all claims. A node counts as heard if it has written its entry in the new era, so that
//! from then on the absence of an entry proves again that nothing is granted there. A node that makes no
//! claim and has no entry is waited for until the leases of the earlier era have ended.
//!
//! The last table may name a node that belongs to another service by now, because the address of a lost
//! host was reused or because the node has another backend server. Only that node can tell what is held
//! there, so each node makes claims for all services whose tables are not confirmed.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::grant_manager::GrantManager;
use crate::coordination::sidecar::membership::MembershipView;
use crate::coordination::sidecar::planner::{self, REPORT_RECEIVERS};
use crate::coordination::sidecar::registration::{LEASE, Registration};
use crate::coordination::sidecar::replication::Replicator;
use crate::coordination::sidecar::tables::Tables;
use crate::protocol::mesh::{Claim, Frame};
use crate::state::clock::Instant;
use crate::state::keyspace::{AssignmentTable, ClaimedSlices};
use crate::state::store_revision::{Era, Revision};
use crate::transport::sidecar::store::StoreClient;

/// Time after the beginning of an era in which a node may still grant keys under a lease of the earlier
/// one, with a margin for clock drift.
const OLD_LEASE_TIME: Duration = LEASE.saturating_add(Duration::from_secs(1));

/// Number of nodes of a service, the lowest-ranked ones, to which a claim is sent: all that may confirm the
/// table. A node of the service is one of them itself if it ranks before the last.
const CLAIM_RECEIVERS: usize = REPORT_RECEIVERS + 1;

/// Parts of a node that a confirmation uses.
#[derive(Debug)]
pub struct Dependencies {
    /// Address of this node.
    pub node: String,
    /// Service of this node's host.
    pub service: String,
    /// Platform's store.
    pub store: Rc<StoreClient>,
    /// Active configuration, which tells whether a service has keys.
    pub configuration: Rc<Configuration>,
    /// Dispatcher, which knows the local backend server.
    pub dispatcher: Rc<Dispatcher>,
    /// Known nodes.
    pub membership: Rc<MembershipView>,
    /// Assignment tables.
    pub tables: Rc<Tables>,
    /// Replicated items, which include the nodes' entries.
    pub replicator: Rc<Replicator>,
    /// Registration of this node.
    pub registration: Rc<Registration>,
    /// Manager of the grants to the local backend server.
    pub grant_manager: Rc<GrantManager>,
}

/// Confirmation of the table of this node's service.
#[derive(Debug)]
pub struct Confirmation {
    parts: Dependencies,
    /// Newest claim of each node for the service of this one.
    claims: RefCell<HashMap<String, Claim>>,
    /// Time since which the table is not confirmed.
    needed_since: Cell<Option<Instant>>,
    /// Nodes for which the last attempt waited.
    awaited: RefCell<Vec<Unheard>>,
}

/// Node whose claim is missing, with what tells why.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Unheard {
    node: String,
    /// Service that its entry names, if its entry is known.
    service: Option<String>,
    connected: bool,
    /// Revision of its entry in the store.
    entry: Option<Revision>,
    /// Revision of the entry that its last claim names.
    claimed: Option<Revision>,
}

impl Confirmation {
    /// Creates a confirmation without claims.
    #[must_use]
    pub fn new(parts: Dependencies) -> Rc<Self> {
        Rc::new(Self {
            parts,
            claims: RefCell::default(),
            needed_since: Cell::new(None),
            awaited: RefCell::default(),
        })
    }

    /// Stores the claim of a node, if it is for the service of this one.
    pub fn record(&self, claim: Claim) {
        self.parts.store.learn_era(claim.era);
        if claim.service != self.service() {
            return;
        }
        self.claims.borrow_mut().insert(claim.node.clone(), claim);
    }

    /// Returns the service of the local backend server, or of the host if there is none.
    fn service(&self) -> String {
        let backend = self.parts.dispatcher.backend();
        backend.map_or_else(|| self.parts.service.clone(), |b| b.service)
    }

    /// Returns the service of this node if it has keys and its table is not confirmed.
    #[must_use]
    pub fn pending_service(&self) -> Option<String> {
        let service = self.service();
        let routes = self.parts.configuration.get()?;
        let keyed = routes.service(&service).is_some_and(|s| s.keyed);
        let pending = keyed && !self.parts.tables.is_confirmed(&service);
        if !pending {
            self.needed_since.set(None);
        }
        pending.then_some(service)
    }

    /// Sends this node's claim, and confirms the table if that is up to this node and all are heard.
    /// `may_write` is whether the node knows the others well enough.
    pub async fn tick(&self, service: &str, may_write: bool) {
        let parts = &self.parts;
        let era = parts.store.era();
        let now = Instant::now();
        let (_, rank) = parts.membership.ranked_reports(service);
        if let Some(claim) = self.send_claim(service) {
            self.record(claim);
        }
        let since = self.needed_since.get().unwrap_or(now);
        self.needed_since.set(Some(since));
        let is_due = rank <= REPORT_RECEIVERS && now.since(since) >= planner::rank_delay(rank);
        // The content of the earlier era doesn't tell who has an entry.
        if !(may_write && is_due) || parts.replicator.revision().era != era {
            return;
        }
        let base = parts.tables.route(service);
        let unheard = self.unheard(service, base.as_ref().map(|t| &*t.assignments), now);
        if unheard.is_empty() {
            self.confirm(service, era).await;
        } else if *self.awaited.borrow() != unheard {
            let addresses: Vec<_> = unheard.iter().map(|u| &u.node).collect();
            tracing::info!(event = 466, service, era = era.0, nodes = ?addresses, known = ?unheard, "waiting for what nodes may hold before the table is confirmed");
            *self.awaited.borrow_mut() = unheard;
        }
    }

    /// Sends this node's claims for the services of other nodes whose tables are not confirmed.
    pub fn send_other_claims(&self) {
        let Some(routes) = self.parts.configuration.get() else {
            return;
        };
        let own = self.service();
        let keyed = routes.services().filter(|s| s.keyed && s.name != own);
        for service in keyed.filter(|s| !self.parts.tables.is_confirmed(&s.name)) {
            self.send_claim(&service.name);
        }
    }

    /// Sends this node's claim for a service to the nodes that may confirm its table. Returns the claim, or
    /// `None` if there is none yet.
    fn send_claim(&self, service: &str) -> Option<Claim> {
        let parts = &self.parts;
        let claim = parts.grant_manager.claim(service, parts.store.era())?;
        let (reports, _) = parts.membership.ranked_reports(service);
        for (link, _) in reports.iter().take(CLAIM_RECEIVERS) {
            link.send(Frame::Claim(Box::new(claim.clone())));
        }
        Some(claim)
    }

    /// Returns the nodes whose claims are missing.
    fn unheard(&self, service: &str, base: Option<&AssignmentTable>, now: Instant) -> Vec<Unheard> {
        let parts = &self.parts;
        let holders = base.map(AssignmentTable::holders).unwrap_or_default();
        let mut nodes: BTreeSet<String> = holders.into_iter().map(|h| h.node.clone()).collect();
        nodes.extend(parts.membership.nodes_of(service));
        nodes.insert(parts.node.clone());
        let has_settled = now.since(parts.store.era_since()) >= OLD_LEASE_TIME;
        let claims = self.claims.borrow();
        let unheard = |node: String| {
            let key = Registration::entry_key(&node);
            let entry = parts.replicator.item_revision(&key);
            let claim = claims.get(&node).filter(|c| c.service == service);
            let missing = is_missing(claim, entry, parts.store.era(), has_settled);
            missing.then(|| Unheard {
                service: parts.membership.service_of(&node),
                connected: parts
                    .membership
                    .link(&node)
                    .is_some_and(|l| l.is_connected()),
                entry,
                claimed: claim.map(|c| Revision::new(c.era, c.entry)),
                node,
            })
        };
        nodes.into_iter().filter_map(unheard).collect()
    }

    async fn confirm(&self, service: &str, era: Era) {
        let base = self.parts.tables.route(service);
        let known = self.parts.tables.get(service);
        let revision = known.map_or(Revision::default(), |t| t.revision);
        let claims: Vec<Claim> = {
            let mut claims = self.claims.borrow_mut();
            claims.retain(|_, c| c.era == era && c.service == service);
            claims.values().cloned().collect()
        };
        let claimed: Vec<_> = claims
            .iter()
            .map(|c| ClaimedSlices {
                slices: &c.slices,
                is_newest: !c.table.is_none() && c.table >= revision,
            })
            .collect();
        let base = base.map_or_else(Rc::default, |t| t.assignments);
        let table = base.confirm(era, &claimed);
        match self.parts.tables.write_confirmed(service, &table).await {
            Ok(true) => {
                tracing::warn!(event = 465, service, era = era.0, base = %revision, claims = claims.len(), slices = table.slices.len(), "confirmed the assignment of keys in a new era of the store");
                self.claims.borrow_mut().clear();
                self.awaited.borrow_mut().clear();
            }
            Ok(false) => {}
            Err(e) => {
                tracing::warn!(event = 467, service, era = era.0, error = %e, "can't confirm the assignment of keys yet");
            }
        }
    }
}

/// Returns whether a node may hold keys that its claim doesn't tell. `entry` is the revision of its entry
/// in the store, and `has_settled` is whether all leases of earlier eras have ended.
#[must_use]
pub fn is_missing(
    claim: Option<&Claim>,
    entry: Option<Revision>,
    era: Era,
    has_settled: bool,
) -> bool {
    match entry {
        Some(entry) => claim.is_none_or(|c| Revision::new(c.era, c.entry) != entry),
        None => !has_settled || claim.is_some_and(|c| c.era > era),
    }
}
