//! JSON responses of a node's admin endpoint.

use std::net;

use serde::{Deserialize, Serialize};

use crate::state::ids;

/// Response to `GET /status`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Responding node.
    pub node: Identity,
    /// Revision of the node's active document.
    pub revision: ids::DocRevision,
    /// Roles of the node, by partition.
    pub roles: Vec<Role>,
    /// Members known to the node, including itself.
    pub members: Vec<Member>,
    /// Latest partition records known to the node.
    pub partitions: Vec<Partition>,
    /// Nodes drained by the document.
    pub drains: Vec<DrainProgress>,
}

/// Identity, location and addresses of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Identity {
    /// Peer address.
    pub address: ids::NodeAddr,
    /// Incarnation of the process.
    pub incarnation: ids::Incarnation,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address for callers.
    pub caller: net::SocketAddr,
    /// Address for operators.
    pub admin: net::SocketAddr,
}

/// Role of a node in a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Role {
    /// Partition, as `SERVICE/N`.
    pub partition: String,
    /// Whether the node is the coordinator.
    pub coordinator: bool,
    /// Whether the node is a standby of the coordinator.
    pub standby: bool,
    /// Number of slices for which the node holds a valid lease.
    pub leased_slices: usize,
}

/// Entry of the member table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Peer address.
    pub address: ids::NodeAddr,
    /// Incarnation of the process.
    pub incarnation: ids::Incarnation,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address for operators.
    pub admin: String,
    /// Service of the backend server, if one is registered.
    pub service: Option<String>,
    /// Whether the backend server can serve requests.
    pub up: bool,
    /// Whether the backend server is draining.
    pub draining: bool,
    /// Concurrency limit of the backend server.
    pub slots: u32,
}

/// Summary of a partition record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Partition {
    /// Partition, as `SERVICE/N`.
    pub partition: String,
    /// Epoch of the coordinator.
    pub epoch: ids::Epoch,
    /// Number of writes to the record.
    pub revision: ids::Revision,
    /// Coordinator, which grants the leases.
    pub coordinator: ids::NodeAddr,
    /// Standbys of the coordinator.
    pub standbys: Vec<ids::NodeAddr>,
    /// Number of slices.
    pub slices: usize,
    /// Number of slices without an owner.
    pub unowned: usize,
    /// Number of slices with a move in progress.
    pub moving: usize,
    /// Servers with their slice counts.
    pub owners: Vec<Owner>,
    /// Node that has announced a claim, if any.
    pub claimant: Option<ids::NodeAddr>,
}

/// Server of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Owner {
    /// Peer address of the server's node.
    pub address: ids::NodeAddr,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Number of slices owned.
    pub slices: usize,
    /// Whether the server is draining and gets no new slices.
    pub draining: bool,
}

/// Progress of a node drained by the document.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainProgress {
    /// Peer address.
    pub address: ids::NodeAddr,
    /// Number of slices still owned; the host can be removed when it reaches 0.
    pub slices_left: usize,
}

/// Response to `GET /explain?service=S&key=K`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the service.
    pub service: String,
    /// Key.
    pub key: String,
    /// Hash of the key, in hexadecimal.
    pub hash: String,
    /// Partition, as `SERVICE/N`.
    pub partition: String,
    /// First hash of the slice, in hexadecimal.
    pub slice_start: String,
    /// Last hash of the slice, in hexadecimal.
    pub slice_end: String,
    /// Owner of the slice, if any.
    pub owner: Option<Owner>,
    /// Fencing token, as `EPOCH.VERSION`.
    pub token: String,
    /// Coordinator of the partition.
    pub coordinator: ids::NodeAddr,
    /// Reason for the current placement.
    pub reason: String,
    /// Recent owner changes seen by this node, newest first.
    pub moves: Vec<OwnerChange>,
}

/// Change of a slice's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerChange {
    /// Time at which the node learned of the change, in seconds since the Unix epoch.
    pub time_s: u64,
    /// Previous owner.
    pub from: Option<ids::NodeAddr>,
    /// New owner.
    pub to: Option<ids::NodeAddr>,
    /// Fencing token after the change, as `EPOCH.VERSION`.
    pub token: String,
    /// Cause of the change.
    pub cause: String,
}

/// Response to `GET /document`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// Revision of the document.
    pub revision: ids::DocRevision,
    /// Document text as submitted.
    pub text: String,
}

/// Response to `GET /revision`, which commands send to every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ActiveRevision {
    /// Peer address of the responding node.
    pub address: ids::NodeAddr,
    /// Revision of the node's active document; 0 if it has none.
    pub revision: ids::DocRevision,
}

/// Response to a rejected call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Error message.
    pub error: String,
}
