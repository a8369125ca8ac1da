//! Routing table of a sidecar: which service a request goes to, and on which terms.
//!
//! A table is immutable. A newer version replaces it as a whole, so a request that began under one
//! version keeps its route until it is answered.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use xxhash_rust::xxh3;

/// Version of the configuration; higher is newer.
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

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Repeat {
    /// Idempotent: may be sent again, and to a second backend server.
    Idempotent,
    /// At most one backend server may run it, once.
    Once,
}

/// Part of a route's traffic that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Name of the service.
    pub service: String,
    /// Share relative to the other parts.
    pub weight: u32,
}

/// Terms of one route.
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
    /// Latency objective.
    pub objective: Duration,
    /// Longest time before the final answer.
    pub timeout: Duration,
    /// Largest number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Destinations, never empty.
    pub parts: Vec<Part>,
}

/// Service in the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Whether each key is owned by one backend server.
    pub keyed: bool,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from a head's first byte to its last.
    pub head_time: Duration,
    /// Longest time without a request on an open connection.
    pub idle_time: Duration,
}

/// Routes in force, by host name and longest prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
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

    /// Adds a route of a host; an earlier one with the same prefix is replaced.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        routes.insert(route.prefix.clone(), Rc::new(route));
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the route with the longest prefix of a request's path.
    #[must_use]
    pub fn find(&self, host: &str, target: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        let path = target.split(['?', '#']).next().unwrap_or(target);
        let ends = path.rmatch_indices('/').map(|(i, _)| i + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
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
