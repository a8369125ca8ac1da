//! Shape of the slice table: splits of hot keys, merges of cold neighbours.

use std::collections::HashSet;

use crate::coordination::balance::{Move, State};
use crate::coordination::weight;
use crate::state::ids;

/// Share of the mean load of a server from which a key gets a slice of its own.
const HOT: f64 = 0.1;

/// Share of the mean load of a server below which a key is no longer kept apart.
const COOL: f64 = 0.03;

/// Share of the width of a slice below which it counts as a single key.
const SINGLE: f64 = 1e-6;

/// Keys split off by one plan.
const MAX_SPLITS: usize = 8;

/// Slices of a partition, so that its record stays far below the platform's limit of 1 MB.
const MAX_SLICES: usize = 2048;

impl State<'_> {
    /// Finds hot keys that share their slice with others.
    pub(super) fn splits(&self) -> Vec<ids::KeyHash> {
        let record = self.input.record;
        let mut cuts = Vec::new();
        let mut hot = self.keys_above(HOT);
        hot.truncate(MAX_SPLITS);
        for key in hot {
            let index = record.slice_index(key);
            if !self.is_settled(index) {
                continue;
            }
            if record.slices[index].start != key {
                cuts.push(key);
            }
            if record.slice_end(index) != key {
                cuts.push(ids::KeyHash(key.0 + 1));
            }
        }
        cuts.sort_unstable();
        cuts.dedup();
        let room = MAX_SLICES.saturating_sub(record.slices.len());
        cuts.truncate(room);
        cuts
    }

    /// Finds neighbours that one owner holds and that are cold enough to be one slice again.
    pub(super) fn merges(&self) -> Vec<ids::KeyHash> {
        let record = self.input.record;
        let mut excess = self.excess();
        let hot = self.warm_slices();
        let limit = self.base_width();
        // Rounding of widths must not keep the parts of a slice apart.
        let limit = limit * (1.0 + 1e-9);
        let mut starts = Vec::new();
        let mut joined = 0.0;
        for i in 1..record.slices.len() {
            let whole = if joined > 0.0 {
                joined
            } else {
                weight::width(record, i - 1)
            };
            let both = whole + weight::width(record, i);
            let same = record.slices[i].owner == record.slices[i - 1].owner;
            let settled = self.is_settled(i) && self.is_settled(i - 1);
            let cold = !hot.contains(&i) && !hot.contains(&(i - 1));
            if excess > 0 && same && settled && cold && both <= limit {
                starts.push(record.slices[i].start);
                joined = both;
                excess -= 1;
            } else {
                joined = 0.0;
            }
        }
        starts
    }

    /// Moves single keys that are no longer hot to the owner of both neighbours, so that they can be
    /// merged; without it, each key that was ever hot would stay in the record.
    pub(super) fn returns(&mut self, mut budget: f64) -> Vec<Move> {
        let warm = self.warm_slices();
        let record = self.input.record;
        let most = self.excess();
        let mut moves = Vec::new();
        for i in 1..record.slices.len().saturating_sub(1) {
            let (before, after) = (self.items[i - 1].holder, self.items[i + 1].holder);
            let apart = before == after && before != self.items[i].holder;
            let single = weight::width(record, i) < self.base_width() * SINGLE;
            let settled = (i - 1..=i + 1).all(|n| self.is_settled(n)) && self.items[i].free;
            let allowed = moves.len() < most && self.items[i].churn <= budget;
            if allowed && apart && single && settled && !warm.contains(&i) {
                budget -= self.items[i].churn;
                moves.extend(before.map(|to| self.place(i, to)));
            }
        }
        moves
    }

    fn excess(&self) -> usize {
        let base = usize::try_from(self.input.base_slices).unwrap_or(usize::MAX);
        self.input.record.slices.len().saturating_sub(base)
    }

    pub(super) fn base_width(&self) -> f64 {
        1.0 / self.input.base_slices.max(1) as f64
    }

    fn warm_slices(&self) -> HashSet<usize> {
        let keys = self.keys_above(COOL).into_iter();
        keys.map(|key| self.input.record.slice_index(key)).collect()
    }

    /// Returns the keys with at least this share of a server's mean load, the hottest first.
    fn keys_above(&self, share: f64) -> Vec<ids::KeyHash> {
        let total: f64 = weight::rates(self.input).iter().sum();
        let servers = self.packing.takers().count();
        let live = self.input.servers.iter().filter(|s| s.live);
        let mut keys: Vec<_> = live.flat_map(|s| s.load.hot.iter().copied()).collect();
        if servers == 0 || !self.packing.is_busy() {
            return Vec::new();
        }
        keys.retain(|(_, rate)| *rate >= share * total / servers as f64);
        keys.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let mut seen = HashSet::new();
        keys.retain(|(key, _)| seen.insert(*key));
        keys.into_iter().map(|(key, _)| key).collect()
    }
}
