//! Server selection for requests that any server of a service may run.
//!
//! Uses the power of two choices: of two random servers the one with the lower cost is chosen, by
//! requests in flight and latency. New servers are ramped up by a slow start. A server with
//! consecutive failures is ejected for a time that doubles with each ejection; health endpoints are
//! not queried. At most half of the servers are ejected, because a fault common to most of them is
//! unlikely to be their own.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time;

use rand::seq::IndexedRandom;

use crate::state::{clock, ids};

/// Consecutive failures after which a server is ejected.
const MAX_FAILURES: u32 = 3;

/// Duration of the first ejection.
const BASE_EJECTION: time::Duration = time::Duration::from_secs(1);

/// Number of ejections after which the duration no longer doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Time over which the share of a new server grows to its full size.
const SLOW_START: time::Duration = time::Duration::from_secs(3);

/// Initial share of a new server.
const INITIAL_SHARE: f64 = 0.1;

/// Latency in seconds that is assumed before the first answer.
const INITIAL_LATENCY: f64 = 0.010;

/// Weight of a new sample in the mean latency.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Half-life of the latency of a server that gets no requests. Without the decay, a server that was
/// slow once would never be chosen again to show that it has recovered.
const LATENCY_HALF_LIFE: time::Duration = time::Duration::from_secs(1);

/// Time after which a server that is no longer a candidate is forgotten.
const RETENTION: time::Duration = time::Duration::from_mins(2);

/// Selects servers and tracks their load and failures.
#[derive(Debug, Default)]
pub struct ServerSelector {
    servers: Mutex<HashMap<ids::NodeRef, Server>>,
}

#[derive(Debug, Clone, Copy)]
struct Server {
    last_seen: clock::Instant,
    first_seen: clock::Instant,
    outstanding: u32,
    reported: u32,
    latency: f64,
    last_sample: clock::Instant,
    failures: u32,
    ejections: u32,
    ejected_until: clock::Instant,
}

impl Server {
    const fn new(now: clock::Instant) -> Self {
        Self {
            last_seen: now,
            first_seen: now,
            outstanding: 0,
            reported: 0,
            latency: INITIAL_LATENCY,
            last_sample: now,
            failures: 0,
            ejections: 0,
            ejected_until: now,
        }
    }

    fn is_ejected(&self, now: clock::Instant) -> bool {
        self.ejected_until > now
    }

    /// Returns the mean latency in seconds, which decays while there are no samples.
    fn decayed_latency(&self, now: clock::Instant) -> f64 {
        let idle = now.since(self.last_sample).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        self.latency * (-idle).exp2()
    }

    /// Returns the expected cost of one more request. The slow start raises the cost of a new server.
    fn cost(&self, now: clock::Instant) -> f64 {
        let in_flight = f64::from(self.outstanding.max(self.reported)) + 1.0;
        let age = now.since(self.first_seen).as_secs_f64() / SLOW_START.as_secs_f64();
        in_flight * self.decayed_latency(now) / age.clamp(INITIAL_SHARE, 1.0)
    }
}

/// Result of a request, as far as it matters for later selections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// The server answered.
    Answered,
    /// The server refused the request or it was cancelled, which does not indicate a fault.
    Refused,
    /// The server failed.
    Failed,
}

impl ServerSelector {
    /// Selects a server for one request; [`ServerSelector::record_result`] must follow.
    #[must_use]
    pub fn select(&self, candidates: &[ids::NodeRef], now: clock::Instant) -> Option<ids::NodeRef> {
        let mut servers = self.lock();
        for node in candidates {
            let server = servers.entry(*node).or_insert_with(|| Server::new(now));
            server.last_seen = now;
        }
        servers.retain(|_, s| s.outstanding > 0 || now.since(s.last_seen) < RETENTION);
        let healthy: Vec<_> = candidates
            .iter()
            .filter(|n| servers.get(n).is_some_and(|s| !s.is_ejected(now)))
            .copied()
            .collect();
        // After servers have left, more than half of the others may be ejected.
        let eligible = if healthy.len() * 2 < candidates.len() {
            candidates
        } else {
            &healthy
        };
        let cost = |n: &ids::NodeRef| servers.get(n).map_or(f64::INFINITY, |s| s.cost(now));
        let selected = eligible
            .choose_multiple(&mut rand::rng(), 2)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .copied()?;
        if let Some(server) = servers.get_mut(&selected) {
            server.outstanding += 1;
        }
        Some(selected)
    }

    /// Records the result of a request and the number of requests in flight that the server reported.
    pub fn record_result(
        &self,
        node: ids::NodeRef,
        result: RequestResult,
        latency: time::Duration,
        in_flight: Option<u32>,
        candidates: &[ids::NodeRef],
        now: clock::Instant,
    ) {
        let mut servers = self.lock();
        let may_eject = may_eject(&servers, candidates, now);
        let Some(server) = servers.get_mut(&node) else {
            return;
        };
        server.outstanding = server.outstanding.saturating_sub(1);
        if let Some(in_flight) = in_flight {
            server.reported = in_flight;
        }
        match result {
            RequestResult::Answered => {
                server.latency += (latency.as_secs_f64() - server.latency) * SAMPLE_WEIGHT;
                server.last_sample = now;
                server.failures = 0;
                server.ejections = 0;
            }
            RequestResult::Refused => {}
            RequestResult::Failed => {
                server.failures += 1;
                if server.failures >= MAX_FAILURES && may_eject && !server.is_ejected(now) {
                    server.eject(node, now);
                }
            }
        }
    }

    /// Returns the number of ejected candidates.
    #[must_use]
    pub fn ejected(&self, candidates: &[ids::NodeRef], now: clock::Instant) -> usize {
        ejected(&self.lock(), candidates, now)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ids::NodeRef, Server>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Server {
    fn eject(&mut self, node: ids::NodeRef, now: clock::Instant) {
        let duration = BASE_EJECTION * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejected_until = now + duration;
        self.ejections += 1;
        // After the ejection a single failure leads to the next one.
        self.failures = MAX_FAILURES - 1;
        tracing::warn!(event = 520, server = %node, seconds = duration.as_secs(), "server ejected after consecutive failures");
    }
}

fn ejected(
    servers: &HashMap<ids::NodeRef, Server>,
    candidates: &[ids::NodeRef],
    now: clock::Instant,
) -> usize {
    candidates
        .iter()
        .filter(|n| servers.get(n).is_some_and(|s| s.is_ejected(now)))
        .count()
}

fn may_eject(
    servers: &HashMap<ids::NodeRef, Server>,
    candidates: &[ids::NodeRef],
    now: clock::Instant,
) -> bool {
    (ejected(servers, candidates, now) + 1) * 2 <= candidates.len()
}
