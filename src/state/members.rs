//! Member table: what is known about each node of the system.
//!
//! An entry is replaced only by a later one: a higher incarnation, then a higher version, then the
//! mark that the process has ended. Only the node itself increases its version, so a node that is
//! wrongly marked as ended takes the mark back with its next version.
//!
//! Two tables are compared by hashes: of the whole table, then of buckets of addresses, and only
//! the buckets that differ are listed. A list of all entries would exceed the traffic limit of a
//! node in a fleet of 16,000.

use std::collections::HashMap;
use std::time;

use rand::seq::IteratorRandom;
use slotmap::{SlotMap, new_key_type};
use xxhash_rust::xxh3;

use crate::state::{clock, ids};

/// Number of buckets; at 16,000 members the bucket hashes and the digest of one bucket are of about
/// the same size.
pub const BUCKETS: usize = 128;

/// Time for which the entry of an ended process is kept, so that every node learns of its end.
pub const ENDED_RETENTION: time::Duration = time::Duration::from_secs(30);

/// Time for which entries of a removed process are refused when a late node still offers them.
pub const REMOVED_RETENTION: time::Duration = time::Duration::from_mins(10);

/// Sends of a changed entry beyond the logarithm of the table's size.
const EXTRA_SENDS: u32 = 2;

new_key_type! {
    /// Key of an entry.
    pub struct EntryKey;
}

/// What is known about one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Node.
    pub node: ids::NodeRef,
    /// Version of the entry, increased by the node itself.
    pub version: u64,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address for callers.
    pub caller: String,
    /// Address for operators.
    pub admin: String,
    /// Service of the backend server, if one has announced itself.
    pub service: Option<String>,
    /// State of the backend server.
    pub backend: ReportedBackend,
    /// Whether the process has ended or is about to.
    pub left: bool,
    /// Document revision that the node has reported.
    pub document: ids::DocRevision,
}

/// State of a backend server as its node reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedBackend {
    /// Whether it can serve.
    pub up: bool,
    /// Whether it wants no more slices.
    pub draining: bool,
    /// Whether it checks fencing tokens.
    pub checks: bool,
    /// Concurrent requests that it runs.
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

/// Version of one entry, as listed in a digest.
pub type EntryVersion = (ids::NodeRef, u64);

/// Member table.
#[derive(Debug)]
pub struct MemberTable {
    me: EntryKey,
    rows: SlotMap<EntryKey, Row>,
    by_addr: HashMap<ids::NodeAddr, EntryKey>,
    buckets: Vec<u64>,
    removed: HashMap<ids::NodeAddr, Removed>,
}

#[derive(Debug)]
struct Row {
    member: Member,
    sends: u32,
    ended_at: Option<clock::Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Removed {
    incarnation: ids::Incarnation,
    at: clock::Instant,
}

impl MemberTable {
    /// Creates a table that holds only the node itself.
    #[must_use]
    pub fn new(me: Member) -> Self {
        let mut table = Self {
            me: EntryKey::default(),
            rows: SlotMap::with_key(),
            by_addr: HashMap::new(),
            buckets: vec![0; BUCKETS],
            removed: HashMap::new(),
        };
        table.me = table.insert(me);
        table
    }

    /// Returns the node's own entry.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.rows[self.me].member
    }

