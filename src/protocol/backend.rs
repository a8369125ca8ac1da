//! Messages to and from the backend server beside a node: JSON and headers over HTTP.

use std::time;

use serde::{Deserialize, Serialize};

use crate::protocol::peer;
use crate::state::{clock, ids, record};

/// Header with the identifier of a request, in requests and responses.
pub const REQUEST_ID_HEADER: &str = "filbert-id";

/// Header with the identifier of an attempt.
pub const ATTEMPT_ID_HEADER: &str = "filbert-attempt";

/// Header with the key, percent-encoded.
pub const KEY_HEADER: &str = "filbert-key";

/// Header with the fencing token, `EPOCH.VERSION`.
pub const TOKEN_HEADER: &str = "filbert-token";

/// Header with the time left, in milliseconds.
pub const DEADLINE_MS_HEADER: &str = "filbert-deadline-ms";

/// Header with the end of the time left on `CLOCK_BOOTTIME`, in milliseconds. Unlike the time left it
/// isn't extended while the request waits in the socket of a frozen server.
pub const EXPIRES_MS_HEADER: &str = "filbert-expires-ms";

/// Header of a response that proves that the request did not run.
pub const REFUSED_HEADER: &str = "filbert-refused";

/// Largest body of a response, in bytes; a peer message with it must fit a frame.
pub const MAX_BODY: u64 = 3 << 20;

/// Bytes of a key that a header can't carry, and the escape character itself.
const ESCAPED: &percent_encoding::AsciiSet = &percent_encoding::CONTROLS.add(b'%').add(b' ');

/// Encodes a key for the header `filbert-key`.
#[must_use]
pub fn encode_key(key: &str) -> String {
    percent_encoding::utf8_percent_encode(key, ESCAPED).to_string()
}

/// Notice by which a backend server makes itself known to its node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: std::net::SocketAddr,
    /// Start of the server's process.
    pub incarnation: u64,
    /// Concurrent requests that it runs.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it checks fencing tokens.
    #[serde(default)]
    pub checks_tokens: bool,
    /// Whether it wants no more work.
    #[serde(default)]
    pub draining: bool,
    /// Time that it needs from its start until it is at full speed, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
}

/// Proof of a backend server that a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The token is older than one that it has seen.
    StaleToken,
    /// It holds no live grant on the slice.
    NoGrant,
    /// It has too much work.
    Shed,
    /// It is leaving.
    Draining,
    /// It is not ready yet.
    Cold,
    /// The request was cancelled before it started.
    Cancelled,
    /// The deadline passed before the request started.
    Expired,
}

impl Refusal {
    /// Reads the value of the header `filbert-refused`.
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

/// Answer to a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelResult {
    /// The request will no longer start.
    NotStarted,
    /// The request is running.
    Running,
    /// The request has finished.
    Finished,
}

impl CancelResult {
    /// Reads the body of the answer.
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

/// Grant of slices, sent with each renewal of the node's lease; it replaces the one before.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantBody {
    /// Service.
    pub service: String,
    /// Slices that the server may serve.
    pub slices: Vec<GrantSlice>,
    /// Validity from the moment of sending, in milliseconds.
    pub valid_ms: u64,
    /// End of the validity on `CLOCK_BOOTTIME` in milliseconds. Server and node share a host and
    /// its clock, so a grant that waited in the socket of a frozen server is expired when it is
    /// read, and a step of the wall clock does not extend it.
    pub expires_ms: u64,
}

/// Slice of a grant; both ends are part of it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantSlice {
    /// First hash.
    pub start: ids::KeyHash,
    /// Last hash.
    pub end: ids::KeyHash,
    /// Fencing token, `EPOCH.VERSION` as in the header of a request.
    pub token: String,
}

impl GrantBody {
    /// Lists the slices that a record assigns to a node, under a lease with this time left.
    #[must_use]
    pub fn new(
        owner: ids::NodeRef,
        record: &record::PartitionRecord,
        left: time::Duration,
    ) -> Self {
        let slices = record.slices.iter().enumerate();
        let held = slices.filter(|(_, s)| s.owner == Some(owner));
        let until = clock::Instant::now() + left;
        Self {
            service: record.id.service.clone(),
            slices: held
                .map(|(i, s)| GrantSlice {
                    start: s.start,
                    end: record.slice_end(i),
                    token: record.token(s).to_string(),
                })
                .collect(),
            valid_ms: u64::try_from(left.as_millis()).unwrap_or_default(),
            expires_ms: u64::try_from(until.since_boot().as_millis()).unwrap_or_default(),
        }
    }
}
