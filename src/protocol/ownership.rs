//! Ownership tables and node entries as they stand in the platform's store.

use crate::protocol::edge::Unreadable;
use crate::state::keyspace;

/// Ownership table, with each holder listed once.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Table {
    next_token: u64,
    holders: Vec<keyspace::Holder>,
    slices: Vec<Row>,
}

/// First key, last key, token, index of the holder, index of the target, handover.
type Row = (u16, u16, u64, Option<usize>, Option<usize>, String);

impl From<&keyspace::Keyspace> for Table {
    fn from(keys: &keyspace::Keyspace) -> Self {
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
        let slices = keys.slices.iter().map(row).collect();
        Self {
            next_token: keys.next_token,
            holders,
            slices,
        }
    }
}

impl TryFrom<Table> for keyspace::Keyspace {
    type Error = Unreadable;

    fn try_from(table: Table) -> Result<Self, Unreadable> {
        let holder = |i: Option<usize>| match i {
            None => Ok(None),
            Some(i) => match table.holders.get(i) {
                Some(h) => Ok(Some(h.clone())),
                None => Err(Unreadable(format!("holder {i} is not listed"))),
            },
        };
        let mut slices = Vec::with_capacity(table.slices.len());
        for (from, to, token, h, t, handover) in table.slices {
            slices.push(keyspace::Slice {
                from,
                to,
                token,
                holder: holder(h)?,
                target: holder(t)?,
                handover,
            });
        }
        let keys = Self {
            next_token: table.next_token,
            slices,
        };
        keys.check().map_err(|e| Unreadable(e.to_string()))?;
        Ok(keys)
    }
}

/// Writes a table for the store.
///
/// # Panics
///
/// Never: a table has only numbers and text.
#[must_use]
pub fn write_table(keys: &keyspace::Keyspace) -> Vec<u8> {
    serde_json::to_vec(&Table::from(keys)).expect("a table has only numbers and text")
}

/// Reads a table from the store.
///
/// # Errors
///
/// Returns why the value is no table.
pub fn read_table(value: &[u8]) -> Result<keyspace::Keyspace, Unreadable> {
    let table: Table = serde_json::from_slice(value).map_err(|e| Unreadable(e.to_string()))?;
    keyspace::Keyspace::try_from(table)
}

/// Entry of a live node, kept under a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct NodeEntry {
    /// Address for other nodes, IP and port.
    pub address: String,
    /// Start of the process.
    pub incarnation: u64,
    /// Failure domain.
    pub domain: String,
}
