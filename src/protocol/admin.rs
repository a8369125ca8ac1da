//! Answers of a node's admin address, as JSON.

use std::net;

use serde::{Deserialize, Serialize};

use crate::state::ids;

/// Answer to `GET /status`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Node that answers.
    pub node: Identity,
    /// Revision of the document in force on it.
    pub revision: ids::DocRevision,
    /// What it does for each partition.
    pub roles: Vec<Role>,
    /// Nodes that it knows, itself included.
    pub members: Vec<Member>,
    /// Newest partition records that it knows.
    pub partitions: Vec<Partition>,
    /// Nodes that the document drains.
    pub drains: Vec<DrainProgress>,
}

/// Node with its place and addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Identity {
    /// Peer address.
    pub address: ids::NodeAddr,
    /// Start of the process.
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

/// What a node does for a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Role {
    /// Partition, as `SERVICE/N`.
    pub partition: String,
    /// Whether the node coordinates it.
    pub coordinator: bool,
    /// Whether the node may succeed the coordinator.
    pub standby: bool,
    /// Number of slices for which the node holds a live lease.
    pub leased_slices: usize,
}

/// Node in the member table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Peer address.
    pub address: ids::NodeAddr,
    /// Start of the process.
    pub incarnation: ids::Incarnation,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address for operators.
    pub admin: String,
    /// Service of the backend server, if one has announced itself.
    pub service: Option<String>,
    /// Whether the backend server can serve.
    pub up: bool,
    /// Whether the backend server wants no more work.
    pub draining: bool,
    /// Concurrent requests that the backend server runs.
    pub slots: u32,
}

/// Summary of a partition record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Partition {
    /// Partition, as `SERVICE/N`.
    pub partition: String,
    /// Term of the coordinator.
    pub epoch: ids::Epoch,
    /// Number of writes to the record.
    pub revision: ids::Revision,
    /// Node that grants leases.
    pub coordinator: ids::NodeAddr,
    /// Nodes that may succeed the coordinator.
    pub standbys: Vec<ids::NodeAddr>,
    /// Number of slices.
    pub slices: usize,
    /// Number of slices without an owner.
    pub unowned: usize,
    /// Number of slices that are being moved.
    pub moving: usize,
    /// Servers and the slices that they own.
    pub owners: Vec<Owner>,
    /// Node that has announced a claim.
    pub claimant: Option<ids::NodeAddr>,
}

/// Server of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Owner {
    /// Peer address of the node beside the server.
    pub address: ids::NodeAddr,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Number of slices that it owns.
    pub slices: usize,
    /// Whether it gets no new slices.
    pub draining: bool,
}

/// Node that the document drains.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainProgress {
    /// Peer address.
    pub address: ids::NodeAddr,
    /// Slices that it still owns; the host may be taken away when none is left.
    pub slices_left: usize,
}

/// Answer to `GET /explain?service=S&key=K`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// Service.
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
    /// Owner, if there is one.
    pub owner: Option<Owner>,
    /// Fencing token, as `EPOCH.VERSION`.
    pub token: String,
    /// Coordinator of the partition.
    pub coordinator: ids::NodeAddr,
    /// Why the key is where it is.
    pub reason: String,
    /// Last changes of owner that this node has seen, the newest first.
    pub moves: Vec<OwnerChange>,
}

/// Change of a slice's owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerChange {
    /// Time at which the node learned of it, in seconds since the Unix epoch.
    pub time_s: u64,
    /// Owner before.
    pub from: Option<ids::NodeAddr>,
    /// Owner after.
    pub to: Option<ids::NodeAddr>,
    /// Fencing token after the change, as `EPOCH.VERSION`.
    pub token: String,
    /// Why the owner changed.
    pub cause: String,
}

/// Answer to `GET /document`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// Revision.
    pub revision: ids::DocRevision,
    /// Text as submitted.
    pub text: String,
}

/// Answer to `GET /revision`, which a command asks of every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ActiveRevision {
    /// Peer address of the node that answers.
    pub address: ids::NodeAddr,
    /// Revision of the document in force on it; 0 if there is none.
    pub revision: ids::DocRevision,
}

/// Answer to a call that was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Why it was refused.
    pub error: String,
}
