//! Messages between nodes.
//!
//! A message names the sender's incarnation, and where it matters the receiver's: a message meant
//! for an earlier incarnation of the receiver must have no effect, because the receiver has
//! forgotten what that incarnation promised or held.

use std::time;

use serde::{Deserialize, Serialize};

use crate::protocol::record;
use crate::state::ids;

/// Largest frame on a peer connection, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// Service that each node offers to its peers.
#[tarpc::service]
pub trait Peer {
    /// Answers a keep-alive.
    async fn ping(ping: Ping) -> Ping;
    /// Runs a request at its owner.
    async fn forward(req: Forward) -> Reply;
    /// Recovers the outcome of an attempt.
    async fn outcome(query: OutcomeQuery) -> OutcomeReply;
    /// Renews an owner's lease at its coordinator.
    async fn renew(req: Renew) -> RenewReply;
    /// Asks a standby not to claim for the length of a promise.
    async fn promise(req: Promise) -> PromiseReply;
    /// Transfers recent outcomes of a slice to its next owner.
    async fn handover(req: Handover) -> HandoverReply;
    /// Tells the coordinator that an owner has stopped serving a slice.
    async fn release(req: Release) -> ReleaseReply;
    /// Offers a newer partition record.
    async fn record(push: Box<record::Record>);
    /// Exchanges member entries and revisions.
    async fn gossip(exchange: Gossip) -> Gossip;
    /// Offers a newer configuration document.
    async fn document(push: Document);
}

/// Keep-alive; also tells which incarnation answers.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct Ping {
    /// Sender.
    pub from: ids::NodeRef,
}

/// Request on its way to its owner.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Forward {
    /// Entry node.
    pub from: ids::NodeRef,
    /// Incarnation of the owner that the entry knows.
    pub to: ids::Incarnation,
    /// Service that the request is for.
    pub service: String,
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Identifier of this attempt.
    pub attempt: ids::AttemptId,
    /// Whether the entry created the identifier, so that no earlier attempt can exist elsewhere.
    pub fresh: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority; a smaller number goes first.
    pub priority: u8,
    /// Key, if the service is divided by key.
    pub key: Option<String>,
    /// Slice lookup hash; `None` if any server may run the request.
    pub hash: Option<ids::KeyHash>,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service's name.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// Time left until the caller's deadline when the message was sent, in milliseconds.
    pub deadline_ms: u32,
}

/// Final result of an attempt at its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Reply {
    /// Identifier of the request that is answered.
    pub id: ids::RequestId,
    /// What happened to it.
    pub outcome: Outcome,
    /// Requests in flight at the owner's backend server, as a load hint.
    pub in_flight: u32,
}

/// What happened to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server answered.
    Answered(BackendResponse),
    /// The request is proved not to have run.
    NotRun(NotRun),
    /// The request may or may not have run.
    Unknown(UnknownReason),
}

/// Answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Refusal with proof that the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NotRun {
    /// Why it did not run.
    pub reason: NotRunReason,
    /// Time after which a new attempt makes sense.
    pub retry_after: time::Duration,
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum NotRunReason {
    /// Receiver does not hold the slice.
    NotOwner,
    /// Slice is being moved to another owner.
    Moving,
    /// No owner is known.
    NoOwner,
    /// Queue can't serve the request within its deadline.
    Overloaded,
    /// Backend server shed it.
    Shed,
    /// Backend server is draining.
    Draining,
    /// Backend server is not ready yet.
    Cold,
    /// Backend server can't be reached and received nothing.
    Unreachable,
    /// Backend server refused the fencing token or has no grant.
    Fenced,
    /// Deadline passed before the request was delivered.
    Expired,
    /// Caller cancelled before the request started.
    Cancelled,
    /// A tombstone bars this attempt.
    Barred,
    /// Retry budget is spent.
    RetryBudget,
    /// Message was meant for another incarnation.
    Incarnation,
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum UnknownReason {
    /// Backend server did not answer within the deadline.
    Timeout,
    /// Connection to the backend server failed after the request was written.
    Broken,
    /// Answer was truncated or carried another identifier.
    Mismatch,
    /// Owner was lost after the request was sent to it.
    OwnerLost,
    /// Identifier is older than what the owner remembers.
    Horizon,
    /// Caller cancelled after the request had started.
    Cancelled,
}

/// Question about the outcome of an attempt.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct OutcomeQuery {
    /// Entry node.
    pub from: ids::NodeRef,
    /// Incarnation that the attempt was sent to.
    pub to: ids::Incarnation,
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Attempt that was sent.
    pub attempt: ids::AttemptId,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
}

/// Answer to an [`OutcomeQuery`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum OutcomeReply {
    /// The attempt has finished, or is barred from now on.
    Final(Reply),
    /// Receiver is another incarnation and knows nothing.
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
    /// Record stamp that the owner has applied.
    pub stamp: (ids::Epoch, ids::Revision),
    /// State of the owner's backend server.
    pub backend: BackendState,
    /// Report; not every renewal carries one, to save traffic at the coordinator.
    pub report: Option<Report>,
}

