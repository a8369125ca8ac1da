//! Membership view: the known nodes, their connections and their last load reports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::coordination::sidecar::reports;
use crate::protocol::mesh::Hello;
use crate::protocol::ownership::NodeEntry;
use crate::state::clock::Instant;
use crate::transport::sidecar::byte_budget::ByteBudget;
use crate::transport::sidecar::links::{ItemsHandler, Link, Report};

/// Time for which a disconnected node without an entry is kept.
const REMOVED_NODE_TTL: Duration = Duration::from_secs(3);

/// Maximum number of nodes that a store call is relayed through before it fails.
const MAX_RELAYS: usize = 2;

/// Timeout of a relayed call.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(1200);

#[derive(Debug)]
struct Peer {
    link: Rc<Link>,
    /// Service of the node's host; empty if its entry doesn't tell.
    service: String,
    /// Whether the node has an entry in the store.
    listed: bool,
}

/// Known nodes by address, except this one.
pub struct MembershipView {
    hello: Hello,
    items_handler: RefCell<ItemsHandler>,
    budget: RefCell<Option<Rc<ByteBudget>>>,
    peers: RefCell<BTreeMap<String, Peer>>,
    /// Notified of new reports and lost connections.
    pub report_changed: Rc<Notify>,
}

impl std::fmt::Debug for MembershipView {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MembershipView")
            .field("hello", &self.hello)
            .field("peers", &self.peers)
            .finish_non_exhaustive()
    }
}

impl MembershipView {
    /// Creates a view without other nodes.
    #[must_use]
    pub fn new(hello: Hello) -> Self {
        Self {
            hello,
            items_handler: RefCell::new(Rc::new(|_, _| ())),
            budget: RefCell::default(),
            peers: RefCell::new(BTreeMap::new()),
            report_changed: Rc::new(Notify::new()),
        }
    }

    /// Returns the address of this node.
    #[must_use]
    pub fn node(&self) -> &str {
        &self.hello.node
    }

    /// Sets the budget for large responses of other nodes; to be called before any node is known.
    pub fn set_budget(&self, budget: &Rc<ByteBudget>) {
        *self.budget.borrow_mut() = Some(Rc::clone(budget));
    }

    /// Sets the handler of items that other nodes send.
    pub fn set_items_handler(&self, handler: ItemsHandler) {
        *self.items_handler.borrow_mut() = handler;
    }

    /// Returns the rank of this node among the connected nodes. `store_up` is whether the store
    /// responds to this node.
    #[must_use]
    pub fn rank(&self, store_up: bool) -> usize {
        let peers = self.peers.borrow();
        let reports = peers
            .values()
            .filter_map(|p| Some((&p.link.node, p.link.report()?)));
        let others: Vec<_> = reports
            .map(|(node, r)| (node.as_str(), r.load.store_up))
            .collect();
        rank(&self.hello.node, store_up, &others)
    }

    /// Returns the connections to the first `count` of the nodes that rank before this one, those of this node's
    /// failure domain first. `store_up` is whether the store responds to this node.
    #[must_use]
    pub fn preferred_links(&self, store_up: bool, count: usize) -> Vec<Rc<Link>> {
        let own = (!store_up, self.hello.node.as_str());
        let peers = self.peers.borrow();
        let links = peers.values().map(|p| &p.link);
        let reported = links.filter_map(|l| Some((!l.report()?.load.store_up, l)));
        let mut before: Vec<_> = reported
            .filter(|(down, l)| (*down, l.node.as_str()) < own)
            .collect();
        before.sort_by(|(a_down, a), (b_down, b)| (a_down, &a.node).cmp(&(b_down, &b.node)));
        before.truncate(count);
        before.sort_by_key(|(_, l)| *l.domain.borrow() != self.hello.domain);
        before.into_iter().map(|(_, l)| Rc::clone(l)).collect()
    }

    /// Adds a node from its entry, or updates it.
    pub fn add(&self, entry: &NodeEntry) {
        if entry.address == self.hello.node {
            return;
        }
        let Ok(address) = entry.address.parse::<SocketAddr>() else {
            tracing::warn!(event = 321, address = %entry.address, "ignored a node entry with an invalid address");
            return;
        };
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(entry.address.clone()).or_insert_with(|| {
            tracing::info!(event = 322, node = %entry.address, domain = %entry.domain, "a node joined");
            let hello = self.hello.clone();
            let handler = self.items_handler.borrow().clone();
            let link = Link::start(address, &entry.domain, hello, Rc::clone(&self.report_changed), handler);
            link.set_budget(self.budget.borrow().clone());
            Peer { link, service: String::new(), listed: true }
        });
        peer.listed = true;
        entry.service.clone_into(&mut peer.service);
        entry.domain.clone_into(&mut peer.link.domain.borrow_mut());
    }

