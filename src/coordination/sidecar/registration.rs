//! Registration of this node in the store.
//!
//! A node has an entry under a lease. The lease is more than a sign of life: while it runs, nobody
//! may take away the keys of the backend server beside the node, because such a change is made on
//! condition that the entry is gone. So the node may grant keys until the time at which its last
//! renewal was sent plus the duration of the lease, by its own clock.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::coordination::sidecar::backoff::Backoff;
use crate::coordination::sidecar::tables;
use crate::protocol::adapter::{Commit, LeaseId, StoreCall, StoreReply};
use crate::protocol::ownership::NodeEntry;
use crate::state::clock::Instant;
use crate::transport::sidecar::store::{self, StoreClient};

/// Duration of a node's lease. A lost host's keys wait for it, and keys are held through an outage
/// of the store that is shorter; docs/platform.md has the comparison with 5 s.
pub const LEASE: Duration = Duration::from_secs(9);

/// Interval of renewals.
const RENEWAL: Duration = Duration::from_millis(1400);

/// Interval of renewals while the store does not answer, so that an entry that has ended meanwhile is
/// back soon after the store.
const RETRY: Duration = Duration::from_millis(450);

/// Safety margin at the end of a lease, for the clocks' drift.
const MARGIN: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    until: Instant,
    /// Revision at which the node's entry was written.
    entered: u64,
}

/// Registration of this node.
#[derive(Debug)]
pub struct Registration {
    store: Rc<StoreClient>,
    entry: NodeEntry,
    lease: Cell<Option<Lease>>,
}

impl Registration {
    /// Creates an unregistered node.
    #[must_use]
    pub fn new(store: Rc<StoreClient>, entry: NodeEntry) -> Self {
        Self {
            store,
            entry,
            lease: Cell::new(None),
        }
    }

    /// Returns the store's key of a node's entry.
    #[must_use]
    pub fn entry_key(address: &str) -> String {
        format!("{}{address}", tables::NODES)
    }

    /// Returns the time until which keys may be granted, if all items up to revision `known` are known.
    #[must_use]
    pub fn remaining(&self, known: u64, now: Instant) -> Option<Duration> {
        let lease = self.lease.get().filter(|l| known >= l.entered)?;
        let left = (lease.until - MARGIN).since(now);
        (left > Duration::ZERO).then_some(left)
    }

    /// Keeps the node registered until the task is dropped.
    pub async fn run(&self) {
        let mut backoff = Backoff::default();
        loop {
            match self.register().await {
                Ok(()) => {
                    backoff.reset();
                    self.renew().await;
                }
                Err(e) => {
                    tracing::warn!(event = 331, error = %e, "can't register with the store");
                    backoff.wait(&self.store).await;
                }
            }
        }
    }

    async fn register(&self) -> Result<(), store::Error> {
        let sent = Instant::now();
        let call = StoreCall::Grant { ttl: LEASE };
        let StoreReply::Lease { id: Some(id), ttl } = self.store.call(&call).await? else {
            return Err(store::Error::Refused);
        };
        let until = sent + ttl;
        let key = Self::entry_key(&self.entry.address);
        let value = serde_json::to_vec(&self.entry).expect("an entry has only numbers and text");
        // Most nodes have no entry yet, so the first try is made without reading.
        let mut expected = 0;
        loop {
            let call = StoreCall::Commit(Commit {
                expect: vec![(key.clone(), expected)],
                put: vec![(key.clone(), value.clone(), Some(id))],
                delete: Vec::new(),
            });
            match self.store.call(&call).await? {
                StoreReply::Committed { revision } => {
                    let entered = revision;
                    self.lease.set(Some(Lease { id, until, entered }));
                    tracing::info!(
                        event = 332,
                        lease = id.0,
                        revision,
                        "registered with the store"
                    );
                    return Ok(());
                }
                StoreReply::Conflict { items } => {
                    expected = match items.iter().find(|i| i.key == key) {
                        Some(item) => item.revision,
                        None => self.entry_revision(&key).await?,
                    };
                }
                _ => return Err(store::Error::Refused),
            }
        }
    }

    async fn entry_revision(&self, key: &str) -> Result<u64, store::Error> {
        let call = StoreCall::Range {
            prefix: key.to_owned(),
            after: None,
        };
        let StoreReply::Page { items, .. } = self.store.call(&call).await? else {
            return Err(store::Error::Refused);
        };
        let present = items.iter().find(|i| i.key == key);
        Ok(present.map_or(0, |i| i.revision))
    }

    /// Renews the lease until it has ended.
    async fn renew(&self) {
        let mut interval = RENEWAL;
        while let Some(lease) = self.lease.get() {
            time::sleep(interval).await;
            interval = RENEWAL;
            let sent = Instant::now();
            match self.store.call(&StoreCall::Renew(lease.id)).await {
                Ok(StoreReply::Lease { ttl, .. }) => {
                    let until = sent + ttl;
                    self.lease.set(Some(Lease { until, ..lease }));
                }
                Ok(StoreReply::Missing) => {
                    tracing::warn!(
                        event = 333,
                        lease = lease.id.0,
                        "the node's lease has ended"
                    );
                    self.lease.set(None);
                }
                Ok(reply) => {
                    tracing::warn!(event = 334, reply = ?reply, "unexpected answer to a renewal");
                }
                Err(e) => {
                    interval = RETRY;
                    let left_ms = lease.until.left().as_millis();
                    tracing::warn!(event = 335, lease = lease.id.0, left_ms, error = %e, "the node's lease was not renewed");
                }
            }
        }
    }

    /// Removes the node's entry, when the node stops and no backend server is beside it.
    pub async fn deregister(&self) {
        let call = StoreCall::Commit(Commit {
            delete: vec![Self::entry_key(&self.entry.address)],
            ..Commit::default()
        });
        if let Err(e) = self.store.call(&call).await {
            tracing::info!(event = 336, error = %e, "the node's entry is left to its lease");
        }
    }
}
