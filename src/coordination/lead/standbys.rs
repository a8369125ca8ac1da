//! Choice of the standbys of a partition (R3).

use std::collections::{BTreeSet, HashMap};
use std::time;

use crate::coordination::lead;
use crate::state::{clock, ids};

/// Number of standbys.
const STANDBYS: usize = 2;

/// Time after adoption in which a standby that has not promised yet is kept.
const FIRST_PROMISE: time::Duration = time::Duration::from_millis(300);

/// Time for which a candidate that did not promise is passed over.
const PASSED_OVER: time::Duration = time::Duration::from_secs(2);

/// Node that may become a standby.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Node.
    pub node: ids::NodeRef,
    /// Failure domain.
    pub domain: String,
}

impl lead::Led {
    /// Returns the nodes to ask for a promise.
    #[must_use]
    pub fn asked(&self, env: &lead::Env, now: clock::Instant) -> BTreeSet<ids::NodeRef> {
        let usable = |n: ids::NodeRef| {
            !self.gone.contains(&n)
                && self
                    .failed
                    .get(&n)
                    .is_none_or(|at| now.since(*at) > PASSED_OVER)
        };
        let mut asked: BTreeSet<_> = self.choose(env, usable).into_iter().collect();
        asked.extend(self.needed());
        asked
    }

    /// Returns the standbys that the next record is to name.
    pub(super) fn standbys(&self, env: &lead::Env, now: clock::Instant) -> Vec<ids::NodeRef> {
        let current = &self.record().standbys;
        let usable = |n: ids::NodeRef| {
            let early = now.since(self.adopted) < FIRST_PROMISE && current.contains(&n);
            !self.gone.contains(&n) && (self.promised(n, now) || early)
        };
        let mut chosen = self.choose(env, usable);
        // Standbys that may be alive but can't be reached must stay able to succeed: a coordinator
        // that struck them off would be cut off together with the partition for good.
        let may_claim = current.iter().any(|n| !self.gone.contains(n));
        if chosen.is_empty() && may_claim {
            return current.clone();
        }
        // An equal set in another order is no change.
        if chosen.len() == current.len() && chosen.iter().all(|n| current.contains(n)) {
            chosen.clone_from(current);
        }
        chosen
    }

    /// Chooses standbys in as many failure domains as possible, current ones first.
    fn choose(&self, env: &lead::Env, usable: impl Fn(ids::NodeRef) -> bool) -> Vec<ids::NodeRef> {
        let record = self.record();
        let mut pool: Vec<_> = self.pool(env);
        pool.retain(|c| c.node.addr != self.me.addr && usable(c.node));
        let mut domains = vec![env.domain.clone()];
        let mut chosen = Vec::new();
        while chosen.len() < STANDBYS && !pool.is_empty() {
            let best = (0..pool.len()).min_by_key(|i| {
                let c = &pool[*i];
                let shared = domains.contains(&c.domain);
                (shared, !record.standbys.contains(&c.node), c.node)
            });
            let best = pool.swap_remove(best.unwrap_or_default());
            domains.push(best.domain);
            chosen.push(best.node);
        }
        chosen
    }

    fn pool(&self, env: &lead::Env) -> Vec<Candidate> {
        let record = self.record();
        let mut pool = env.candidates.clone();
        let servers = record.servers.iter().filter(|s| !s.draining);
        let servers = servers.map(|s| Candidate {
            node: s.node,
            domain: s.domain.clone(),
        });
        pool.extend(servers);
        pool.extend(record.standbys.iter().map(|s| Candidate {
            node: *s,
            domain: String::new(),
        }));
        let mut seen = BTreeSet::new();
        pool.retain(|c| seen.insert(c.node));
        // Of several incarnations at an address only the newest can be alive.
        let newest = pool.iter().fold(HashMap::new(), |mut newest, c| {
            let known = newest.entry(c.node.addr).or_insert(c.node.incarnation);
            *known = c.node.incarnation.max(*known);
            newest
        });
        pool.retain(|c| newest.get(&c.node.addr) == Some(&c.node.incarnation));
        pool
    }
}
