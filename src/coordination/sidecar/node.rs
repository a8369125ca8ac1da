//! Lifecycle of a sidecar: construction, background tasks and graceful shutdown.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::{task, time};

use crate::coordination::sidecar::backoff::Backoff;
use crate::coordination::sidecar::catchup::CatchUp;
use crate::coordination::sidecar::catchup_requests::{self, Ahead};
use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::confirmation::{self, Confirmation};
use crate::coordination::sidecar::crash_records::CrashRecords;
use crate::coordination::sidecar::departures::{Departed, Departures};
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::evacuation::{Evacuations, SentStates};
use crate::coordination::sidecar::forwarders;
use crate::coordination::sidecar::grant_manager::GrantManager;
use crate::coordination::sidecar::heartbeats::HeartbeatHandler;
use crate::coordination::sidecar::ingress::{CallerHandler, Dependencies, Ingress, ShutdownStage};
use crate::coordination::sidecar::membership::{self, MembershipView};
use crate::coordination::sidecar::peer_handler::{self, PeerHandler};
use crate::coordination::sidecar::planner::{self, Planner};
use crate::coordination::sidecar::probe::Prober;
use crate::coordination::sidecar::registration::Registration;
use crate::coordination::sidecar::replication::{ConfigWatchHandler, Replicator};
use crate::coordination::sidecar::reports;
use crate::coordination::sidecar::retry_budget::{self, RetryBudget};
use crate::coordination::sidecar::start::StartError;
use crate::coordination::sidecar::tables::{self, Tables};
use crate::coordination::sidecar::watch;
use crate::coordination::sidecar::watchers;
use crate::metrics::Metrics;
use crate::protocol::adapter::Adapter;
use crate::protocol::mesh::{BackendInfo, Frame, Hello, Load};
use crate::protocol::ownership::NodeEntry;
use crate::state::clock::Instant;
use crate::state::sidecar_settings::SidecarSettings;
use crate::transport::sidecar::byte_budget::ByteBudget;
use crate::transport::sidecar::caller;
use crate::transport::sidecar::http_server;
use crate::transport::sidecar::links::{self, Link};
use crate::transport::sidecar::peer_server::{Handler, PeerServer};
use crate::transport::sidecar::socket;
use crate::transport::sidecar::store::{self, StoreClient};

/// Interval of the periodic checks of the dispatcher, the grant manager and the catch-up.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum delay of the first request for a configuration. In this time more nodes get it and can
/// respond.
const CONFIG_REQUEST_DELAY: Duration = Duration::from_millis(120);

/// Maximum delay of the first request for items. In this time they are usually forwarded without one.
const ITEMS_REQUEST_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay of the first request for evacuations. In this time the watchers usually send them.
const EVACUATIONS_REQUEST_DELAY: Duration = Duration::from_millis(120);

/// Pause between two rounds of requests for newer state, in which further reports accumulate.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Fraction of the grace period after which a stopping node closes callers' idle connections. Callers
/// switch to another node after two failed probes.
const CLOSE_IDLE_FRACTION: f64 = 0.42;

/// Fraction of the grace period in which a stopping node still accepts calls from other nodes.
const ACCEPT_CALLS_FRACTION: f64 = 0.6;

/// Fraction of the grace period after which no request that arrived during the shutdown has any time
/// left, so that the answer to it is sent in time.
const LAST_DEADLINE_FRACTION: f64 = 0.85;

/// Fraction of the grace period after which a stopping node abandons remaining requests.
const ABANDON_FRACTION: f64 = 0.9;

/// Interval at which a stopping node checks whether all requests are complete.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time to send the last messages to other nodes.
const FLUSH_TIME: Duration = Duration::from_millis(40);

