//! Partition records: the owners of the slices of a service's hash space.
//!
//! The platform's key-value service stores one record per partition. A record is changed by
//! compare-and-swap only, and no node acts on a change before the write is confirmed.

use std::collections::BTreeSet;

use crate::state::{error, ids};

/// Record of one partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartitionRecord {
    /// Partition described by the record.
    pub id: ids::PartitionId,
    /// Epoch of the coordinator.
    pub epoch: ids::Epoch,
    /// Number of writes to the record.
    pub revision: ids::Revision,
    /// Node that grants leases.
    pub coordinator: ids::NodeRef,
    /// Nodes that may take over as coordinator.
    pub standbys: Vec<ids::NodeRef>,
    /// Servers that may own slices.
    pub servers: Vec<Server>,
    /// Slices in the order of their start; the first starts at 0.
    pub slices: Vec<Slice>,
    /// Pending claim by a node that is not a standby.
    pub intent: Option<Intent>,
    /// Identity of the last write, by which a write with an unknown result is recognised when the
    /// record is read back.
    pub writer: Writer,
}

/// Server of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Node on the same host as the backend server.
    pub node: ids::NodeRef,
    /// Failure domain of the host.
    pub domain: String,
    /// Whether the server is assigned no further slices.
    pub draining: bool,
    /// Whether the backend server checks fencing tokens.
    pub checks: bool,
}

/// Contiguous range of the hash space, up to the start of the next slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slice {
    /// First hash of the slice.
    pub start: ids::KeyHash,
    /// Server that may hold a lease on the slice.
    pub owner: Option<ids::NodeRef>,
    /// Version, increased with every change of owner.
    pub version: ids::SliceVersion,
    /// Server to which the slice is moving.
    pub target: Option<ids::NodeRef>,
}

/// Announced claim that takes effect unless the coordinator cancels it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intent {
    /// Node that wants to become the coordinator.
    pub node: ids::NodeRef,
    /// Record revision at which the claim was announced.
    pub revision: ids::Revision,
}

/// Identity of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Writer {
    /// Node that wrote.
    pub node: ids::NodeRef,
    /// Sequence number of the write within the node's incarnation.
    pub number: u64,
}

impl PartitionRecord {
    /// Returns the epoch and revision, by which two copies of a record are compared.
    #[must_use]
    pub fn stamp(&self) -> (ids::Epoch, ids::Revision) {
        (self.epoch, self.revision)
    }

    /// Returns the index of the slice that contains a hash.
    #[must_use]
    pub fn slice_index(&self, hash: ids::KeyHash) -> usize {
        self.slices
            .partition_point(|s| s.start <= hash)
            .saturating_sub(1)
    }

    /// Returns the slice that contains a hash.
    #[must_use]
    pub fn slice_at(&self, hash: ids::KeyHash) -> Option<&Slice> {
        self.slices.get(self.slice_index(hash))
    }

    /// Returns the last hash of the slice at an index.
    #[must_use]
    pub fn slice_end(&self, index: usize) -> ids::KeyHash {
        self.slices
            .get(index + 1)
            .map_or(ids::KeyHash(u64::MAX), |next| {
                ids::KeyHash(next.start.0 - 1)
            })
    }

    /// Returns the fencing token of a slice.
    #[must_use]
    pub fn token(&self, slice: &Slice) -> ids::Token {
        ids::Token {
            epoch: self.epoch,
            version: slice.version,
        }
    }

    /// Returns the entry of a server.
    #[must_use]
    pub fn server(&self, node: ids::NodeRef) -> Option<&Server> {
        self.servers.iter().find(|s| s.node == node)
    }

    /// Returns the servers that own at least one slice.
    #[must_use]
    pub fn owners(&self) -> BTreeSet<ids::NodeRef> {
        self.slices.iter().filter_map(|s| s.owner).collect()
    }

    /// Returns the number of slices that a server will own once all moves are done.
    #[must_use]
    pub fn count(&self, node: ids::NodeRef) -> usize {
        self.slices
            .iter()
            .filter(|s| s.target.or(s.owner) == Some(node))
            .count()
    }

    /// Assigns the slice at an index to a server and ends its move.
    ///
    /// The version is increased even if the owner stays the same, so that a release for the ended
    /// move that is still in flight has no effect.
    pub fn assign(&mut self, index: usize, owner: ids::NodeRef) {
        let slice = &mut self.slices[index];
        slice.owner = Some(owner);
        slice.target = None;
        slice.version = slice.version.next();
    }

    /// Splits a slice so that a new one starts at a hash; returns whether a split was made.
    ///
    /// Both parts keep the owner and the version. A moving slice is not split, because its owner
    /// releases it as a whole.
    pub fn split(&mut self, at: ids::KeyHash) -> bool {
        let index = self.slice_index(at);
        let slice = self.slices[index];
        if slice.start == at || slice.target.is_some() {
            return false;
        }
        self.slices.insert(index + 1, Slice { start: at, ..slice });
        true
    }

    /// Merges the slice at an index with the next one; returns whether they were merged.
    ///
    /// Both must have the same owner and not be moving. The merged slice gets the higher version,
    /// so that the version never decreases for any hash.
    pub fn merge(&mut self, index: usize) -> bool {
        let Some(&[left, right]) = self
            .slices
            .get(index..index + 2)
            .and_then(|s| s.first_chunk())
        else {
            return false;
        };
        if left.owner != right.owner || left.target.is_some() || right.target.is_some() {
            return false;
        }
        self.slices[index].version = left.version.max(right.version);
        self.slices.remove(index + 1);
        true
    }

    /// Checks the invariants of the record.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::Record`] if the slices don't start at 0, are unordered, or have an
    /// unknown server as owner or target.
    pub fn check(&self) -> Result<(), error::Error> {
        let first = self.slices.first();
        if first.is_none_or(|s| s.start != ids::KeyHash(0)) {
            return Err(error::Error::Record(
                "first slice does not start at 0".to_owned(),
            ));
        }
        let ordered = self.slices.is_sorted_by(|a, b| a.start < b.start);
        if !ordered {
            return Err(error::Error::Record("slices are not in order".to_owned()));
        }
        for slice in &self.slices {
            for node in [slice.owner, slice.target].into_iter().flatten() {
                if self.server(node).is_none() {
                    let start = slice.start.0;
                    return Err(error::Error::Record(format!(
                        "slice {start:#x} names unknown server {node}"
                    )));
                }
            }
        }
        Ok(())
    }
}

/// Divides the hash space into slices of equal size that have no owner.
///
/// # Panics
///
/// Panics if `count` is 0.
#[must_use]
pub fn even_slices(count: u64) -> Vec<Slice> {
    assert!(count > 0, "a partition has at least one slice");
    let width = u64::MAX / count + u64::from(count > 1);
    (0..count)
        .map(|i| Slice {
            start: ids::KeyHash(i.saturating_mul(width)),
            owner: None,
            version: ids::SliceVersion(1),
            target: None,
        })
        .collect()
}
