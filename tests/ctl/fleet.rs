//! Fleet of nodes in the test process, without backend servers.

use std::net::SocketAddr;
use std::sync::Arc;

use filbertflow::coordination::{admin, config, membership, node, service};
use filbertflow::state::{ids, settings};
use filbertflow::transport::{self, counted, peer_server};

use crate::fake::Fake;

/// Running nodes, each with membership, the document and an admin address.
pub struct Fleet {
    nodes: Vec<Arc<node::Node>>,
    servers: Vec<transport::admin::Server>,
    runtime: Option<tokio::runtime::Runtime>,
}

/// Starts nodes in two failure domains and waits until they know each other.
pub fn start(fake: &Fake, count: usize) -> Fleet {
    let mut fleet = Fleet {
        nodes: Vec::new(),
        servers: Vec::new(),
        runtime: Some(tokio::runtime::Runtime::new().unwrap()),
    };
    for _ in 0..count {
        fleet.add(fake);
    }
    fleet.wait(|n| n.members.live().len() == count);
    fleet
}

impl Fleet {
    /// Starts another node, with the earlier nodes as its peers.
    pub fn add(&mut self, fake: &Fake) {
        let runtime = self.runtime.as_ref().unwrap();
        let _guard = runtime.enter();
        let node = node::Node::new(settings::Settings {
            region: "ie-east".to_owned(),
            domain: format!("ie-east-{}", self.nodes.len() % 2),
            caller: filbertflow_harness::free_addr(),
            peer: ids::NodeAddr(filbertflow_harness::free_addr()),
            admin: filbertflow_harness::free_addr(),
            platform: fake.addr,
            peer_listen: None,
            peers: self.nodes.iter().map(|n| n.me.addr).collect(),
        });
        let listener = runtime.block_on(peer_server::bind(node.me.addr.0)).unwrap();
        let peer_node = Arc::clone(&node);
        let traffic = counted::Traffic::from(&node.metrics.peer_traffic);
        runtime.spawn(peer_server::serve(listener, traffic, move |accepted| {
            service::connection(Arc::clone(&peer_node), accepted)
        }));
        runtime.spawn(membership::run(Arc::clone(&node)));
        runtime.spawn(config::run(Arc::clone(&node)));
        self.servers.push(admin::start(Arc::clone(&node)).unwrap());
        self.nodes.push(node);
    }

    pub fn nodes(&self) -> &[Arc<node::Node>] {
        &self.nodes
    }

    pub fn admin(&self) -> SocketAddr {
        self.nodes[0].settings.admin
    }

    pub fn node(&self) -> &Arc<node::Node> {
        &self.nodes[0]
    }

    pub fn revisions(&self) -> Vec<u64> {
        self.nodes.iter().map(|n| n.config.revision().0).collect()
    }

    /// Waits until a condition holds on all nodes, for at most 30 seconds.
    pub fn wait(&self, condition: impl Fn(&node::Node) -> bool) {
        let deadline = std::time::Instant::now() + std::time::Duration::from_secs(30);
        while !self.nodes.iter().all(|n| condition(n)) {
            assert!(
                std::time::Instant::now() < deadline,
                "condition not met within 30 s"
            );
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
