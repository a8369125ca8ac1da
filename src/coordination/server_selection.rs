//! Choice of a server for requests that any server of a service may run.
//!
//! Of two servers drawn at random the less loaded one is taken, by requests in flight and latency.
//! A server that has just appeared gets its share slowly. A server whose requests fail in a row is
//! ejected for a time that doubles with each ejection; health endpoints are not asked. At most half
//! of the servers are ejected and never all, because a fault that all share is not theirs.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time;

use rand::seq::IndexedRandom;

use crate::state::{clock, ids};

/// Failures in a row after which a server is ejected.
const MAX_FAILURES: u32 = 3;

/// Length of the first ejection.
const FIRST_EJECTION: time::Duration = time::Duration::from_secs(1);

/// Ejections after which the length no longer doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Time over which a new server's share grows to its full size.
const SLOW_START: time::Duration = time::Duration::from_secs(3);

/// Smallest share of a new server.
const FIRST_SHARE: f64 = 0.1;

/// Latency that is assumed before the first answer, in seconds.
const FIRST_LATENCY: f64 = 0.010;

/// Weight of a new sample in the mean latency.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Time after which the latency of a server that gets no requests counts half. Without it a server
/// that was slow once would never be drawn again to show that it has recovered.
const STALE_HALF_LIFE: time::Duration = time::Duration::from_secs(1);

/// Time after which a server that was not offered is forgotten.
const FORGET: time::Duration = time::Duration::from_mins(2);

/// What the entry knows about the servers of unkeyed services.
#[derive(Debug, Default)]
pub struct ServerSelector {
    servers: Mutex<HashMap<ids::NodeRef, Server>>,
}

#[derive(Debug, Clone, Copy)]
struct Server {
    seen: clock::Instant,
    first: clock::Instant,
    here: u32,
    reported: u32,
    latency: f64,
    sampled: clock::Instant,
    failures: u32,
    ejections: u32,
    ejected_until: clock::Instant,
}

impl Server {
    const fn new(now: clock::Instant) -> Self {
        Self {
            seen: now,
            first: now,
            here: 0,
            reported: 0,
            latency: FIRST_LATENCY,
            sampled: now,
            failures: 0,
            ejections: 0,
            ejected_until: now,
        }
    }

    fn is_ejected(&self, now: clock::Instant) -> bool {
        self.ejected_until > now
    }

    /// Expected latency, lower the longer none was measured.
    fn expected(&self, now: clock::Instant) -> f64 {
        let idle = now.since(self.sampled).as_secs_f64() / STALE_HALF_LIFE.as_secs_f64();
        self.latency * (-idle).exp2()
    }

    /// Expected cost of one more request; a new server looks more loaded than it is.
    fn cost(&self, now: clock::Instant) -> f64 {
        let in_flight = f64::from(self.here.max(self.reported)) + 1.0;
        let age = now.since(self.first).as_secs_f64() / SLOW_START.as_secs_f64();
        in_flight * self.expected(now) / age.clamp(FIRST_SHARE, 1.0)
    }
}

/// How a request ended, for the choice of later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// The server answered.
    Answered,
    /// The server refused because of its load, which says nothing against its health.
    Refused,
    /// The server failed.
    Failed,
}

impl ServerSelector {
    /// Chooses a server for one request; `finish` must follow.
    #[must_use]
    pub fn select(&self, offered: &[ids::NodeRef], now: clock::Instant) -> Option<ids::NodeRef> {
        let mut servers = self.lock();
        for node in offered {
            let server = servers.entry(*node).or_insert_with(|| Server::new(now));
            server.seen = now;
        }
        servers.retain(|_, s| s.here > 0 || now.since(s.seen) < FORGET);
        let healthy: Vec<_> = offered
            .iter()
            .filter(|n| servers.get(n).is_some_and(|s| !s.is_ejected(now)))
            .copied()
            .collect();
        // Members that left may have tipped the share of ejected ones over the half.
        let choice = if healthy.len() * 2 < offered.len() {
            offered
        } else {
            &healthy
        };
        let cost = |n: &ids::NodeRef| servers.get(n).map_or(f64::INFINITY, |s| s.cost(now));
        let picked = choice
            .choose_multiple(&mut rand::rng(), 2)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .copied()?;
        if let Some(server) = servers.get_mut(&picked) {
            server.here += 1;
        }
        Some(picked)
    }

    /// Notes how a request ended at a server, and the load that the server reported.
    pub fn record_result(
        &self,
        node: ids::NodeRef,
        result: RequestResult,
        latency: time::Duration,
        in_flight: Option<u32>,
        offered: &[ids::NodeRef],
        now: clock::Instant,
    ) {
        let mut servers = self.lock();
        let may_eject = may_eject(&servers, offered, now);
        let Some(server) = servers.get_mut(&node) else {
            return;
        };
        server.here = server.here.saturating_sub(1);
        if let Some(in_flight) = in_flight {
            server.reported = in_flight;
        }
        match result {
            RequestResult::Answered => {
                server.latency += (latency.as_secs_f64() - server.latency) * SAMPLE_WEIGHT;
                server.sampled = now;
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

    /// Returns how many of the offered servers are ejected.
    #[must_use]
    pub fn ejected(&self, offered: &[ids::NodeRef], now: clock::Instant) -> usize {
        ejected(&self.lock(), offered, now)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ids::NodeRef, Server>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Server {
    fn eject(&mut self, node: ids::NodeRef, now: clock::Instant) {
        let length = FIRST_EJECTION * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejected_until = now + length;
        self.ejections += 1;
        // One further failure after the ejection is enough for the next one.
        self.failures = MAX_FAILURES - 1;
        tracing::warn!(event = 520, server = %node, seconds = length.as_secs(), "server fails in a row, leaving it out");
    }
}

fn ejected(
    servers: &HashMap<ids::NodeRef, Server>,
    offered: &[ids::NodeRef],
    now: clock::Instant,
) -> usize {
    offered
        .iter()
        .filter(|n| servers.get(n).is_some_and(|s| s.is_ejected(now)))
        .count()
}

fn may_eject(
    servers: &HashMap<ids::NodeRef, Server>,
    offered: &[ids::NodeRef],
    now: clock::Instant,
) -> bool {
    (ejected(servers, offered, now) + 1) * 2 <= offered.len()
}
