//! Messages to and from the platform's key-value service: JSON over HTTP.
//!
//! | request | response |
//! |---|---|
//! | `GET /v1/kv/KEY` | 200 [`Entry`], 404 |
//! | `PUT /v1/kv/KEY` with [`Put`] | 200 [`Written`], 409 [`Conflict`] |
//! | `GET /v1/list?prefix=P` | 200 [`Listing`] |
//! | `GET /v1/watch?prefix=P&after=REV&wait_ms=MS` | 200 [`Listing`], empty when nothing changed |

use serde::{Deserialize, Serialize};

use crate::state::ids;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// Entry of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Modification revision.
    pub revision: ids::ModRevision,
}

/// Compare-and-swap request.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Put {
    /// New value.
    pub value: String,
    /// Expected modification revision of the entry; 0 if the entry must not exist.
    pub expect: ids::ModRevision,
}

/// Response to a successful compare-and-swap.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct Written {
    /// New modification revision.
    pub revision: ids::ModRevision,
}

/// Response to a compare-and-swap whose expected revision did not match.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Conflict {
    /// Current entry, if it exists.
    pub current: Option<Entry>,
}

/// Entries with a key prefix.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// Entries, sorted by key.
    pub entries: Vec<Entry>,
    /// Latest modification revision of the service.
    pub revision: ids::ModRevision,
}
