//! Plan of the changes of ownership of one service.
//!
//! A backend server should carry load in proportion to what it can do. Ranges without a holder are
//! dealt out first, those of a leaving backend server next; then one that carries much more than
//! its share gives the excess away, the busiest key excepted if it alone is too much. Every move
//! leaves its keys unserved for about a heartbeat, so small differences stay.

use std::collections::{HashMap, HashSet};

use crate::state::keyspace;
use crate::state::keyspace::{AssignmentTable, KEY_COUNT, Key, Slice};

/// Load over the fair share from which a backend server gives keys away.
const TOLERATED: f64 = 1.25;

/// Load of a backend server, in utilization of its slots, below which balance doesn't matter.
const IDLE: f64 = 0.65;

/// Standard deviations of a measured load by which it must exceed the share.
const CERTAINTY: f64 = 2.0;

/// Time over which loads are measured, in seconds.
const MEASURED_S: f64 = 4.0;

/// Share of the load that is spread evenly over all keys, so that cold keys count too.
const EVEN_SHARE: f64 = 0.15;

/// Part of the wanted load that a move must carry.
const LEAST_MOVE: f64 = 0.2;

/// Most slices in a table; a heartbeat's answer has room for about 100 of one holder.
const MAX_SLICES: usize = 400;

/// Fewest moves that may be under way at the same time.
const MOVES: usize = 2;

/// Members for each further move that may be under way.
const MEMBERS_PER_MOVE: usize = 4;

/// Backend server that may hold keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Backend server.
    pub holder: keyspace::Holder,
    /// Requests a second that it can run.
    pub capacity: f64,
    /// Whether it takes further keys.
    pub accepts: bool,
    /// Whether it keeps the keys that it has.
    pub keeps: bool,
}

/// Change of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Gives a range without a holder to a backend server.
    Assign(Key, Key, keyspace::Holder),
    /// Moves a range from its holder to another one.
    Move(Key, Key, keyspace::Holder, keyspace::Holder),
}

impl Change {
    /// Makes the change.
    pub fn apply(&self, table: &mut AssignmentTable) {
        match self {
            Self::Assign(from, to, holder) => table.assign(*from, *to, holder),
            Self::Move(from, to, source, target) => table.plan_move(*from, *to, source, target),
        }
    }
}

/// State of a plan while it is made.
struct Draft<'a> {
    members: &'a [Member],
    rates: Vec<f64>,
    /// Load that each member has or is to get, in requests a second.
    loads: Vec<f64>,
    total: f64,
    capacity: f64,
    changes: Vec<Change>,
}

