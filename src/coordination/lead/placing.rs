//! Placement of slices: joins, losses, drains, finished moves and what balancing asks for.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time;

use crate::coordination::{assignment, balance, lead};
use crate::state::{clock, document, ids, record};

/// Time for which a moved slice counts towards the churn budget.
const CHURN_WINDOW: time::Duration = time::Duration::from_mins(1);

/// Weights for a service that the document does not describe.
const EQUAL: document::Weights = document::Weights {
    imbalance: 1.0,
    churn: 1.0,
    unavailable: 1.0,
};

/// Change that balancing asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Edit {
    /// Let a slice start here.
    Split(ids::KeyHash),
    /// Merge the slice that starts here with the one before.
    Merge(ids::KeyHash),
    /// Move the slice that starts here to a server.
    Move(ids::KeyHash, ids::NodeRef),
}

/// How a service is balanced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Weights of the three measures.
    pub weights: document::Weights,
    /// Share of the slices that may move in a minute, in percent.
    pub churn_budget: f64,
    /// Number of slices that the document asks for.
    pub slices: u64,
}

impl lead::Led {
    pub(super) fn place(
        &mut self,
        new: &mut record::PartitionRecord,
        env: &lead::Env,
        lost: &BTreeSet<ids::NodeRef>,
        now: clock::Instant,
    ) {
        let live = self.live(now);
        self.join(new, env, &live);
        let kept: BTreeSet<_> = new
            .servers
            .iter()
            .map(|s| s.node)
            .filter(|n| !lost.contains(n))
            .collect();
        self.finish_moves(new, &kept);
        let planned = self.evacuations(new, env, lost, now);
        assignment::reassign(new, lost, &live, &planned);
        assignment::cancel_moves(new, &kept);
        assignment::drain_servers(new, &live, &planned);
        assignment::fill_new_servers(new, &live);
        self.edit(new, &live);
        assignment::remove_unused_servers(new, &kept);
    }

    fn join(
        &self,
        new: &mut record::PartitionRecord,
        env: &lead::Env,
        live: &BTreeSet<ids::NodeRef>,
    ) {
        for node in live {
            let Some(report) = self.reports.get(node) else {
                continue;
            };
            let Some(details) = &report.details else {
                continue;
            };
            let server = record::Server {
                node: *node,
                domain: details.domain.clone(),
                draining: report.state.draining || env.drain.contains(&node.addr),
                checks: report.state.checks,
            };
            match new.servers.iter_mut().find(|s| s.node == *node) {
                Some(known) => *known = server,
                None => new.servers.push(server),
            }
        }
    }

    fn finish_moves(&mut self, new: &mut record::PartitionRecord, kept: &BTreeSet<ids::NodeRef>) {
        let record = Arc::clone(self.record());
        self.released.retain(|(start, version)| {
            record
                .slice_at(*start)
                .is_some_and(|s| s.start == *start && s.version == *version && s.target.is_some())
        });
        for (start, _) in &self.released {
            let index = new.slice_index(*start);
            let slice = new.slices[index];
            // Without a usable target the owner gets the slice back under a new version.
            let next = slice.target.filter(|t| kept.contains(t)).or(slice.owner);
            if let Some(next) = next {
                new.assign(index, next);
            }
        }
    }

    fn edit(&mut self, new: &mut record::PartitionRecord, live: &BTreeSet<ids::NodeRef>) {
        for edit in std::mem::take(&mut self.requested) {
            match edit {
                Edit::Split(at) => {
                    new.split(at);
                }
                Edit::Merge(start) => {
                    let index = new.slice_index(start);
                    if new.slices[index].start == start && index > 0 {
                        new.merge(index - 1);
                    }
                }
                Edit::Move(start, to) => {
                    let index = new.slice_index(start);
                    let slice = &mut new.slices[index];
                    let fits = slice.start == start && slice.owner.is_some_and(|o| o != to);
                    if fits && slice.target.is_none() && live.contains(&to) {
                        slice.target = Some(to);
                    }
                }
            }
        }
    }

    /// Asks for changes; they replace those that are still waiting.
    pub fn request(&mut self, edits: Vec<Edit>) {
        self.requested = edits;
    }

    /// Plans the changes that balance asks for, if nothing else is under way.
    pub fn rebalance(&mut self, env: &lead::Env) {
        let now = clock::Instant::now();
        if self.pending.is_some() || !self.authority(now) {
            return;
        }
        let record = Arc::clone(self.record());
        let lost = self.lost(now);
        let plan = balance::plan(&self.input(&record, env, &lost, now));
        let splits = plan.splits.into_iter().map(Edit::Split);
        let merges = plan.merges.into_iter().map(Edit::Merge);
        let moves = plan
            .moves
            .into_iter()
            .filter(|m| m.from.is_some_and(|f| !lost.contains(&f)));
        let moves = moves.map(|m| Edit::Move(m.start, m.to));
        self.request(splits.chain(merges).chain(moves).collect());
    }

    /// Plans where the slices of lost and draining servers go.
    fn evacuations(
        &self,
        record: &record::PartitionRecord,
        env: &lead::Env,
        lost: &BTreeSet<ids::NodeRef>,
        now: clock::Instant,
    ) -> BTreeMap<ids::KeyHash, ids::NodeRef> {
        let leaves = |s: &record::Slice| {
            let owner = s.owner.and_then(|o| record.server(o));
            s.target.is_none() && owner.is_none_or(|o| o.draining || lost.contains(&o.node))
        };
        if !record.slices.iter().any(leaves) {
            return BTreeMap::new();
        }
        let plan = balance::plan(&self.input(record, env, lost, now));
        plan.moves.into_iter().map(|m| (m.start, m.to)).collect()
    }

    fn input<'a>(
        &self,
        record: &'a record::PartitionRecord,
        env: &lead::Env,
        lost: &BTreeSet<ids::NodeRef>,
        now: clock::Instant,
    ) -> balance::Input<'a> {
        let live = self.live(now);
        let servers = record.servers.iter().map(|s| {
            let report = self.reports.get(&s.node);
            balance::Server {
                node: s.node,
                domain: s.domain.clone(),
                live: live.contains(&s.node) && !lost.contains(&s.node),
                draining: s.draining,
                slots: report.map_or(1, |r| r.state.slots),
                load: report
                    .and_then(|r| r.details.as_ref())
                    .map(|d| d.load.clone())
                    .unwrap_or_default(),
            }
        });
        let policy = env.policy;
        balance::Input {
            record,
            servers: servers.collect(),
            weights: policy.map_or(EQUAL, |p| p.weights),
            churn_budget: policy.map_or(0.0, |p| p.churn_budget),
            base_slices: policy.map_or(record.slices.len() as u64, |p| p.slices),
            moved: self
                .moved
                .iter()
                .filter(|(at, _)| now.since(*at) < CHURN_WINDOW)
                .map(|(_, start)| *start)
                .collect(),
        }
    }

    /// Notes which slices get another owner with a new record.
    pub(super) fn note_moves(&mut self, new: &record::PartitionRecord) {
        let now = clock::Instant::now();
        self.moved.retain(|(at, _)| now.since(*at) < CHURN_WINDOW);
        let old = Arc::clone(self.record());
        for slice in &new.slices {
            let before = old.slice_at(slice.start).and_then(|s| s.owner);
            if before != slice.owner {
                self.moved.push((now, slice.start));
            }
        }
    }
}
