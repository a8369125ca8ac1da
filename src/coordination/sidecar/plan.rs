//! Planning of the changes to one service's assignment table.
//!
//! The load of a backend server should be in proportion to its capacity. Ranges without a holder are
//! assigned first, those of a draining backend server next. Then the most overloaded one gives its
//! excess load away, except for a key that alone exceeds it; such a key stays, unless its holder has
//! named a limit that another backend server clearly exceeds. Each move makes its keys unavailable
//! for about a heartbeat interval, so small imbalances are tolerated.

use std::collections::{HashMap, HashSet};

use crate::state::keyspace;
use crate::state::keyspace::{AssignmentTable, KEY_COUNT, Key, Slice};

/// Ratio of load to fair share from which a backend server gives keys away.
const OVERLOAD_RATIO: f64 = 1.25;

/// Utilization below which a backend server gives keys away only to a new member.
const MIN_UTILIZATION: f64 = 0.65;

/// Standard deviations of a measured load by which it must exceed the fair share.
const NOISE_DEVIATIONS: f64 = 2.0;

/// Time over which key rates are measured, in seconds.
const MEASUREMENT_SECONDS: f64 = 4.0;

/// Fraction of the load that is added evenly over all keys, so that idle keys count too.
const EVEN_FRACTION: f64 = 0.15;

/// Minimum fraction of the excess load that a move must carry.
const MIN_MOVE_FRACTION: f64 = 0.2;

/// Ratio of capacities from which a key that its holder's limit can't serve is worth a move.
const HOT_KEY_CAPACITY_RATIO: f64 = 1.5;

/// Minimum fraction of the total load that is worth a slice of its own.
const MIN_REST_FRACTION: f64 = 0.02;

/// The same, and the least that a receiver gets, when many backend servers lose their keys at once: the
/// fair share of one of 66 is 1.5% of the total load.
const MIN_PIECE_FRACTION: f64 = 0.002;

/// Maximum number of slices in a table; a heartbeat's reply fits about 100 of one holder.
const MAX_SLICES: usize = 400;

/// Number of concurrent moves that is allowed for any number of members.
const MIN_CONCURRENT_MOVES: usize = 2;

/// Number of members per concurrent move in larger services.
const MEMBERS_PER_MOVE: usize = 4;

/// Backend server that may hold keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Identity of the backend server.
    pub holder: keyspace::Holder,
    /// Requests per second that it can serve.
    pub capacity: f64,
    /// Whether a limit that it has named bounds its capacity.
    pub limited: bool,
    /// Whether it may get more keys.
    pub accepts: bool,
    /// Whether it keeps its current keys.
    pub keeps: bool,
}

/// Change of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Assigns a range without a holder to a backend server.
    Assign(Key, Key, keyspace::Holder),
    /// Moves a range from its holder to another backend server.
    Move(Key, Key, keyspace::Holder, keyspace::Holder),
}

impl Change {
    /// Applies the change to a table.
    pub fn apply(&self, table: &mut AssignmentTable) {
        match self {
            Self::Assign(from, to, holder) => table.assign(*from, *to, holder),
            Self::Move(from, to, source, target) => table.plan_move(*from, *to, source, target),
        }
    }
}

/// Plan under construction.
struct Draft<'a> {
    members: &'a [Member],
    rates: Vec<f64>,
    /// Load of each member after the changes so far, in requests per second.
    loads: Vec<f64>,
    total: f64,
    capacity: f64,
    /// Minimum load of a slice that is distributed, in requests per second, if it is kept.
    min_piece: Option<f64>,
    changes: Vec<Change>,
}

