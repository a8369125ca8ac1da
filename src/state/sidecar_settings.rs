//! Settings of a sidecar.

use std::net::SocketAddr;
use std::time::Duration;

/// Limits set by the deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Maximum time for which a draining backend server may get requests after its notice was
    /// acknowledged.
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Maximum validity of a grant of key ranges.
    pub max_hold: Duration,
    /// Retries allowed per request, summed over all nodes.
    pub retry_ratio: f64,
    /// Further retries allowed per window, summed over all nodes.
    pub retry_slack: f64,
    /// Window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Factor on the warm-up rate of a service, and requests per second besides, up to which a
    /// warming backend server may get requests.
    pub warmup_excess: Option<WarmupExcess>,
    /// Time after which no request reaches a backend server of an evacuated failure domain.
    pub evacuation: Option<Duration>,
}

/// What a warming backend server may get above the warm-up rate of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupExcess {
    /// Factor on the rate.
    pub ratio: f64,
    /// Requests per second besides.
    pub slack: f64,
}

/// Addresses on which a sidecar listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of callers and of the local backend server.
    pub callers: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
    /// Readiness probes.
    pub ready: SocketAddr,
    /// Heartbeats of the local backend server.
    pub heartbeats: SocketAddr,
    /// Address by which other nodes identify and reach this one.
    pub announced: SocketAddr,
}

/// What a process may use of its host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in bytes.
    pub memory_bytes: Option<usize>,
    /// Open descriptors.
    pub descriptors: Option<usize>,
}

/// Settings of a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct SidecarSettings {
    /// Name of the node in logs.
    pub node: String,
    /// Failure domain.
    pub domain: String,
    /// Service of the local backend server.
    pub service: String,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Listening addresses.
    pub listen: ListenAddresses,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Expected interval between heartbeats.
    pub heartbeat: Duration,
    /// What the process may use of its host.
    pub limits: ProcessLimits,
    /// Limits set by the deployment.
    pub bounds: Bounds,
}