/// Timeout of the removal of the node's entry.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Running sidecar.
#[derive(Debug)]
pub struct Node {
    settings: SidecarSettings,
    store: Rc<StoreClient>,
    configuration: Rc<Configuration>,
    membership: Rc<MembershipView>,
    tables: Rc<Tables>,
    replicator: Rc<Replicator>,
    peer_handler: Rc<PeerHandler>,
    dispatcher: Rc<Dispatcher>,
    evacuations: Rc<Evacuations>,
    registration: Rc<Registration>,
    crash_records: Rc<CrashRecords>,
    departures: Rc<Departures>,
    planner: Rc<Planner>,
    prober: Prober,
    grant_manager: Rc<GrantManager>,
    ingress: Rc<Ingress>,
    peers: Rc<PeerServer>,
    /// Notified when the configuration or the state of the local backend server changes.
    state_changed: Rc<Notify>,
    /// Requests a new read of the configuration from the store.
    reread_config: Rc<Notify>,
    /// Requests a new read of the replicated items from the store.
    reread_items: Rc<Notify>,
    stopping: Cell<bool>,
    connections: Rc<Cell<usize>>,
    metrics: Metrics,
}

impl Node {
    /// Creates the parts of a sidecar without starting them.
    #[must_use]
    pub fn new(
        settings: &SidecarSettings,
        adapter: &Rc<dyn Adapter>,
        metrics: &Metrics,
    ) -> Rc<Self> {
        let (hello, entry) = identify(settings);
        let (address, state_changed) = (hello.node.clone(), Rc::new(Notify::new()));
        let store = store_client(settings, adapter, metrics);
        let configuration = Rc::new(Configuration::new(
            Rc::clone(adapter),
            Rc::clone(&state_changed),
        ));
        let membership = Rc::new(MembershipView::new(hello.clone()));
        let tables = Rc::new(Tables::new(Rc::clone(&store)));
        let replicator = Replicator::new(
            Rc::clone(&store),
            Rc::clone(&membership),
            Rc::clone(&tables),
            Rc::clone(&configuration),
            &settings.domain,
        );
        apply_remote_items(&membership, &replicator);
        let dispatcher = create_dispatcher(settings, adapter, &state_changed, metrics);
        let crash_records =
            CrashRecords::new(Rc::clone(&store), &replicator, Rc::clone(&dispatcher));
        let departures = Departures::new(&address, Rc::clone(&store));
        let registration = Registration::new(Rc::clone(&store), Rc::clone(&replicator), entry);
        let grant_manager = GrantManager::new(
            &address,
            settings.bounds.max_hold,
            Rc::clone(&dispatcher),
            Rc::clone(&tables),
            Rc::clone(&registration),
        );
        let confirmation = Confirmation::new(confirmation::Dependencies {
            node: address.clone(),
            service: settings.service.clone(),
            store: Rc::clone(&store),
            configuration: Rc::clone(&configuration),
            dispatcher: Rc::clone(&dispatcher),
            membership: Rc::clone(&membership),
            tables: Rc::clone(&tables),
            replicator: Rc::clone(&replicator),
            registration: Rc::clone(&registration),
            grant_manager: Rc::clone(&grant_manager),
        });
        let planner = Rc::new(Planner::new(
            &address,
            Rc::clone(&store),
            Rc::clone(&dispatcher),
            Rc::clone(&membership),
            Rc::clone(&tables),
            Rc::clone(&registration),
            Rc::clone(&confirmation),
        ));
        let peer_handler = Rc::new(PeerHandler {
            dispatcher: Rc::clone(&dispatcher),
            planner: Rc::clone(&planner),
            confirmation,
            store: Rc::clone(&store),
            configuration: Rc::clone(&configuration),
            replicator: Rc::clone(&replicator),
            call_delay: RefCell::new(peer_handler::no_delay()),
        });
        let ingress = Ingress::new(Dependencies {
            node: address,
            domain: settings.domain.clone(),
            service: settings.service.clone(),
            adapter: Rc::clone(adapter),
            configuration: Rc::clone(&configuration),
            membership: Rc::clone(&membership),
            tables: Rc::clone(&tables),
            dispatcher: Rc::clone(&dispatcher),
            retry_budget: RetryBudget::new(retry_budget::RetryLimits::from(settings.bounds)),
            metrics: metrics.clone(),
        });
        Rc::new(Self {
            prober: Prober::new(settings, adapter, &configuration, &dispatcher),
            settings: settings.clone(),
            store,
            configuration,
            membership,
            tables,
            replicator,
            evacuations: Rc::clone(&dispatcher.evacuations),
            dispatcher,
            registration,
            crash_records,
            departures,
            planner,
            grant_manager,
            ingress,
            peers: PeerServer::new(Rc::clone(&peer_handler) as Rc<dyn Handler>, hello),
            peer_handler,
            state_changed,
            reread_config: Rc::new(Notify::new()),
            reread_items: Rc::new(Notify::new()),
            stopping: Cell::new(false),
            connections: Rc::new(Cell::new(0)),
            metrics: metrics.clone(),
        })
    }

