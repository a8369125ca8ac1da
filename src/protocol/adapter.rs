//! Edge of a sidecar: what it needs to know of the platform that it runs on.
//!
//! An adapter translates between the platform's names and formats and the types here. It decides
//! nothing and does no input or output, so one adapter can be tested by its bytes alone.

use std::fmt;
use std::time::Duration;

use crate::protocol::http;
use crate::protocol::mesh;
use crate::state::keyspace;
use crate::state::routes;

/// What a caller states about its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Identifier of this attempt of the caller.
    pub id: String,
    /// Time that the caller will wait.
    pub patience: Option<Duration>,
    /// Key, if the request has one.
    pub key: Option<keyspace::Key>,
}

/// What is added to a request for a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestMetadata<'a> {
    /// Time left, in milliseconds.
    pub left_ms: u32,
    /// Identifier of the backend server that is meant.
    pub backend: &'a str,
    /// Service of the host on which the request began.
    pub origin: &'a str,
}

/// What a backend server's response states.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Marks {
    /// Identifier of the request that it answers.
    pub id: Option<String>,
    /// Whether it bears the backend server's signature.
    pub signed: bool,
    /// Why the request has certainly not run.
    pub refusal: Option<Refusal>,
    /// Time for which an idle connection stays open.
    pub idle: Option<Duration>,
}

/// Reason of a backend server not to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has no room, or the deadline passed in its queue.
    Shed,
    /// It does not hold the key.
    NotHolder,
    /// It isn't the one that was meant.
    Misdirected,
}

/// State that a backend server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes requests.
    Ready,
    /// Is leaving and ends soon.
    Draining,
}

/// Heartbeat of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifier.
    pub backend: String,
    /// Start of this life, in Unix milliseconds; 0 if it isn't stated.
    pub born: u64,
    /// Counter within this life.
    pub sequence: u64,
    /// Address, IP and port.
    pub address: String,
    /// Service.
    pub service: String,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// State.
    pub phase: Phase,
    /// Time for which it is still slow after its start.
    pub warmup: Duration,
    /// Ranges that it holds or still works on.
    pub holds: Vec<Hold>,
    /// Ranges that it has released since its last acknowledged heartbeat.
    pub released: Vec<Released>,
}

/// Range that a backend server holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// First key.
    pub from: keyspace::Key,
    /// Last key.
    pub to: keyspace::Key,
    /// Fencing token.
    pub token: u64,
}

/// Range that a backend server has released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Released {
    /// First key.
    pub from: keyspace::Key,
    /// Last key.
    pub to: keyspace::Key,
    /// Proof for the next holder, which is slow without it.
    pub handover: String,
}

/// Permission to hold a range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeGrant {
    /// First key.
    pub from: keyspace::Key,
    /// Last key.
    pub to: keyspace::Key,
    /// Fencing token.
    pub token: u64,
    /// Proof of release by the previous holder, or empty.
    pub handover: String,
}

/// Permissions of a backend server, for a time from the sending of its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantSet {
    /// All ranges that it is to hold.
    pub ranges: Vec<RangeGrant>,
    /// Time for which it may hold them.
    pub valid_for: Duration,
}

/// What a backend server tells its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// Regular heartbeat.
    Heartbeat(Heartbeat),
    /// It leaves without having reported that it drains.
    Leave {
        /// Identifier.
        backend: String,
        /// Start of the life that ends, in Unix milliseconds, if it is stated.
        born: Option<u64>,
    },
}

/// Item of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// Change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Item as it was written.
    Put(Item),
    /// Item was removed.
    Removed {
        /// Key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Identifier of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// Call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads one page of the items below a prefix.
    Range {
        /// Prefix of the keys.
        prefix: String,
        /// Last key of the page before.
        after: Option<String>,
    },
    /// Waits for changes below a prefix.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes count.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Changes items if all conditions hold.
    Commit(Commit),
    /// Opens a lease.
    Grant {
        /// Duration.
        ttl: Duration,
    },
    /// Renews a lease.
    Renew(LeaseId),
}

impl StoreCall {
    /// Returns the kind's name in metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Range { .. } => "range",
            Self::Watch { .. } => "watch",
            Self::Commit(_) => "commit",
            Self::Grant { .. } => "grant",
            Self::Renew(_) => "renew",
        }
    }
}

/// Change of items under conditions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Commit {
    /// Keys with the revision that they must have; 0 stands for no such item.
    pub expect: Vec<(String, u64)>,
    /// Items to write, with the lease that ends them.
    pub put: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to remove.
    pub delete: Vec<String>,
}

/// Answer of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// Page of items.
    Page {
        /// Items.
        items: Vec<Item>,
        /// Whether more pages follow.
        more: bool,
        /// Revision of the store.
        as_of: u64,
    },
    /// Changes.
    Events {
        /// Changes in their order.
        events: Vec<Event>,
        /// Revision from which to go on.
        as_of: u64,
    },
    /// The change was made.
    Committed {
        /// Revision of the change.
        revision: u64,
    },
    /// A condition does not hold.
    Conflict {
        /// Items of the conditions as they are now, as far as they exist and can be read.
        items: Vec<Item>,
    },
    /// A lease is open.
    Lease {
        /// Identifier, `None` for a renewal.
        id: Option<LeaseId>,
        /// Time for which it runs from the arrival of the call.
        ttl: Duration,
    },
    /// There is no such lease or item.
    Missing,
    /// The history that a watch asked for is gone.
    Compacted,
    /// Nothing was done; the store is busy, down or over its rate.
    Refused,
}

/// Message that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DecodeError {}

/// Translation between a platform and a sidecar.
pub trait Adapter: fmt::Debug {
    /// Reads what a caller states about its request.
    ///
    /// # Errors
    ///
    /// Returns what is missing or malformed.
    fn decode_terms(&self, head: &http::RequestHead) -> Result<Terms, DecodeError>;

    /// Removes header lines that only the system sets.
    fn strip_reserved_headers(&self, headers: &mut Vec<http::Header>);

    /// Returns the header lines that the system adds for a backend server.
    fn metadata_headers(&self, metadata: RequestMetadata<'_>) -> Vec<http::Header>;

    /// Reads what a backend server's response states.
    fn decode_marks(&self, head: &http::ResponseHead) -> Marks;

    /// Returns the header line that echoes a request's identifier.
    fn request_id_header(&self, id: &str) -> http::Header;

    /// Reads a call of a backend server to its node.
    ///
    /// # Errors
    ///
    /// Returns why the call can't be used.
    fn decode_notice(&self, head: &http::RequestHead, body: &[u8]) -> Result<Notice, DecodeError>;

    /// Writes the answer to a heartbeat.
    fn encode_grants(&self, grants: Option<&GrantSet>) -> Vec<u8>;

    /// Returns whether a request asks whether the node is ready.
    fn is_readiness_probe(&self, head: &http::RequestHead) -> bool;

    /// Returns the store's key of the configuration.
    fn config_key(&self) -> &str;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Returns why it can't be used.
    fn decode_config(&self, value: &[u8]) -> Result<routes::RouteTable, DecodeError>;

    /// Encodes a call to the store.
    fn encode_store_call(&self, call: &StoreCall) -> mesh::StoreRequest;

    /// Decodes the store's answer to a call.
    ///
    /// # Errors
    ///
    /// Returns why the answer can't be read; the call may have been carried out.
    fn decode_store_reply(
        &self,
        call: &StoreCall,
        response: &mesh::StoreResponse,
    ) -> Result<StoreReply, DecodeError>;
}
