//! Stored form of assignment tables and node entries in the platform's store.

use std::net::SocketAddr;

use crate::protocol::adapter::DecodeError;
use crate::state::keyspace;
use crate::state::store_revision::Era;

/// Assignment table in which slices refer to holders by index, so that each holder is encoded once.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TableRecord {
    next_token: u64,
    holders: Vec<keyspace::Holder>,
    slices: Vec<Row>,
    /// Era for which the table is confirmed.
    #[serde(default)]
    era: Era,
}

/// Encoded slice: first key, last key, token, index of the holder, index of the target, handover.
type Row = (u16, u16, u64, Option<usize>, Option<usize>, String);

impl TableRecord {
    /// Encodes slices, which may be a subset of a table.
    fn from_slices(era: Era, next_token: u64, slices: &[keyspace::Slice]) -> Self {
        let mut holders: Vec<keyspace::Holder> = Vec::new();
        let mut index = |h: &Option<keyspace::Holder>| {
            let h = h.as_ref()?;
            Some(holders.iter().position(|k| k == h).unwrap_or_else(|| {
                holders.push(h.clone());
                holders.len() - 1
            }))
        };
        let row = |s: &keyspace::Slice| {
            let (holder, target) = (index(&s.holder), index(&s.target));
            (s.from, s.to, s.token, holder, target, s.handover.clone())
        };
        let slices = slices.iter().map(row).collect();
        Self {
            next_token,
            holders,
            slices,
            era,
        }
    }

    /// Decodes the slices, which may be a subset of a table.
    fn into_slices(self) -> Result<Vec<keyspace::Slice>, DecodeError> {
        let holder = |i: Option<usize>| match i {
            None => Ok(None),
            Some(i) => match self.holders.get(i) {
                Some(h) => Ok(Some(h.clone())),
                None => Err(DecodeError(format!("holder index {i} is out of range"))),
            },
        };
        let mut slices = Vec::with_capacity(self.slices.len());
        for (from, to, token, h, t, handover) in self.slices {
            slices.push(keyspace::Slice {
                from,
                to,
                token,
                holder: holder(h)?,
                target: holder(t)?,
                handover,
            });
        }
        Ok(slices)
    }
}

impl From<&keyspace::AssignmentTable> for TableRecord {
    fn from(keys: &keyspace::AssignmentTable) -> Self {
        Self::from_slices(keys.era, keys.next_token, &keys.slices)
    }
}

impl TryFrom<TableRecord> for keyspace::AssignmentTable {
    type Error = DecodeError;

    fn try_from(table: TableRecord) -> Result<Self, DecodeError> {
        let keys = Self {
            era: table.era,
            next_token: table.next_token,
            slices: table.into_slices()?,
        };
        keys.check().map_err(|e| DecodeError(e.to_string()))?;
        Ok(keys)
    }
}

/// Encodes a table for the store.
///
/// # Panics
///
/// Never panics: integers and strings always serialize to JSON.
#[must_use]
pub fn encode_table(keys: &keyspace::AssignmentTable) -> Vec<u8> {
    serde_json::to_vec(&TableRecord::from(keys)).expect("integers and strings serialize to JSON")
}

/// Decodes a table from the store.
///
/// # Errors
///
/// Returns an error if the value is not a valid table.
pub fn decode_table(value: &[u8]) -> Result<keyspace::AssignmentTable, DecodeError> {
    let table: TableRecord =
        serde_json::from_slice(value).map_err(|e| DecodeError(e.to_string()))?;
    keyspace::AssignmentTable::try_from(table)
}

/// Encodes the delta between two versions of a table: the slices that `old` does not have.
///
/// # Errors
///
/// Returns an error if either value is not a valid table.
pub fn encode_delta(old: &[u8], new: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let (old, new) = (decode_table(old)?, decode_table(new)?);
    let same = |s: &keyspace::Slice| old.slice_of(s.from) == Some(s);
    let changed = new.slices.iter().filter(|s| !same(s));
    let changed: Vec<_> = changed.cloned().collect();
    let table = TableRecord::from_slices(new.era, new.next_token, &changed);
    postcard::to_allocvec(&table).map_err(|e| DecodeError(e.to_string()))
}

/// Applies a delta from [`encode_delta`] to the table it was computed from.
///
/// # Errors
///
/// Returns an error if either value can't be decoded or the result is not a valid table.
pub fn apply_delta(old: &[u8], delta: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let mut keys = decode_table(old)?;
    let table: TableRecord = postcard::from_bytes(delta).map_err(|e| DecodeError(e.to_string()))?;
    keys.era = table.era;
    keys.next_token = table.next_token;
    let changed = table.into_slices()?;
    // Each slice that no longer exists overlaps a changed one.
    keys.slices.retain(|s| {
        let after = changed.partition_point(|c| c.to < s.from);
        changed.get(after).is_none_or(|c| !c.overlaps(s.from, s.to))
    });
    keys.slices.extend(changed);
    keys.slices.sort_by_key(|s| s.from);
    keys.check().map_err(|e| DecodeError(e.to_string()))?;
    Ok(encode_table(&keys))
}

/// Store entry of a live node, bound to the node's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct NodeEntry {
    /// IP address and port for other nodes.
    pub address: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Failure domain of the node.
    pub domain: String,
    /// Service of the node's backend server; empty if the entry doesn't tell.
    #[serde(default)]
    pub service: String,
}

/// Decodes the entry of the node at an address.
///
/// # Errors
///
/// Returns an error if the value is not an entry, or not one of a node that listens at this address.
pub fn decode_entry(address: &str, value: &[u8]) -> Result<NodeEntry, DecodeError> {
    let entry: NodeEntry = serde_json::from_slice(value).map_err(|e| DecodeError(e.to_string()))?;
    let listens = address.parse::<SocketAddr>().is_ok_and(|a| a.port() != 0);
    if entry.address != address || !listens {
        return Err(DecodeError(format!(
            "the entry of {address:?} names {:?}",
            entry.address
        )));
    }
    Ok(entry)
}
