//! Nodes in one process, each on a thread of its own that can be paused or ended, and an observer
//! that checks after every admission that no older owner is still admitting.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use filbertflow::coordination::{coordinator, node, owner, service, standby, store, succession};
use filbertflow::protocol::peer;
use filbertflow::state::{ids, record, settings};
use filbertflow::transport::{counted, peer_server};

use crate::fake;

pub const SERVICE: &str = "box-office";

/// Longest wait for a condition; far above every bound that a test checks.
const PATIENCE: Duration = Duration::from_secs(20);

pub fn partition() -> ids::PartitionId {
    ids::PartitionId::first(SERVICE)
}

pub const UP: peer::BackendState = peer::BackendState {
    up: true,
    draining: false,
    checks: true,
    slots: 20,
};

type Observed = (Arc<node::Node>, Arc<AtomicBool>);

type Announced = Arc<Mutex<Option<(String, peer::BackendState)>>>;

/// Node under test.
#[derive(Debug)]
pub struct TestNode {
    pub node: Arc<node::Node>,
    pub backend: Announced,
    alive: Arc<AtomicBool>,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    handle: tokio::runtime::Handle,
    paused: Option<mpsc::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

pub fn settings(platform: SocketAddr, peer: SocketAddr, domain: &str) -> settings::Settings {
    settings::Settings {
        region: "ie-east".to_owned(),
        domain: domain.to_owned(),
        caller: "127.0.0.1:0".parse().unwrap(),
        peer: ids::NodeAddr(peer),
        peer_listen: None,
        admin: "127.0.0.1:0".parse().unwrap(),
        platform,
        peers: Vec::new(),
    }
}

impl TestNode {
    pub fn start(platform: SocketAddr, domain: &str) -> Self {
        Self::start_at(platform, filbertflow_harness::free_addr(), domain)
    }

    pub fn start_at(platform: SocketAddr, addr: SocketAddr, domain: &str) -> Self {
        Self::start_with(settings(platform, addr, domain))
    }

    pub fn start_with(settings: settings::Settings) -> Self {
        let backend: Announced = Arc::new(Mutex::new(Some((SERVICE.to_owned(), UP))));
        let (ready, started) = mpsc::channel();
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let announced = Arc::clone(&backend);
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            let handle = runtime.handle().clone();
            runtime.block_on(async move {
                let listener = peer_server::bind(settings.peer_listen.unwrap_or(settings.peer.0))
                    .await
                    .unwrap();
                let node = node::Node::new(settings);
                spawn(&node, listener, announced);
                ready.send((node, handle)).unwrap();
                let _ = stopped.await;
            });
            runtime.shutdown_background();
        });
        let (node, handle) = started.recv().unwrap();
        Self {
            node,
            backend,
            alive: Arc::new(AtomicBool::new(true)),
            stop: Some(stop),
            handle,
            paused: None,
            thread: Some(thread),
        }
    }

    pub fn me(&self) -> ids::NodeRef {
        self.node.me
    }

    /// Ends the process: its connections are reset and its port is closed.
    pub fn kill(&mut self) {
        self.alive.store(false, Ordering::SeqCst);
        self.resume();
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }

    /// Stops the node's only thread; the kernel still accepts connections for it.
    pub fn pause(&mut self) {
        let (resume, wait) = mpsc::channel::<()>();
        let (asleep, slept) = mpsc::channel();
        self.handle.spawn(async move {
            asleep.send(()).unwrap();
            let _ = wait.recv();
        });
        slept.recv().unwrap();
        self.paused = Some(resume);
    }

    pub fn resume(&mut self) {
        self.paused = None;
    }

    pub fn set_backend(&self, state: Option<peer::BackendState>) {
        *self.backend.lock().unwrap() = state.map(|s| (SERVICE.to_owned(), s));
    }

    fn observed(&self) -> Observed {
        (Arc::clone(&self.node), Arc::clone(&self.alive))
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    pub fn is_paused(&self) -> bool {
        self.paused.is_some()
    }

    pub fn leads(&self) -> bool {
        self.node.coordinator.leads(&partition()).is_some()
    }

    pub fn record(&self) -> Option<Arc<record::PartitionRecord>> {
        self.node.records.get(&partition())
    }

    /// Whether a request for this hash would be admitted now.
    pub fn admits(&self, hash: u64) -> bool {
        self.node
            .grants
            .admit(&partition(), ids::KeyHash(hash))
            .is_ok()
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(node: &Arc<node::Node>, listener: tokio::net::TcpListener, announced: Announced) {
    let server = Arc::clone(node);
    let traffic = counted::Traffic::from(&node.metrics.peer_traffic);
    tokio::spawn(peer_server::serve(listener, traffic, move |accepted| {
        service::connection(Arc::clone(&server), accepted)
    }));
    let state = move || announced.lock().unwrap().clone();
    tokio::spawn(owner::run_with(Arc::clone(node), state.clone()));
    tokio::spawn(succession::run_with(Arc::clone(node), state));
    tokio::spawn(coordinator::run(Arc::clone(node)));
    tokio::spawn(standby::run(Arc::clone(node)));
}

/// Waits until a condition holds.
#[track_caller]
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(2));
    }
    start.elapsed()
}

/// Hashes spread over the whole space, one for every slice of 64.
pub fn probes() -> Vec<u64> {
    (0..64).map(|i| (i << 58) + (1 << 57)).collect()
}

