//! Handler of requests from other nodes.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::confirmation::Confirmation;
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::planner::Planner;
use crate::coordination::sidecar::replication::Replicator;
use crate::protocol::mesh::{
    BackendInfo, Call, Claim, CrashReport, EvacuationSet, HolderRates, Items, Load, Permission,
    PermitRequest, Reminder, StoreRequest, StoreResponse,
};
use crate::state::clock::Instant;
use crate::state::decayed_average::DecayedAverage;
use crate::state::store_revision::Revision;
use crate::transport::sidecar::peer_server::{Handler, Job};
use crate::transport::sidecar::store::StoreClient;

/// Timeout of a store call that is relayed for another node.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);

/// Weight of the newest call in the mean call delay.
const DELAY_WEIGHT: f64 = 0.1;

/// Time constant with which the mean call delay decays while no calls arrive.
const DELAY_DECAY: Duration = Duration::from_secs(1);

/// Returns a mean call delay of zero.
#[must_use]
pub fn no_delay() -> DecayedAverage {
    DecayedAverage::new(DELAY_WEIGHT, DELAY_DECAY, Instant::now())
}

/// Handler of requests from other nodes.
#[derive(Debug)]
pub struct PeerHandler {
    /// Dispatcher to the local backend server.
    pub dispatcher: Rc<Dispatcher>,
    /// Planner, which receives key rates.
    pub planner: Rc<Planner>,
    /// Confirmation of the service's table, which receives claims.
    pub confirmation: Rc<Confirmation>,
    /// Store, for relayed calls.
    pub store: Rc<StoreClient>,
    /// Active configuration.
    pub configuration: Rc<Configuration>,
    /// Replicated items of the store.
    pub replicator: Rc<Replicator>,
    /// Mean network delay of calls to this node, in milliseconds.
    pub call_delay: RefCell<DecayedAverage>,
}

impl PeerHandler {
    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            config: self.configuration.version(),
            items: self.replicator.revision(),
            store_up: self.store.is_reachable(),
            evacuations: self.dispatcher.evacuations.digest(),
            late_ms: self.call_delay.borrow().get(Instant::now()),
            ..self.dispatcher.load()
        }
    }
}

impl Handler for PeerHandler {
    fn start_call(&self, call: Call) -> Job {
        self.dispatcher.create_job(call)
    }

    fn backend_info(&self) -> BackendInfo {
        self.dispatcher.backend_info()
    }

    fn load(&self) -> Load {
        Self::load(self)
    }

    fn items(&self, after: Revision) -> Items {
        self.replicator.changes_since(after)
    }

    fn config(&self) -> Items {
        self.configuration.compressed_item()
    }

    fn record_delay(&self, delay: Duration) {
        let ms = delay.as_secs_f64() * 1000.0;
        self.call_delay.borrow_mut().add(ms, Instant::now());
    }

    fn receive_rates(&self, rates: HolderRates) {
        self.planner.record_rates(rates);
    }

    fn receive_claim(&self, claim: Claim) {
        self.confirmation.record(claim);
    }

    fn receive_crashes(&self, reports: Vec<CrashReport>) {
        self.dispatcher.isolation.apply(reports);
    }

    fn decide(&self, request: PermitRequest) -> Permission {
        self.dispatcher.isolation.decide(request)
    }

    fn evacuations(&self) -> Option<EvacuationSet> {
        self.dispatcher.evacuations.to_set()
    }

    fn receive_evacuations(&self, set: EvacuationSet) {
        self.dispatcher.evacuations.apply_remote(set);
    }

    fn recall(&self, reminder: Reminder) {
        self.dispatcher.recall(reminder);
    }

    fn relay(&self, request: StoreRequest) -> Pin<Box<dyn Future<Output = Option<StoreResponse>>>> {
        let store = Rc::clone(&self.store);
        Box::pin(async move {
            let response = store.call_direct(&request, RELAY_TIMEOUT).await;
            response
                .inspect_err(|e| tracing::info!(event = 313, target = %request.target, error = %e, "no answer to a relayed call to the store"))
                .ok()
        })
    }
}