    /// Marks a node whose entry was removed. It is kept while it is connected.
    pub fn mark_removed(&self, address: &str) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(address)
            && peer.listed
        {
            peer.listed = false;
            tracing::info!(event = 323, node = %address, connected = peer.link.is_connected(), "the entry of a node was removed");
        }
    }

    /// Marks all nodes that are not in the given list as removed.
    pub fn retain_listed(&self, listed: &dyn Fn(&str) -> bool) {
        let all: Vec<String> = self.peers.borrow().keys().cloned().collect();
        for address in all.iter().filter(|a| !listed(a)) {
            self.mark_removed(address);
        }
    }

    /// Checks for silent connections, and drops disconnected nodes whose entry was removed.
    pub fn tick(&self, now: Instant) {
        self.peers.borrow_mut().retain(|address, peer| {
            peer.link.check_silence(now);
            let lost = peer.link.disconnected_since();
            let expired = !peer.listed && lost.is_some_and(|t| now.since(t) > REMOVED_NODE_TTL);
            if expired {
                tracing::info!(event = 324, node = %address, "dropped a node without an entry or a connection");
                peer.link.close();
            }
            !expired
        });
    }

    /// Returns the connections to all other nodes.
    #[must_use]
    pub fn links(&self) -> Vec<Rc<Link>> {
        let peers = self.peers.borrow();
        peers.values().map(|p| Rc::clone(&p.link)).collect()
    }

    /// Returns the connection to a node.
    #[must_use]
    pub fn link(&self, address: &str) -> Option<Rc<Link>> {
        let peers = self.peers.borrow();
        peers.get(address).map(|p| Rc::clone(&p.link))
    }

    /// Returns the nodes whose hosts have a backend server of a service, or don't tell.
    #[must_use]
    pub fn nodes_of(&self, service: &str) -> Vec<String> {
        let peers = self.peers.borrow();
        let of_service = |p: &Peer| p.service.is_empty() || p.service == service;
        let nodes = peers.iter().filter(|(_, p)| of_service(p));
        nodes.map(|(address, _)| address.clone()).collect()
    }

    /// Returns the service that the entry of a node names, if the node is known.
    #[must_use]
    pub fn service_of(&self, address: &str) -> Option<String> {
        let peers = self.peers.borrow();
        peers.get(address).map(|p| p.service.clone())
    }

    /// Returns the failure domain of a node, if it is known.
    #[must_use]
    pub fn domain_of(&self, address: &str) -> Option<String> {
        if address == self.hello.node {
            return Some(self.hello.domain.clone());
        }
        let link = self.link(address)?;
        let domain = link.domain.borrow().clone();
        Some(domain)
    }

    /// Returns whether a node has an entry.
    #[must_use]
    pub fn is_listed(&self, address: &str) -> bool {
        address == self.hello.node || self.peers.borrow().get(address).is_some_and(|p| p.listed)
    }

    /// Returns the number of nodes in this node's failure domain, including this one.
    #[must_use]
    pub fn domain_size(&self) -> usize {
        let peers = self.peers.borrow();
        let same_domain = |p: &&Peer| *p.link.domain.borrow() == self.hello.domain;
        peers.values().filter(same_domain).count() + 1
    }

    /// Returns the connected nodes of each other failure domain, ordered by address.
    #[must_use]
    pub fn other_domains(&self) -> BTreeMap<String, Vec<String>> {
        let mut all: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (address, peer) in &*self.peers.borrow() {
            let domain = peer.link.domain.borrow();
            if peer.link.is_connected() && *domain != self.hello.domain {
                all.entry(domain.clone()).or_default().push(address.clone());
            }
        }
        all
    }

    /// Returns the number of nodes, including this one.
    #[must_use]
    pub fn size(&self) -> usize {
        self.peers.borrow().len() + 1
    }

    /// Returns the connections and reports of the nodes whose local backend server belongs to a service.
    #[must_use]
    pub fn service_reports(&self, service: &str) -> Vec<(Rc<Link>, Report)> {
        let peers = self.peers.borrow();
        let links = peers.values().map(|p| &p.link);
        let reported = links.filter_map(|l| Some((Rc::clone(l), l.report()?)));
        let of_service = reported.filter(|(_, report)| report.backend_info.service == service);
        of_service.collect()
    }

    /// Returns the reports of a service's nodes, ordered by address, and the number of these nodes that
    /// come before this one: the nodes of the lowest ranks act for their service.
    #[must_use]
    pub fn ranked_reports(&self, service: &str) -> (Vec<(Rc<Link>, Report)>, usize) {
        let mut reports = self.service_reports(service);
        reports.sort_by(|a, b| a.0.node.cmp(&b.0.node));
        let before = reports.iter().filter(|(l, _)| l.node < self.hello.node);
        let rank = before.count();
        (reports, rank)
    }

    /// Returns the connections through which a store call may be relayed, in the order of preference.
    #[must_use]
    pub fn relays(&self) -> Vec<Rc<Link>> {
        // In a large fleet, reports from other failure domains are too rare to rely on.
        let fresh = |l: &Rc<Link>| {
            reports::is_small_fleet(self.size()) || *l.domain.borrow() == self.hello.domain
        };
        let store_up = |l: &Rc<Link>| l.report().is_some_and(|r| r.load.store_up);
        let up = self.links().into_iter();
        let mut up: Vec<_> = up.filter(fresh).filter(store_up).collect();
        // Start at a random node, so that one that the store refuses isn't tried first every time.
        let start = rand::random_range(0..up.len().max(1));
        up.rotate_left(start);
        up.truncate(MAX_RELAYS);
        up
    }
}

/// Returns the number of other nodes that rank before `node`. The first ones by rank watch the store
/// for all nodes. Nodes to which the store responds rank first, then nodes are ordered by address.
/// `others` holds the address of each other node and whether the store responds to it.
#[must_use]
pub fn rank(node: &str, store_up: bool, others: &[(&str, bool)]) -> usize {
    let before = |&&(other, up): &&(&str, bool)| (!up, other) < (!store_up, node);
    others.iter().filter(before).count()
}
