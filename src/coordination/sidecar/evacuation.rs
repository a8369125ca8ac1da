//! Evacuated failure domains.
//!
//! The operator evacuates a failure domain by a key in the store: its backend servers then get no new
//! requests and no keys, until the key is removed. The dispatcher beside a backend server enforces
//! this; ingresses and planners only avoid such servers. `docs/design/evacuation.md` has the reasons.
//!
//! [`EvacuationState`] does no input or output. It is complete up to a revision of the store, and an
//! update of an earlier revision changes nothing, however late it arrives.

mod exchange;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::coordination::sidecar::plan::Member;
use crate::metrics::Metrics;
use crate::protocol::adapter::{Adapter, Event, Item};
use crate::protocol::mesh::{Cause, EvacuatedDomain, EvacuationDigest, EvacuationSet};
use crate::state::clock::{self, Instant};
use crate::state::fingerprint::Fingerprint;
use crate::state::keyspace::Holder;
use crate::state::store_revision::{Era, Revision};

pub use exchange::SentStates;

/// Share of the bound for which a keyed backend server still serves the keys that it holds, while they
/// move: with bounds of 5 s a move takes about 2.2 s, and news of the evacuation less than 2 s.
const KEYED_SHARE: f64 = 0.5;

/// Maximum time for which a process that doesn't know the state refuses requests: nodes without contact
/// to the store and the others for 3 s aren't held to the bound.
pub const START_LIMIT: Duration = Duration::from_secs(3);

/// Maximum age of an event, if the store was heard of that recently: a watch call takes up to 5.9 s.
const MAX_EVENT_AGE: Duration = Duration::from_secs(6);

/// Retry delay, in milliseconds, of a request whose service has no server outside evacuated domains.
pub const EVACUATED_RETRY_MS: u32 = 1000;

/// Evacuated failure domains up to a revision of the store.
#[derive(Debug, Default)]
pub struct EvacuationState {
    /// Revision up to which the set is complete; `None` if nothing is known.
    as_of: Option<Revision>,
    /// Time since which each domain is evacuated; `None` if it is unknown.
    domains: BTreeMap<String, Option<Instant>>,
    /// Time of the last update that wasn't late.
    confirmed: Option<Instant>,
}