    /// Opens the listeners and starts all tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be opened.
    pub fn start(
        self: &Rc<Self>,
        adapter: &Rc<dyn Adapter>,
        metrics: Option<SocketAddr>,
    ) -> Result<(), StartError> {
        let failed = |purpose, address| {
            move |source| StartError {
                purpose,
                address,
                source,
            }
        };
        let listen = |purpose, address| socket::listen(address).map_err(failed(purpose, address));
        let address = self.settings.listen.callers;
        let callers = socket::listen_for_callers(address).map_err(failed("callers", address))?;
        let peers = listen("nodes", self.settings.listen.peers)?;
        let ready = listen("readiness probes", self.settings.listen.ready)?;
        let heartbeats = listen("heartbeats", self.settings.listen.heartbeats)?;
        if let Some(address) = metrics {
            let listener = listen("metrics", address)?;
            task::spawn_local(http_server::serve(
                listener,
                "metrics",
                self.metrics_handler(),
            ));
        }
        let membership = Rc::clone(&self.membership);
        self.store.set_relays(Box::new(move || {
            let links = membership.relays().into_iter();
            links.map(relay_through).collect()
        }));
        let handler = Rc::new(CallerHandler(Rc::clone(&self.ingress)));
        let open = Rc::clone(&self.connections);
        task::spawn_local(caller::accept(callers, handler, open, self.share_budget()));
        task::spawn_local(Rc::clone(&self.peers).accept(peers));
        task::spawn_local(http_server::serve(
            ready,
            "ready",
            self.ready_handler(adapter),
        ));
        task::spawn_local(http_server::serve(
            heartbeats,
            "heartbeats",
            self.heartbeat_handler(adapter),
        ));
        self.spawn(|node| async move { node.departures.load().await });
        self.spawn(|node| async move { node.registration.run().await });
        self.watch_store();
        self.spawn(|node| async move { node.report_load().await });
        self.spawn(|node| async move { node.check().await });
        self.spawn(|node| async move {
            let membership = Rc::clone(&node.membership);
            node.dispatcher.isolation.run(membership).await;
        });
        self.spawn(|node| async move { node.crash_records.run().await });
        self.spawn(|node| async move { node.record_departures().await });
        self.spawn(|node| async move { node.dispatcher.run_throttled().await });
        self.spawn(|node| async move { node.prober.run().await });
        self.spawn(|node| async move { node.check_links().await });
        self.spawn(|node| async move { node.check_watchers().await });
        self.spawn(|node| async move { node.catch_up().await });
        self.spawn(|node| async move { node.forward_updates().await });
        self.spawn(|node| async move { node.plan().await });
        if self.evacuations.is_enabled() {
            self.spawn(|node| async move { node.notify_of_evacuations().await });
        }
        Ok(())
    }

