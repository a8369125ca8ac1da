//! What a node does for other nodes.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::planner::Planner;
use crate::coordination::sidecar::replication::Replicator;
use crate::protocol::mesh::{
    BackendInfo, Call, HolderRates, Items, Load, StoreRequest, StoreResponse,
};
use crate::state::clock::Instant;
use crate::state::decayed_average::DecayedAverage;
use crate::transport::sidecar::peer_server::{Handler, Job};
use crate::transport::sidecar::store::StoreClient;

/// Longest wait of a relayed call for the store.
const RELAY_LIMIT: Duration = Duration::from_millis(900);

/// Weight of the newest call in the mean delay.
const DELAY_WEIGHT: f64 = 0.1;

/// Time in which the mean delay falls to about a third without calls.
const DELAY_FADE: Duration = Duration::from_secs(1);

/// Returns a mean of no delay.
#[must_use]
pub fn no_delay() -> DecayedAverage {
    DecayedAverage::new(DELAY_WEIGHT, DELAY_FADE, Instant::now())
}

/// What a node does for others.
#[derive(Debug)]
pub struct PeerHandler {
    /// Dispatcher to the local backend server.
    pub dispatcher: Rc<Dispatcher>,
    /// Planner.
    pub planner: Rc<Planner>,
    /// Store.
    pub store: Rc<StoreClient>,
    /// Configuration.
    pub configuration: Rc<Configuration>,
    /// Items of the store.
    pub replicator: Rc<Replicator>,
    /// Mean delay of calls on their way to this node, in milliseconds.
    pub call_delay: RefCell<DecayedAverage>,
}

impl PeerHandler {
    /// Returns the present load.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            config: self.configuration.version(),
            items: self.replicator.revision(),
            store_up: self.store.is_reachable(),
            late_ms: self.call_delay.borrow().get(Instant::now()),
            ..self.dispatcher.load()
        }
    }
}

impl Handler for PeerHandler {
    fn start_call(&self, call: Call) -> Job {
        self.dispatcher.run(call)
    }

    fn about(&self) -> BackendInfo {
        self.dispatcher.backend_info()
    }

    fn load(&self) -> Load {
        Self::load(self)
    }

    fn items(&self, after: u64) -> Items {
        self.replicator.changes_since(after)
    }

    fn config(&self) -> Items {
        self.configuration.compressed_item()
    }

    fn record_delay(&self, late: Duration) {
        let ms = late.as_secs_f64() * 1000.0;
        self.call_delay.borrow_mut().add(ms, Instant::now());
    }

    fn receive_rates(&self, heat: HolderRates) {
        self.planner.record_rates(heat);
    }

    fn relay(&self, request: StoreRequest) -> Pin<Box<dyn Future<Output = Option<StoreResponse>>>> {
        let store = Rc::clone(&self.store);
        Box::pin(async move {
            let answered = store.call_direct(&request, RELAY_LIMIT).await;
            // A refusal of this node's call is no answer to the other node's question.
            answered.ok().filter(|r| r.status != 503 && r.status != 429)
        })
    }
}