impl Draft<'_> {
    fn load(&self, from: Key, to: Key) -> f64 {
        self.rates[usize::from(from)..=usize::from(to)].iter().sum()
    }

    /// Returns the part of the total load that is proportional to a member's capacity.
    fn fair_share(&self, member: usize) -> f64 {
        if self.capacity > 0.0 {
            self.total * self.members[member].capacity / self.capacity
        } else {
            0.0
        }
    }

    /// Returns the member with the lowest utilization among those that accept keys.
    fn least_utilized(&self, except: Option<usize>) -> Option<usize> {
        let accepting = |&i: &usize| self.members[i].accepts && Some(i) != except;
        let utilization = |i: usize| self.loads[i] / self.members[i].capacity.max(1e-9);
        let all = (0..self.members.len()).filter(accepting);
        all.min_by(|&a, &b| utilization(a).total_cmp(&utilization(b)))
    }

    /// Returns the last key of the longest prefix of a range with at most `load`. The prefix has at least
    /// one key.
    fn prefix_end(&self, from: Key, to: Key, load: f64) -> Key {
        let mut sum = 0.0;
        for key in from..=to {
            sum += self.rates[usize::from(key)];
            if sum > load {
                return key.saturating_sub(1).max(from);
            }
        }
        to
    }

    /// Distributes a range over the least utilized members, in up to `pieces` additional slices.
    fn distribute(&mut self, slice: &Slice, source: Option<usize>, pieces: &mut usize) {
        let mut from = slice.from;
        loop {
            let Some(to) = self.least_utilized(source) else {
                return;
            };
            let available = self.fair_share(to) - self.loads[to];
            let least = self.min_piece.unwrap_or_default();
            let end = match *pieces {
                0 => slice.to,
                _ => self.prefix_end(from, slice.to, available.max(least)),
            };
            let min_rest = self.min_piece.unwrap_or(MIN_REST_FRACTION * self.total);
            let rest = end < slice.to && self.load(end + 1, slice.to) < min_rest;
            let end = if rest { slice.to } else { end };
            *pieces = pieces.saturating_sub(1);
            self.assign(from, end, source, to);
            match end.checked_add(1) {
                Some(next) if next <= slice.to => from = next,
                _ => return,
            }
        }
    }

    fn assign(&mut self, from: Key, to: Key, source: Option<usize>, target: usize) {
        let load = self.load(from, to);
        let holder = self.members[target].holder.clone();
        self.loads[target] += load;
        self.changes.push(match source {
            None => Change::Assign(from, to, holder),
            Some(s) => {
                self.loads[s] -= load;
                Change::Move(from, to, self.members[s].holder.clone(), holder)
            }
        });
    }

    /// Returns the range of keys of `slices` with the highest load up to `wanted`. It contains no key with
    /// a higher rate.
    fn best_range(&self, slices: &[&Slice], wanted: f64) -> Option<(Key, Key, f64)> {
        let mut best: Option<(Key, Key, f64)> = None;
        for s in slices {
            let (mut from, mut sum) = (s.from, 0.0);
            for key in s.from..=s.to {
                let rate = self.rates[usize::from(key)];
                if rate > wanted {
                    from = key.saturating_add(1);
                    sum = 0.0;
                    continue;
                }
                if sum + rate > wanted {
                    break;
                }
                sum += rate;
                if key >= from && best.is_none_or(|(_, _, load)| sum > load) {
                    best = Some((from, key, sum));
                }
            }
        }
        best
    }
}

/// Returns the changes that the table needs now.
///
/// `rates` holds the requests per second of each key. Holders that aren't in `members` keep their
/// ranges.
#[must_use]
pub fn plan(table: &AssignmentTable, members: &[Member], rates: &[f32]) -> Vec<Change> {
    plan_pieces(table, members, rates, None)
}

/// Returns the changes that the table needs now that many members lose their keys at once: as [`plan`],
/// but in smaller pieces, so that each receiver gets what it has capacity for.
#[must_use]
pub fn plan_evacuation(table: &AssignmentTable, members: &[Member], rates: &[f32]) -> Vec<Change> {
    plan_pieces(table, members, rates, Some(MIN_PIECE_FRACTION))
}

