//! Messages between a node and its local backend server: JSON and headers over HTTP.

use std::time;

use serde::{Deserialize, Serialize};

use crate::protocol::peer;
use crate::state::{clock, ids, record};

/// Request and response header with the request identifier.
pub const REQUEST_ID_HEADER: &str = "filbert-id";

/// Header with the attempt identifier.
pub const ATTEMPT_ID_HEADER: &str = "filbert-attempt";

/// Header with the key, percent-encoded.
pub const KEY_HEADER: &str = "filbert-key";

/// Header with the fencing token, `EPOCH.VERSION`.
pub const TOKEN_HEADER: &str = "filbert-token";

/// Header with the time until the deadline, in milliseconds.
pub const DEADLINE_MS_HEADER: &str = "filbert-deadline-ms";

/// Header with the deadline as a `CLOCK_BOOTTIME` timestamp, in milliseconds. Unlike the remaining
/// time, it still holds when a frozen server reads the request late from its socket.
pub const EXPIRES_MS_HEADER: &str = "filbert-expires-ms";

/// Response header that proves that the request did not run.
pub const REFUSED_HEADER: &str = "filbert-refused";

/// Maximum size of a response body, in bytes. A peer message that carries it must fit in a frame.
pub const MAX_BODY: u64 = 3 << 20;

/// Characters of a key that are not allowed in a header, plus the escape character itself.
const ESCAPED: &percent_encoding::AsciiSet = &percent_encoding::CONTROLS.add(b'%').add(b' ');

/// Encodes a key for the header `filbert-key`.
#[must_use]
pub fn encode_key(key: &str) -> String {
    percent_encoding::utf8_percent_encode(key, ESCAPED).to_string()
}

/// Registration of a backend server with its node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Service of the backend server.
    pub service: String,
    /// Address for requests.
    pub address: std::net::SocketAddr,
    /// Incarnation of the server's process.
    pub incarnation: u64,
    /// Concurrency limit.
    pub slots: u32,
    /// Connection limit.
    pub connections: u32,
    /// Whether the server checks fencing tokens.
    #[serde(default)]
    pub checks_tokens: bool,
    /// Whether the server is draining.
    #[serde(default)]
    pub draining: bool,
    /// Warm-up time after the start of the server, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
}

/// Reason of a backend server for refusing a request, which proves that it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The fencing token is older than one that the server has seen.
    StaleToken,
    /// The server has no valid grant for the slice.
    NoGrant,
    /// The server is overloaded.
    Shed,
    /// The server is draining.
    Draining,
    /// The server is not ready yet.
    Cold,
    /// The request was cancelled before it started.
    Cancelled,
    /// The deadline passed before the request started.
    Expired,
}

impl Refusal {
    /// Parses the value of the header `filbert-refused`.
    #[must_use]
    pub fn parse(s: &str) -> Option<Self> {
        match s {
            "stale-token" => Some(Self::StaleToken),
            "no-grant" => Some(Self::NoGrant),
            "shed" => Some(Self::Shed),
            "draining" => Some(Self::Draining),
            "cold" => Some(Self::Cold),
            "cancelled" => Some(Self::Cancelled),
            "expired" => Some(Self::Expired),
            _ => None,
        }
    }
}

impl From<Refusal> for peer::NotRunReason {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::StaleToken | Refusal::NoGrant => Self::Fenced,
            Refusal::Shed => Self::Shed,
            Refusal::Draining => Self::Draining,
            Refusal::Cold => Self::Cold,
            Refusal::Cancelled => Self::Cancelled,
            Refusal::Expired => Self::Expired,
        }
    }
}

/// Result of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResult {
    /// The request had not started and will not start.
    NotStarted,
    /// The request is running.
    Running,
    /// The request has finished.
    Finished,
}

impl CancelResult {
    /// Parses the response body.
    #[must_use]
    pub fn parse(s: &str) -> Option<Self> {
        match s.trim() {
            "not-started" => Some(Self::NotStarted),
            "running" => Some(Self::Running),
            "finished" => Some(Self::Finished),
            _ => None,
        }
    }
}

/// Grant of slices, sent on each renewal of the node's lease. It replaces the previous grant.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantBody {
    /// Service.
    pub service: String,
    /// Slices that the server may serve.
    pub slices: Vec<GrantSlice>,
    /// Validity from the time of sending, in milliseconds.
    pub valid_ms: u64,
    /// Expiry as a `CLOCK_BOOTTIME` timestamp, in milliseconds. Server and node share this clock of
    /// their host, so a grant that waited in the socket of a frozen server has expired when it is
    /// read, and a step of the wall clock does not extend it.
    pub expires_ms: u64,
}

/// Slice of a grant, with inclusive bounds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantSlice {
    /// First hash.
    pub start: ids::KeyHash,
    /// Last hash.
    pub end: ids::KeyHash,
    /// Fencing token, `EPOCH.VERSION` as in the request header.
    pub token: String,
}

impl GrantBody {
    /// Creates a grant of the slices that a record assigns to `owner`, valid for the remaining lease.
    #[must_use]
    pub fn new(
        owner: ids::NodeRef,
        record: &record::PartitionRecord,
        remaining: time::Duration,
    ) -> Self {
        let slices = record.slices.iter().enumerate();
        let held = slices.filter(|(_, s)| s.owner == Some(owner));
        let expires = clock::Instant::now() + remaining;
        Self {
            service: record.id.service.clone(),
            slices: held
                .map(|(i, s)| GrantSlice {
                    start: s.start,
                    end: record.slice_end(i),
                    token: record.token(s).to_string(),
                })
                .collect(),
            valid_ms: u64::try_from(remaining.as_millis()).unwrap_or_default(),
            expires_ms: u64::try_from(expires.since_boot().as_millis()).unwrap_or_default(),
        }
    }
}
