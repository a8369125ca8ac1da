//! Configuration document: services, the partitioning of their keys and the handling of traffic.
//!
//! A [`Document`] is always valid; `protocol::source` parses it from text and reports every problem
//! with its position.

use std::time;

use crate::state::ids;

/// Validated document.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    /// Time during which a claim by a node that is not a standby can be cancelled.
    pub cancel_window: time::Duration,
    /// Nodes that are to be drained.
    pub drain: Vec<ids::NodeAddr>,
    /// Classes of callers, the default first.
    pub classes: Vec<Class>,
    /// Services.
    pub services: Vec<Service>,
}

/// Class of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Class {
    /// Name, sent by callers in `filbert-class`.
    pub name: String,
    /// Priority in the admission queue; lower numbers go first.
    pub priority: u8,
}

/// Service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name, the first segment of a caller's path.
    pub name: String,
    /// Location of the key in a request, if the service is partitioned by key.
    pub key: Option<KeySource>,
    /// Number of slices in a new partition record.
    pub slices: u64,
    /// Weights of the balancing criteria.
    pub weights: Weights,
    /// Percentage of the slices that balancing may move per minute.
    pub churn_budget: f64,
    /// Maximum number of queued requests.
    pub queue: usize,
    /// Retry budget, in percent of recent successes.
    pub retry_percent: u32,
    /// Service-level objective.
    pub objective: Objective,
    /// Routes; the first match applies.
    pub routes: Vec<Route>,
}

/// Location of the key in a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySource {
    /// Value of a header.
    Header(String),
    /// Path segment after the service's name, counted from 0.
    Segment(usize),
    /// Query parameter.
    Query(String),
}

/// Relative weights of the balancing criteria.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Weight of imbalance.
    pub imbalance: f64,
    /// Weight of churn.
    pub churn: f64,
    /// Weight of unavailability.
    pub unavailable: f64,
}

/// Service-level objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Objective {
    /// Percentage of requests that must be answered.
    pub availability: f64,
    /// Latency up to which a request counts as good.
    pub latency: time::Duration,
    /// Period over which the error budget is counted.
    pub window: time::Duration,
}

/// Handling of the requests that match a method and a path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// HTTP method; any if absent.
    pub method: Option<String>,
    /// Path prefix after the service's name, for example `/`.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum deadline, and the default for requests without one.
    pub deadline: time::Duration,
}

impl Document {
    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns a class by name, or the default class.
    #[must_use]
    pub fn class(&self, name: Option<&str>) -> Option<&Class> {
        name.and_then(|n| self.classes.iter().find(|c| c.name == n))
            .or_else(|| self.classes.first())
    }
}

impl Service {
    /// Returns the route of a request.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|r| {
            r.method.as_deref().is_none_or(|m| m == method) && path.starts_with(&r.prefix)
        })
    }
}
