//! Routing table of a sidecar: the services that requests are routed to, with timeouts, priorities
//! and limits.
//!
//! A table in use is immutable. A newer version replaces it as a whole, so a request keeps the
//! route of the version under which it started.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use xxhash_rust::xxh3;

/// Version of the configuration; a higher number is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Version(pub u64);

/// Identifier of a route in messages between nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RouteId(pub u32);

impl RouteId {
    /// Derives the identifier from a route's name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(u32::try_from(xxh3::xxh3_64(name.as_bytes()) >> 32).unwrap_or_default())
    }
}

/// Whether a request may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Repeat {
    /// Idempotent: may be retried, also on another backend server.
    Idempotent,
    /// May be run at most once, by at most one backend server.
    Once,
}

/// Weighted destination of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other destinations.
    pub weight: u32,
}

/// Settings of one route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Identifier in messages between nodes.
    pub id: RouteId,
    /// Name in the configuration.
    pub name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// Kind of the route in the configuration if this version doesn't know it; such requests run at
    /// most once.
    pub unknown_kind: Option<String>,
    /// Latency objective.
    pub objective: Duration,
    /// Maximum time until the final response.
    pub timeout: Duration,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Weighted destinations; never empty.
    pub parts: Vec<Part>,
}

/// Service in the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Whether each key is assigned to one backend server.
    pub keyed: bool,
    /// Path of the health check of its backend servers.
    pub health_path: Option<String>,
    /// Requests per second that one of its backend servers takes from all nodes while it warms up.
    pub warmup_rate: Option<f64>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time between the first and the last byte of a request head.
    pub head_time: Duration,
    /// Maximum idle time of a connection.
    pub idle_time: Duration,
}

/// Routes by host name and longest path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: Version,
    /// Limits on callers.
    pub limits: Limits,
    services: BTreeMap<String, Service>,
    hosts: BTreeMap<String, BTreeMap<String, Rc<Route>>>,
}

impl RouteTable {
    /// Creates a table without routes.
    #[must_use]
    pub fn new(version: Version, limits: Limits) -> Self {
        Self {
            version,
            limits,
            services: BTreeMap::new(),
            hosts: BTreeMap::new(),
        }
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), service);
    }

    /// Adds a route of a host; replaces an earlier one with the same prefix.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        routes.insert(route.prefix.clone(), Rc::new(route));
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the route of a host whose prefix is the longest that matches a request target.
    #[must_use]
    pub fn find(&self, host: &str, target: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        let path = target.split(['?', '#']).next().unwrap_or(target);
        let ends = path.rmatch_indices('/').map(|(i, _)| i + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }

    /// Returns the routes of a kind that this version doesn't know.
    pub fn unknown_kinds(&self) -> impl Iterator<Item = (&str, &str)> {
        let routes = self.hosts.values().flat_map(BTreeMap::values);
        routes.filter_map(|r| Some((r.name.as_str(), r.unknown_kind.as_deref()?)))
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Returns whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
