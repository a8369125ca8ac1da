//! Nodes whose records and leases are set by the test instead of a coordinator.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::{net, time};

use filbertflow::coordination::{backend, membership, node, router, service};
use filbertflow::protocol::backend::Announcement;
use filbertflow::state::{clock, ids, record, settings, timing};
use filbertflow::transport::{counted, peer_server};
use tokio::runtime;

/// Document with two services: one partitioned by key, one without keys.
pub const DOCUMENT: &str = r#"{
  "hold_ms": 60000,
  "classes": [ { "name": "tourist", "priority": 2 }, { "name": "operator", "priority": 0 } ],
  "services": [
    {
      "name": "walks", "key": { "segment": 0 }, "slices": 1,
      "weights": { "imbalance": 1, "churn": 1, "unavailable_time": 1 },
      "churn_budget_percent": 20, "queue_requests": 4, "retry_budget_percent": 10,
      "objective": { "availability_percent": 99.9, "latency_ms": 250, "window_hours": 720 },
      "routes": [
        { "method": "GET", "prefix": "/", "idempotent": true, "deadline_ms": 4000 },
        { "method": "POST", "prefix": "/", "idempotent": false, "deadline_ms": 4000 }
      ]
    },
    {
      "name": "desk", "slices": 1,
      "weights": { "imbalance": 1, "churn": 1, "unavailable_time": 1 },
      "churn_budget_percent": 20, "queue_requests": 4, "retry_budget_percent": 10,
      "objective": { "availability_percent": 99.9, "latency_ms": 250, "window_hours": 720 },
      "routes": [
        { "method": "GET", "prefix": "/", "idempotent": true, "deadline_ms": 4000 },
        { "method": "POST", "prefix": "/", "idempotent": false, "deadline_ms": 4000 }
      ]
    }
  ]
}"#;

/// Lease duration that exceeds any test.
const LEASE: time::Duration = time::Duration::from_mins(10);

/// Node with its own runtime.
pub struct Host {
    pub node: Arc<node::Node>,
    pub caller: net::SocketAddr,
    announced: Arc<Mutex<Option<Announcement>>>,
    runtime: Option<runtime::Runtime>,
}

impl Host {
    pub fn start() -> Self {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let any: net::SocketAddr = "127.0.0.1:0".parse().unwrap();
        let peer = filbertflow_harness::free_addr();
        let node = node::Node::new(settings::Settings {
            region: "ie-east".to_owned(),
            domain: "ie-east-a".to_owned(),
            caller: any,
            peer: ids::NodeAddr(peer),
            peer_listen: None,
            admin: any,
            platform: filbertflow_harness::free_addr(),
            peers: Vec::new(),
        });
        node.config
            .offer(ids::DocRevision(1), DOCUMENT)
            .expect("the test document is valid");
        let listener = runtime.block_on(peer_server::bind(peer)).unwrap();
        let served = Arc::clone(&node);
        let traffic = counted::Traffic::from(&node.metrics.peer_traffic);
        runtime.spawn(peer_server::serve(listener, traffic, move |accepted| {
            service::connection(Arc::clone(&served), accepted)
        }));
        runtime.spawn(backend::run(Arc::clone(&node)));
        runtime.spawn(membership::run(Arc::clone(&node)));
        let caller = runtime.block_on(async { router::start(&node) }).unwrap();
        let announced = Arc::default();
        runtime.spawn(announce(Arc::clone(&node), Arc::clone(&announced)));
        Self {
            node,
            caller,
            announced,
            runtime: Some(runtime),
        }
    }

    /// Stops the node abruptly with its listener and all its tasks, as if its process were killed.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(time::Duration::from_secs(5));
        }
    }

    pub fn spawn<F: Future<Output = ()> + Send + 'static>(&self, task: F) {
        self.runtime.as_ref().unwrap().spawn(task);
    }

    /// Starts to announce a backend server to this node periodically.
    pub fn announce(&self, service: &str, addr: net::SocketAddr, slots: u32) {
        self.set_announcement(Some(announcement(service, addr, slots)));
    }

    /// Replaces the periodic announcement, or stops it if there is none.
    pub fn set_announcement(&self, new: Option<Announcement>) {
        self.announced.lock().unwrap().clone_from(&new);
        if let Some(new) = new {
            self.node.backend.announce(new);
        }
    }

    /// Offers the node a record in which `owner` owns all slices. If this node is the owner, it also
    /// gets a lease.
    pub fn offer_record(&self, service: &str, owner: Option<ids::NodeRef>, revision: u64) {
        let record = record(service, owner, self.node.me, revision);
        if owner == Some(self.node.me) {
            self.lease(&record, LEASE);
        }
        self.node.records.offer(record);
    }

    pub fn lease(&self, record: &record::PartitionRecord, length: time::Duration) {
        let expiry = clock::Instant::now() + length;
        let record = Arc::new(record.clone());
        self.node.grants.renew(record, expiry, &HashMap::new());
    }

    pub fn dropped(&self, location: &str, reason: &str) -> u64 {
        let dropped = &self.node.metrics.dropped;
        dropped.with_label_values(&[location, reason]).get()
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.caller)
    }
}

async fn announce(node: Arc<node::Node>, announced: Arc<Mutex<Option<Announcement>>>) {
    let mut interval = tokio::time::interval(timing::ANNOUNCEMENT_INTERVAL);
    loop {
        interval.tick().await;
        let current = announced.lock().unwrap().clone();
        if let Some(current) = current {
            node.backend.announce(current);
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn announcement(service: &str, addr: net::SocketAddr, slots: u32) -> Announcement {
    Announcement {
        service: service.to_owned(),
        address: addr,
        incarnation: 1,
        slots,
        connections: 120,
        checks_tokens: true,
        draining: false,
        cold_start_ms: 0,
    }
}

pub fn record(
    service: &str,
    owner: Option<ids::NodeRef>,
    writer: ids::NodeRef,
    revision: u64,
) -> record::PartitionRecord {
    let mut slices = record::even_slices(1);
    slices[0].owner = owner;
    slices[0].version = ids::SliceVersion(revision);
    let servers = owner.into_iter().map(|node| record::Server {
        node,
        domain: "ie-east-a".to_owned(),
        draining: false,
        checks: true,
    });
    record::PartitionRecord {
        id: ids::PartitionId::first(service),
        epoch: ids::Epoch(1),
        revision: ids::Revision(revision),
        coordinator: writer,
        standbys: Vec::new(),
        servers: servers.collect(),
        slices,
        intent: None,
        writer: record::Writer {
            node: writer,
            number: revision,
        },
    }
}
