//! Wire form of partition records: JSON in the platform's key-value service, bincode between nodes.
//!
//! Slices refer to servers by index into the record's server list, which keeps records small.

use serde::{Deserialize, Serialize};

use crate::protocol::error;
use crate::state::{ids, record};

/// Wire form of [`record::PartitionRecord`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    id: ids::PartitionId,
    epoch: ids::Epoch,
    revision: ids::Revision,
    coordinator: ids::NodeRef,
    standbys: Vec<ids::NodeRef>,
    servers: Vec<Server>,
    slices: Vec<Slice>,
    intent: Option<Intent>,
    writer: Writer,
}

/// Value in the platform's key-value service: the record, and the hold time it was written with.
///
/// The hold time is stored with the record because the coordinator and a claiming node must use
/// the same value even while they have different documents.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredRecord {
    /// Hold time of a claim by a node that is not a standby, in milliseconds.
    pub hold_ms: u64,
    /// Partition record.
    #[serde(flatten)]
    pub record: Record,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Server {
    node: ids::NodeRef,
    domain: String,
    draining: bool,
    checks: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Slice {
    start: ids::KeyHash,
    owner: Option<u16>,
    version: ids::SliceVersion,
    target: Option<u16>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Intent {
    node: ids::NodeRef,
    revision: ids::Revision,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Writer {
    node: ids::NodeRef,
    number: u64,
}

impl From<&record::PartitionRecord> for Record {
    fn from(r: &record::PartitionRecord) -> Self {
        let index_of = |node: Option<ids::NodeRef>| {
            let node = node?;
            let i = r.servers.iter().position(|s| s.node == node)?;
            u16::try_from(i).ok()
        };
        Self {
            id: r.id.clone(),
            epoch: r.epoch,
            revision: r.revision,
            coordinator: r.coordinator,
            standbys: r.standbys.clone(),
            servers: r.servers.iter().map(Server::from).collect(),
            slices: r
                .slices
                .iter()
                .map(|s| Slice {
                    start: s.start,
                    owner: index_of(s.owner),
                    version: s.version,
                    target: index_of(s.target),
                })
                .collect(),
            intent: r.intent.map(|i| Intent {
                node: i.node,
                revision: i.revision,
            }),
            writer: Writer {
                node: r.writer.node,
                number: r.writer.number,
            },
        }
    }
}

impl From<&record::Server> for Server {
    fn from(s: &record::Server) -> Self {
        Self {
            node: s.node,
            domain: s.domain.clone(),
            draining: s.draining,
            checks: s.checks,
        }
    }
}

impl From<Server> for record::Server {
    fn from(s: Server) -> Self {
        Self {
            node: s.node,
            domain: s.domain,
            draining: s.draining,
            checks: s.checks,
        }
    }
}

impl TryFrom<Record> for record::PartitionRecord {
    type Error = error::Error;

    fn try_from(r: Record) -> Result<Self, error::Error> {
        let servers: Vec<_> = r.servers.into_iter().map(record::Server::from).collect();
        let node_at = |index: Option<u16>| match index {
            None => Ok(None),
            Some(i) => servers
                .get(usize::from(i))
                .map(|s| Some(s.node))
                .ok_or_else(|| error::Error::Decode(format!("server index {i} is out of range"))),
        };
        let slices = r
            .slices
            .into_iter()
            .map(|s| {
                Ok(record::Slice {
                    start: s.start,
                    owner: node_at(s.owner)?,
                    version: s.version,
                    target: node_at(s.target)?,
                })
            })
            .collect::<Result<Vec<_>, error::Error>>()?;
        let record = Self {
            id: r.id,
            epoch: r.epoch,
            revision: r.revision,
            coordinator: r.coordinator,
            standbys: r.standbys,
            servers,
            slices,
            intent: r.intent.map(|i| record::Intent {
                node: i.node,
                revision: i.revision,
            }),
            writer: record::Writer {
                node: r.writer.node,
                number: r.writer.number,
            },
        };
        record.check()?;
        Ok(record)
    }
}
