//! RPC messages between nodes.
//!
//! Messages carry the sender's incarnation and, where needed, the receiver's: a message for an
//! earlier incarnation of the receiver must have no effect, because the promises and leases of that
//! incarnation are lost.

use std::time;

use serde::{Deserialize, Serialize};

use crate::protocol::record;
use crate::state::ids;

/// Maximum size of a frame on a peer connection, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// RPC service that each node offers to its peers.
#[tarpc::service]
pub trait Peer {
    /// Answers a keep-alive.
    async fn ping(ping: Ping) -> Ping;
    /// Runs a request on its owner.
    async fn forward(req: Forward) -> Reply;
    /// Recovers the outcome of an attempt.
    async fn outcome(query: OutcomeQuery) -> OutcomeReply;
    /// Renews an owner's lease with its coordinator.
    async fn renew(req: Renew) -> RenewReply;
    /// Asks a standby for a promise not to claim the partition for a limited time.
    async fn promise(req: Promise) -> PromiseReply;
    /// Transfers recent outcomes of a slice to its next owner.
    async fn handover(req: Handover) -> HandoverReply;
    /// Tells the coordinator that an owner has stopped serving a slice.
    async fn release(req: Release) -> ReleaseReply;
    /// Offers a newer partition record.
    async fn record(push: Box<record::Record>);
    /// Exchanges member entries and revisions in a gossip round.
    async fn gossip(exchange: Gossip) -> Gossip;
    /// Offers a newer configuration document.
    async fn document(push: Document);
}

/// Keep-alive, which also identifies the responding incarnation.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct Ping {
    /// Sender.
    pub from: ids::NodeRef,
}

/// Request forwarded to its owner.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Forward {
    /// Entry node.
    pub from: ids::NodeRef,
    /// Incarnation of the owner known to the entry node.
    pub to: ids::Incarnation,
    /// Target service.
    pub service: String,
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Identifier of this attempt.
    pub attempt: ids::AttemptId,
    /// Whether the entry node created the identifier, so that no earlier attempt can exist elsewhere.
    pub fresh: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority; lower numbers are served first.
    pub priority: u8,
    /// Key, if the service is partitioned by key.
    pub key: Option<String>,
    /// Slice lookup hash; `None` if any server may run the request.
    pub hash: Option<ids::KeyHash>,
    /// HTTP method.
    pub method: String,
    /// Path and query after the service name.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// Time from sending the message until the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
}

/// Final result of an attempt on its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Reply {
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Requests in flight on the owner's backend server, as a load hint.
    pub in_flight: u32,
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server responded.
    Answered(BackendResponse),
    /// The request provably did not run.
    NotRun(NotRun),
    /// The request may or may not have run.
    Unknown(UnknownReason),
}

/// Response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Refusal that proves that the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NotRun {
    /// Reason of the refusal.
    pub reason: NotRunReason,
    /// Recommended delay before a retry.
    pub retry_after: time::Duration,
}

/// Reason why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum NotRunReason {
    /// The receiver does not own the slice.
    NotOwner,
    /// The slice is being moved to another owner.
    Moving,
    /// No owner is known.
    NoOwner,
    /// The queue can't serve the request before its deadline.
    Overloaded,
    /// The backend server shed the request.
    Shed,
    /// The backend server is draining.
    Draining,
    /// The backend server is not ready yet.
    Cold,
    /// The backend server is unreachable and received nothing.
    Unreachable,
    /// The backend server rejected the fencing token or has no grant.
    Fenced,
    /// The deadline passed before the request was delivered.
    Expired,
    /// The caller cancelled the request before it started.
    Cancelled,
    /// A tombstone blocks this attempt.
    Barred,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The message was addressed to another incarnation.
    Incarnation,
}

/// Reason why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum UnknownReason {
    /// The backend server did not respond before the deadline.
    Timeout,
    /// The connection to the backend server failed after the request was sent.
    Broken,
    /// The response was truncated or carried another identifier.
    Mismatch,
    /// The owner was lost after the request was sent to it.
    OwnerLost,
    /// The identifier is older than the owner's outcome history.
    Horizon,
    /// The caller cancelled the request after it started.
    Cancelled,
}

/// Query for the outcome of an attempt.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeQuery {
    /// Entry node.
    pub from: ids::NodeRef,
    /// Incarnation that the attempt was sent to.
    pub to: ids::Incarnation,
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Identifier of the attempt.
    pub attempt: ids::AttemptId,
    /// Time until the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
}

/// Reply to an [`OutcomeQuery`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum OutcomeReply {
    /// The attempt has finished, or is blocked from now on.
    Final(Reply),
    /// The receiver is another incarnation and does not know the attempt.
    Incarnation(ids::Incarnation),
}

/// Request for a lease on all slices that the record assigns to the sender.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Renew {
    /// Owner.
    pub from: ids::NodeRef,
    /// Incarnation of the coordinator.
    pub to: ids::Incarnation,
    /// Partition.
    pub partition: ids::PartitionId,
    /// Epoch and revision of the record that the owner has applied.
    pub stamp: (ids::Epoch, ids::Revision),
    /// State of the owner's backend server.
    pub backend: BackendState,
    /// Load report; included in some renewals only, to limit traffic at the coordinator.
    pub report: Option<Report>,
}

/// Information about a server that the coordinator needs less often than on every renewal.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Failure domain of the owner's host.
    pub domain: String,
    /// Load since the previous report.
    pub load: Load,
}