/// Whether each hash is admitted by one of the nodes.
pub fn all_served(nodes: &[&TestNode]) -> bool {
    probes()
        .into_iter()
        .all(|hash| nodes.iter().any(|n| n.admits(hash)))
}

/// Starts nodes in the given failure domains and waits until all keys are served and two standbys
/// are named.
pub fn cluster(platform: &fake::Fake, domains: &[&str]) -> Vec<TestNode> {
    let nodes: Vec<_> = domains
        .iter()
        .map(|d| TestNode::start(platform.addr, d))
        .collect();
    settled(&nodes);
    nodes
}

/// Waits until every node owns slices, none moves, and two standbys are named, and returns the record
/// that says so. A later look may find another one: when the machine stalls the coordinator for longer
/// than a promise, a claim names fewer standbys until new ones have promised.
pub fn settled(nodes: &[TestNode]) -> Arc<record::PartitionRecord> {
    let named = |r: &record::PartitionRecord| r.standbys.len() == 2.min(nodes.len() - 1);
    wait_for("a settled record", || {
        let mut led = nodes
            .iter()
            .filter_map(|n| n.node.coordinator.leads(&partition()));
        let Some(record) = led.next() else {
            return false;
        };
        named(&record)
            && record.owners().len() == nodes.len()
            && record.slices.iter().all(|s| s.target.is_none())
    });
    let mut settled = None;
    wait_for("one record at all nodes", || {
        let mut records = nodes.iter().map(TestNode::record);
        let first = records.next().unwrap();
        let stamp = first.as_ref().map(|r| r.stamp());
        let same = records.all(|r| r.map(|r| r.stamp()) == stamp);
        settled = first.filter(|r| same && named(r));
        settled.is_some()
    });
    let nodes: Vec<_> = nodes.iter().collect();
    wait_for("all keys to be served", || all_served(&nodes));
    settled.unwrap()
}

/// Checks while it lives that admissions of each hash happen in the order of their tokens, and
/// that one version has one owner.
#[derive(Debug)]
pub struct Observer {
    stop: Arc<AtomicBool>,
    nodes: Arc<Mutex<Vec<Observed>>>,
    thread: Option<thread::JoinHandle<Result<usize, String>>>,
}

impl Observer {
    pub fn watch<'a>(nodes: impl IntoIterator<Item = &'a TestNode>) -> Self {
        let nodes: Vec<_> = nodes.into_iter().map(TestNode::observed).collect();
        let nodes = Arc::new(Mutex::new(nodes));
        let stop = Arc::new(AtomicBool::new(false));
        let (flag, shared) = (Arc::clone(&stop), Arc::clone(&nodes));
        let thread = thread::spawn(move || observe(&shared, &flag));
        Self {
            stop,
            nodes,
            thread: Some(thread),
        }
    }

    /// Watches a further node.
    pub fn add(&self, node: &TestNode) {
        self.nodes.lock().unwrap().push(node.observed());
    }

    /// Returns the number of admissions seen.
    #[track_caller]
    pub fn finish(mut self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        let result = self.thread.take().unwrap().join().unwrap();
        let seen = result.unwrap();
        assert!(seen > 0, "no request was admitted");
        seen
    }
}

fn observe(nodes: &Mutex<Vec<Observed>>, stop: &AtomicBool) -> Result<usize, String> {
    let id = partition();
    let mut last: HashMap<u64, (ids::Token, ids::NodeRef)> = HashMap::new();
    let mut seen = 0;
    while !stop.load(Ordering::Relaxed) {
        let nodes = nodes.lock().unwrap().clone();
        for hash in probes() {
            for (node, alive) in &nodes {
                let Ok(ticket) = node.grants.admit(&id, ids::KeyHash(hash)) else {
                    continue;
                };
                // The memory of an ended process is still here, but it can't serve.
                if !alive.load(Ordering::SeqCst) {
                    continue;
                }
                seen += 1;
                let now = (ticket.token, node.me);
                let before = last.insert(hash, now).unwrap_or(now);
                let ordered = before.0.version < now.0.version
                    || (before.0.version == now.0.version && before.1 == now.1);
                if !ordered {
                    return Err(format!("{hash:#x}: {now:?} was admitted after {before:?}"));
                }
            }
        }
        // Observers of tests that run side by side must not take the processor from the nodes.
        thread::sleep(Duration::from_micros(500));
    }
    Ok(seen)
}

/// Node without tasks and without a listener, for tests that call one function.
pub struct Bare {
    pub node: Arc<node::Node>,
    pub runtime: tokio::runtime::Runtime,
}

pub fn bare(platform: SocketAddr) -> Bare {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let inside = runtime.enter();
    let node = node::Node::new(settings(
        platform,
        filbertflow_harness::free_addr(),
        "ie-east-a",
    ));
    drop(inside);
    Bare { node, runtime }
}

/// Record of this partition with one server, which owns all of two slices.
pub fn owned_by(owner: ids::NodeRef, coordinator: ids::NodeRef) -> record::PartitionRecord {
    let mut slices = record::even_slices(2);
    for slice in &mut slices {
        slice.owner = Some(owner);
    }
    record::PartitionRecord {
        id: partition(),
        epoch: ids::Epoch(1),
        revision: ids::Revision(1),
        coordinator,
        standbys: Vec::new(),
        servers: vec![record::Server {
            node: owner,
            domain: "ie-east-a".to_owned(),
            draining: false,
            checks: true,
        }],
        slices,
        intent: None,
        writer: store::writer(coordinator),
    }
}
