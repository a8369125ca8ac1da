//! Budget for sending a request to another backend server after one has received it.
//!
//! The platform limits the retries of all nodes together within a window. Each node applies a share
//! of the ratio to its own requests and takes its share of the fixed allowance, so nodes need not
//! coordinate.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::sidecar_settings;

/// Limits on the retries of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition, independent of the number of requests.
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

/// Share of the limits that retries here may use; the rest is for the nested calls that a retried
/// request makes again.
const USED_SHARE: f64 = 0.5;

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Retry budget of one node, per service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    services: HashMap<String, Window>,
}

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
        }
    }

    /// Sets the limits.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts a request to a service.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        let window = self.limits.window;
        let w = self.services.entry(service.to_owned()).or_default();
        w.requests.push_back(now);
        drop_expired(&mut w.requests, now, window);
    }

    /// Takes one retry from the budget and returns whether it was available; `nodes` share the
    /// fixed allowance.
    pub fn try_retry(&mut self, service: &str, nodes: usize, now: Instant) -> bool {
        let limits = self.limits;
        let w = self.services.entry(service.to_owned()).or_default();
        drop_expired(&mut w.requests, now, limits.window);
        drop_expired(&mut w.retries, now, limits.window);
        let fixed = limits.allowance / nodes.max(1) as f64;
        let max_retries = USED_SHARE * (limits.ratio * w.requests.len() as f64 + fixed);
        let allowed = ((w.retries.len() + 1) as f64) <= max_retries;
        if allowed {
            w.retries.push_back(now);
        }
        allowed
    }
}

fn drop_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}
