//! Leases that this node holds on slices.
//!
//! The owner task replaces the lease of a partition with each renewal; the gate admits a request
//! only under a live lease, and counts it against its slice until it has finished, so that a slice
//! is released only after its last request.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use tokio::sync::watch;

use crate::state::{clock, ids, record, timing};

/// Leases held by this node.
#[derive(Debug)]
pub struct Grants {
    me: ids::NodeRef,
    table: Mutex<HashMap<ids::PartitionId, Lease>>,
    finished: watch::Sender<u64>,
}

#[derive(Debug)]
struct Lease {
    record: Arc<record::PartitionRecord>,
    until: clock::Instant,
    held: HashMap<ids::KeyHash, Held>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    version: ids::SliceVersion,
    horizon: time::Duration,
    stopped: bool,
    running: usize,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The node holds no live lease on the slice.
    NotOwner,
    /// The slice is being released.
    Moving,
}

/// Admission of one request under a lease; the request counts as running until it is dropped.
#[derive(Debug)]
pub struct Ticket {
    grants: Arc<Grants>,
    partition: ids::PartitionId,
    start: ids::KeyHash,
    /// Fencing token of the slice.
    pub token: ids::Token,
    /// Identifiers created before this time may have run under an earlier owner.
    pub horizon: time::Duration,
}

impl Grants {
    /// Creates an empty table.
    #[must_use]
    pub fn new(me: ids::NodeRef) -> Self {
        Self {
            me,
            table: Mutex::default(),
            finished: watch::Sender::new(0),
        }
    }

    /// Takes a renewed lease on all slices that the record assigns to this node.
    ///
    /// The caller has checked that the record is not older than the one applied before.
    /// `horizons` gives the horizon of slices that were handed over by their previous owner.
    pub fn renew(
        &self,
        record: Arc<record::PartitionRecord>,
        until: clock::Instant,
        horizons: &HashMap<(ids::KeyHash, ids::SliceVersion), time::Duration>,
    ) {
        let mut table = self.lock();
        let old = table.remove(&record.id);
        let held = record
            .slices
            .iter()
            .filter(|s| s.owner == Some(self.me))
            .map(|s| {
                let known = old.as_ref().and_then(|l| l.covering(s));
                (s.start, Self::held(s, known, horizons))
            })
            .collect();
        let lease = Lease {
            record,
            until,
            held,
        };
        table.insert(lease.record.id.clone(), lease);
    }

    fn held(
        slice: &record::Slice,
        known: Option<Held>,
        horizons: &HashMap<(ids::KeyHash, ids::SliceVersion), time::Duration>,
    ) -> Held {
        if let Some(known) = known {
            return Held {
                stopped: known.stopped && slice.target.is_some(),
                ..known
            };
        }
        let handed = horizons.get(&(slice.start, slice.version)).copied();
        Held {
            version: slice.version,
            horizon: handed.unwrap_or_else(|| ids::wall_time() + timing::CLOCK_SKEW),
            stopped: false,
            running: 0,
        }
    }

    /// Drops the lease on a partition at once.
    pub fn drop_lease(&self, partition: &ids::PartitionId) {
        self.lock().remove(partition);
    }

    /// Refuses new requests for a slice; running ones go on.
    pub fn stop(&self, partition: &ids::PartitionId, start: ids::KeyHash) {
        if let Some(held) = self
            .lock()
            .get_mut(partition)
            .and_then(|l| l.held.get_mut(&start))
        {
            held.stopped = true;
        }
    }

    /// Returns the number of running requests of a slice.
    #[must_use]
    pub fn running(&self, partition: &ids::PartitionId, start: ids::KeyHash) -> usize {
        let table = self.lock();
        let held = table.get(partition).and_then(|l| l.held.get(&start));
        held.map_or(0, |h| h.running)
    }

    /// Returns the horizon of a held slice.
    #[must_use]
    pub fn horizon(
        &self,
        partition: &ids::PartitionId,
        start: ids::KeyHash,
    ) -> Option<time::Duration> {
        let table = self.lock();
        let held = table.get(partition)?.held.get(&start)?;
        Some(held.horizon)
    }

    /// Returns a receiver that is notified when a request finishes.
    #[must_use]
    pub fn finished(&self) -> watch::Receiver<u64> {
        self.finished.subscribe()
    }

    /// Admits a request for a hash.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the node holds no live lease on the slice or is releasing it.
    pub fn admit(
        self: &Arc<Self>,
        partition: &ids::PartitionId,
        hash: ids::KeyHash,
    ) -> Result<Ticket, Refusal> {
        let mut table = self.lock();
        let lease = table.get_mut(partition).ok_or(Refusal::NotOwner)?;
        if !lease.until.is_ahead() {
            return Err(Refusal::NotOwner);
        }
        let slice = *lease.record.slice_at(hash).ok_or(Refusal::NotOwner)?;
        let token = lease.record.token(&slice);
        let held = lease.held.get_mut(&slice.start).ok_or(Refusal::NotOwner)?;
        if held.stopped {
            return Err(Refusal::Moving);
        }
        held.running += 1;
        Ok(Ticket {
            grants: Arc::clone(self),
            partition: partition.clone(),
            start: slice.start,
            token,
            horizon: held.horizon,
        })
    }

    /// Returns the live lease of each partition: its record and its end.
    #[must_use]
    pub fn live(&self) -> Vec<(Arc<record::PartitionRecord>, clock::Instant)> {
        let table = self.lock();
        table
            .values()
            .filter(|l| l.until.is_ahead())
            .map(|l| (Arc::clone(&l.record), l.until))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ids::PartitionId, Lease>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Returns what was held of a slice under the same version.
    fn covering(&self, slice: &record::Slice) -> Option<Held> {
        let held = self.held.get(&slice.start)?;
        (held.version == slice.version).then_some(*held)
    }
}

impl Ticket {
    /// Returns the first hash of the slice.
    #[must_use]
    pub const fn slice(&self) -> ids::KeyHash {
        self.start
    }

    /// Returns the end of the newest lease on the slice, or `None` if it was lost or has ended.
    #[must_use]
    pub fn valid_until(&self) -> Option<clock::Instant> {
        let table = self.grants.lock();
        let lease = table.get(&self.partition)?;
        let held = lease.held.get(&self.start)?;
        let live = held.version == self.token.version && lease.until.is_ahead();
        live.then_some(lease.until)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        {
            let mut table = self.grants.lock();
            let held = table
                .get_mut(&self.partition)
                .and_then(|l| l.held.get_mut(&self.start));
            if let Some(held) = held
                && held.version == self.token.version
            {
                held.running = held.running.saturating_sub(1);
            }
        }
        self.grants.finished.send_modify(|n| *n += 1);
    }
}