/// What a coordinator needs to know about a server less often than it renews.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Failure domain of the owner's host.
    pub domain: String,
    /// Load since the previous report.
    pub load: Load,
}

/// State of a backend server as its node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendState {
    /// Whether it can serve.
    pub up: bool,
    /// Whether it wants no more slices.
    pub draining: bool,
    /// Whether it checks fencing tokens.
    pub checks: bool,
    /// Concurrent requests that it runs.
    pub slots: u32,
}

/// Load report.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Time over which the rates were measured, in seconds; 0 if they were not.
    pub seconds: f64,
    /// Requests per second.
    pub rate: f64,
    /// Rate of each slice: start and requests per second.
    pub slices: Vec<(ids::KeyHash, f64)>,
    /// Hottest keys: hash and requests per second.
    pub hot: Vec<(ids::KeyHash, f64)>,
}

/// Answer to a [`Renew`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum RenewReply {
    /// Lease on the slices of the record at this stamp.
    Granted {
        /// Stamp of the record that the lease refers to.
        stamp: (ids::Epoch, ids::Revision),
        /// Record, if the owner's copy was older.
        record: Option<Box<record::Record>>,
    },
    /// Receiver is not the coordinator; its newest record, if it has one.
    NotCoordinator(Option<Box<record::Record>>),
    /// Receiver lacks a promise and must not grant now.
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
    /// Stamp of the coordinator's record.
    pub stamp: (ids::Epoch, ids::Revision),
    /// Record, if the standby may have an older copy.
    pub record: Option<Box<record::Record>>,
}

/// Answer to a [`Promise`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum PromiseReply {
    /// The standby will not claim for the length of a promise.
    Given {
        /// Stamp of the standby's copy of the record.
        stamp: (ids::Epoch, ids::Revision),
    },
    /// The standby knows a newer epoch.
    Superseded(Box<record::Record>),
    /// The standby has a claim whose result it does not know.
    Unresolved,
    /// Receiver is another incarnation.
    Incarnation(ids::Incarnation),
    /// The standby needs the record first.
    NeedRecord,
}

/// Recent outcomes of a slice for its next owner.
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
    /// Requests whose identifier is older than this may have run without being listed; the time
    /// since the Unix epoch.
    pub horizon: time::Duration,
    /// Finished and unknown non-idempotent requests.
    pub outcomes: Vec<FinishedRequest>,
}

/// Outcome of a request that has run.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct FinishedRequest {
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Hash by which it was placed.
    pub hash: ids::KeyHash,
    /// Outcome.
    pub outcome: Outcome,
}

/// Answer to a [`Handover`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HandoverReply {
    /// Outcomes are kept.
    Taken,
    /// Receiver is another incarnation.
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
    /// Slices: first hash and version that was held.
    pub slices: Vec<(ids::KeyHash, ids::SliceVersion)>,
}

/// Answer to a [`Release`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum ReleaseReply {
    /// The record shows the slices with their new owner.
    Done(Box<record::Record>),
    /// Receiver is not the coordinator or can't write now; the sender tries again.
    Again,
}

/// Message of a round of gossip.
///
/// Every message carries the hashes of the sender's tables. The lists are filled only when the
/// hashes differ, step by step, so that a round between equal nodes costs a few dozen bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Gossip {
    /// Sender.
    pub from: ids::NodeRef,
    /// Revision of the sender's document.
    pub document: ids::DocRevision,
    /// Hash of the sender's member table.
    pub members: u64,
    /// Hash of the stamps of the sender's partition records.
    pub stamps: u64,
    /// Hash of each bucket of the member table.
    pub buckets: Vec<u32>,
    /// Buckets that the digest covers.
    pub covered: Vec<u16>,
    /// Version of each entry in these buckets.
    pub digest: Vec<(ids::NodeRef, u64)>,
    /// Addresses whose entries the sender has in an earlier version than the receiver.
    pub wanted: Vec<ids::NodeAddr>,
    /// Whether the exchange ends with this message.
    pub last: bool,
    /// Entries that are new to the receiver as far as the sender knows.
    pub entries: Vec<Member>,
    /// Stamps of some of the sender's partition records.
    pub records: Vec<(ids::PartitionId, (ids::Epoch, ids::Revision))>,
}

/// Entry of a node in the member table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Node.
    pub node: ids::NodeRef,
    /// Version of the entry, increased by the node itself.
    pub version: u64,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address for callers.
    pub caller: String,
    /// Address for operators.
    pub admin: String,
    /// Service of the backend server, if one has announced itself.
    pub service: Option<String>,
    /// State of the backend server.
    pub backend: BackendState,
    /// Whether the node has left.
    pub left: bool,
    /// Document revision that the node runs.
    pub document: ids::DocRevision,
}

/// Configuration document.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// Revision.
    pub revision: ids::DocRevision,
    /// Text as submitted.
    pub text: String,
}
