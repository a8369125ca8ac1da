//! State of the local backend server.

use std::net::SocketAddr;

use crate::protocol::mesh::{BackendInfo, Health};
use crate::state::clock::Instant;
use crate::state::keyspace::Holder;

/// Local backend server, as described by its heartbeats.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Identity as a holder of keys.
    pub holder: Holder,
    /// Sequence number of its last heartbeat.
    pub sequence: u64,
    /// Name of its service.
    pub service: String,
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Time at which it started to drain.
    pub draining_since: Option<Instant>,
    /// Whether requests of its service are routed by key.
    pub keyed: bool,
    /// End of its warm-up.
    pub warmup_end: Instant,
    /// Arrival time of its last heartbeat.
    pub last_heartbeat: Instant,
}

impl Backend {
    /// Returns the health that is reported to other nodes.
    #[must_use]
    pub fn health(&self) -> Health {
        match self.draining_since {
            Some(_) => Health::Leaving,
            None => Health::Ready,
        }
    }

    /// Returns the description that is sent to other nodes.
    #[must_use]
    pub fn info(&self) -> BackendInfo {
        BackendInfo {
            service: self.service.clone(),
            holder: Some(self.holder.clone()),
        }
    }
}
