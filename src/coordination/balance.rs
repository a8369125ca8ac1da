//! Balance: which slices should move, be split or be merged.
//!
//! The plan is a plain function of its input. Slices of lost or draining servers always move.
//! Everything else is optional and counts towards the churn budget: a server gives slices away while
//! it exceeds its fair part by more than the hysteresis, and one that has much less than its fair
//! part, such as one that joins, is filled.
//!
//! A hot key is split off first, because a slice that contains it can't be balanced by moving the
//! slice as a whole. Splits come without optional moves, since the load of the parts is measured
//! only after the split. Cold neighbours are merged when nothing else is to be done.

mod shape;

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::coordination::{packing, placement, weight};
use crate::protocol::peer;
use crate::state::{document, ids, record};

/// Share of its fair part below which a server is filled even if no other is overloaded.
const UNDERUSED: f64 = 0.75;

/// Share of its fair part up to which such a server is filled at least.
const FILLED: f64 = 0.85;

/// Excess of keys, beyond the hysteresis, that is tolerated for the sake of balanced load.
const KEY_EXCESS: f64 = 0.25;

/// Gain of a move in relation to its size that justifies it at equal weights.
const MIN_GAIN: f64 = 0.02;

/// Hysteresis at equal weights of imbalance and of churn and unavailable time.
const HYSTERESIS: f64 = 0.1;

/// Bounds of the hysteresis.
const HYSTERESIS_RANGE: (f64, f64) = (0.05, 0.5);

/// Churn that the move of a single key counts for, in slices; more than its share of the keys,
/// because each move interrupts its requests for a moment.
const LEAST_CHURN: f64 = 0.05;

/// What a plan depends on.
#[derive(Debug, Clone)]
pub struct Input<'a> {
    /// Record of the partition.
    pub record: &'a record::PartitionRecord,
    /// Servers; one that is in the record but not listed here counts as lost.
    pub servers: Vec<Server>,
    /// Weights of the service.
    pub weights: document::Weights,
    /// Share of the slices that may move in a minute, in percent.
    pub churn_budget: f64,
    /// Number of slices that the document asks for.
    pub base_slices: u64,
    /// Starts of the slices that moved within the last minute.
    pub moved: Vec<ids::KeyHash>,
}

/// Server as the plan sees it.
#[derive(Debug, Clone)]
pub struct Server {
    /// Node beside the backend server.
    pub node: ids::NodeRef,
    /// Failure domain of the host.
    pub domain: String,
    /// Whether it can own slices; if not, its last load report still tells their weight.
    pub live: bool,
    /// Whether it must give up its slices.
    pub draining: bool,
    /// Concurrent requests that it runs; its fair part is in proportion.
    pub slots: u32,
    /// Last load report.
    pub load: peer::Load,
}

/// What should change; splits are applied first, then merges, then moves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Starts of new slices, each cut off from the slice that contains it.
    pub splits: Vec<ids::KeyHash>,
    /// Starts of slices that become part of their predecessor.
    pub merges: Vec<ids::KeyHash>,
    /// Changes of owner.
    pub moves: Vec<Move>,
}

/// Change of owner of one slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// First hash of the slice.
    pub start: ids::KeyHash,
    /// Present owner, which may be lost.
    pub from: Option<ids::NodeRef>,
    /// New owner.
    pub to: ids::NodeRef,
}

/// Way to place slices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Ring of virtual nodes; for comparison.
    Consistent,
    /// Rendezvous hashing with bounded loads; for comparison.
    Rendezvous,
    /// Weighted moves, the one in use.
    Weighted,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Consistent, Self::Rendezvous, Self::Weighted];

    /// Returns the name of the policy.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Consistent => "consistent hashing",
            Self::Rendezvous => "rendezvous, bounded",
            Self::Weighted => "weighted moves",
        }
    }

    /// Plans by this policy.
    #[must_use]
    pub fn plan(self, input: &Input<'_>) -> Plan {
        match self {
            Self::Consistent => placement::consistent(input),
            Self::Rendezvous => placement::rendezvous(input),
            Self::Weighted => plan(input),
        }
    }
}

/// Plans weighted moves.
#[must_use]
pub fn plan(input: &Input<'_>) -> Plan {
    let mut state = State::new(input);
    let mut plan = Plan {
        moves: state.evacuate(),
        ..Plan::default()
    };
    plan.splits = state.splits();
    if !plan.splits.is_empty() {
        return plan;
    }
    let budget = state.budget_left(&plan.moves);
    plan.moves.extend(state.rebalance(budget));
    if !plan.moves.is_empty() || !state.packing.is_settled() {
        return plan;
    }
    plan.merges = state.merges();
    if plan.merges.is_empty() {
        plan.moves = state.returns(budget);
    }
    plan
}

