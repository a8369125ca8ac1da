//! Settings of a sidecar.

use std::net::SocketAddr;
use std::time::Duration;

/// Bounds that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest time for which a leaving backend server may get requests after its notice was
    /// acknowledged.
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Longest permission to hold keys.
    pub max_hold: Duration,
    /// Repeats allowed for each request, over all nodes.
    pub retry_ratio: f64,
    /// Repeats allowed besides, over all nodes.
    pub retry_slack: f64,
    /// Window in which repeats are counted.
    pub retry_window: Duration,
}

/// Addresses on which a sidecar listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of callers and of the backend server on this host.
    pub callers: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
    /// Readiness probes.
    pub ready: SocketAddr,
    /// Heartbeats of the backend server.
    pub heartbeats: SocketAddr,
    /// Address under which other nodes know and reach this one.
    pub announced: SocketAddr,
}

/// Settings of a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarSettings {
    /// Name of the node in logs.
    pub node: String,
    /// Failure domain.
    pub domain: String,
    /// Service of the backend server on this host.
    pub service: String,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Listening addresses.
    pub listen: ListenAddresses,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Usual time between heartbeats.
    pub heartbeat: Duration,
    /// Bounds.
    pub bounds: Bounds,
}