impl EvacuationState {
    /// Returns whether the state is known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.as_of.is_some()
    }

    /// Returns the evacuated domains, each with the time since when; `None` if that is unknown.
    #[must_use]
    pub fn domains(&self) -> &BTreeMap<String, Option<Instant>> {
        &self.domains
    }

    /// Returns the summary for load reports; `None` if nothing is known.
    #[must_use]
    pub fn digest(&self) -> Option<EvacuationDigest> {
        let names: Vec<_> = self.domains.keys().map(String::as_str).collect();
        Some(EvacuationDigest {
            as_of: self.as_of?,
            content: match names.as_slice() {
                [] => 0,
                names => Fingerprint::new("", "", &names.join("\n"), &[]).0,
            },
        })
    }

    /// Returns a copy for other nodes; `None` if nothing is known.
    #[must_use]
    pub fn to_set(&self, now: Instant) -> Option<EvacuationSet> {
        let domains = self.domains.iter().map(|(name, since)| EvacuatedDomain {
            name: name.clone(),
            age_ms: since.map(|at| clock::millis(now.since(at))),
        });
        Some(EvacuationSet {
            as_of: self.as_of?,
            domains: domains.collect(),
        })
    }

    /// Applies all evacuated domains, which were read from the store at revision `as_of` or later;
    /// returns false if it is late.
    pub fn apply_snapshot(&mut self, names: &[&str], as_of: Revision, now: Instant) -> bool {
        if self.as_of > Some(as_of) {
            return false;
        }
        // A domain may have been evacuated at any time since the last update.
        let since = self.confirmed;
        self.replace(names.iter().map(|n| ((*n).to_owned(), since)), as_of);
        self.confirmed = Some(now);
        true
    }

    /// Applies the evacuations (true) and their ends (false) of an era, by revision.
    pub fn apply_events(&mut self, events: &[(u64, &str, bool)], era: Era, now: Instant) {
        let Some(as_of) = self.as_of.as_mut().filter(|r| r.era == era) else {
            return;
        };
        let recent = |at: &Instant| now.since(*at) <= MAX_EVENT_AGE;
        let since = match self.confirmed {
            Some(at) if recent(&at) => Some(now),
            earlier => earlier,
        };
        for &(number, name, evacuated) in events {
            if number <= as_of.number {
                continue;
            }
            as_of.number = number;
            if evacuated {
                self.domains.entry(name.to_owned()).or_insert(since);
            } else {
                self.domains.remove(name);
            }
        }
        self.confirmed = Some(now);
    }

    /// Applies the copy of another node; returns false if it is late.
    pub fn apply_remote(&mut self, set: EvacuationSet, now: Instant) -> bool {
        if self.as_of > Some(set.as_of) {
            return false;
        }
        let domains = set.domains.into_iter().map(|d| {
            let since = d.age_ms.map(|ms| now - Duration::from_millis(ms.into()));
            (d.name, since)
        });
        self.replace(domains, set.as_of);
        self.confirmed = Some(now);
        true
    }

    /// Replaces the set. A domain that stays evacuated has been so since the earlier of both times; a
    /// copy of unknown age doesn't make it older.
    fn replace(
        &mut self,
        domains: impl Iterator<Item = (String, Option<Instant>)>,
        as_of: Revision,
    ) {
        let before = std::mem::take(&mut self.domains);
        self.domains = domains
            .map(|(name, since)| {
                let since = match before.get(&name) {
                    Some(known) => known.map(|at| since.map_or(at, |other| at.min(other))),
                    None => since,
                };
                (name, since)
            })
            .collect();
        self.as_of = Some(as_of);
    }

    /// Returns whether another node knows a later state that differs from this one. If it knows the same
    /// one at a later revision, that revision is taken over.
    pub fn is_behind(&mut self, other: EvacuationDigest) -> bool {
        let Some(own) = self.digest() else {
            return true;
        };
        if own.content == other.content {
            self.as_of = Some(own.as_of.max(other.as_of));
            return false;
        }
        own.as_of < other.as_of
    }
}

/// Evacuations as one process knows them, shared by its parts.
#[derive(Debug)]
pub struct Evacuations {
    adapter: Rc<dyn Adapter>,
    /// Failure domain of this node.
    domain: String,
    /// Time after which no request may reach an evacuated backend server; without it there are no
    /// evacuations.
    bound: Option<Duration>,
    started: Instant,
    state: RefCell<EvacuationState>,
    /// Whether event 588 was logged.
    start_ended: Cell<bool>,
    /// Notified when the state has changed.
    pub changed: Notify,
    metrics: Metrics,
}