    /// Creates the budget of the process and passes it to all parts that hold bodies; to be called before
    /// any connection is open.
    fn share_budget(&self) -> Rc<ByteBudget> {
        let budget = ByteBudget::of_process(self.settings.limits);
        budget.set_metric(self.metrics.dropped.clone());
        self.membership.set_budget(&budget);
        self.dispatcher.set_budget(&budget);
        self.peers.set_budget(&budget);
        budget
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

    fn heartbeat_handler(self: &Rc<Self>, adapter: &Rc<dyn Adapter>) -> http_server::Handler {
        let heartbeats = Rc::new(HeartbeatHandler {
            node: self.settings.listen.announced.to_string(),
            address: self.settings.backend,
            service: self.settings.service.clone(),
            adapter: Rc::clone(adapter),
            configuration: Rc::clone(&self.configuration),
            dispatcher: Rc::clone(&self.dispatcher),
            grant_manager: Rc::clone(&self.grant_manager),
            departures: Rc::clone(&self.departures),
            replicator: Rc::clone(&self.replicator),
            tables: Rc::clone(&self.tables),
        });
        Rc::new(move |head, body| {
            let heartbeats = Rc::clone(&heartbeats);
            Box::pin(async move { heartbeats.handle(&head, &body).await })
        })
    }

    /// Returns whether the node is ready for callers' requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.configuration.get().is_some()
    }

    fn watch_store(&self) {
        let replicator = Rc::clone(&self.replicator);
        let config = Rc::new(ConfigWatchHandler {
            replicator: Rc::clone(&replicator),
            evacuations: Rc::clone(&self.evacuations),
        });
        let start = |prefix, handler, reread| {
            task::spawn_local(watch::run(Rc::clone(&self.store), prefix, handler, reread));
        };
        start(
            self.evacuations.watch_prefix().to_owned(),
            config,
            Rc::clone(&self.reread_config),
        );
        start(
            tables::PREFIX.to_owned(),
            replicator,
            Rc::clone(&self.reread_items),
        );
    }

    /// Reports the load to other nodes when it has changed.
    async fn report_load(&self) {
        let mut last = BackendInfo::default();
        loop {
            tokio::select! {
                () = time::sleep(reports::min_interval(2 * self.membership.domain_size())) => {}
                () = self.state_changed.notified() => {}
                () = self.tables.changed.notified() => {}
            }
            let current = self.dispatcher.backend_info();
            if current != last {
                self.peers.broadcast(&Frame::About(current.clone()));
                last = current;
            }
            let load = self.peer_handler.load();
            let (now, nodes) = (Instant::now(), self.membership.size());
            let is_watcher = self.replicator.watchers.includes_self();
            self.peers.report_load(load, |last| {
                reports::is_due(&load, last, is_watcher, nodes, now)
            });
        }
    }

    /// Forwards updates of the store's items. An update from the store goes to all nodes of this
    /// failure domain and to one node of each other domain; one from another failure domain goes to
    /// all nodes of this domain.
    async fn forward_updates(&self) {
        loop {
            self.replicator.update_ready.notified().await;
            let Some(update) = self.replicator.take_update() else {
                continue;
            };
            let rank = self.membership.rank(self.store.is_reachable());
            let forwarders = forwarders::select(&self.membership.other_domains(), rank);
            let items = self.replicator.changes_since(update.since);
            self.peers.send_items(&items, |node, domain| {
                let is_forwarder = update.from_store && forwarders.iter().any(|f| f == node);
                domain == self.settings.domain || is_forwarder
            });
        }
    }

    async fn check(&self) {
        loop {
            time::sleep(CHECK_INTERVAL).await;
            self.dispatcher.tick();
            self.grant_manager.tick().await;
        }
    }

    /// Tells other nodes of evacuations, and refuses queued requests that one concerns.
    async fn notify_of_evacuations(&self) {
        let mut sent = SentStates::new();
        loop {
            tokio::select! {
                () = self.evacuations.changed.notified() => {}
                () = time::sleep(CHECK_INTERVAL) => {}
            }
            self.dispatcher.refuse_evacuated();
            let is_watcher = self.replicator.watchers.includes_self();
            self.evacuations
                .notify_peers(&self.membership.links(), is_watcher, &mut sent);
        }
    }

    /// Records in the store that the local backend server is leaving, however that became known.
    async fn record_departures(&self) {
        let mut backoff = Backoff::default();
        loop {
            match self.unrecorded_departure() {
                None => {
                    backoff = Backoff::default();
                    tokio::select! {
                        () = self.state_changed.notified() => {}
                        () = self.store.era_changed.notified() => {}
                        () = self.departures.unwritten.notified() => {}
                    }
                }
                Some(departed) => {
                    self.departures.record_departed(departed).await;
                    if self.unrecorded_departure().is_some() {
                        backoff.wait(&self.store).await;
                    }
                }
            }
        }
    }

