//! Nodes that this node knows, and what they last said of themselves.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::coordination::sidecar::reports;
use crate::protocol::mesh::{Hello, StoreRequest, StoreResponse};
use crate::protocol::ownership::NodeEntry;
use crate::state::clock::Instant;
use crate::transport::sidecar::links::{ItemsHandler, Link, Report};

/// Time for which a node without an entry is kept while it can't be reached.
const UNLISTED_TIME: Duration = Duration::from_secs(3);

/// Nodes that are asked to relay a call to the store.
const RELAYS: usize = 2;

/// Longest wait for a relayed call.
const RELAY_LIMIT: Duration = Duration::from_millis(1200);

#[derive(Debug)]
struct Peer {
    link: Rc<Link>,
    listed: bool,
}

/// Known nodes by address, without this one.
pub struct MembershipView {
    hello: Hello,
    take_items: RefCell<ItemsHandler>,
    peers: RefCell<BTreeMap<String, Peer>>,
    /// Told of new reports and lost connections.
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
    /// Creates an empty roster.
    #[must_use]
    pub fn new(hello: Hello) -> Self {
        Self {
            hello,
            take_items: RefCell::new(Rc::new(|_, _| ())),
            peers: RefCell::new(BTreeMap::new()),
            report_changed: Rc::new(Notify::new()),
        }
    }

    /// Sets what gets the items that other nodes send.
    pub fn set_items_handler(&self, take: ItemsHandler) {
        *self.take_items.borrow_mut() = take;
    }

    /// Returns this node's place among the connected nodes, `answered` telling whether the store
    /// answers it.
    #[must_use]
    pub fn rank(&self, answered: bool) -> usize {
        let peers = self.peers.borrow();
        let reports = peers
            .values()
            .filter_map(|p| Some((&p.link.node, p.link.report()?)));
        let others: Vec<_> = reports
            .map(|(node, r)| (node.as_str(), r.load.store_up))
            .collect();
        rank(&self.hello.node, answered, &others)
    }

    /// Takes the entry of a node over.
    pub fn add(&self, entry: &NodeEntry) {
        if entry.address == self.hello.node {
            return;
        }
        let Ok(address) = entry.address.parse::<SocketAddr>() else {
            tracing::warn!(event = 321, address = %entry.address, "the entry of a node has no usable address");
            return;
        };
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(entry.address.clone()).or_insert_with(|| {
            tracing::info!(event = 322, node = %entry.address, domain = %entry.domain, "a node joined");
            let hello = self.hello.clone();
            let take = self.take_items.borrow().clone();
            let link = Link::start(address, &entry.domain, hello, Rc::clone(&self.report_changed), take);
            Peer { link, listed: true }
        });
        peer.listed = true;
        entry.domain.clone_into(&mut peer.link.domain.borrow_mut());
    }

    /// Marks a node whose entry has ended.
    pub fn mark_removed(&self, address: &str) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(address)
            && peer.listed
        {
            peer.listed = false;
            tracing::info!(event = 323, node = %address, connected = peer.link.is_connected(), "the entry of a node ended");
        }
    }

    /// Marks all nodes whose entries are not among the given ones.
    pub fn retain_listed(&self, listed: &dyn Fn(&str) -> bool) {
        let all: Vec<String> = self.peers.borrow().keys().cloned().collect();
        for address in all.iter().filter(|a| !listed(a)) {
            self.mark_removed(address);
        }
    }

    /// Looks for silent connections, and forgets nodes that are gone.
    pub fn tick(&self, now: Instant) {
        self.peers.borrow_mut().retain(|address, peer| {
            peer.link.check_silence(now);
            let lost = peer.link.disconnected_since();
            let gone = !peer.listed && lost.is_some_and(|t| now.since(t) > UNLISTED_TIME);
            if gone {
                tracing::info!(event = 324, node = %address, "a node is gone");
                peer.link.close();
            }
            !gone
        });
    }

    /// Returns the connections to all nodes.
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

    /// Returns whether a node has an entry.
    #[must_use]
    pub fn is_listed(&self, address: &str) -> bool {
        address == self.hello.node || self.peers.borrow().get(address).is_some_and(|p| p.listed)
    }

    /// Returns the number of nodes in the failure domain of this node, with it.
    #[must_use]
    pub fn domain_size(&self) -> usize {
        let peers = self.peers.borrow();
        let near = |p: &&Peer| *p.link.domain.borrow() == self.hello.domain;
        peers.values().filter(near).count() + 1
    }

    /// Returns the connected nodes of each failure domain but this node's own, in order.
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

    /// Returns the number of nodes, with this one.
    #[must_use]
    pub fn size(&self) -> usize {
        self.peers.borrow().len() + 1
    }

    /// Returns the reports of the connected nodes beside a service's backend servers.
    #[must_use]
    pub fn service_reports(&self, service: &str) -> Vec<(Rc<Link>, Report)> {
        let peers = self.peers.borrow();
        let links = peers.values().map(|p| &p.link);
        let reported = links.filter_map(|l| Some((Rc::clone(l), l.report()?)));
        let beside = reported.filter(|(_, report)| report.about.service == service);
        beside.collect()
    }

    /// Makes a call to the store through other nodes, until one has an answer.
    pub async fn relay(&self, request: StoreRequest) -> Option<StoreResponse> {
        // Nodes elsewhere tell too seldom in a large fleet whether the store answers them.
        let fresh = |l: &Rc<Link>| {
            reports::is_small_fleet(self.size()) || *l.domain.borrow() == self.hello.domain
        };
        let answered = |l: &Rc<Link>| l.report().is_some_and(|r| r.load.store_up);
        let up = self.links().into_iter();
        let mut up: Vec<_> = up.filter(fresh).filter(answered).collect();
        // Another start for each call, so that one node that is turned away isn't asked always.
        let turn = rand::random_range(0..up.len().max(1));
        up.rotate_left(turn);
        for link in up.into_iter().take(RELAYS) {
            if let Some(response) = link.relay(request.clone(), RELAY_LIMIT).await {
                return Some(response);
            }
        }
        None
    }
}

/// Returns how many other nodes come before `node` in the order in which nodes call the store for
/// all: those that the store answers first, then by address. `others` holds the address of each
/// other node and whether the store answers it.
#[must_use]
pub fn rank(node: &str, answered: bool, others: &[(&str, bool)]) -> usize {
    let before = |&&(other, up): &&(&str, bool)| (!up, other) < (!answered, node);
    others.iter().filter(before).count()
}
