//! Requests to other nodes for state that is newer than this node's own.
//!
//! For each kind of state at most one request is outstanding: a response can use a slow link's whole
//! bandwidth for a while, and a second copy would only delay the first. The node that it is sent to is
//! picked at random, so that the first nodes with a new state don't serve the whole fleet. One that has
//! gone silent isn't waited for.

use std::time::Duration;

use crate::state::clock::Instant;

/// Timeout of the first request, after which the request is sent to another node; doubles with each
/// failure up to `MAX_TIMEOUT`.
const FIRST_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum timeout of a request.
const MAX_TIMEOUT: Duration = Duration::from_millis(2800);

/// Number of failed requests after which the store is read.
const FAILURES_BEFORE_READ: u32 = 2;

/// Connected node that has reported newer state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source<'a> {
    /// Address of the node.
    pub node: &'a str,
    /// Whether it is in the failure domain of this node.
    pub same_domain: bool,
    /// Whether it isn't silent.
    pub responsive: bool,
}

/// Next action of a catch-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action<'a> {
    /// The state is up to date, or a response is pending.
    Wait,
    /// Request the state from this node.
    Request(&'a str),
    /// Read the store, since other nodes don't respond.
    ReadStore,
}

/// Catch-up with other nodes for one kind of state, whose versions have type `V`.
#[derive(Debug)]
pub struct CatchUp<V> {
    max_delay: Duration,
    due: Option<Instant>,
    request: Option<OutstandingRequest<V>>,
    failures: u32,
}

/// Outstanding request.
#[derive(Debug)]
struct OutstandingRequest<V> {
    node: String,
    sent_at: Instant,
    /// Revision or version of this node when the request was sent.
    known: V,
}

impl<V: Copy + Ord> CatchUp<V> {
    /// Creates a catch-up without a request. The first request after a change is delayed by a random
    /// part of `max_delay`, so that more nodes have the new state by then and can respond.
    #[must_use]
    pub fn new(max_delay: Duration) -> Self {
        Self {
            max_delay,
            due: None,
            request: None,
            failures: 0,
        }
    }

    /// Returns what to do next. `known` is the newest revision or version of this node, `sources` are
    /// the connected nodes with a newer one, and `random` is a number from 0 to 1 that picks the delay
    /// and the source.
    pub fn next_action<'a>(
        &mut self,
        known: V,
        sources: &[Source<'a>],
        now: Instant,
        random: f64,
    ) -> Action<'a> {
        if sources.is_empty() {
            *self = Self::new(self.max_delay);
            return Action::Wait;
        }
        if self.request.as_ref().is_some_and(|r| r.known < known) {
            // The response has arrived; the sources have newer state again.
            self.request = None;
            self.failures = 0;
        }
        let due = *self.due.get_or_insert(now + self.max_delay.mul_f64(random));
        if now < due {
            return Action::Wait;
        }
        let failed_node = match &self.request {
            Some(OutstandingRequest { node, sent_at, .. }) => {
                let waits = sources.iter().any(|s| s.node == node && s.responsive);
                let timeout = FIRST_TIMEOUT * (1 << self.failures.min(2));
                if waits && now.since(*sent_at) < timeout.min(MAX_TIMEOUT) {
                    return Action::Wait;
                }
                self.failures += 1;
                self.request.take().map(|r| r.node)
            }
            None => None,
        };
        let all_silent = sources.iter().all(|s| !s.responsive);
        let failed = failed_node.is_some() && self.failures.is_multiple_of(FAILURES_BEFORE_READ);
        if all_silent || failed {
            self.due = Some(now + FIRST_TIMEOUT);
            return Action::ReadStore;
        }
        let responsive = || sources.iter().filter(|s| s.responsive);
        let is_only = responsive().count() == 1;
        let other = |s: &&Source<'_>| Some(s.node) != failed_node.as_deref() || is_only;
        let mut candidates: Vec<_> = responsive().filter(other).collect();
        if candidates.iter().any(|s| s.same_domain) {
            candidates.retain(|s| s.same_domain);
        }
        let position = random * candidates.len() as f64;
        let index = (1..candidates.len())
            .filter(|&i| position >= i as f64)
            .count();
        let source = candidates[index];
        self.request = Some(OutstandingRequest {
            node: source.node.to_owned(),
            sent_at: now,
            known,
        });
        Action::Request(source.node)
    }
}
