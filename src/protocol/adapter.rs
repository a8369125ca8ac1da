//! Interface between a sidecar and the platform it runs on.
//!
//! An adapter translates between the platform's names and formats and the types of this module. It
//! makes no decisions and does no I/O, so it can be tested on encoded messages alone.

use std::fmt;
use std::time::Duration;

use crate::protocol::http;
use crate::protocol::mesh;
use crate::state::keyspace;
use crate::state::routes;
use crate::state::store_revision::Era;

/// Terms of a request, as set by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// Identifier of the caller's attempt.
    pub id: String,
    /// Timeout of the caller.
    pub patience: Option<Duration>,
    /// Key of the request, if any.
    pub key: Option<keyspace::Key>,
}

/// Metadata added to a request for a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestMetadata<'a> {
    /// Time until the deadline, in milliseconds.
    pub left_ms: u32,
    /// Identifier of the intended backend server.
    pub backend: &'a str,
    /// Service of the host where the request originated.
    pub origin: &'a str,
}

/// Metadata of a backend server's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Marks {
    /// Identifier of the request that the response belongs to.
    pub id: Option<String>,
    /// Whether the response is signed by the backend server.
    pub signed: bool,
    /// Reason of a refusal, which proves that the request did not run.
    pub refusal: Option<Refusal>,
    /// Idle timeout of the connection.
    pub idle: Option<Duration>,
    /// What the backend server says of itself.
    pub signals: Signals,
}

/// What a backend server says of itself in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signals {
    /// Limit on the requests that it takes; `Unknown` if it can't be decoded.
    pub limit: mesh::RateLimit,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its present load.
    pub load: StatedLoad,
}

/// Load that a backend server states in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLoad {
    /// None.
    #[default]
    Absent,
    /// Can't be decoded, or is out of range.
    Malformed,
    /// Load, and the duration of work relative to the normal one, if it is stated: 2 if work takes twice
    /// as long.
    Stated(Option<f64>),
}

/// Reason of a backend server for refusing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The server is overloaded, or the deadline passed in its queue.
    Shed,
    /// The server does not hold the key.
    NotHolder,
    /// The request was intended for another server.
    Misdirected,
}

/// State reported by a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Ready,
    /// Draining before it shuts down.
    Draining,
}

/// Heartbeat from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifier of the backend server.
    pub backend: String,
    /// Start time of this incarnation, in Unix milliseconds; 0 if not reported.
    pub born: u64,
    /// Sequence number within this incarnation.
    pub sequence: u64,
    /// IP address and port.
    pub address: String,
    /// Service of the backend server.
    pub service: String,
    /// Concurrency limit.
    pub slots: u16,
    /// State of the backend server.
    pub phase: Phase,
    /// Remaining warm-up time.
    pub warmup: Duration,
    /// Ranges that it holds or still runs requests for.
    pub holds: Vec<Hold>,
    /// Ranges released since its last acknowledged heartbeat.
    pub released: Vec<Released>,
}

/// Range held by a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// First key.
    pub from: keyspace::Key,
    /// Last key.
    pub to: keyspace::Key,
    /// Fencing token.
    pub token: u64,
}

/// Range released by a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Released {
    /// First key.
    pub from: keyspace::Key,
    /// Last key.
    pub to: keyspace::Key,
    /// Proof of release for the next holder, which has to start slowly without it.
    pub handover: String,
}

/// Grant of a range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeGrant {
    /// First key.
    pub from: keyspace::Key,
    /// Last key.
    pub to: keyspace::Key,
    /// Fencing token.
    pub token: u64,
    /// Proof of release by the previous holder; empty if there is none.
    pub handover: String,
}

/// Grants of a backend server, valid for a time after it sent its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantSet {
    /// All granted ranges.
    pub ranges: Vec<RangeGrant>,
    /// Validity, counted from the sending of the heartbeat.
    pub valid_for: Duration,
}

/// Message from a backend server to its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// Regular heartbeat.
    Heartbeat(Heartbeat),
    /// The server leaves without having reported that it is draining.
    Leave {
        /// Identifier of the backend server.
        backend: String,
        /// Start time of the ending incarnation, in Unix milliseconds, if reported.
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
    /// Revision of the last change.
    pub revision: u64,
}

