//! Messages to and from the platform's key-value service: JSON over HTTP.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/kv/KEY` | 200 [`Entry`], 404 |
//! | `PUT /v1/kv/KEY` with [`Put`] | 200 [`Written`], 409 [`Conflict`] |
//! | `GET /v1/list?prefix=P` | 200 [`Listing`] |
//! | `GET /v1/watch?prefix=P&after=REV&wait_ms=MS` | 200 [`Listing`], empty when nothing changed |

use serde::{Deserialize, Serialize};

use crate::state::ids;

/// Largest value, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// Entry of the service.
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

/// Compare-and-swap.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Put {
    /// New value.
    pub value: String,
    /// Modification revision that the entry must have; 0 if it must be absent.
    pub expect: ids::ModRevision,
}

/// Result of a compare-and-swap that took effect.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct Written {
    /// New modification revision.
    pub revision: ids::ModRevision,
}

/// Result of a compare-and-swap that did not take effect.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Conflict {
    /// Entry as it is, if there is one.
    pub current: Option<Entry>,
}

/// Entries under a prefix.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
    /// Newest modification revision in the service.
    pub revision: ids::ModRevision,
}
