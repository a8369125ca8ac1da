//! Assignment of a service's keys: which backend server holds which range, under which token.
//!
//! The platform's store keeps one table per service, which is changed by compare-and-swap only. The
//! methods below are the permitted changes; they maintain these invariants, which
//! [`AssignmentTable::check`] verifies on every table that is read:
//!
//! - slices are sorted, don't overlap and cover all keys;
//! - every token is below `next_token`, and a change of holder issues a new one.

use std::collections::HashSet;

/// Number of possible keys.
pub const KEY_COUNT: usize = 1 << 16;

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
}

impl Default for AssignmentTable {
    fn default() -> Self {
        Self {
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
}
