//! Membership gossip between nodes over loopback connections.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "ownership/fake.rs"]
#[expect(dead_code, reason = "these tests use a part of the module")]
mod fake;

use std::sync::Arc;
use std::{net, thread, time};

use filbertflow::coordination::{membership, node, service};
use filbertflow::state::{ids, record, settings};
use filbertflow::transport::{counted, peer_server};
use tokio::runtime;

/// Timeout of all conditions.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Node with its own runtime, so that it can be killed like a process.
struct NodeProcess {
    node: Arc<node::Node>,
    runtime: Option<runtime::Runtime>,
}

impl NodeProcess {
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
        let unused = filbertflow_harness::free_addr();
        let node = node::Node::new(settings::Settings {
            region: "ie-east".to_owned(),
            domain: "ie-east-a".to_owned(),
            caller: unused,
            peer: ids::NodeAddr(addr),
            peer_listen: None,
            admin: unused,
            platform,
            peers,
        });
        let listener = runtime.block_on(peer_server::bind(addr)).unwrap();
        let handler_node = Arc::clone(&node);
        let traffic = counted::Traffic::from(&node.metrics.peer_traffic);
        runtime.spawn(peer_server::serve(listener, traffic, move |accepted| {
            service::connection(Arc::clone(&handler_node), accepted)
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

    fn has_members(&self, count: usize) -> bool {
        self.node.members.count() == count
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Starts nodes that all know the first one.
fn start_nodes(count: usize) -> Vec<NodeProcess> {
    let first = NodeProcess::start(filbertflow_harness::free_addr(), Vec::new());
    let seed = first.addr();
    let others =
        (1..count).map(|_| NodeProcess::start(filbertflow_harness::free_addr(), vec![seed]));
    std::iter::once(first).chain(others).collect()
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out: {what}");
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

/// Guards against nodes that share one peer but don't discover each other, and against nodes that
/// keep a member that has announced its departure.
#[test]
fn nodes_find_each_other_and_forget_one_that_leaves() {
    let nodes = start_nodes(5);
    wait_until("all nodes have 5 members", || {
        nodes.iter().all(|n| n.has_members(5))
    });
    let leaving = &nodes[4];
    let runtime = leaving.runtime.as_ref().unwrap();
    runtime.block_on(membership::leave(&leaving.node));
    wait_until("all nodes have 4 members", || {
        nodes.iter().all(|n| n.has_members(4))
    });
}

/// Guards against a member entry that outlives its process, and against a restarted process that
/// is taken for its earlier incarnation.
#[test]
fn ended_process_is_removed_and_its_successor_listed() {
    let mut nodes = start_nodes(3);
    wait_until("all nodes have 3 members", || {
        nodes.iter().all(|n| n.has_members(3))
    });
    let mut killed = nodes.pop().unwrap();
    killed.kill();
    wait_until("both nodes have 2 members", || {
        nodes.iter().all(|n| n.has_members(2))
    });
    let restarted = NodeProcess::start(killed.addr().0, vec![nodes[0].addr()]);
    wait_until("the restarted node is a member", || {
        let known = |n: &NodeProcess| n.node.members.incarnation(restarted.addr());
        nodes
            .iter()
            .all(|n| n.has_members(3) && known(n) == Some(restarted.node.me.incarnation))
    });
}

/// Guards against a node that misses a pushed record and keeps routing by its old copy.
#[test]
fn newer_records_reach_all_nodes() {
    let nodes = start_nodes(4);
    wait_until("all nodes have 4 members", || {
        nodes.iter().all(|n| n.has_members(4))
    });
    let id = ids::PartitionId::first("walk-listings");
    let has = |n: &NodeProcess, revision| {
        let known = n.node.records.get(&id);
        known.is_some_and(|r| r.revision == ids::Revision(revision))
    };
    for revision in [1, 2] {
        let writer = &nodes[usize::try_from(revision).unwrap()];
        let new = record(writer.node.me, revision);
        assert!(writer.node.records.offer(new));
        wait_until("all nodes have the record", || {
            nodes.iter().all(|n| has(n, revision))
        });
    }
}

/// Guards against nodes that can't discover each other without configured peers, and against a
/// registration that is written twice because the first write took effect without a response.
#[test]
fn nodes_register_once_and_find_each_other_in_the_platform() {
    let platform = fake::Fake::start();
    platform.set(fake::Mode::LoseAnswers);
    let start =
        || NodeProcess::with_platform(filbertflow_harness::free_addr(), Vec::new(), platform.addr);
    let nodes = [start()];
    wait_until("the first write took effect", || platform.writes() == 1);
    platform.set(fake::Mode::Normal);
    let nodes: Vec<_> = nodes.into_iter().chain([start(), start()]).collect();
    wait_until("all nodes have 3 members", || {
        nodes.iter().all(|n| n.has_members(3))
    });
    assert_eq!(platform.writes(), 3);
}

/// Guards against a restarted node that doesn't replace its entry, or writes it twice.
#[test]
fn restarted_node_replaces_its_registration() {
    let platform = fake::Fake::start();
    let addr = filbertflow_harness::free_addr();
    for start in 1..=2 {
        let mut node = NodeProcess::with_platform(addr, Vec::new(), platform.addr);
        wait_until("the node is registered", || platform.writes() == start);
        node.kill();
    }
}
