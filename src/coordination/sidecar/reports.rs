//! Timing of load reports to other nodes.
//!
//! A load report matters to nodes that send calls. In a large fleet a node calls few others, mostly in
//! its own failure domain, so only these get every report at once. The rest get a prompt report only
//! for changes that decide whether calls may be sent at all, and other reports at a long interval. A
//! node that starts to send calls gets the next report.

use std::time::Duration;

use crate::protocol::mesh::Load;
use crate::state::clock::Instant;
use crate::transport::sidecar::peer_server::SentLoad;

/// Minimum interval between two reports in a small fleet.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum interval between two reports to an active caller or a node of the same failure domain.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum interval between two reports to any other node.
const MAX_IDLE_INTERVAL: Duration = Duration::from_secs(10);

/// Time after its last call during which a node counts as an active caller.
const ACTIVE_WINDOW: Duration = Duration::from_secs(3);

/// Change of the number of running and queued requests that triggers a report.
const MIN_REQUEST_CHANGE: u32 = 2;

/// Ratio of the present speed of a backend server to the reported one that triggers a report.
const MIN_SPEED_CHANGE: f64 = 1.5;

/// Rise of the failure rate that triggers a report, about that of two failed requests in a row. Without
/// it, all nodes go on sending to a backend server that fails at once for up to `MAX_INTERVAL`, since the
/// number of its requests hardly changes.
const MIN_FAILURE_RISE: f64 = 0.1;

/// Maximum number of nodes of a small fleet. Above it, reports depend on the receiver, and their
/// interval grows with the number of nodes.
const SMALL_FLEET_NODES: usize = 20;

/// Returns whether a fleet is so small that every node gets every report.
#[must_use]
pub fn is_small_fleet(nodes: usize) -> bool {
    nodes <= SMALL_FLEET_NODES
}

/// Returns the minimum interval between two reports in a fleet of `nodes`.
#[must_use]
pub fn min_interval(nodes: usize) -> Duration {
    let factor = u32::try_from(nodes / SMALL_FLEET_NODES).unwrap_or(u32::MAX);
    MIN_INTERVAL.saturating_mul(factor.max(1)).min(MAX_INTERVAL)
}

/// Returns whether a report is due to a node whose last report was `last`, in a fleet of `nodes`.
///
/// Only nodes that watch the store (`is_watcher`) report a new store revision at once. From other nodes
/// it goes with the next report, since no node depends on them for it.
#[must_use]
pub fn is_due(load: &Load, last: &SentLoad, is_watcher: bool, nodes: usize, now: Instant) -> bool {
    let sent = &last.load;
    let active = last
        .last_call
        .is_some_and(|at| now.since(at) < ACTIVE_WINDOW);
    let prompt = is_small_fleet(nodes) || last.same_domain || active;
    let requests = |l: &Load| u32::from(l.running) + u32::from(l.queued);
    let age = now.since(last.sent_at);
    let max_interval = if prompt || is_watcher {
        MAX_INTERVAL
    } else {
        MAX_IDLE_INTERVAL
    };
    let availability = load.health != sent.health || load.stopping != sent.stopping;
    // Nodes request newer state from their own failure domain first.
    let limit = load.limit != sent.limit || load.effective_limit() != sent.effective_limit();
    let slowdown = |l: &Load| if l.slowdown > 0.0 { l.slowdown } else { 1.0 };
    let change = slowdown(load) / slowdown(sent);
    let speed = !(1.0 / MIN_SPEED_CHANGE..=MIN_SPEED_CHANGE).contains(&change);
    let evacuations = |l: &Load| l.evacuations.map(|e| e.content);
    let state = load.config != sent.config
        || load.store_up != sent.store_up
        || evacuations(load) != evacuations(sent);
    let failing = load.failing - sent.failing >= MIN_FAILURE_RISE;
    age >= max_interval
        || availability
        || (prompt && (limit || speed || failing))
        || (prompt && requests(load).abs_diff(requests(sent)) >= MIN_REQUEST_CHANGE)
        || ((prompt || is_watcher) && state)
        || (is_watcher && load.items != sent.items)
}