/// Applies the splits and merges of a plan.
///
/// Both parts of a split keep owner and version. A merged slice gets the higher version, so that no
/// fencing token of its hashes goes back.
#[must_use]
pub fn reshape(slices: &[record::Slice], plan: &Plan) -> Vec<record::Slice> {
    let mut by_start: BTreeMap<_, _> = slices.iter().map(|s| (s.start, *s)).collect();
    for start in &plan.splits {
        let whole = by_start.range(..=*start).next_back().map(|(_, s)| *s);
        if let Some(whole) = whole {
            let part = record::Slice {
                start: *start,
                ..whole
            };
            by_start.insert(*start, part);
        }
    }
    for start in &plan.merges {
        let Some(gone) = by_start.remove(start) else {
            continue;
        };
        if let Some((_, before)) = by_start.range_mut(..*start).next_back() {
            before.version = before.version.max(gone.version);
        }
    }
    by_start.into_values().collect()
}

/// Slice while a plan is made.
#[derive(Debug, Clone, Copy)]
struct Item {
    part: packing::Part,
    /// Churn that a move counts for, in slices of the width that the document asks for.
    churn: f64,
    /// Position of the server that has the slice, or will have it.
    holder: Option<usize>,
    /// Whether the slice may move for the sake of balance.
    free: bool,
}

/// What starts a move.
#[derive(Debug, Clone, Copy)]
enum Cause {
    /// Server exceeds its fair part.
    Over(usize),
    /// Server has much less than its fair part.
    Under(usize),
}

/// Levels in relation to the fair part that start a move.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// Most load.
    load: f64,
    /// Most keys.
    keys: f64,
    /// Least load or keys.
    fill: f64,
}

struct State<'a> {
    input: &'a Input<'a>,
    items: Vec<Item>,
    packing: packing::Packing,
    hysteresis: f64,
    min_gain: f64,
}

impl<'a> State<'a> {
    fn new(input: &'a Input<'a>) -> Self {
        let w = input.weights;
        let ratio = (w.churn + w.unavailable) / (2.0 * w.imbalance.max(f64::MIN_POSITIVE));
        let (low, high) = HYSTERESIS_RANGE;
        let mut state = Self {
            input,
            items: Vec::new(),
            packing: packing::Packing::new(input),
            hysteresis: (HYSTERESIS * ratio).clamp(low, high),
            min_gain: (MIN_GAIN * ratio).clamp(MIN_GAIN / 4.0, MIN_GAIN * 4.0),
        };
        let moved: HashSet<_> = input.moved.iter().copied().collect();
        for (slice, part) in input.record.slices.iter().zip(weight::parts(input)) {
            let holder = state.holder(slice);
            if let Some(h) = holder {
                state.packing.add(h, part);
            }
            state.items.push(Item {
                part,
                churn: (part.keys / state.base_width()).max(LEAST_CHURN),
                holder,
                free: slice.target.is_none() && !moved.contains(&slice.start),
            });
        }
        state
    }

    fn holder(&self, slice: &record::Slice) -> Option<usize> {
        let find = |node: ids::NodeRef| {
            let position = self.input.servers.iter().position(|s| s.node == node)?;
            self.packing.takes(position).then_some(position)
        };
        slice.target.and_then(find).or(slice.owner.and_then(find))
    }

    /// Places the slices whose holder is lost or draining, the heaviest first.
    fn evacuate(&mut self) -> Vec<Move> {
        let mut homeless: Vec<_> = (0..self.items.len())
            .filter(|i| self.items[*i].holder.is_none())
            .collect();
        let size = |i: &usize| self.packing.size(self.items[*i].part);
        homeless.sort_by(|a, b| size(b).total_cmp(&size(a)));
        let mut moves = Vec::new();
        for i in homeless {
            if let Some(to) = self.packing.cheapest(self.items[i].part) {
                moves.push(self.place(i, to));
            }
        }
        moves
    }