impl Evacuations {
    /// Creates an unknown state for a node of a failure domain.
    #[must_use]
    pub fn new(
        adapter: Rc<dyn Adapter>,
        domain: &str,
        bound: Option<Duration>,
        metrics: Metrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            adapter,
            domain: domain.to_owned(),
            bound,
            started: Instant::now(),
            state: RefCell::default(),
            start_ended: Cell::new(false),
            changed: Notify::new(),
            metrics,
        })
    }

    /// Returns whether the deployment has evacuations.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.bound.is_some()
    }

    /// Returns the prefix of the store to watch for configurations and evacuations.
    #[must_use]
    pub fn watch_prefix(&self) -> &str {
        match self.bound {
            Some(_) => self.adapter.operator_prefix(),
            None => self.adapter.config_key(),
        }
    }

    /// Returns whether a failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.state.borrow().domains.contains_key(domain)
    }

    /// Returns whether no failure domain is known to be evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.state.borrow().domains.is_empty()
    }

    /// Returns whether the backend servers of a failure domain get no new requests; keyed ones still
    /// do for a share of the bound.
    #[must_use]
    pub fn is_closed(&self, domain: &str, keyed: bool, now: Instant) -> bool {
        let state = self.state.borrow();
        let Some(since) = state.domains.get(domain) else {
            return false;
        };
        let window = self.bound.unwrap_or_default().mul_f64(KEYED_SHARE);
        !keyed || since.is_none_or(|at| now.since(at) >= window)
    }

    /// Checks whether the local backend server may get a request.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Evacuated`] if its domain is evacuated, or that isn't known yet.
    pub fn check_local(&self, keyed: bool, now: Instant) -> Result<(), Cause> {
        let starting = self.is_enabled()
            && !self.state.borrow().is_known()
            && now.since(self.started) < START_LIMIT;
        if starting || self.is_closed(&self.domain, keyed, now) {
            return Err(Cause::Evacuated);
        }
        Ok(())
    }

    /// Lets members in evacuated domains keep and accept nothing; `domain` returns the domain of a node.
    /// Returns the holders concerned.
    pub fn exclude(
        &self,
        members: &mut [Member],
        domain: impl Fn(&str) -> Option<String>,
    ) -> Vec<Holder> {
        let mut excluded = Vec::new();
        if self.is_empty() {
            return excluded;
        }
        for member in members {
            if domain(&member.holder.node).is_some_and(|d| self.is_evacuated(&d)) {
                (member.keeps, member.accepts) = (false, false);
                excluded.push(member.holder.clone());
            }
        }
        excluded
    }

    /// Returns the summary for load reports; `None` if nothing is known.
    #[must_use]
    pub fn digest(&self) -> Option<EvacuationDigest> {
        self.state.borrow().digest()
    }

    /// Returns a copy for other nodes; `None` if nothing is known.
    #[must_use]
    pub fn to_set(&self) -> Option<EvacuationSet> {
        self.state.borrow().to_set(Instant::now())
    }

    /// Returns whether another node knows a later state that differs from this one.
    #[must_use]
    pub fn is_behind(&self, other: Option<EvacuationDigest>) -> bool {
        let other = other.filter(|_| self.is_enabled());
        other.is_some_and(|other| self.state.borrow_mut().is_behind(other))
    }

    /// Applies all items below the watched prefix, which were read at revision `as_of` or later.
    pub fn apply_snapshot(&self, items: &[Item], as_of: Revision) {
        let names = items.iter();
        let names: Vec<_> = names
            .filter_map(|i| self.adapter.decode_evacuation_key(&i.key))
            .collect();
        self.update(|state| {
            state.apply_snapshot(&names, as_of, Instant::now());
        });
    }

    /// Applies changes below the watched prefix.
    pub fn apply_events(&self, events: &[Event], era: Era) {
        let changes = events.iter().filter_map(|event| {
            let (key, revision, evacuated) = match event {
                Event::Put(item) => (&item.key, item.revision, true),
                Event::Removed { key, revision } => (key, *revision, false),
            };
            let name = self.adapter.decode_evacuation_key(key)?;
            Some((revision, name, evacuated))
        });
        let changes: Vec<_> = changes.collect();
        self.update(|state| state.apply_events(&changes, era, Instant::now()));
    }

    /// Applies the copy of another node.
    pub fn apply_remote(&self, set: EvacuationSet) {
        let as_of = set.as_of;
        self.update(|state| {
            let known = state.as_of.unwrap_or_default();
            if !state.apply_remote(set, Instant::now()) {
                tracing::debug!(event = 589, as_of = %as_of, known = %known, "ignored a late copy of the evacuations from a node");
            }
        });
    }

    /// Updates the state, and logs which evacuations began and ended.
    fn update(&self, update: impl FnOnce(&mut EvacuationState)) {
        if !self.is_enabled() {
            return;
        }
        let mut state = self.state.borrow_mut();
        let (known, before) = (state.is_known(), state.domains.clone());
        update(&mut state);
        let as_of = state.as_of.unwrap_or_default();
        let gauge = &self.metrics.evacuated_domains;
        for domain in state.domains.keys().filter(|d| !before.contains_key(*d)) {
            tracing::warn!(event = 585, domain, as_of = %as_of, "a failure domain is evacuated");
            gauge.with_label_values(&[domain]).set(1.0);
        }
        for domain in before.keys().filter(|d| !state.domains.contains_key(*d)) {
            tracing::warn!(event = 586, domain, as_of = %as_of, "the evacuation of a failure domain has ended");
            let _absent = gauge.remove_label_values(&[domain]);
        }
        if !known || !before.keys().eq(state.domains.keys()) {
            self.changed.notify_one();
        }
    }
}
