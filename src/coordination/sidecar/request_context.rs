//! Context of a request in progress, and a trace of its attempts.

use std::rc::Rc;

use crate::protocol::mesh::Call;
use crate::state::clock::Instant;
use crate::state::keyspace::Key;
use crate::state::routes::{Route, Version};

/// Record of the attempts at a request, for its log line and for decisions on retries.
#[derive(Debug, Default)]
pub struct RequestTrace {
    /// Number of dispatchers that the request was sent to.
    pub dispatches: usize,
    /// Number of backend servers that received the request.
    pub attempts: u32,
    /// Whether a backend server may have executed it.
    pub maybe_ran: bool,
    /// Destination that it was sent to last.
    pub node: String,
    /// Revision of the assignment table that named the last destination, 0 if none did.
    pub table_revision: u64,
    /// Age of the load report by which the last destination was chosen, in milliseconds.
    pub report_ms: u128,
}

/// Request in progress, with its route and deadlines.
#[derive(Debug)]
pub struct RequestContext {
    /// Route.
    pub route: Rc<Route>,
    /// Version of the configuration that the route is from.
    pub version: Version,
    /// Service that executes it.
    pub service: String,
    /// Key, for a service that is partitioned by key.
    pub key: Option<Key>,
    /// Arrival at this node.
    pub arrived: Instant,
    /// Time at which the caller gives up or the route's timeout ends.
    pub deadline: Instant,
    /// Time at which the latency objective is missed.
    pub soft_deadline: Instant,
    /// Call to send; the remaining times are set for each dispatch.
    pub call: Call,
}
