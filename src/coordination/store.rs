//! Partition records at the platform's service.
//!
//! Enforces R12: every write is a compare-and-swap on the modification revision, and a write
//! without an answer is settled by reading back. The entry at its old revision proves nothing,
//! because the write may still arrive; only a higher revision settles it, and then the `writer`
//! field tells whose write took effect.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time;

use crate::coordination::error;
use crate::protocol::{error as protocol, platform, record as wire};
use crate::state::{ids, record};
use crate::transport::platform as client;

/// Number of the last write of this process.
static WRITES: AtomicU64 = AtomicU64::new(0);

/// Record as the platform's service holds it.
#[derive(Debug, Clone)]
pub struct Stored {
    /// Record.
    pub record: Arc<record::PartitionRecord>,
    /// Hold time that applies to claims on this record.
    pub hold: time::Duration,
    /// Modification revision.
    pub at: ids::ModRevision,
}

/// Result of a write.
#[derive(Debug, Clone)]
pub enum Written {
    /// The write took effect.
    Done(Stored),
    /// Another write came first, or followed; the entry as it is.
    Lost(Option<Stored>),
    /// The write may still take effect; the same write must be sent again until it is settled.
    Unresolved,
}

/// Write that is sent until its result is known.
#[derive(Debug, Clone)]
pub struct Write {
    /// Record as it is to be.
    pub record: Arc<record::PartitionRecord>,
    /// Hold time to store with it.
    pub hold: time::Duration,
    /// Modification revision that the entry must have, 0 if it must be absent.
    pub expect: ids::ModRevision,
}

/// Identifies the next write of this process.
#[must_use]
pub fn writer(node: ids::NodeRef) -> record::Writer {
    let number = WRITES.fetch_add(1, Ordering::Relaxed) + 1;
    record::Writer { node, number }
}

/// Reads a record.
///
/// # Errors
///
/// Returns an error if the service does not answer or holds an invalid record.
pub async fn read(
    platform: &client::Client,
    id: &ids::PartitionId,
) -> Result<Option<Stored>, error::Error> {
    let entry = platform.get(&key(id)).await?;
    entry.as_ref().map(decode).transpose()
}

/// Sends a write once, and reads back if no answer arrives.
///
/// # Errors
///
/// Returns an error if this sending certainly had no effect. An earlier sending of the same write
/// may still take effect.
pub async fn write(platform: &client::Client, write: &Write) -> Result<Written, error::Error> {
    let key = key(&write.record.id);
    let value = encode(write)?;
    match platform.compare_and_swap(&key, value, write.expect).await {
        Ok(client::SwapResult::Done(at)) => Ok(Written::Done(write.stored(at))),
        Ok(client::SwapResult::Conflict(current)) => settle(write, current.as_ref()),
        Err(e) if e.is_ambiguous() => {
            tracing::warn!(event = 401, partition = %write.record.id, error = %e, "write of the record has no answer, reading back");
            match platform.get(&key).await {
                Ok(current) => read_back(write, current.as_ref()),
                Err(_) => Ok(Written::Unresolved),
            }
        }
        Err(e) => Err(e.into()),
    }
}

fn read_back(write: &Write, current: Option<&platform::Entry>) -> Result<Written, error::Error> {
    let at = current.map_or(ids::ModRevision(0), |e| e.revision);
    if at == write.expect {
        return Ok(Written::Unresolved);
    }
    settle(write, current)
}

fn settle(write: &Write, current: Option<&platform::Entry>) -> Result<Written, error::Error> {
    let current = current.map(decode).transpose()?;
    Ok(match current {
        Some(stored) if stored.record.writer == write.record.writer => Written::Done(stored),
        other => Written::Lost(other),
    })
}

impl Write {
    fn stored(&self, at: ids::ModRevision) -> Stored {
        Stored {
            record: Arc::clone(&self.record),
            hold: self.hold,
            at,
        }
    }
}

fn key(id: &ids::PartitionId) -> String {
    format!("partition/{id}")
}

fn encode(write: &Write) -> Result<String, error::Error> {
    let value = wire::StoredRecord {
        hold_ms: u64::try_from(write.hold.as_millis()).unwrap_or(u64::MAX),
        record: wire::Record::from(&*write.record),
    };
    Ok(serde_json::to_string(&value).map_err(protocol::Error::from)?)
}

fn decode(entry: &platform::Entry) -> Result<Stored, error::Error> {
    let value: wire::StoredRecord =
        serde_json::from_str(&entry.value).map_err(protocol::Error::from)?;
    Ok(Stored {
        record: Arc::new(record::PartitionRecord::try_from(value.record)?),
        hold: time::Duration::from_millis(value.hold_ms),
        at: entry.revision,
    })
}