fn plan_pieces(
    table: &AssignmentTable,
    members: &[Member],
    rates: &[f32],
    min_piece: Option<f64>,
) -> Vec<Change> {
    let measured: f64 = rates.iter().map(|&r| f64::from(r)).sum();
    let even = (EVEN_FRACTION * measured).max(1.0) / KEY_COUNT as f64;
    let capacity: f64 = members
        .iter()
        .filter(|m| m.accepts)
        .map(|m| m.capacity)
        .sum();
    let mut draft = Draft {
        members,
        rates: rates.iter().map(|&r| f64::from(r) + even).collect(),
        loads: vec![0.0; members.len()],
        total: 0.0,
        capacity,
        min_piece: None,
        changes: Vec::new(),
    };
    let index: HashMap<_, _> = members
        .iter()
        .enumerate()
        .map(|(i, m)| (&m.holder, i))
        .collect();
    draft.total = draft.rates.iter().sum();
    draft.min_piece = min_piece.map(|fraction| fraction * draft.total);
    for s in &table.slices {
        let next_holder = s.target.as_ref().or(s.holder.as_ref());
        if let Some(&i) = next_holder.and_then(|h| index.get(h)) {
            draft.loads[i] += draft.load(s.from, s.to);
        }
    }
    let mut pieces = MAX_SLICES.saturating_sub(table.slices.len());
    let unassigned = table.slices.iter().filter(|s| s.holder.is_none());
    for s in unassigned {
        draft.distribute(s, None, &mut pieces);
    }
    let moving = table.slices.iter().filter(|s| s.target.is_some()).count();
    for s in table.slices.iter().filter(|s| s.target.is_none()) {
        let source = s.holder.as_ref().and_then(|h| index.get(h).copied());
        if let Some(i) = source.filter(|&i| !members[i].keeps) {
            draft.distribute(s, Some(i), &mut pieces);
        }
    }
    if draft.changes.is_empty() && pieces > MIN_CONCURRENT_MOVES {
        let max_moves = MIN_CONCURRENT_MOVES.max(members.len() / MEMBERS_PER_MOVE);
        let mut sources = HashSet::new();
        for _ in moving..max_moves {
            match balance(&mut draft, table, &sources) {
                Some(source) => sources.insert(source),
                None => break,
            };
        }
    }
    draft.changes
}

/// Moves excess load from the member with the highest ratio of load to fair share, and returns it.
fn balance(draft: &mut Draft<'_>, table: &AssignmentTable, done: &HashSet<usize>) -> Option<usize> {
    let load_ratio = |d: &Draft<'_>, i: usize| d.loads[i] / d.fair_share(i).max(1e-9);
    let remaining = (0..draft.members.len()).filter(|i| !done.contains(i));
    let source =
        remaining.max_by(|&a, &b| load_ratio(draft, a).total_cmp(&load_ratio(draft, b)))?;
    let target = draft.least_utilized(Some(source))?;
    let member = &draft.members[source];
    let utilization = draft.loads[source] / member.capacity.max(1e-9);
    let next_holder = |s: &Slice| s.target.clone().or_else(|| s.holder.clone());
    let receiver = Some(&draft.members[target].holder);
    let newcomer = !table
        .slices
        .iter()
        .any(|s| next_holder(s).as_ref() == receiver)
        && draft.loads[target] == 0.0;
    let noise = NOISE_DEVIATIONS * (draft.loads[source] / MEASUREMENT_SECONDS).sqrt();
    let excess = draft.loads[source] - draft.fair_share(source);
    let overloaded = load_ratio(draft, source) >= OVERLOAD_RATIO
        && excess > noise
        && utilization >= MIN_UTILIZATION;
    if !overloaded && !newcomer {
        return None;
    }
    if overloaded && let Some((key, target)) = hot_key_move(draft, table, source) {
        draft.assign(key, key, Some(source), target);
        return Some(source);
    }
    let wanted = excess.min(draft.fair_share(target) - draft.loads[target]);
    if wanted <= 0.0 {
        return None;
    }
    let held = table.held_by(&member.holder).filter(|s| s.target.is_none());
    let slices: Vec<_> = held.collect();
    let (from, to, load) = draft.best_range(&slices, wanted)?;
    if load <= MIN_MOVE_FRACTION * wanted {
        return None;
    }
    draft.assign(from, to, Some(source), target);
    Some(source)
}

/// Returns a key whose requests alone exceed the limit of its holder, and the member with the most
/// capacity if that serves clearly more of them.
fn hot_key_move(draft: &Draft<'_>, table: &AssignmentTable, source: usize) -> Option<(Key, usize)> {
    let member = &draft.members[source];
    if !member.limited {
        return None;
    }
    let rate = |key: &Key| draft.rates[usize::from(*key)];
    let held = table.held_by(&member.holder).filter(|s| s.target.is_none());
    let hottest = held
        .flat_map(|s| s.from..=s.to)
        .max_by(|a, b| rate(a).total_cmp(&rate(b)))?;
    if rate(&hottest) <= member.capacity {
        return None;
    }
    let others = (0..draft.members.len()).filter(|&i| i != source && draft.members[i].accepts);
    let capacity = |i: usize| draft.members[i].capacity;
    let target = others.max_by(|&a, &b| capacity(a).total_cmp(&capacity(b)))?;
    (capacity(target) >= HOT_KEY_CAPACITY_RATIO * member.capacity).then_some((hottest, target))
}
