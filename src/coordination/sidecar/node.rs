//! Life of a sidecar: its parts, its timers, and its end.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::{task, time};

use crate::coordination::sidecar::catchup::{Action, CatchUp, Source};
use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::departures::Departures;
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::forwarders;
use crate::coordination::sidecar::grant_manager::GrantManager;
use crate::coordination::sidecar::heartbeats::HeartbeatHandler;
use crate::coordination::sidecar::ingress::{CallerHandler, Dependencies, Ingress, ShutdownStage};
use crate::coordination::sidecar::membership::MembershipView;
use crate::coordination::sidecar::peer_handler::{self, PeerHandler};
use crate::coordination::sidecar::planner::{self, Planner};
use crate::coordination::sidecar::registration::Registration;
use crate::coordination::sidecar::replication::{ConfigWatchHandler, Replicator};
use crate::coordination::sidecar::reports;
use crate::coordination::sidecar::retry_budget::{self, RetryBudget};
use crate::coordination::sidecar::start::StartError;
use crate::coordination::sidecar::tables::{self, Tables};
use crate::coordination::sidecar::watch;
use crate::metrics::Metrics;
use crate::protocol::adapter::Adapter;
use crate::protocol::mesh::{BackendInfo, Frame, Hello, Load};
use crate::protocol::ownership::NodeEntry;
use crate::state::clock::Instant;
use crate::state::sidecar_settings::SidecarSettings;
use crate::transport::sidecar::caller;
use crate::transport::sidecar::http_server;
use crate::transport::sidecar::links::{self, Link};
use crate::transport::sidecar::peer_server::{Handler, PeerServer};
use crate::transport::sidecar::socket;
use crate::transport::sidecar::store::StoreClient;

/// Interval of the dispatcher's and the owner's checks.
const CHECK: Duration = Duration::from_millis(100);

/// Longest wait of the first question for a configuration, in which others get it.
const CONFIG_SPREAD: Duration = Duration::from_millis(120);

/// Longest wait of the first question for items, in which they are passed on without one.
const ITEMS_SPREAD: Duration = Duration::from_millis(250);

/// Pause between two questions for newer state.
const ASK_PAUSE: Duration = Duration::from_millis(20);

/// Part of the grace time after which a stopping node closes idle connections of callers, who
/// look for another node after two failed probes.
const CLOSING_SHARE: f64 = 0.42;

/// Part of the grace time in which a stopping node still takes work from other nodes.
const OPEN_SHARE: f64 = 0.6;

/// Part of the grace time after which a stopping node ends whatever is left.
const END_SHARE: f64 = 0.9;

/// Interval at which a stopping node looks whether it has answered everything.
const END_POLL: Duration = Duration::from_millis(20);

/// Time for the last messages to other nodes.
const FLUSH: Duration = Duration::from_millis(40);

/// Longest wait for the removal of the node's entry.
const LEAVE_LIMIT: Duration = Duration::from_millis(300);

/// Sidecar that runs.
#[derive(Debug)]
pub struct Node {
    site: SidecarSettings,
    store: Rc<StoreClient>,
    configuration: Rc<Configuration>,
    membership: Rc<MembershipView>,
    tables: Rc<Tables>,
    replicator: Rc<Replicator>,
    peer_handler: Rc<PeerHandler>,
    dispatcher: Rc<Dispatcher>,
    registration: Rc<Registration>,
    departures: Rc<Departures>,
    planner: Rc<Planner>,
    grant_manager: Rc<GrantManager>,
    ingress: Rc<Ingress>,
    peers: Rc<PeerServer>,
    changed: Rc<Notify>,
    read_config: Rc<Notify>,
    read_directory: Rc<Notify>,
    stopping: Cell<bool>,
    connections: Rc<Cell<usize>>,
    metrics: Metrics,
}

