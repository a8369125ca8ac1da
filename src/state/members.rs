//! Member table: the known state of every node of the cluster.
//!
//! An entry is replaced only by a newer one, ordered by incarnation, then by version, then by the
//! mark that the process has left. Only the node itself increases its version, so a node that is
//! wrongly marked as left overrides the mark with its next version.
//!
//! Two tables are compared by hashes, first of the whole table, then of buckets of addresses, and
//! only the entries in differing buckets are listed. Listing all entries would exceed the traffic
//! limit per node in a fleet of 16,000.

use std::collections::HashMap;
use std::time;

use rand::seq::IteratorRandom;
use slotmap::{SlotMap, new_key_type};
use xxhash_rust::xxh3;

use crate::state::{clock, ids};

/// Number of buckets; with 16,000 members, the list of bucket hashes and the digest of one bucket
/// are of similar size.
pub const BUCKETS: usize = 128;

/// Time for which the entry of a process that has left is kept, so that every node learns of it.
pub const ENDED_RETENTION: time::Duration = time::Duration::from_secs(30);

/// Time for which entries of a removed process are ignored when an outdated node still sends them.
pub const REMOVED_RETENTION: time::Duration = time::Duration::from_mins(10);

/// Number of sends of a changed entry in addition to the binary logarithm of the table's size.
const EXTRA_SENDS: u32 = 2;

new_key_type! {
    /// Key of an entry.
    pub struct EntryKey;
}

/// Known state of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Node.
    pub node: ids::NodeRef,
    /// Version of the entry; only the node itself increases it.
    pub version: u64,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address for callers.
    pub caller: String,
    /// Address for operators.
    pub admin: String,
    /// Service of the backend server, if one is announced.
    pub service: Option<String>,
    /// State of the backend server.
    pub backend: ReportedBackend,
    /// Whether the process has ended or is shutting down.
    pub left: bool,
    /// Document revision reported by the node.
    pub document: ids::DocRevision,
}

/// State of a backend server, as reported by its node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedBackend {
    /// Whether it can serve requests.
    pub up: bool,
    /// Whether it should be assigned no further slices.
    pub draining: bool,
    /// Whether it checks fencing tokens.
    pub checks: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

impl Member {
    fn rank(&self) -> (ids::Incarnation, u64, bool) {
        (self.node.incarnation, self.version, self.left)
    }

    fn hash(&self) -> u64 {
        let mut bytes = self.node.addr.to_string().into_bytes();
        bytes.extend(self.node.incarnation.0.to_be_bytes());
        bytes.extend(self.version.to_be_bytes());
        bytes.push(u8::from(self.left));
        xxh3::xxh3_64(&bytes)
    }
}

/// Node and entry version, as listed in a digest.
pub type EntryVersion = (ids::NodeRef, u64);

/// Member table.
#[derive(Debug)]
pub struct MemberTable {
    local_key: EntryKey,
    entries: SlotMap<EntryKey, Entry>,
    by_addr: HashMap<ids::NodeAddr, EntryKey>,
    buckets: Vec<u64>,
    removed: HashMap<ids::NodeAddr, Removed>,
}

/// Member with the state of its dissemination.
#[derive(Debug)]
struct Entry {
    member: Member,
    sends_left: u32,
    left_at: Option<clock::Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Removed {
    incarnation: ids::Incarnation,
    at: clock::Instant,
}

impl MemberTable {
    /// Creates a table with only the local node's entry.
    #[must_use]
    pub fn new(me: Member) -> Self {
        let mut table = Self {
            local_key: EntryKey::default(),
            entries: SlotMap::with_key(),
            by_addr: HashMap::new(),
            buckets: vec![0; BUCKETS],
            removed: HashMap::new(),
        };
        table.local_key = table.insert(me);
        table
    }

    /// Returns the local node's entry.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.entries[self.local_key].member
    }

