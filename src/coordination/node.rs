//! Shared state of a node and its background tasks.

use std::sync::Arc;

use crate::coordination::{
    backend, config, coordinator, gate, grants, membership, outcomes, owner, records, router,
    standby, succession,
};
use crate::metrics;
use crate::state::{ids, settings};
use crate::transport::{counted, peers, platform};

/// State shared by the tasks of a node.
#[derive(Debug)]
pub struct Node {
    /// Address and incarnation of this node.
    pub me: ids::NodeRef,
    /// Settings read at startup.
    pub settings: settings::Settings,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Connections to other nodes.
    pub peers: peers::Pool,
    /// Client of the platform's key-value service.
    pub platform: platform::Client,
    /// Known nodes.
    pub members: membership::Members,
    /// Newest known partition records.
    pub records: records::Records,
    /// Configuration document in force.
    pub config: config::Config,
    /// Local backend server.
    pub backend: backend::Backend,
    /// Leases that this node holds.
    pub grants: Arc<grants::Grants>,
    /// Log of recent outcomes of requests that ran on this node.
    pub outcomes: outcomes::OutcomeLog,
    /// Admission to the backend server.
    pub gate: gate::Gate,
    /// Router of the requests that callers send to this node.
    pub router: router::Router,
    /// Partitions that this node coordinates.
    pub coordinator: coordinator::Coordinator,
    /// Promises that this node has given as a standby.
    pub standby: standby::Standby,
    /// Renewals and moves of the slices that this node owns.
    pub owner: owner::Owner,
}

impl Node {
    /// Creates the state of a node with a new incarnation.
    #[must_use]
    pub fn new(settings: settings::Settings) -> Arc<Self> {
        let me = ids::NodeRef {
            addr: settings.peer,
            incarnation: ids::Incarnation::now(),
        };
        let metrics = metrics::Metrics::default();
        let traffic = counted::Traffic::from(&metrics.peer_traffic);
        Arc::new(Self {
            me,
            peers: peers::Pool::new(me, settings.peer_listen.map(|a| a.ip()), traffic),
            metrics,
            platform: platform::Client::new(settings.platform),
            members: membership::Members::new(me, &settings),
            records: records::Records::default(),
            config: config::Config::default(),
            backend: backend::Backend::default(),
            grants: Arc::new(grants::Grants::new(me)),
            outcomes: outcomes::OutcomeLog::default(),
            gate: gate::Gate::default(),
            router: router::Router::default(),
            coordinator: coordinator::Coordinator::default(),
            standby: standby::Standby::default(),
            owner: owner::Owner::default(),
            settings,
        })
    }

    /// Starts the background tasks.
    pub fn spawn(self: &Arc<Self>) {
        tokio::spawn(membership::run(Arc::clone(self)));
        tokio::spawn(config::run(Arc::clone(self)));
        tokio::spawn(backend::run(Arc::clone(self)));
        tokio::spawn(owner::run(Arc::clone(self)));
        tokio::spawn(coordinator::run(Arc::clone(self)));
        tokio::spawn(standby::run(Arc::clone(self)));
        tokio::spawn(succession::run(Arc::clone(self)));
    }
}