/// Change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An item was written.
    Put(Item),
    /// An item was removed.
    Removed {
        /// Key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Identifier of a store lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// Call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads one page of the items with a key prefix.
    Range {
        /// Prefix of the keys.
        prefix: String,
        /// Last key of the previous page.
        after: Option<String>,
    },
    /// Waits for changes of items with a key prefix.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes are reported.
        after: u64,
        /// Maximum wait.
        wait: Duration,
    },
    /// Changes items atomically if all conditions hold.
    Commit(Commit),
    /// Creates a lease.
    Grant {
        /// Time to live.
        ttl: Duration,
    },
    /// Renews a lease.
    Renew(LeaseId),
}

impl StoreCall {
    /// Returns the name of the call used in metrics.
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

/// Conditional transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Commit {
    /// Keys with their expected revisions; 0 means that the item must not exist.
    pub expect: Vec<(String, u64)>,
    /// Items to write, with the lease that they are bound to.
    pub put: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to delete.
    pub delete: Vec<String>,
}

/// Reply of the store.
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
        /// Changes in order.
        events: Vec<Event>,
        /// Revision from which to continue the watch.
        as_of: u64,
    },
    /// The transaction was committed.
    Committed {
        /// Revision of the transaction.
        revision: u64,
    },
    /// A condition does not hold.
    Conflict {
        /// Current items of the conditions, as far as they exist and can be decoded.
        items: Vec<Item>,
    },
    /// The lease is active.
    Lease {
        /// Identifier; `None` for a renewal.
        id: Option<LeaseId>,
        /// Time to live, counted from the arrival of the call.
        ttl: Duration,
    },
    /// The lease or item does not exist.
    Missing,
    /// The history requested by a watch has been compacted.
    Compacted,
    /// The call was not executed because the store is busy, down or rate-limited.
    Refused,
}

/// Error of a message that can't be decoded.
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
    /// Decodes the terms of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is missing or malformed.
    fn decode_terms(&self, head: &http::RequestHead) -> Result<Terms, DecodeError>;

    /// Removes reserved header lines, which only the sidecar may set.
    fn strip_reserved_headers(&self, headers: &mut Vec<http::Header>);

    /// Returns the header lines added to a request for a backend server.
    fn metadata_headers(&self, metadata: RequestMetadata<'_>) -> Vec<http::Header>;

    /// Decodes the metadata of a backend server's response.
    fn decode_marks(&self, head: &http::ResponseHead) -> Marks;

    /// Returns whether callers take a status as the promise that their request hasn't run.
    fn promises_not_run(&self, status: u16) -> bool;

    /// Decodes what a backend server says of itself in a response.
    fn decode_signals(&self, headers: &[http::Header]) -> Signals;

    /// Decodes the remaining warm-up time in the response to a health check; `None` if there is none.
    fn decode_warmup(&self, headers: &[http::Header]) -> Option<Duration>;

    /// Returns the header line with a request's identifier.
    fn request_id_header(&self, id: &str) -> http::Header;

    /// Decodes a message from a backend server to its node.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is invalid.
    fn decode_notice(&self, head: &http::RequestHead, body: &[u8]) -> Result<Notice, DecodeError>;

    /// Encodes the response to a heartbeat.
    fn encode_grants(&self, grants: Option<&GrantSet>) -> Vec<u8>;

    /// Returns whether a request is a readiness probe of the node.
    fn is_readiness_probe(&self, head: &http::RequestHead) -> bool;

    /// Returns the store key of the configuration.
    fn config_key(&self) -> &str;

    /// Returns the prefix of all store keys that the operator writes, among them the configuration's.
    fn operator_prefix(&self) -> &str;

    /// Returns the failure domain that a store key evacuates; `None` for other keys.
    fn decode_evacuation_key<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is invalid.
    fn decode_config(&self, value: &[u8]) -> Result<routes::RouteTable, DecodeError>;

    /// Decodes the era of the store from a response's header; `None` if the header is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the header isn't a number.
    fn decode_store_era(&self, headers: &[http::Header]) -> Result<Option<Era>, DecodeError>;

    /// Encodes a call to the store.
    fn encode_store_call(&self, call: &StoreCall) -> mesh::StoreRequest;

    /// Decodes the store's reply to a call.
    ///
    /// # Errors
    ///
    /// Returns an error if the reply can't be decoded; the call may have been executed.
    fn decode_store_reply(
        &self,
        call: &StoreCall,
        response: &mesh::StoreResponse,
    ) -> Result<StoreReply, DecodeError>;
}