impl Node {
    /// Creates the parts of a sidecar.
    #[must_use]
    pub fn new(site: &SidecarSettings, adapter: &Rc<dyn Adapter>, metrics: &Metrics) -> Rc<Self> {
        let address = site.listen.announced.to_string();
        let incarnation = rand::random();
        let hello = Hello {
            node: address.clone(),
            incarnation,
            domain: site.domain.clone(),
        };
        let changed = Rc::new(Notify::new());
        let calls = metrics.store_calls.clone();
        let store = Rc::new(StoreClient::new(Rc::clone(adapter), site.store, calls));
        let configuration = Rc::new(Configuration::new(Rc::clone(adapter), Rc::clone(&changed)));
        let membership = Rc::new(MembershipView::new(hello.clone()));
        let tables = Rc::new(Tables::new(Rc::clone(&store)));
        let replicator = Replicator::new(
            Rc::clone(&store),
            Rc::clone(&membership),
            Rc::clone(&tables),
            Rc::clone(&configuration),
            &site.domain,
        );
        let take = Rc::clone(&replicator);
        membership.set_items_handler(Rc::new(move |domain, items| {
            take.apply_remote(domain, items);
        }));
        let dispatcher =
            Dispatcher::new(Rc::clone(adapter), site.bounds.drain, Rc::clone(&changed));
        let entry = NodeEntry {
            address: address.clone(),
            incarnation,
            domain: site.domain.clone(),
        };
        let departures = Departures::new(&address, Rc::clone(&store));
        let registration = Rc::new(Registration::new(Rc::clone(&store), entry));
        let planner = Rc::new(Planner::new(
            &address,
            Rc::clone(&store),
            Rc::clone(&dispatcher),
            Rc::clone(&membership),
            Rc::clone(&tables),
            Rc::clone(&replicator),
            Rc::clone(&registration),
        ));
        let grant_manager = GrantManager::new(
            &address,
            site.bounds.max_hold,
            Rc::clone(&dispatcher),
            Rc::clone(&tables),
            Rc::clone(&replicator),
            Rc::clone(&registration),
        );
        let peer_handler = Rc::new(PeerHandler {
            dispatcher: Rc::clone(&dispatcher),
            planner: Rc::clone(&planner),
            store: Rc::clone(&store),
            configuration: Rc::clone(&configuration),
            replicator: Rc::clone(&replicator),
            call_delay: RefCell::new(peer_handler::no_delay()),
        });
        let ingress = Ingress::new(Dependencies {
            node: address,
            domain: site.domain.clone(),
            service: site.service.clone(),
            adapter: Rc::clone(adapter),
            configuration: Rc::clone(&configuration),
            membership: Rc::clone(&membership),
            tables: Rc::clone(&tables),
            dispatcher: Rc::clone(&dispatcher),
            retry_budget: RetryBudget::new(retry_budget::RetryLimits::from(site.bounds)),
            metrics: metrics.clone(),
        });
        Rc::new(Self {
            site: site.clone(),
            store,
            configuration,
            membership,
            tables,
            replicator,
            dispatcher,
            registration,
            departures,
            planner,
            grant_manager,
            ingress,
            peers: PeerServer::new(Rc::clone(&peer_handler) as Rc<dyn Handler>, hello),
            peer_handler,
            changed,
            read_config: Rc::new(Notify::new()),
            read_directory: Rc::new(Notify::new()),
            stopping: Cell::new(false),
            connections: Rc::new(Cell::new(0)),
            metrics: metrics.clone(),
        })
    }

    /// Opens the listeners and starts all tasks.
    ///
    /// # Errors
    ///
    /// Returns the address that can't be listened on.
    pub fn start(
        self: &Rc<Self>,
        adapter: &Rc<dyn Adapter>,
        metrics: Option<SocketAddr>,
    ) -> Result<(), StartError> {
        let listen = |purpose, address| {
            socket::listen(address).map_err(|source| StartError {
                purpose,
                address,
                source,
            })
        };
        let callers = listen("callers", self.site.listen.callers)?;
        let peers = listen("nodes", self.site.listen.peers)?;
        let ready = listen("readiness probes", self.site.listen.ready)?;
        let beats = listen("heartbeats", self.site.listen.heartbeats)?;
        if let Some(address) = metrics {
            let listener = listen("metrics", address)?;
            task::spawn_local(http_server::serve(
                listener,
                "metrics",
                self.metrics_handler(),
            ));
        }
        let relay = Rc::clone(&self.membership);
        self.store.set_relay(Box::new(move |request| {
            let membership = Rc::clone(&relay);
            Box::pin(async move { membership.relay(request).await })
        }));
        let handler = Rc::new(CallerHandler(Rc::clone(&self.ingress)));
        let open = Rc::clone(&self.connections);
        task::spawn_local(caller::accept(callers, handler, open));
        task::spawn_local(Rc::clone(&self.peers).accept(peers));
        task::spawn_local(http_server::serve(
            ready,
            "ready",
            self.ready_handler(adapter),
        ));
        task::spawn_local(http_server::serve(
            beats,
            "heartbeats",
            self.beats_handler(adapter),
        ));
        self.spawn(|node| async move { node.departures.load().await });
        self.spawn(|node| async move { node.registration.run().await });
        self.follow();
        self.spawn(|node| async move { node.report_load().await });
        self.spawn(|node| async move { node.check().await });
        self.spawn(|node| async move { node.watch_links().await });
        self.spawn(|node| async move { node.catch_up().await });
        self.spawn(|node| async move { node.pass_on().await });
        self.spawn(|node| async move { node.plan().await });
        Ok(())
    }

