//! Assignment of a service's keys: which backend server holds which range, under which token.
//!
//! The platform's store keeps one table per service, which is changed by compare-and-swap only. The
//! methods below are the permitted changes; they maintain these invariants, which
//! [`AssignmentTable::check`] verifies on every table that is read:
//!
//! - slices are sorted, don't overlap and cover all keys;
//! - every token is below `next_token`, and a change of holder issues a new one.
//!
//! A store that is restored from an older copy may return a table that lacks the newest changes. A table
//! names the era of the store for which it is confirmed; in a later era nobody grants by it until
//! [`AssignmentTable::confirm`] has put together what all nodes still hold.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashSet};

use xxhash_rust::xxh3;

use crate::state::store_revision::Era;

/// Number of possible keys.
pub const KEY_COUNT: usize = 1 << 16;

/// Number of tokens that a lost table may have issued beyond the newest one that is known.
const MAX_LOST_TOKENS: u64 = 1 << 16;

/// Number of bits by which an era is shifted to give the least token that is issued in it. Nodes may
/// all have been restarted, and then know no token of the earlier era.
const ERA_TOKEN_BITS: u32 = 24;

/// Key that callers send.
pub type Key = u16;

/// One incarnation of a backend server, local to one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// Address of the node on the same host.
    pub node: String,
    /// Identifier of the backend server.
    pub backend: String,
    /// Start of this incarnation, in Unix milliseconds.
    pub born: u64,
}

impl Holder {
    /// Returns the order in which two backend servers beside one node have started, by `born` and not by
    /// the arrival of their messages. Returns `None` if it is unknown: a start is missing (0), or both
    /// started at the same time under different identifiers.
    #[must_use]
    pub fn start_order(&self, other: &Self) -> Option<Ordering> {
        let same = self.backend == other.backend && self.born == other.born;
        match self.born.cmp(&other.born) {
            _ if same => Some(Ordering::Equal),
            _ if self.born == 0 || other.born == 0 => None,
            Ordering::Equal => None,
            order => Some(order),
        }
    }

    /// Returns a number that tells this life of the backend server from others.
    #[must_use]
    pub fn life(&self) -> u64 {
        let born = self.born.to_le_bytes();
        let parts = [self.node.as_bytes(), self.backend.as_bytes(), &born];
        xxh3::xxh3_64(&parts.join(&0))
    }
}

/// Range of keys with one holder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Slice {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// Fencing token of the holder, or the last one used if there is no holder.
    pub token: u64,
    /// Backend server that may currently hold the range.
    pub holder: Option<Holder>,
    /// Backend server to which the range is assigned once the holder has released it.
    pub target: Option<Holder>,
    /// Proof of release by the previous holder, empty if there is none.
    pub handover: String,
}

impl Slice {
    /// Returns whether the range contains a key.
    #[must_use]
    pub fn contains(&self, key: Key) -> bool {
        self.from <= key && key <= self.to
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        usize::from(self.to - self.from) + 1
    }

    /// Returns whether the range is empty, which it never is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Returns the slice for a new era, given the claim with the highest token and whether its node knows
    /// a table that is at least as new. `unused` is a token above all that may have been issued.
    fn confirm(&self, claim: Option<(&Self, bool)>, unused: u64) -> Self {
        let Some((claim, is_newest)) = claim else {
            return Self {
                holder: None,
                target: None,
                handover: String::new(),
                ..self.clone()
            };
        };
        if claim.holder == self.holder && claim.token == self.token {
            return self.clone();
        }
        let is_certain = is_newest && claim.token >= self.token;
        Self {
            holder: claim.holder.clone(),
            token: if is_certain { claim.token } else { unused },
            target: None,
            handover: String::new(),
            ..self.clone()
        }
    }

    /// Returns whether the range overlaps `from..=to`.
    #[must_use]
    pub fn overlaps(&self, from: Key, to: Key) -> bool {
        self.from <= to && from <= self.to
    }
}

