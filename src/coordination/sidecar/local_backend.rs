//! Backend server beside a node.

use std::net::SocketAddr;

use crate::protocol::mesh::{BackendInfo, Health};
use crate::state::clock::Instant;
use crate::state::keyspace::Holder;

/// Backend server beside this node, as its heartbeats describe it.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Identity as a holder of keys.
    pub holder: Holder,
    /// Counter of its last heartbeat.
    pub sequence: u64,
    /// Service.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// Time at which it said that it leaves.
    pub draining_since: Option<Instant>,
    /// Whether its keys are owned one by one.
    pub keyed: bool,
    /// End of its slow time after the start.
    pub warmup_end: Instant,
    /// Arrival of its last heartbeat.
    pub last_heartbeat: Instant,
}

impl Backend {
    /// Returns its state for callers.
    #[must_use]
    pub fn health(&self) -> Health {
        match self.draining_since {
            Some(_) => Health::Leaving,
            None => Health::Ready,
        }
    }

    /// Returns what other nodes are told of it.
    #[must_use]
    pub fn about(&self) -> BackendInfo {
        BackendInfo {
            service: self.service.clone(),
            holder: Some(self.holder.clone()),
        }
    }
}