    fn spawn<F: Future<Output = ()> + 'static>(self: &Rc<Self>, run: impl FnOnce(Rc<Self>) -> F) {
        task::spawn_local(run(Rc::clone(self)));
    }

    fn metrics_handler(&self) -> http_server::Handler {
        let metrics = self.metrics.clone();
        Rc::new(move |_, _| {
            let text = metrics.encode().into_bytes();
            Box::pin(async move { (200, text) })
        })
    }

    fn ready_handler(self: &Rc<Self>, adapter: &Rc<dyn Adapter>) -> http_server::Handler {
        let node = Rc::clone(self);
        let adapter = Rc::clone(adapter);
        Rc::new(move |head, _| {
            let status = match adapter.is_readiness_probe(&head) {
                true if node.is_ready() => 200,
                true => 503,
                false => 404,
            };
            Box::pin(async move { (status, Vec::new()) })
        })
    }

    fn beats_handler(self: &Rc<Self>, adapter: &Rc<dyn Adapter>) -> http_server::Handler {
        let beats = Rc::new(HeartbeatHandler {
            node: self.site.listen.announced.to_string(),
            address: self.site.backend,
            adapter: Rc::clone(adapter),
            configuration: Rc::clone(&self.configuration),
            dispatcher: Rc::clone(&self.dispatcher),
            grant_manager: Rc::clone(&self.grant_manager),
            departures: Rc::clone(&self.departures),
        });
        Rc::new(move |head, body| {
            let beats = Rc::clone(&beats);
            Box::pin(async move { beats.handle(&head, &body).await })
        })
    }

    /// Returns whether the node can take callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.configuration.get().is_some()
    }

    fn follow(&self) {
        let replicator = Rc::clone(&self.replicator);
        let config = Rc::new(ConfigWatchHandler {
            replicator: Rc::clone(&replicator),
        });
        let start = |prefix, follower, again| {
            task::spawn_local(watch::run(Rc::clone(&self.store), prefix, follower, again));
        };
        start(
            self.configuration.key(),
            config,
            Rc::clone(&self.read_config),
        );
        start(
            tables::PREFIX.to_owned(),
            replicator,
            Rc::clone(&self.read_directory),
        );
    }

    /// Tells other nodes the load when it has changed.
    async fn report_load(&self) {
        let mut about = BackendInfo::default();
        loop {
            tokio::select! {
                () = time::sleep(reports::min_interval(2 * self.membership.domain_size())) => {}
                () = self.changed.notified() => {}
                () = self.tables.changed.notified() => {}
            }
            let beside = self.dispatcher.backend_info();
            if beside != about {
                self.peers.broadcast(&Frame::About(beside.clone()));
                about = beside;
            }
            let load = self.peer_handler.load();
            let (now, nodes) = (Instant::now(), self.membership.size());
            let watches = self.replicator.is_watcher();
            self.peers.report_load(load, |told| {
                reports::is_due(&load, told, watches, nodes, now)
            });
        }
    }

    /// Passes news of the store on: what the store told to all of this failure domain and to one node
    /// of each other one, what another failure domain told to all of this one.
    async fn pass_on(&self) {
        loop {
            self.replicator.update_ready.notified().await;
            let Some(news) = self.replicator.take_update() else {
                continue;
            };
            let rank = self.membership.rank(self.store.is_reachable());
            let relays = forwarders::select(&self.membership.other_domains(), rank);
            let items = self.replicator.changes_since(news.since);
            self.peers.send_items(&items, |node, domain| {
                let relay = news.from_store && relays.iter().any(|r| r == node);
                domain == self.site.domain || relay
            });
        }
    }

    async fn check(&self) {
        loop {
            time::sleep(CHECK).await;
            self.dispatcher.tick();
            self.grant_manager.tick().await;
        }
    }

    async fn watch_links(&self) {
        loop {
            time::sleep(links::SILENCE_CHECK_INTERVAL).await;
            self.membership.tick(Instant::now());
        }
    }

    /// Asks other nodes for state that they have reported and this one has not.
    async fn catch_up(&self) {
        let mut config = CatchUp::new(CONFIG_SPREAD);
        let mut items = CatchUp::new(ITEMS_SPREAD);
        loop {
            tokio::select! {
                () = self.membership.report_changed.notified() => {}
                () = time::sleep(CHECK) => {}
            }
            let links = self.membership.links();
            let loads = links.iter().filter_map(|l| Some((l, l.report()?.load)));
            let loads: Vec<_> = loads.collect();
            let ahead = |is_ahead: &dyn Fn(&Load) -> bool| -> Vec<Ahead<'_>> {
                let ahead = loads.iter().filter(|(_, load)| is_ahead(load));
                ahead
                    .map(|(link, _)| (*link, *link.domain.borrow() == self.site.domain))
                    .collect()
            };
            let (version, known) = (self.configuration.version(), self.replicator.revision());
            let newer = ahead(&|load| load.config > version);
            let (want, read) = (Frame::WantConfig, &self.read_config);
            ask(&mut config, version.0, &newer, want, read);
            let newer = ahead(&|load| load.items > known);
            let want = Frame::Want(self.replicator.request_revision());
            let read = &self.read_directory;
            ask(&mut items, known, &newer, want, read);
            // Further reports come within this pause.
            time::sleep(ASK_PAUSE).await;
        }
    }

    async fn plan(&self) {
        loop {
            time::sleep(planner::PLAN_INTERVAL).await;
            self.planner.tick().await;
        }
    }

    /// Takes over what may change while the node runs.
    pub fn reload(&self, site: &SidecarSettings) {
        self.dispatcher.set_drain_timeout(site.bounds.drain);
        self.ingress
            .set_retry_limits(retry_budget::RetryLimits::from(site.bounds));
        self.store.set_address(site.store);
    }

    /// Stops: no new callers, then no new work from other nodes, then the end when all is answered.
    pub async fn stop(&self) {
        self.stopping.set(true);
        self.ingress.set_stage(ShutdownStage::Draining);
        let start = Instant::now();
        let grace = self.site.bounds.grace;
        time::sleep(grace.mul_f64(CLOSING_SHARE)).await;
        self.ingress.set_stage(ShutdownStage::Terminating);
        // What was established before the listener closed counts as open from now on.
        time::sleep(caller::ACCEPT_DRAIN_LIMIT).await;
        let last_call = start + grace.mul_f64(OPEN_SHARE);
        self.until(last_call, || self.connections.get() == 0).await;
        // Callers elsewhere depend on this node until its successor runs, so it stops late.
        self.dispatcher.stop();
        let end = start + grace.mul_f64(END_SHARE);
        let busy =
            || self.connections.get() + self.peers.running_calls() + self.dispatcher.in_flight();
        self.until(end, || busy() == 0).await;
        if busy() > 0 {
            tracing::warn!(
                event = 117,
                connections = self.connections.get(),
                calls = self.peers.running_calls(),
                running = self.dispatcher.in_flight(),
                "work is left at the end of the grace time"
            );
        }
        // The last answers to other nodes are on their way.
        time::sleep(FLUSH).await;
        let alone = self
            .dispatcher
            .backend()
            .is_none_or(|b| b.draining_since.is_some());
        // Once the entry is gone, others may take the keys that are still held here.
        if alone
            && self.grant_manager.all_expired()
            && time::timeout(LEAVE_LIMIT, self.registration.deregister())
                .await
                .is_err()
        {
            tracing::info!(
                event = 118,
                "the store did not answer in time; the node's entry is left to its lease"
            );
        }
    }

    async fn until(&self, end: Instant, done: impl Fn() -> bool) {
        while !done() && Instant::now() < end {
            time::sleep(END_POLL).await;
        }
    }
}

/// Node with newer state, and whether it is in this node's failure domain.
type Ahead<'a> = (&'a Rc<Link>, bool);

/// Takes the next step of a question: asks one of the nodes that are ahead, or has the store read.
fn ask(question: &mut CatchUp, known: u64, ahead: &[Ahead<'_>], want: Frame, read: &Notify) {
    let sources = ahead.iter().map(|(link, near)| Source {
        node: &link.node,
        same_domain: *near,
    });
    let sources: Vec<_> = sources.collect();
    match question.next_action(known, &sources, Instant::now(), rand::random()) {
        Action::Wait => {}
        Action::Request(node) => {
            if let Some((link, _)) = ahead.iter().find(|(link, _)| link.node == node) {
                link.send(want);
            }
        }
        Action::ReadStore => {
            tracing::info!(event = 327, frame = ?want, nodes = ahead.len(), "still behind other nodes; the store is read");
            read.notify_one();
        }
    }
}