impl Draft<'_> {
    fn load(&self, from: Key, to: Key) -> f64 {
        self.rates[usize::from(from)..=usize::from(to)].iter().sum()
    }

    fn share(&self, member: usize) -> f64 {
        if self.capacity > 0.0 {
            self.total * self.members[member].capacity / self.capacity
        } else {
            0.0
        }
    }

    /// Returns the accepting member with the most room, relative to its capacity.
    fn roomiest(&self, except: Option<usize>) -> Option<usize> {
        let open = |&i: &usize| self.members[i].accepts && Some(i) != except;
        let room = |i: usize| self.loads[i] / self.members[i].capacity.max(1e-9);
        let all = (0..self.members.len()).filter(open);
        all.min_by(|&a, &b| room(a).total_cmp(&room(b)))
    }

    /// Returns the last key of the longest prefix of a range with at most `load`; at least one key.
    fn prefix(&self, from: Key, to: Key, load: f64) -> Key {
        let mut sum = 0.0;
        for key in from..=to {
            sum += self.rates[usize::from(key)];
            if sum > load {
                return key.saturating_sub(1).max(from);
            }
        }
        to
    }

    /// Deals a range out, piece by piece.
    fn deal(&mut self, slice: &Slice, source: Option<usize>, pieces: &mut usize) {
        let mut from = slice.from;
        loop {
            let Some(to) = self.roomiest(source) else {
                return;
            };
            let room = self.share(to) - self.loads[to];
            let end = match *pieces {
                0 => slice.to,
                _ => self.prefix(from, slice.to, room.max(0.0)),
            };
            // A remainder that is hardly a piece of its own goes along.
            let rest = end < slice.to && self.load(end + 1, slice.to) < 0.02 * self.total;
            let end = if rest { slice.to } else { end };
            *pieces = pieces.saturating_sub(1);
            self.give(from, end, source, to);
            match end.checked_add(1) {
                Some(next) if next <= slice.to => from = next,
                _ => return,
            }
        }
    }

    fn give(&mut self, from: Key, to: Key, source: Option<usize>, target: usize) {
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

    /// Returns a run of keys of `slices` whose load is close to `wanted`, without a key above it.
    fn excess(&self, slices: &[&Slice], wanted: f64) -> Option<(Key, Key, f64)> {
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
/// `rates` holds the requests a second of each key. The caller makes sure that what members hold
/// who are not listed is left alone.
#[must_use]
pub fn plan(table: &AssignmentTable, members: &[Member], rates: &[f32]) -> Vec<Change> {
    let seen: f64 = rates.iter().map(|&r| f64::from(r)).sum();
    let even = (EVEN_SHARE * seen).max(1.0) / KEY_COUNT as f64;
    let capacity: f64 = members
        .iter()
        .filter(|m| m.accepts)
        .map(|m| m.capacity)
        .sum();
    let mut planner = Draft {
        members,
        rates: rates.iter().map(|&r| f64::from(r) + even).collect(),
        loads: vec![0.0; members.len()],
        total: 0.0,
        capacity,
        changes: Vec::new(),
    };
    let index: HashMap<_, _> = members
        .iter()
        .enumerate()
        .map(|(i, m)| (&m.holder, i))
        .collect();
    planner.total = planner.rates.iter().sum();
    for s in &table.slices {
        let future = s.target.as_ref().or(s.holder.as_ref());
        if let Some(&i) = future.and_then(|h| index.get(h)) {
            planner.loads[i] += planner.load(s.from, s.to);
        }
    }
    let mut pieces = MAX_SLICES.saturating_sub(table.slices.len());
    let free = table.slices.iter().filter(|s| s.holder.is_none());
    for s in free {
        planner.deal(s, None, &mut pieces);
    }
    let moving = table.slices.iter().filter(|s| s.target.is_some()).count();
    for s in table.slices.iter().filter(|s| s.target.is_none()) {
        let source = s.holder.as_ref().and_then(|h| index.get(h).copied());
        if let Some(i) = source.filter(|&i| !members[i].keeps) {
            planner.deal(s, Some(i), &mut pieces);
        }
    }
    if planner.changes.is_empty() && pieces > MOVES {
        let most = MOVES.max(members.len() / MEMBERS_PER_MOVE);
        let mut sources = HashSet::new();
        for _ in moving..most {
            match balance(&mut planner, table, &sources) {
                Some(source) => sources.insert(source),
                None => break,
            };
        }
    }
    planner.changes
}

/// Moves excess load from the backend server that carries the most over its share, and returns it.
fn balance(
    planner: &mut Draft<'_>,
    table: &AssignmentTable,
    done: &HashSet<usize>,
) -> Option<usize> {
    let over = |p: &Draft<'_>, i: usize| p.loads[i] / p.share(i).max(1e-9);
    let open = (0..planner.members.len()).filter(|i| !done.contains(i));
    let source = open.max_by(|&a, &b| over(planner, a).total_cmp(&over(planner, b)))?;
    let target = planner.roomiest(Some(source))?;
    let member = &planner.members[source];
    let busy = planner.loads[source] / member.capacity.max(1e-9);
    let future = |s: &Slice| s.target.clone().or_else(|| s.holder.clone());
    let receiver = Some(&planner.members[target].holder);
    let newcomer = !table.slices.iter().any(|s| future(s).as_ref() == receiver)
        && planner.loads[target] == 0.0;
    let noise = CERTAINTY * (planner.loads[source] / MEASURED_S).sqrt();
    let excess = planner.loads[source] - planner.share(source);
    let uneven = over(planner, source) >= TOLERATED && excess > noise && busy >= IDLE;
    if !uneven && !newcomer {
        return None;
    }
    let wanted = excess.min(planner.share(target) - planner.loads[target]);
    if wanted <= 0.0 {
        return None;
    }
    let held = table.held_by(&member.holder).filter(|s| s.target.is_none());
    let slices: Vec<_> = held.collect();
    let (from, to, load) = planner.excess(&slices, wanted)?;
    if load <= LEAST_MOVE * wanted {
        return None;
    }
    planner.give(from, to, Some(source), target);
    Some(source)
}
