//! Budget for sending a request to a second backend server.
//!
//! The platform bounds the repeats of all nodes together within a window. Each node keeps to a part
//! of the ratio on its own requests, and to its part of the fixed allowance, so that no agreement
//! between nodes is needed.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::sidecar_settings;

/// Bounds for the repeats of all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, in a window.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

impl From<sidecar_settings::Bounds> for RetryLimits {
    fn from(bounds: sidecar_settings::Bounds) -> Self {
        Self {
            ratio: bounds.retry_ratio,
            allowance: bounds.retry_slack,
            window: bounds.retry_window,
        }
    }
}

/// Part of the bounds that is used; the rest is for calls that repeated requests make again.
const USED_SHARE: f64 = 0.5;

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// Budget of one node.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryLimits,
    services: HashMap<String, Window>,
}

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(bounds: RetryLimits) -> Self {
        Self {
            bounds,
            services: HashMap::new(),
        }
    }

    /// Sets the bounds.
    pub fn set_limits(&mut self, bounds: RetryLimits) {
        self.bounds = bounds;
    }

    /// Counts a request to a service.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        let window = self.bounds.window;
        let w = self.services.entry(service.to_owned()).or_default();
        w.requests.push_back(now);
        trim(&mut w.requests, now, window);
    }

    /// Takes one repeat out of the budget, if there is one; `nodes` share the fixed allowance.
    pub fn try_retry(&mut self, service: &str, nodes: usize, now: Instant) -> bool {
        let bounds = self.bounds;
        let w = self.services.entry(service.to_owned()).or_default();
        trim(&mut w.requests, now, bounds.window);
        trim(&mut w.repeats, now, bounds.window);
        let fixed = bounds.allowance / nodes.max(1) as f64;
        let most = USED_SHARE * (bounds.ratio * w.requests.len() as f64 + fixed);
        let allowed = ((w.repeats.len() + 1) as f64) <= most;
        if allowed {
            w.repeats.push_back(now);
        }
        allowed
    }
}

fn trim(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}
