//! Request on its way through a node, and what became of it.

use std::rc::Rc;

use crate::protocol::mesh::Call;
use crate::state::clock::Instant;
use crate::state::keyspace::Key;
use crate::state::routes::{Route, Version};

/// What became of a request, for its log line.
#[derive(Debug, Default)]
pub struct RequestTrace {
    /// Gates that it was offered to.
    pub dispatches: usize,
    /// Backend servers that it reached.
    pub attempts: u32,
    /// Whether one of them may have run it.
    pub maybe_ran: bool,
    /// Place that it was sent to last.
    pub node: String,
    /// Revision of the ownership table that named the last place, 0 if none did.
    pub table_revision: u64,
    /// Age of the load report by which the last place was chosen, in milliseconds.
    pub report_ms: u128,
}

/// Request on its way, with what decides about it.
#[derive(Debug)]
pub struct RequestContext {
    /// Route.
    pub route: Rc<Route>,
    /// Version of the configuration that the route is from.
    pub version: Version,
    /// Service that is to run it.
    pub service: String,
    /// Key, for a service that is divided by key.
    pub key: Option<Key>,
    /// Arrival at this node.
    pub arrived: Instant,
    /// Time at which the caller or the route gives up.
    pub deadline: Instant,
    /// Time of the latency objective.
    pub soft_deadline: Instant,
    /// The request as it is sent on, without the times left.
    pub call: Call,
}
