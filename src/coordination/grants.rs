//! Leases that this node holds on slices.
//!
//! The owner task replaces the lease of a partition with each renewal; the gate admits a request
//! only under a live lease (R9), and the request counts as running until it has finished, so that
//! a slice is released only after its last request.
//!
//! Running requests are counted by hash and slices that are being released are remembered by
//! (start, version). Neither is lost with the lease, and the count follows the hash when a slice
//! is split or merged.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use tokio::sync::watch;

use crate::state::{clock, ids, record, timing};

/// Horizon of slices that their previous owner has handed over.
pub type Horizons = HashMap<(ids::KeyHash, ids::SliceVersion), time::Duration>;

/// Leases held by this node.
#[derive(Debug)]
pub struct Grants {
    me: ids::NodeRef,
    table: Mutex<HashMap<ids::PartitionId, Part>>,
    finished: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Part {
    lease: Option<Lease>,
    running: BTreeMap<ids::KeyHash, usize>,
    stopped: Vec<Stopped>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stopped {
    from: ids::KeyHash,
    to: ids::KeyHash,
    version: ids::SliceVersion,
}

#[derive(Debug)]
struct Lease {
    record: Arc<record::PartitionRecord>,
    until: clock::Instant,
    horizons: HashMap<ids::KeyHash, time::Duration>,
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
    hash: ids::KeyHash,
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
    pub fn renew(
        &self,
        record: Arc<record::PartitionRecord>,
        until: clock::Instant,
        handed: &Horizons,
    ) {
        let mut table = self.lock();
        let part = table.entry(record.id.clone()).or_default();
        let fresh = ids::wall_time() + timing::CLOCK_SKEW;
        let mut horizons = HashMap::new();
        for (i, slice) in record.slices.iter().enumerate() {
            if slice.owner != Some(self.me) {
                continue;
            }
            let kept = part
                .lease
                .as_ref()
                .and_then(|l| l.continued(self.me, slice, record.slice_end(i)));
            let handed = handed.get(&(slice.start, slice.version)).copied();
            horizons.insert(slice.start, kept.or(handed).unwrap_or(fresh));
        }
        part.stopped
            .retain(|s| record.slice_at(s.from).map(|now| now.version) == Some(s.version));
        part.lease = Some(Lease {
            record,
            until,
            horizons,
        });
    }

    /// Ends the lease on a partition at once.
    pub fn drop_lease(&self, partition: &ids::PartitionId) {
        if let Some(lease) = self
            .lock()
            .get_mut(partition)
            .and_then(|p| p.lease.as_mut())
        {
            lease.until = clock::Instant::default();
        }
    }

    /// Refuses new requests in a range of hashes, both ends included, for as long as it has this
    /// version; running ones go on.
    pub fn stop(
        &self,
        partition: &ids::PartitionId,
        from: ids::KeyHash,
        to: ids::KeyHash,
        version: ids::SliceVersion,
    ) {
        let mut table = self.lock();
        let part = table.entry(partition.clone()).or_default();
        let stopped = Stopped { from, to, version };
        if !part.stopped.contains(&stopped) {
            part.stopped.push(stopped);
        }
    }

    /// Returns the number of running requests in a range of hashes, both ends included.
    #[must_use]
    pub fn running(
        &self,
        partition: &ids::PartitionId,
        from: ids::KeyHash,
        to: ids::KeyHash,
    ) -> usize {
        let table = self.lock();
        table
            .get(partition)
            .map_or(0, |p| p.running.range(from..=to).map(|(_, n)| n).sum())
    }

    /// Returns the horizon of a held slice.
    #[must_use]
    pub fn horizon(
        &self,
        partition: &ids::PartitionId,
        start: ids::KeyHash,
    ) -> Option<time::Duration> {
        let table = self.lock();
        let lease = table.get(partition)?.lease.as_ref()?;
        lease.horizons.get(&start).copied()
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
        let part = table.get_mut(partition).ok_or(Refusal::NotOwner)?;
        let lease = part.lease.as_ref().ok_or(Refusal::NotOwner)?;
        if !lease.until.is_ahead() {
            return Err(Refusal::NotOwner);
        }
        let slice = lease.record.slice_at(hash).ok_or(Refusal::NotOwner)?;
        let horizon = *lease.horizons.get(&slice.start).ok_or(Refusal::NotOwner)?;
        if part.stopped.iter().any(|s| s.covers(hash, slice.version)) {
            return Err(Refusal::Moving);
        }
        *part.running.entry(hash).or_default() += 1;
        Ok(Ticket {
            grants: Arc::clone(self),
            partition: partition.clone(),
            hash,
            start: slice.start,
            token: lease.record.token(slice),
            horizon,
        })
    }

    /// Returns the live lease of each partition of which this node holds slices: its record and its
    /// end.
    #[must_use]
    pub fn live(&self) -> Vec<(Arc<record::PartitionRecord>, clock::Instant)> {
        let table = self.lock();
        table
            .values()
            .filter_map(|p| p.lease.as_ref())
            .filter(|l| l.until.is_ahead() && !l.horizons.is_empty())
            .map(|l| (Arc::clone(&l.record), l.until))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ids::PartitionId, Part>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Stopped {
    fn covers(&self, hash: ids::KeyHash, version: ids::SliceVersion) -> bool {
        self.version == version && self.from <= hash && hash <= self.to
    }
}

impl Lease {
    /// Returns the horizon of a range that this node has held without a break.
    ///
    /// The version of a hash never decreases and changes with its owner, so an equal version
    /// proves that nobody else held the hash in between.
    fn continued(
        &self,
        me: ids::NodeRef,
        new: &record::Slice,
        end: ids::KeyHash,
    ) -> Option<time::Duration> {
        let first = self.record.slice_index(new.start);
        let parts = self.record.slices[first..]
            .iter()
            .take_while(|s| s.start <= end);
        let mut horizon = None;
        for part in parts {
            if part.owner != Some(me) || part.version != new.version {
                return None;
            }
            horizon = horizon.max(self.horizons.get(&part.start).copied());
        }
        horizon
    }
}

impl Ticket {
    /// Returns the first hash of the slice at the time of admission.
    #[must_use]
    pub const fn slice(&self) -> ids::KeyHash {
        self.start
    }

    /// Returns the end of the newest lease on the slice, or `None` if it was lost or has ended.
    #[must_use]
    pub fn valid_until(&self) -> Option<clock::Instant> {
        let table = self.grants.lock();
        let lease = table.get(&self.partition)?.lease.as_ref()?;
        let slice = lease.record.slice_at(self.hash)?;
        let live = slice.owner == Some(self.grants.me)
            && slice.version == self.token.version
            && lease.until.is_ahead();
        live.then_some(lease.until)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        {
            let mut table = self.grants.lock();
            if let Some(part) = table.get_mut(&self.partition)
                && let Some(n) = part.running.get_mut(&self.hash)
            {
                *n -= 1;
                if *n == 0 {
                    part.running.remove(&self.hash);
                }
            }
        }
        self.grants.finished.send_modify(|n| *n += 1);
    }
}