    fn unrecorded_departure(&self) -> Option<Departed> {
        let backend = self.dispatcher.backend();
        let leaving = backend.filter(|b| b.draining_since.is_some());
        let unrecorded = leaving.filter(|b| !self.departures.is_recorded(&b.holder));
        self.departures
            .missing_record()
            .or_else(|| unrecorded.map(|b| Departed::from(&b.holder)))
    }

    async fn check_links(&self) {
        loop {
            time::sleep(links::SILENCE_CHECK_INTERVAL).await;
            self.membership.tick(Instant::now());
        }
    }

    async fn check_watchers(&self) {
        loop {
            time::sleep(watchers::CHECK_INTERVAL).await;
            self.replicator.watchers.check(Instant::now());
        }
    }

    /// Requests state from other nodes that have reported a newer one.
    async fn catch_up(&self) {
        let mut config = CatchUp::new(CONFIG_REQUEST_DELAY);
        let mut items = CatchUp::new(ITEMS_REQUEST_DELAY);
        let mut evacuations = CatchUp::new(EVACUATIONS_REQUEST_DELAY);
        loop {
            tokio::select! {
                () = self.membership.report_changed.notified() => {}
                () = time::sleep(CHECK_INTERVAL) => {}
            }
            let (links, now) = (self.membership.links(), Instant::now());
            let loads = links.iter().filter_map(|l| Some((l, l.report()?.load)));
            let loads: Vec<_> = loads.collect();
            let ahead = |is_ahead: &dyn Fn(&Load) -> bool| -> Vec<Ahead<'_>> {
                let ahead = loads.iter().filter(|(_, load)| is_ahead(load));
                ahead
                    .map(|(link, _)| Ahead {
                        link,
                        same_domain: *link.domain.borrow() == self.settings.domain,
                        responsive: link.is_responsive(now),
                    })
                    .collect()
            };
            let newest_era = loads.iter().map(|(_, load)| load.items.era).max();
            self.store.learn_era(newest_era.unwrap_or_default());
            let (version, known) = (self.configuration.version(), self.replicator.revision());
            let newer = ahead(&|load| load.config > version);
            let (request, reread) = (Frame::WantConfig, &self.reread_config);
            catchup_requests::send(&mut config, version, &newer, request, reread);
            let newer = ahead(&|load| load.items > known);
            let request = Frame::Want(self.replicator.request_revision());
            let reread = &self.reread_items;
            catchup_requests::send(&mut items, known, &newer, request, reread);
            if self.evacuations.is_enabled() {
                let sent = links.iter().filter_map(|l| l.take_evacuations());
                sent.for_each(|set| self.evacuations.apply_remote(set));
                let known = self.evacuations.digest().map(|d| d.as_of);
                let newer = ahead(&|load| self.evacuations.is_behind(load.evacuations));
                let request = Frame::WantEvacuations;
                let reread = &self.reread_config;
                catchup_requests::send(&mut evacuations, known, &newer, request, reread);
            }
            time::sleep(REQUEST_PAUSE).await;
        }
    }

    async fn plan(&self) {
        loop {
            time::sleep(planner::PLAN_INTERVAL).await;
            self.planner.tick().await;
        }
    }

    /// Applies the settings that can change at run time.
    pub fn reload(&self, settings: &SidecarSettings) {
        self.dispatcher.set_drain_timeout(settings.bounds.drain);
        self.prober.set_excess(settings.bounds.warmup_excess);
        self.ingress
            .set_retry_limits(retry_budget::RetryLimits::from(settings.bounds));
        self.store.set_address(settings.store);
    }

    /// Shuts down gracefully: stops accepting callers, then calls from other nodes, and returns when all
    /// requests are complete or the grace period has ended.
    pub async fn stop(&self) {
        self.stopping.set(true);
        self.ingress.set_stage(ShutdownStage::Draining);
        let start = Instant::now();
        let grace = self.settings.bounds.grace;
        let last_deadline = start + grace.mul_f64(LAST_DEADLINE_FRACTION);
        self.ingress.set_last_deadline(last_deadline);
        time::sleep(grace.mul_f64(CLOSE_IDLE_FRACTION)).await;
        self.ingress.set_stage(ShutdownStage::Terminating);
        // Wait until connections that were accepted before the listener closed are counted as open.
        time::sleep(caller::ACCEPT_DRAIN_LIMIT).await;
        let calls_end = start + grace.mul_f64(ACCEPT_CALLS_FRACTION);
        self.wait_until(calls_end, || self.connections.get() == 0)
            .await;
        // Other nodes depend on the local backend server until this process is replaced, so calls from
        // them are refused late.
        self.dispatcher.stop();
        let end = start + grace.mul_f64(ABANDON_FRACTION);
        let unfinished =
            || self.connections.get() + self.peers.running_calls() + self.dispatcher.in_flight();
        self.wait_until(end, || unfinished() == 0).await;
        if unfinished() > 0 {
            tracing::warn!(
                event = 117,
                connections = self.connections.get(),
                calls = self.peers.running_calls(),
                running = self.dispatcher.in_flight(),
                "requests are unfinished at the end of the grace period"
            );
        }
        self.ingress.set_stage(ShutdownStage::Abandoning);
        // Wait until the last responses to callers and other nodes are sent.
        time::sleep(FLUSH_TIME).await;
        let backend_gone = self
            .dispatcher
            .backend()
            .is_none_or(|b| b.draining_since.is_some());
        // Once the entry is removed, other nodes may reassign keys, so none may still be granted here.
        if backend_gone
            && self.grant_manager.all_expired()
            && time::timeout(DEREGISTER_TIMEOUT, self.registration.deregister())
                .await
                .is_err()
        {
            tracing::info!(
                event = 118,
                "timed out removing the node's entry; it expires with its lease"
            );
        }
    }

    async fn wait_until(&self, end: Instant, done: impl Fn() -> bool) {
        while !done() && Instant::now() < end {
            time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }
}