/// State of a backend server as observed by its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendState {
    /// Whether the server can serve requests.
    pub up: bool,
    /// Whether the server is draining and wants no more slices.
    pub draining: bool,
    /// Whether the server checks fencing tokens.
    pub checks: bool,
    /// Concurrency limit of the server.
    pub slots: u32,
}

/// Load report.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Measurement interval, in seconds; 0 if nothing was measured.
    pub seconds: f64,
    /// Requests per second.
    pub rate: f64,
    /// Rate by slice: first hash and requests per second.
    pub slices: Vec<(ids::KeyHash, f64)>,
    /// Hottest keys: hash and requests per second.
    pub hot: Vec<(ids::KeyHash, f64)>,
}

/// Reply to a [`Renew`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum RenewReply {
    /// Lease on the slices of the record at this stamp.
    Granted {
        /// Epoch and revision of the record that the lease refers to.
        stamp: (ids::Epoch, ids::Revision),
        /// Record, if the owner's copy is older.
        record: Option<Box<record::Record>>,
    },
    /// The receiver is not the coordinator; carries its latest record, if any.
    NotCoordinator(Option<Box<record::Record>>),
    /// The receiver lacks a promise from a standby and can't grant leases now.
    NoAuthority,
}

/// Request for a promise not to claim.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Promise {
    /// Coordinator.
    pub from: ids::NodeRef,
    /// Incarnation of the standby.
    pub to: ids::Incarnation,
    /// Partition.
    pub partition: ids::PartitionId,
    /// Epoch and revision of the coordinator's record.
    pub stamp: (ids::Epoch, ids::Revision),
    /// Record, if the standby's copy may be older.
    pub record: Option<Box<record::Record>>,
}

/// Reply to a [`Promise`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum PromiseReply {
    /// The standby will not claim the partition while the promise is valid.
    Given {
        /// Epoch and revision of the standby's copy of the record.
        stamp: (ids::Epoch, ids::Revision),
    },
    /// The standby knows a later epoch.
    Superseded(Box<record::Record>),
    /// The standby has a pending claim with unknown result.
    Unresolved,
    /// The receiver is another incarnation.
    Incarnation(ids::Incarnation),
    /// The standby needs the record first.
    NeedRecord,
}

/// Recent outcomes of a slice, sent to its next owner.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// Old owner.
    pub from: ids::NodeRef,
    /// Incarnation of the new owner.
    pub to: ids::Incarnation,
    /// Partition.
    pub partition: ids::PartitionId,
    /// First hash of the slice.
    pub start: ids::KeyHash,
    /// Version under which the old owner held the slice.
    pub version: ids::SliceVersion,
    /// Start of the outcome history, as time since the Unix epoch. Requests with older identifiers may
    /// have run without being listed.
    pub horizon: time::Duration,
    /// Non-idempotent requests that finished or whose outcome is unknown.
    pub outcomes: Vec<FinishedRequest>,
}

/// Outcome of a request that has run.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct FinishedRequest {
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Slice lookup hash.
    pub hash: ids::KeyHash,
    /// Outcome.
    pub outcome: Outcome,
}

/// Reply to a [`Handover`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HandoverReply {
    /// The outcomes were stored.
    Taken,
    /// The receiver is another incarnation.
    Incarnation(ids::Incarnation),
}

/// Notice that an owner has stopped serving a slice.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Release {
    /// Old owner.
    pub from: ids::NodeRef,
    /// Incarnation of the coordinator.
    pub to: ids::Incarnation,
    /// Partition.
    pub partition: ids::PartitionId,
    /// Released slices: first hash and held version.
    pub slices: Vec<(ids::KeyHash, ids::SliceVersion)>,
}

/// Reply to a [`Release`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum ReleaseReply {
    /// The record shows the slices with their new owner.
    Done(Box<record::Record>),
    /// The receiver is not the coordinator or can't write now; the sender retries.
    Again,
}

/// Message of a gossip round.
///
/// Every message carries the hashes of the sender's tables. The lists are filled step by step, and
/// only if the hashes differ, so that a round between nodes in sync costs a few dozen bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Gossip {
    /// Sender.
    pub from: ids::NodeRef,
    /// Revision of the sender's document.
    pub document: ids::DocRevision,
    /// Hash of the sender's member table.
    pub members: u64,
    /// Hash of the epochs and revisions of the sender's partition records.
    pub stamps: u64,
    /// Hash of each bucket of the member table.
    pub buckets: Vec<u32>,
    /// Indexes of the buckets covered by the digest.
    pub covered: Vec<u16>,
    /// Version of each entry in these buckets.
    pub digest: Vec<(ids::NodeRef, u64)>,
    /// Addresses whose entries are older at the sender than at the receiver.
    pub wanted: Vec<ids::NodeAddr>,
    /// Whether this message ends the round.
    pub last: bool,
    /// Entries that the receiver lacks, to the sender's knowledge.
    pub entries: Vec<Member>,
    /// Epochs and revisions of some of the sender's partition records.
    pub records: Vec<(ids::PartitionId, (ids::Epoch, ids::Revision))>,
}

/// Entry of a node in the member table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Node.
    pub node: ids::NodeRef,
    /// Version of the entry, incremented by the node itself.
    pub version: u64,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address for callers.
    pub caller: String,
    /// Address for operators.
    pub admin: String,
    /// Service of the backend server, if one is registered.
    pub service: Option<String>,
    /// State of the backend server.
    pub backend: BackendState,
    /// Whether the node has left.
    pub left: bool,
    /// Revision of the node's active document.
    pub document: ids::DocRevision,
}

/// Offer of a configuration document.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// Revision of the document.
    pub revision: ids::DocRevision,
    /// Document text as submitted.
    pub text: String,
}
