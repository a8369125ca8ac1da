//! Messages to the backend server beside a node: JSON over HTTP.

use serde::{Deserialize, Serialize};

use crate::state::ids;

/// Grant of slices, sent with each renewal of the node's lease; it replaces the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantBody {
    /// Service.
    pub service: String,
    /// Slices that the server may serve.
    pub slices: Vec<GrantSlice>,
    /// Validity from the moment of sending, in milliseconds.
    pub valid_ms: u64,
    /// End of the validity as Unix time in milliseconds; server and node share a host and its
    /// clock, so a grant that waited in the socket of a frozen server is expired when it is read.
    #[serde(default)]
    pub until_unix_ms: Option<u64>,
}

/// Slice of a grant; both ends are part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantSlice {
    /// First hash.
    pub start: ids::KeyHash,
    /// Last hash.
    pub end: ids::KeyHash,
    /// Epoch of the fencing token.
    pub epoch: ids::Epoch,
    /// Version of the fencing token.
    pub version: ids::SliceVersion,
}