/// Violated invariant of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidTable(pub String);

impl std::fmt::Display for InvalidTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidTable {}

/// Assignment table of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AssignmentTable {
    /// Token for the next change of a holder.
    pub next_token: u64,
    /// Ranges in ascending order.
    pub slices: Vec<Slice>,
    /// Era of the store for which the table is confirmed.
    pub era: Era,
}

impl Default for AssignmentTable {
    fn default() -> Self {
        Self {
            era: Era::default(),
            next_token: 1,
            slices: vec![Slice {
                from: 0,
                to: Key::MAX,
                token: 0,
                holder: None,
                target: None,
                handover: String::new(),
            }],
        }
    }
}

/// Ranges that the backend server of one node may hold.
#[derive(Debug, Clone, Copy)]
pub struct ClaimedSlices<'a> {
    /// Slices with their holders and tokens.
    pub slices: &'a [Slice],
    /// Whether the node knows a table that is at least as new as the one to be confirmed.
    pub is_newest: bool,
}

impl AssignmentTable {
    /// Verifies the invariants.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that is violated.
    pub fn check(&self) -> Result<(), InvalidTable> {
        let mut next = 0;
        for s in &self.slices {
            if usize::from(s.from) != next || s.to < s.from {
                return Err(InvalidTable(format!(
                    "range {}-{} is out of order",
                    s.from, s.to
                )));
            }
            if s.token >= self.next_token {
                return Err(InvalidTable(format!("token {} was not issued", s.token)));
            }
            next = usize::from(s.to) + 1;
        }
        if next == KEY_COUNT {
            Ok(())
        } else {
            Err(InvalidTable(format!("keys from {next} on are missing")))
        }
    }

    /// Returns the slice that contains a key.
    #[must_use]
    pub fn slice_of(&self, key: Key) -> Option<&Slice> {
        let i = self.slices.partition_point(|s| s.to < key);
        self.slices.get(i)
    }

    /// Returns the slices that a backend server holds.
    pub fn held_by<'a>(&'a self, holder: &'a Holder) -> impl Iterator<Item = &'a Slice> {
        let mine = move |s: &&Slice| s.holder.as_ref() == Some(holder);
        self.slices.iter().filter(mine)
    }

    /// Returns all holders and targets.
    #[must_use]
    pub fn holders(&self) -> HashSet<&Holder> {
        let all = self.slices.iter();
        all.flat_map(|s| s.holder.iter().chain(s.target.iter()))
            .collect()
    }

    /// Splits the slice that contains `key`, so that `key` becomes the first one of its slice.
    fn split_at(&mut self, key: Key) {
        let i = self.slices.partition_point(|s| s.to < key);
        let Some(s) = self.slices.get_mut(i) else {
            return;
        };
        if s.from == key {
            return;
        }
        let mut tail = s.clone();
        tail.from = key;
        s.to = key - 1;
        self.slices.insert(i + 1, tail);
    }

    /// Splits the slices at the ends of a range and calls `change` for each slice inside it.
    fn for_each_in(&mut self, from: Key, to: Key, mut change: impl FnMut(&mut Slice, &mut u64)) {
        self.split_at(from);
        if let Some(after) = to.checked_add(1) {
            self.split_at(after);
        }
        let token = &mut self.next_token;
        let inside = self.slices.iter_mut();
        for s in inside.filter(|s| from <= s.from && s.to <= to) {
            change(s, token);
        }
        self.merge_adjacent();
    }

    /// Merges adjacent slices that differ in their range only and have no proof of release.
    fn merge_adjacent(&mut self) {
        self.slices.dedup_by(|b, a| {
            let same = a.token == b.token
                && a.holder == b.holder
                && a.target == b.target
                && a.handover.is_empty()
                && b.handover.is_empty();
            if same {
                a.to = b.to;
            }
            same
        });
    }

