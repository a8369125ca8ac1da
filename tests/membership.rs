//! Gossip between nodes over loopback connections.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "ownership/fake.rs"]
#[expect(dead_code, reason = "this test needs a part of the fake")]
mod fake;

use std::sync::Arc;
use std::{net, thread, time};

use filbertflow::coordination::{membership, node, service};
use filbertflow::state::{ids, record, settings};
use filbertflow::transport::{counted, peer_server};
use tokio::runtime;

/// Time after which a condition that does not hold counts as a failure.
const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// Node with a runtime of its own, so that it can end like a process.
struct Running {
    node: Arc<node::Node>,
    runtime: Option<runtime::Runtime>,
}

impl Running {
    fn start(addr: net::SocketAddr, peers: Vec<ids::NodeAddr>) -> Self {
        Self::with_platform(addr, peers, filbertflow_harness::free_addr())
    }

    fn with_platform(
        addr: net::SocketAddr,
        peers: Vec<ids::NodeAddr>,
        platform: net::SocketAddr,
    ) -> Self {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let nowhere = filbertflow_harness::free_addr();
        let node = node::Node::new(settings::Settings {
            region: "ie-east".to_owned(),
            domain: "ie-east-a".to_owned(),
            caller: nowhere,
            peer: ids::NodeAddr(addr),
            peer_listen: None,
            admin: nowhere,
            platform,
            peers,
        });
        let listener = runtime.block_on(peer_server::bind(addr)).unwrap();
        let served = Arc::clone(&node);
        let traffic = counted::Traffic::from(&node.metrics.peer_traffic);
        runtime.spawn(peer_server::serve(listener, traffic, move |accepted| {
            service::connection(Arc::clone(&served), accepted)
        }));
        runtime.spawn(membership::run(Arc::clone(&node)));
        Self {
            node,
            runtime: Some(runtime),
        }
    }

    fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(time::Duration::from_secs(5));
        }
    }

    fn addr(&self) -> ids::NodeAddr {
        self.node.me.addr
    }

    fn lists(&self, count: usize) -> bool {
        self.node.members.count() == count
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn start(count: usize) -> Vec<Running> {
    let first = Running::start(filbertflow_harness::free_addr(), Vec::new());
    let seed = first.addr();
    let others = (1..count).map(|_| Running::start(filbertflow_harness::free_addr(), vec![seed]));
    std::iter::once(first).chain(others).collect()
}

fn until(what: &str, condition: impl Fn() -> bool) {
    let start = time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "not in time: {what}");
        thread::sleep(time::Duration::from_millis(10));
    }
}

fn record(node: ids::NodeRef, revision: u64) -> record::PartitionRecord {
    record::PartitionRecord {
        id: ids::PartitionId::first("walk-listings"),
        epoch: ids::Epoch(1),
        revision: ids::Revision(revision),
        coordinator: node,
        standbys: Vec::new(),
        servers: Vec::new(),
        slices: record::even_slices(4),
        intent: None,
        writer: record::Writer { node, number: 1 },
    }
}

/// Guards against nodes that know one common peer and never learn of each other, and against
/// nodes that still list one which has announced its end.
#[test]
fn nodes_find_each_other_and_forget_one_that_leaves() {
    let nodes = start(5);
    until("all list 5", || nodes.iter().all(|n| n.lists(5)));
    let leaving = &nodes[4];
    let runtime = leaving.runtime.as_ref().unwrap();
    runtime.block_on(membership::leave(&leaving.node));
    until("all list 4", || nodes.iter().all(|n| n.lists(4)));
}

/// Guards against an entry that outlives its process, and against a restarted process that is
/// taken for the earlier one.
#[test]
fn ended_process_is_removed_and_its_successor_listed() {
    let mut nodes = start(3);
    until("all list 3", || nodes.iter().all(|n| n.lists(3)));
    let mut ended = nodes.pop().unwrap();
    ended.kill();
    until("both list 2", || nodes.iter().all(|n| n.lists(2)));
    let again = Running::start(ended.addr().0, vec![nodes[0].addr()]);
    until("successor is listed", || {
        let known = |n: &Running| n.node.members.incarnation(again.addr());
        nodes
            .iter()
            .all(|n| n.lists(3) && known(n) == Some(again.node.me.incarnation))
    });
}

/// Guards against a node that misses the push of a record and routes by its old copy for ever.
#[test]
fn newer_records_reach_all_nodes() {
    let nodes = start(4);
    until("all list 4", || nodes.iter().all(|n| n.lists(4)));
    let id = ids::PartitionId::first("walk-listings");
    let has = |n: &Running, revision| {
        let known = n.node.records.get(&id);
        known.is_some_and(|r| r.revision == ids::Revision(revision))
    };
    for revision in [1, 2] {
        let holder = &nodes[usize::try_from(revision).unwrap()];
        let new = record(holder.node.me, revision);
        assert!(holder.node.records.offer(new));
        until("record is everywhere", || {
            nodes.iter().all(|n| has(n, revision))
        });
    }
}

/// Guards against nodes that need settings to find each other, and against a registration that is
/// written again although an earlier write without an answer took effect.
#[test]
fn nodes_register_once_and_find_each_other_in_the_platform() {
    let platform = fake::Fake::start();
    platform.set(fake::Mode::LoseAnswers);
    let start =
        || Running::with_platform(filbertflow_harness::free_addr(), Vec::new(), platform.addr);
    let nodes = [start()];
    until("the first write took effect", || platform.writes() == 1);
    platform.set(fake::Mode::Normal);
    let nodes: Vec<_> = nodes.into_iter().chain([start(), start()]).collect();
    until("all list 3", || nodes.iter().all(|n| n.lists(3)));
    assert_eq!(platform.writes(), 3);
}

/// Guards against a restarted node that does not replace its entry, or an entry written twice.
#[test]
fn restarted_node_replaces_its_registration() {
    let platform = fake::Fake::start();
    let addr = filbertflow_harness::free_addr();
    for start in 1..=2 {
        let mut node = Running::with_platform(addr, Vec::new(), platform.addr);
        until("the node is registered", || platform.writes() == start);
        node.kill();
    }
}