    /// Returns the number of entries, including those of processes that have left.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty, which it never is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entries of all nodes that have not left.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let members = self.entries.values().map(|r| &r.member);
        members.filter(|m| !m.left)
    }

    /// Returns the entry at an address.
    #[must_use]
    pub fn get(&self, addr: ids::NodeAddr) -> Option<&Member> {
        let key = self.by_addr.get(&addr)?;
        Some(&self.entries[*key].member)
    }

    /// Returns the newest known incarnation at an address.
    #[must_use]
    pub fn incarnation(&self, addr: ids::NodeAddr) -> Option<ids::Incarnation> {
        let listed = self.get(addr).map(|m| m.node.incarnation);
        listed.max(self.removed.get(&addr).map(|r| r.incarnation))
    }

    /// Returns a random sample of live members, without the local node.
    #[must_use]
    pub fn sample(&self, count: usize) -> Vec<ids::NodeAddr> {
        let me = self.local().node.addr;
        self.live()
            .map(|m| m.node.addr)
            .filter(|addr| *addr != me)
            .choose_multiple(&mut rand::rng(), count)
    }

    /// Updates the local node's entry and increases its version if the content has changed.
    pub fn update(&mut self, change: impl FnOnce(&mut Member)) {
        let old = self.local().clone();
        let mut new = old.clone();
        change(&mut new);
        if new != old {
            new.version = old.version + 1;
            self.replace(self.local_key, new);
        }
    }

    /// Merges an entry if it is newer than the known one; returns whether the table has changed.
    pub fn merge(&mut self, new: Member) -> bool {
        if new.node.addr == self.local().node.addr {
            return self.refute(&new);
        }
        let removed = self.removed.get(&new.node.addr);
        if removed.is_some_and(|r| r.incarnation >= new.node.incarnation) {
            return false;
        }
        match self.by_addr.get(&new.node.addr) {
            None => {
                self.insert(new);
                true
            }
            Some(key) if self.entries[*key].member.rank() < new.rank() => {
                self.replace(*key, new);
                true
            }
            Some(_) => false,
        }
    }

    /// Overrides a wrong entry about the local node with a higher version.
    fn refute(&mut self, new: &Member) -> bool {
        let mut me = self.local().clone();
        if new.node == me.node && new.rank() > me.rank() {
            me.version = new.version + 1;
            self.replace(self.local_key, me);
            return true;
        }
        false
    }

    /// Marks the process of an entry as left, unless a newer incarnation is known.
    pub fn mark_left(&mut self, node: ids::NodeRef) -> bool {
        let Some(known) = self.get(node.addr) else {
            return false;
        };
        if known.node != node || known.left {
            return false;
        }
        let mut ended = known.clone();
        ended.left = true;
        self.merge(ended)
    }

    /// Removes entries and removal records whose retention time has passed.
    pub fn expire(&mut self, now: clock::Instant) {
        let old: Vec<_> = self
            .entries
            .iter()
            .filter(|(key, entry)| *key != self.local_key && entry.is_expired(now))
            .map(|(key, _)| key)
            .collect();
        for key in old {
            self.remove(key, now);
        }
        self.removed
            .retain(|_, r| now.since(r.at) < REMOVED_RETENTION);
    }

    /// Returns the hash of the whole table.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.buckets.iter().fold(0, |all, b| all ^ b)
    }

    /// Returns a shortened hash of each bucket.
    #[must_use]
    pub fn buckets(&self) -> Vec<u32> {
        self.buckets.iter().map(|b| short_hash(*b)).collect()
    }

    /// Returns the indices of the buckets whose hashes differ from the given ones.
    #[must_use]
    pub fn differing_buckets(&self, hashes: &[u32]) -> Vec<u16> {
        let pairs = self.buckets.iter().zip(hashes);
        (0..)
            .zip(pairs)
            .filter(|(_, (mine, other))| short_hash(**mine) != **other)
            .map(|(i, _)| i)
            .collect()
    }

    /// Returns the versions of the entries in some buckets.
    #[must_use]
    pub fn digest(&self, buckets: &[u16]) -> Vec<EntryVersion> {
        self.in_buckets(buckets)
            .map(|m| (m.node, m.version))
            .collect()
    }

    /// Returns the entries in some buckets that a digest lacks or lists in an older version.
    ///
    /// Entries of processes that have left are included at equal versions too, because the digest
    /// doesn't contain the mark.
    #[must_use]
    pub fn newer_entries(&self, buckets: &[u16], digest: &[EntryVersion]) -> Vec<Member> {
        let known: HashMap<_, _> = digest
            .iter()
            .map(|(node, version)| (node.addr, (node.incarnation, *version)))
            .collect();
        self.in_buckets(buckets)
            .filter(|m| {
                known.get(&m.node.addr).is_none_or(|stamp| {
                    let mine = (m.node.incarnation, m.version);
                    mine > *stamp || (m.left && mine == *stamp)
                })
            })
            .cloned()
            .collect()
    }

    /// Returns the addresses whose entries are missing or older here than in a digest.
    #[must_use]
    pub fn outdated(&self, digest: &[EntryVersion]) -> Vec<ids::NodeAddr> {
        digest
            .iter()
            .filter(|(node, version)| {
                let known = self.get(node.addr);
                let removed = self.removed.get(&node.addr);
                known.is_none_or(|m| (m.node.incarnation, m.version) < (node.incarnation, *version))
                    && removed.is_none_or(|r| r.incarnation < node.incarnation)
            })
            .map(|(node, _)| node.addr)
            .collect()
    }

    /// Returns up to `max` recently changed entries for the next message and counts their sends.
    pub fn next_updates(&mut self, max: usize) -> Vec<Member> {
        let due = self.entries.values_mut().filter(|r| r.sends_left > 0);
        due.take(max)
            .map(|r| {
                r.sends_left -= 1;
                r.member.clone()
            })
            .collect()
    }

    fn in_buckets(&self, buckets: &[u16]) -> impl Iterator<Item = &Member> {
        let mut wanted = [false; BUCKETS];
        for b in buckets {
            if let Some(w) = wanted.get_mut(usize::from(*b)) {
                *w = true;
            }
        }
        let members = self.entries.values().map(|r| &r.member);
        members.filter(move |m| wanted[bucket_of(m.node.addr)])
    }

    fn insert(&mut self, member: Member) -> EntryKey {
        let addr = member.node.addr;
        self.buckets[bucket_of(addr)] ^= member.hash();
        let entry = Entry {
            left_at: member.left.then(clock::Instant::now),
            sends_left: self.initial_sends(),
            member,
        };
        let key = self.entries.insert(entry);
        self.by_addr.insert(addr, key);
        key
    }

    fn replace(&mut self, key: EntryKey, member: Member) {
        let sends_left = self.initial_sends();
        let bucket = bucket_of(member.node.addr);
        let entry = &mut self.entries[key];
        self.buckets[bucket] ^= entry.member.hash() ^ member.hash();
        entry.left_at = match entry.left_at {
            Some(at) if member.left && entry.member.node == member.node => Some(at),
            _ => member.left.then(clock::Instant::now),
        };
        entry.sends_left = sends_left;
        entry.member = member;
    }

    fn remove(&mut self, key: EntryKey, now: clock::Instant) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        let node = entry.member.node;
        self.buckets[bucket_of(node.addr)] ^= entry.member.hash();
        self.by_addr.remove(&node.addr);
        let removed = Removed {
            incarnation: node.incarnation,
            at: now,
        };
        self.removed.insert(node.addr, removed);
    }

    fn initial_sends(&self) -> u32 {
        EXTRA_SENDS + usize::BITS - self.entries.len().leading_zeros()
    }
}

impl Entry {
    fn is_expired(&self, now: clock::Instant) -> bool {
        self.left_at
            .is_some_and(|at| now.since(at) >= ENDED_RETENTION)
    }
}

fn bucket_of(addr: ids::NodeAddr) -> usize {
    let hash = ids::KeyHash::of(&addr.to_string());
    usize::try_from(hash.0 % BUCKETS as u64).expect("a bucket index fits in usize")
}

fn short_hash(hash: u64) -> u32 {
    u32::try_from(hash >> 32).expect("the upper 32 bits fit in u32")
}