    /// Assigns the parts of a range that have no holder to a backend server.
    pub fn assign(&mut self, from: Key, to: Key, holder: &Holder) {
        let token = self.next_token;
        let mut used = false;
        self.for_each_in(from, to, |s, _| {
            if s.holder.is_none() {
                s.holder = Some(holder.clone());
                s.target = None;
                s.token = token;
                used = true;
            }
        });
        if used {
            self.next_token += 1;
        }
    }

    /// Plans to move the parts of a range that `source` holds to `target`; withdraws such a plan if
    /// both are the same.
    pub fn plan_move(&mut self, from: Key, to: Key, source: &Holder, target: &Holder) {
        self.for_each_in(from, to, |s, _| {
            if s.holder.as_ref() == Some(source) {
                s.target = (source != target).then(|| target.clone());
            }
        });
    }

    /// Withdraws all planned moves to a backend server.
    pub fn cancel_moves(&mut self, target: &Holder) {
        for s in &mut self.slices {
            if s.target.as_ref() == Some(target) {
                s.target = None;
            }
        }
        self.merge_adjacent();
    }

    /// Records that `holder` has released a range, with the proof of its release.
    ///
    /// Slices with a target are assigned to it; the others have no holder afterwards.
    pub fn release(&mut self, from: Key, to: Key, holder: &Holder, handover: &str) {
        let token = self.next_token;
        let mut used = false;
        self.for_each_in(from, to, |s, _| {
            if s.holder.as_ref() != Some(holder) {
                return;
            }
            s.holder = s.target.take();
            handover.clone_into(&mut s.handover);
            if s.holder.is_some() {
                s.token = token;
                used = true;
            }
        });
        if used {
            self.next_token += 1;
        }
    }

    /// Revokes all slices of a backend server, without a proof of release.
    ///
    /// The caller must make sure that the grant of the backend server has expired.
    pub fn expire(&mut self, holder: &Holder) {
        self.release(0, Key::MAX, holder, "");
        self.cancel_moves(holder);
    }

    /// Returns the table for a new era: each key belongs to the holder that claims it with the highest
    /// token, and to nobody if there is none.
    ///
    /// A token is kept if no lost table can have issued a higher one for the key. The caller must make
    /// sure that whoever makes no claim holds nothing.
    #[must_use]
    pub fn confirm(&self, era: Era, claims: &[ClaimedSlices<'_>]) -> Self {
        let claimed = || {
            let all = claims.iter();
            all.flat_map(|c| c.slices.iter().map(|s| (s, c.is_newest)))
        };
        let highest = claimed().map(|(s, _)| s.token + 1).max();
        let known = highest.unwrap_or_default().max(self.next_token);
        let is_new = highest.is_none() && *self == Self::default();
        let lost = if is_new { 0 } else { MAX_LOST_TOKENS };
        let token = (known + lost).max(era.0 << ERA_TOKEN_BITS);
        let known_slices = self.slices.iter().chain(claimed().map(|(s, _)| s));
        let starts: BTreeSet<u32> = known_slices
            .flat_map(|s| [u32::from(s.from), u32::from(s.to) + 1])
            .collect();
        let starts: Vec<u32> = starts.into_iter().collect();
        let mut slices = Vec::new();
        for pair in starts.windows(2) {
            let key = |n: u32| Key::try_from(n).unwrap_or(Key::MAX);
            let (from, to) = (key(pair[0]), key(pair[1] - 1));
            let Some(base) = self.slice_of(from) else {
                continue;
            };
            let of_range = claimed().filter(|(s, _)| s.contains(from));
            let claim = of_range.max_by_key(|(s, _)| s.token);
            slices.push(Slice {
                from,
                to,
                ..base.confirm(claim, token)
            });
        }
        let mut table = Self {
            era,
            next_token: token + 1,
            slices,
        };
        table.merge_adjacent();
        table
    }
}
