//! Newest known record of each partition, used for routing and by all roles of a node.
//!
//! A copy is replaced only by one with a higher (epoch, revision), so records that arrive late or
//! twice have no effect.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use tokio::sync::watch;

use crate::state::{ids, record};

/// Newest known records.
#[derive(Debug)]
pub struct Records {
    table: RwLock<BTreeMap<ids::PartitionId, Arc<record::PartitionRecord>>>,
    changes: watch::Sender<u64>,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            table: RwLock::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl Records {
    /// Returns the record of a partition.
    #[must_use]
    pub fn get(&self, id: &ids::PartitionId) -> Option<Arc<record::PartitionRecord>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.get(id).cloned()
    }

    /// Returns all records.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<record::PartitionRecord>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.values().cloned().collect()
    }

    /// Takes a record if it is newer than the known one, and returns whether it was.
    pub fn offer(&self, new: record::PartitionRecord) -> bool {
        {
            let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
            if table
                .get(&new.id)
                .is_some_and(|known| known.stamp() >= new.stamp())
            {
                return false;
            }
            table.insert(new.id.clone(), Arc::new(new));
        }
        self.changes.send_modify(|n| *n += 1);
        true
    }

    /// Returns a receiver that is notified of every change.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
