//! Registration of this node in the store.
//!
//! A node has an entry under a lease. The lease is not only a liveness signal: while it is valid, no
//! other node may take the keys of the local backend server away, because such a change is
//! conditional on the absence of the entry. So the node may grant keys until the time its last renewal
//! was sent plus the duration of the lease, by its own clock.
//!
//! That holds only while the entry is there as this process wrote it. If the replica of the store shows
//! that it was removed or overwritten, nothing is granted until the node has registered again.
//!
//! A restored store may have lost the entry and the lease. Until a table is confirmed for the new era, no
//! node takes keys away there before all leases of the earlier one have ended. So the node may grant keys
//! until its old lease ends, and has registered again by then.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::coordination::sidecar::backoff::Backoff;
use crate::coordination::sidecar::replication::Replicator;
use crate::coordination::sidecar::tables;
use crate::protocol::adapter::{Commit, LeaseId, StoreCall, StoreReply};
use crate::protocol::ownership::{self, NodeEntry};
use crate::state::clock::Instant;
use crate::state::store_revision::{Era, Revision};
use crate::transport::sidecar::store::{self, StoreClient};

/// Duration of a node's lease. The keys of a lost host are unavailable for this time, and keys stay
/// granted through a shorter outage of the store. docs/platform.md has the comparison with 5 s.
pub const LEASE: Duration = Duration::from_secs(9);

/// Interval between lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1400);

/// Interval between lease renewals while the store doesn't respond, so that an expired entry is
/// written again soon after the store recovers.
const RETRY_INTERVAL: Duration = Duration::from_millis(450);

/// Safety margin before the end of a lease, for clock drift.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    expiry: Instant,
    /// Revision at which the node's entry was written.
    entry_revision: Revision,
}

impl Lease {
    fn remaining(&self, now: Instant) -> Option<Duration> {
        let remaining = (self.expiry - EXPIRY_MARGIN).since(now);
        (remaining > Duration::ZERO).then_some(remaining)
    }
}

/// What is known of this process's entry after the store was restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restored {
    /// The replica isn't of the present era yet.
    Unknown,
    /// The store has the entry, at this revision.
    Present(Revision),
    /// The store has no entry, or that of another process.
    Lost,
}

/// Registration of this node under a lease.
#[derive(Debug)]
pub struct Registration {
    store: Rc<StoreClient>,
    replicator: Rc<Replicator>,
    entry: NodeEntry,
    lease: Cell<Option<Lease>>,
    /// First era since which the node has had a lease without a break.
    leased_since: Cell<Era>,
    /// Set on shutdown; the node doesn't register again.
    ended: Cell<bool>,
}

impl Registration {
    /// Creates a registration without a lease.
    #[must_use]
    pub fn new(store: Rc<StoreClient>, replicator: Rc<Replicator>, entry: NodeEntry) -> Rc<Self> {
        Rc::new(Self {
            store,
            replicator,
            entry,
            lease: Cell::new(None),
            leased_since: Cell::default(),
            ended: Cell::new(false),
        })
    }

    /// Returns the store key of a node's entry.
    #[must_use]
    pub fn entry_key(address: &str) -> String {
        format!("{}{address}", tables::NODES)
    }