    /// Moves slices away from servers with too much and to servers with too little.
    fn rebalance(&mut self, mut budget: f64) -> Vec<Move> {
        let mut moves = Vec::new();
        let tolerated = self.hysteresis.max(self.packing.noise());
        let mut limits = Limits {
            load: 1.0 + tolerated,
            keys: 1.0 + self.hysteresis + KEY_EXCESS,
            fill: UNDERUSED,
        };
        while let Some(cause) = self.cause(limits) {
            let Some((i, to)) = self.best_move(cause, budget) else {
                match cause {
                    // Rounding can leave a level slightly below 0, which must not start this again.
                    Cause::Under(_) => limits.fill = f64::NEG_INFINITY,
                    Cause::Over(_) => break,
                }
                continue;
            };
            // Once begun, moves go on past the limit, so that they don't start again soon.
            match cause {
                Cause::Over(_) => limits.load = 1.0 + tolerated / 2.0,
                Cause::Under(_) => limits.fill = (1.0 - tolerated).max(FILLED),
            }
            budget -= self.items[i].churn;
            self.items[i].free = false;
            moves.push(self.place(i, to));
        }
        moves
    }

    /// Returns the server that deviates most, if one exceeds the limits.
    fn cause(&self, limits: Limits) -> Option<Cause> {
        let excess = |i: usize| {
            let level = self.packing.level(i);
            (level.load - limits.load).max(level.keys - limits.keys)
        };
        // A server with few keys can be loaded all the same, and one with little load by chance.
        let fill = |i: usize| {
            let level = self.packing.level(i);
            level.load.max(level.keys)
        };
        let takers = || self.packing.takers();
        let least = takers().min_by(|a, b| fill(*a).total_cmp(&fill(*b)))?;
        let most = takers().max_by(|a, b| excess(*a).total_cmp(&excess(*b)))?;
        if fill(least) < limits.fill {
            Some(Cause::Under(least))
        } else if excess(most) > 0.0 {
            Some(Cause::Over(most))
        } else {
            None
        }
    }

    /// Finds the slice and its new owner with the highest gain in relation to its churn.
    fn best_move(&self, cause: Cause, budget: f64) -> Option<(usize, usize)> {
        let mut best = None;
        let mut highest = 0.0;
        for (i, item) in self.items.iter().enumerate() {
            let Some(from) = item.holder.filter(|_| item.free && item.churn <= budget) else {
                continue;
            };
            for to in self.packing.takers() {
                let fits = match cause {
                    Cause::Over(server) => from == server && to != server,
                    Cause::Under(server) => from != server && to == server,
                };
                let gain = self.packing.gain(from, to, item.part);
                let least = self.min_gain * self.packing.size(item.part);
                if fits && gain > least && gain / item.churn > highest {
                    highest = gain / item.churn;
                    best = Some((i, to));
                }
            }
        }
        best
    }

    /// Returns whether a slice stays with its present owner in this plan.
    fn is_settled(&self, index: usize) -> bool {
        let slice = &self.input.record.slices[index];
        let holder = self.items[index].holder.map(|h| self.input.servers[h].node);
        slice.target.is_none() && slice.owner.is_some() && slice.owner == holder
    }

    /// Returns the churn that optional moves may still cause, in slices; moves in progress count.
    fn budget_left(&self, forced: &[Move]) -> f64 {
        let record = self.input.record;
        let moving = record.slices.iter().filter(|s| s.target.is_some());
        let mut spent: BTreeSet<_> = moving.map(|s| s.start).collect();
        spent.extend(&self.input.moved);
        // A slice that moved lately and has to move again counts twice.
        let spent = spent.into_iter().chain(forced.iter().map(|m| m.start));
        let churn = |start| self.items[record.slice_index(start)].churn;
        budget(self.input) - spent.map(churn).sum::<f64>()
    }

    fn place(&mut self, index: usize, to: usize) -> Move {
        let item = &mut self.items[index];
        if let Some(from) = item.holder {
            self.packing.remove(from, item.part);
        }
        self.packing.add(to, item.part);
        item.holder = Some(to);
        Move {
            start: self.input.record.slices[index].start,
            from: self.input.record.slices[index].owner,
            to: self.input.servers[to].node,
        }
    }
}

/// Returns the churn that optional moves may cause in a minute, in slices of the width that the
/// document asks for.
///
/// A budget of less than one slice allows one; otherwise a service with few slices could never fill
/// a server that joins.
#[must_use]
pub fn budget(input: &Input<'_>) -> f64 {
    let percent = input.churn_budget;
    let slices = input.base_slices as f64 * percent / 100.0;
    if percent > 0.0 { slices.max(1.0) } else { 0.0 }
}
