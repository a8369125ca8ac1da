//! Settings of a node, read once at startup.

use std::net;

use crate::state::ids;

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address for callers.
    pub caller: net::SocketAddr,
    /// Address for other nodes, which is also the node's name.
    pub peer: ids::NodeAddr,
    /// Listening address for other nodes if it differs from `peer`, as behind a port mapping;
    /// connections to other nodes are opened from its IP address.
    pub peer_listen: Option<net::SocketAddr>,
    /// Address for operators, metrics and the backend server's announcements.
    pub admin: net::SocketAddr,
    /// Address of the platform's key-value service.
    pub platform: net::SocketAddr,
    /// Nodes to contact first when the platform's key-value service is unavailable.
    pub peers: Vec<ids::NodeAddr>,
}
