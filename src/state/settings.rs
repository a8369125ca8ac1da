//! Settings of one node, read once at its start.

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
    /// Address for other nodes; the node's name.
    pub peer: ids::NodeAddr,
    /// Address at which the node listens for other nodes, if it differs from its name, as behind a
    /// port mapping; connections to other nodes are opened from its IP address.
    pub peer_listen: Option<net::SocketAddr>,
    /// Address for operators, metrics and the backend server's announcements.
    pub admin: net::SocketAddr,
    /// Address of the platform's key-value service.
    pub platform: net::SocketAddr,
    /// Nodes to contact first when the platform's service is down.
    pub peers: Vec<ids::NodeAddr>,
}