fn store_client(
    settings: &SidecarSettings,
    adapter: &Rc<dyn Adapter>,
    metrics: &Metrics,
) -> Rc<StoreClient> {
    let calls = metrics.store_calls.clone();
    Rc::new(StoreClient::new(Rc::clone(adapter), settings.store, calls))
}

/// Passes the items that other nodes send to the replicator.
fn apply_remote_items(membership: &MembershipView, replicator: &Rc<Replicator>) {
    let receiver = Rc::clone(replicator);
    membership.set_items_handler(Rc::new(move |domain, items| {
        receiver.apply_remote(domain, items);
    }));
}

/// Returns a dispatcher without a backend server, with the evacuations that it enforces.
fn create_dispatcher(
    settings: &SidecarSettings,
    adapter: &Rc<dyn Adapter>,
    state_changed: &Rc<Notify>,
    metrics: &Metrics,
) -> Rc<Dispatcher> {
    let evacuations = Evacuations::new(
        Rc::clone(adapter),
        &settings.domain,
        settings.bounds.evacuation,
        metrics.clone(),
    );
    Dispatcher::new(
        Rc::clone(adapter),
        settings.bounds.drain,
        Rc::clone(state_changed),
        evacuations,
        metrics.clone(),
    )
}

/// Returns the identity of this process for other nodes, and its entry in the store.
fn identify(settings: &SidecarSettings) -> (Hello, NodeEntry) {
    let hello = Hello {
        node: settings.listen.announced.to_string(),
        incarnation: rand::random(),
        domain: settings.domain.clone(),
    };
    let entry = NodeEntry {
        address: hello.node.clone(),
        incarnation: hello.incarnation,
        domain: hello.domain.clone(),
        service: settings.service.clone(),
    };
    (hello, entry)
}

/// Returns the function that relays store calls through another node.
fn relay_through(link: Rc<Link>) -> store::Relay {
    Box::new(move |request| {
        let link = Rc::clone(&link);
        Box::pin(async move { link.relay(request, membership::RELAY_TIMEOUT).await })
    })
}