    /// Returns the number of entries, those of ended processes included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table is empty, which it never is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the entries of all nodes that have not left.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let members = self.rows.values().map(|r| &r.member);
        members.filter(|m| !m.left)
    }

    /// Returns the entry at an address.
    #[must_use]
    pub fn get(&self, addr: ids::NodeAddr) -> Option<&Member> {
        let key = self.by_addr.get(&addr)?;
        Some(&self.rows[*key].member)
    }

    /// Returns the newest known incarnation at an address.
    #[must_use]
    pub fn incarnation(&self, addr: ids::NodeAddr) -> Option<ids::Incarnation> {
        let listed = self.get(addr).map(|m| m.node.incarnation);
        listed.max(self.removed.get(&addr).map(|r| r.incarnation))
    }

    /// Draws live members other than the node itself.
    #[must_use]
    pub fn sample(&self, count: usize) -> Vec<ids::NodeAddr> {
        let me = self.local().node.addr;
        self.live()
            .map(|m| m.node.addr)
            .filter(|addr| *addr != me)
            .choose_multiple(&mut rand::rng(), count)
    }

    /// Changes the node's own entry and increases its version if the content differs.
    pub fn update(&mut self, change: impl FnOnce(&mut Member)) {
        let old = self.local().clone();
        let mut new = old.clone();
        change(&mut new);
        if new != old {
            new.version = old.version + 1;
            self.replace(self.me, new);
        }
    }

    /// Takes an entry if it is later than the known one, and returns whether it was.
    pub fn merge(&mut self, new: Member) -> bool {
        if new.node.addr == self.local().node.addr {
            return self.contest(&new);
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
            Some(key) if self.rows[*key].member.rank() < new.rank() => {
                self.replace(*key, new);
                true
            }
            Some(_) => false,
        }
    }

    /// Outdoes a wrong entry about the node itself.
    fn contest(&mut self, new: &Member) -> bool {
        let mut me = self.local().clone();
        if new.node == me.node && new.rank() > me.rank() {
            me.version = new.version + 1;
            self.replace(self.me, me);
            return true;
        }
        false
    }

    /// Marks the process of an entry as ended, unless a newer incarnation is known.
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

    /// Removes the entries of processes that ended long enough ago.
    pub fn expire(&mut self, now: clock::Instant) {
        let old: Vec<_> = self
            .rows
            .iter()
            .filter(|(key, row)| *key != self.me && row.is_expired(now))
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

    /// Returns a hash of each bucket.
    #[must_use]
    pub fn buckets(&self) -> Vec<u32> {
        self.buckets.iter().map(|b| short(*b)).collect()
    }

    /// Returns the buckets whose hash differs from the given one.
    #[must_use]
    pub fn differing_buckets(&self, hashes: &[u32]) -> Vec<u16> {
        let pairs = self.buckets.iter().zip(hashes);
        (0..)
            .zip(pairs)
            .filter(|(_, (mine, other))| short(**mine) != **other)
            .map(|(i, _)| i)
            .collect()
    }

    /// Lists the versions of the entries in some buckets.
    #[must_use]
    pub fn digest(&self, buckets: &[u16]) -> Vec<EntryVersion> {
        self.in_buckets(buckets)
            .map(|m| (m.node, m.version))
            .collect()
    }

    /// Returns the entries in some buckets that a digest lacks or has in an earlier version.
    ///
    /// Entries of ended processes are included at equal versions too, because the digest does not
    /// show the mark.
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

    /// Returns the addresses of which a digest has a later version.
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

    /// Returns recently changed entries for the next message, at most `max`.
    pub fn next_updates(&mut self, max: usize) -> Vec<Member> {
        let due = self.rows.values_mut().filter(|r| r.sends > 0);
        due.take(max)
            .map(|r| {
                r.sends -= 1;
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
        let members = self.rows.values().map(|r| &r.member);
        members.filter(move |m| wanted[bucket_of(m.node.addr)])
    }

    fn insert(&mut self, member: Member) -> EntryKey {
        let addr = member.node.addr;
        self.buckets[bucket_of(addr)] ^= member.hash();
        let row = Row {
            ended_at: member.left.then(clock::Instant::now),
            sends: self.sends(),
            member,
        };
        let key = self.rows.insert(row);
        self.by_addr.insert(addr, key);
        key
    }

    fn replace(&mut self, key: EntryKey, member: Member) {
        let sends = self.sends();
        let bucket = bucket_of(member.node.addr);
        let row = &mut self.rows[key];
        self.buckets[bucket] ^= row.member.hash() ^ member.hash();
        row.ended_at = match row.ended_at {
            Some(at) if member.left && row.member.node == member.node => Some(at),
            _ => member.left.then(clock::Instant::now),
        };
        row.sends = sends;
        row.member = member;
    }

    fn remove(&mut self, key: EntryKey, now: clock::Instant) {
        let Some(row) = self.rows.remove(key) else {
            return;
        };
        let node = row.member.node;
        self.buckets[bucket_of(node.addr)] ^= row.member.hash();
        self.by_addr.remove(&node.addr);
        let removed = Removed {
            incarnation: node.incarnation,
            at: now,
        };
        self.removed.insert(node.addr, removed);
    }

    fn sends(&self) -> u32 {
        EXTRA_SENDS + usize::BITS - self.rows.len().leading_zeros()
    }
}

impl Row {
    fn is_expired(&self, now: clock::Instant) -> bool {
        self.ended_at
            .is_some_and(|at| now.since(at) >= ENDED_RETENTION)
    }
}

fn bucket_of(addr: ids::NodeAddr) -> usize {
    let hash = ids::KeyHash::of(&addr.to_string());
    usize::try_from(hash.0 % BUCKETS as u64).expect("a bucket number is small")
}

fn short(hash: u64) -> u32 {
    u32::try_from(hash >> 32).expect("the upper half fits")
}