    /// Returns the remaining time for which keys may be granted. It is `None` if the lease has expired,
    /// or if the replica of the store doesn't have the entry that this process has written: it is older
    /// than the entry, or the entry is lost.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let lease = self.lease.get()?;
        if !self.is_of_earlier_era(&lease)
            && self.replicated_revision() != Some(lease.entry_revision)
        {
            return None;
        }
        lease.remaining(now)
    }

    /// Returns the remaining time for which keys may be granted by a table that was confirmed in `era`.
    /// In a later era that takes a lease that has not ended since, because others wait for its end only
    /// once.
    #[must_use]
    pub fn remaining_in(&self, era: Era, now: Instant) -> Option<Duration> {
        self.remaining(now)
            .filter(|_| self.leased_since.get() <= era)
    }

    /// Returns the number of the revision at which this process has written its entry in the present era,
    /// as far as the replica shows it.
    #[must_use]
    pub fn entry_number(&self) -> Option<u64> {
        let written = self.lease.get()?.entry_revision;
        let known = self.replicated_revision() == Some(written);
        (known && written.era == self.store.era()).then_some(written.number)
    }

    fn is_of_earlier_era(&self, lease: &Lease) -> bool {
        lease.entry_revision.era < self.store.era()
    }

    /// Returns the revision of the node's entry in the replica of the store.
    fn replicated_revision(&self) -> Option<Revision> {
        let key = Self::entry_key(&self.entry.address);
        self.replicator.item_revision(&key)
    }

    /// Returns what the replica shows of this process's entry in the present era.
    fn restored_entry(&self) -> Restored {
        if self.replicator.revision().era != self.store.era() {
            return Restored::Unknown;
        }
        let key = Self::entry_key(&self.entry.address);
        let value = self.replicator.value(&key).unwrap_or_default();
        let found = ownership::decode_entry(&self.entry.address, &value);
        match (found, self.replicated_revision()) {
            (Ok(entry), Some(revision)) if entry == self.entry => Restored::Present(revision),
            _ => Restored::Lost,
        }
    }

    /// Returns whether the entry that was written under a lease was removed or overwritten since.
    fn is_entry_lost(&self, lease: &Lease) -> bool {
        let known = self.replicator.revision() >= lease.entry_revision;
        known && self.replicated_revision() != Some(lease.entry_revision)
    }

    /// Keeps the node registered until the task is dropped or the node is deregistered.
    pub async fn run(&self) {
        let mut backoff = Backoff::default();
        while !self.ended.get() {
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
        let answer = self.store.call(&call).await?;
        let StoreReply::Lease { id: Some(id), ttl } = answer.reply else {
            return Err(store::Error::Refused);
        };
        let era = answer.era;
        let expiry = sent + ttl;
        let key = Self::entry_key(&self.entry.address);
        let value = serde_json::to_vec(&self.entry).expect("a node entry is serializable");
        // Most nodes have no entry yet, so the first attempt doesn't read it.
        let mut expected = 0;
        loop {
            let call = StoreCall::Commit(Commit {
                expect: vec![(key.clone(), expected)],
                put: vec![(key.clone(), value.clone(), Some(id))],
                delete: Vec::new(),
            });
            let answer = self.store.call(&call).await?;
            if answer.era != era {
                // The lease may be lost.
                return Err(store::Error::Outdated(era));
            }
            match answer.reply {
                StoreReply::Committed { revision } => {
                    let entry_revision = Revision::new(era, revision);
                    let before = self.lease.get().and_then(|l| l.remaining(Instant::now()));
                    if before.is_none() {
                        self.leased_since.set(era);
                    }
                    self.lease.set(Some(Lease {
                        id,
                        expiry,
                        entry_revision,
                    }));
                    tracing::info!(
                        event = 332,
                        lease = id.0,
                        revision,
                        era = era.0,
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
        let StoreReply::Page { items, .. } = self.store.call(&call).await?.reply else {
            return Err(store::Error::Refused);
        };
        let present = items.iter().find(|i| i.key == key);
        Ok(present.map_or(0, |i| i.revision))
    }

    /// Renews the lease until it has expired or the node's entry is lost.
    async fn renew(&self) {
        let mut interval = RENEWAL_INTERVAL;
        while let Some(lease) = self.lease.get() {
            if self.is_of_earlier_era(&lease) {
                match self.restored_entry() {
                    Restored::Unknown | Restored::Present(_) => {}
                    Restored::Lost => {
                        tracing::warn!(event = 319, revision = %lease.entry_revision, "the store has lost the node's entry; registering again");
                        return;
                    }
                }
            } else if self.is_entry_lost(&lease) {
                tracing::warn!(event = 330, revision = %lease.entry_revision, found = ?self.replicated_revision(), "the node's entry was removed or overwritten; registering again");
                self.lease.set(None);
                return;
            }
            tokio::select! {
                () = time::sleep(interval) => {}
                () = self.replicator.own_entry_changed.notified() => {
                    // The replica has the entry in a new era; the lease is renewed there at once.
                    if !matches!(self.restored_entry(), Restored::Present(_))
                        || !self.is_of_earlier_era(&lease)
                    {
                        continue;
                    }
                }
            }
            interval = RENEWAL_INTERVAL;
            let sent = Instant::now();
            let answer = self.store.call(&StoreCall::Renew(lease.id)).await;
            let era = answer.as_ref().map_or(Era::default(), |a| a.era);
            match answer.map(|a| a.reply) {
                // The node may have been deregistered meanwhile.
                Ok(StoreReply::Lease { .. }) if self.lease.get().is_none() => {}
                Ok(StoreReply::Lease { ttl, .. }) if lease.entry_revision.era == era => {
                    let expiry = sent + ttl;
                    self.lease.set(Some(Lease { expiry, ..lease }));
                }
                Ok(StoreReply::Lease { ttl, .. }) => {
                    // The lease of the copy goes on, and protects the entry if that is there too.
                    if let Restored::Present(entry_revision) = self.restored_entry() {
                        let expiry = sent + ttl;
                        self.lease.set(Some(Lease {
                            expiry,
                            entry_revision,
                            ..lease
                        }));
                        tracing::info!(event = 320, lease = lease.id.0, revision = %entry_revision, "the node's entry is in the restored store");
                    }
                }
                Ok(StoreReply::Missing) if lease.entry_revision.era < era => {
                    tracing::warn!(event = 319, revision = %lease.entry_revision, "the store has lost the node's lease; registering again");
                    return;
                }
                Ok(StoreReply::Missing) => {
                    tracing::warn!(
                        event = 333,
                        lease = lease.id.0,
                        "the node's lease has expired"
                    );
                    self.lease.set(None);
                }
                Ok(reply) => {
                    tracing::warn!(event = 334, reply = ?reply, "unexpected reply to a lease renewal");
                }
                Err(e) => {
                    interval = RETRY_INTERVAL;
                    let left_ms = lease.expiry.left().as_millis();
                    tracing::warn!(event = 335, lease = lease.id.0, left_ms, error = %e, "can't renew the node's lease");
                }
            }
        }
    }

    /// Removes the entry that this process has written. Called on shutdown, when the local backend
    /// server holds no keys.
    ///
    /// The store may execute the removal late, when the next process of this node has an entry of its
    /// own, so it is conditional on the revision of this process's entry.
    pub async fn deregister(&self) {
        self.ended.set(true);
        let Some(lease) = self.lease.take() else {
            return;
        };
        if self.is_of_earlier_era(&lease) {
            // The revision may belong to another entry by now.
            tracing::info!(event = 340, revision = %lease.entry_revision, reply = "none", "the node's entry is no longer the one that this process has written");
            return;
        }
        let key = Self::entry_key(&self.entry.address);
        let call = StoreCall::Commit(Commit {
            expect: vec![(key.clone(), lease.entry_revision.number)],
            put: Vec::new(),
            delete: vec![key],
        });
        match self.store.call(&call).await.map(|a| a.reply) {
            Ok(StoreReply::Committed { .. }) => {}
            Ok(reply) => {
                tracing::info!(event = 340, revision = %lease.entry_revision, reply = ?reply, "the node's entry is no longer the one that this process has written");
            }
            Err(e) => {
                tracing::info!(event = 336, error = %e, "can't remove the node's entry; it expires with its lease");
            }
        }
    }
}
