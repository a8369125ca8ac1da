//! Routing of requests from their entry to their owner.

/// Routing of requests that entered here.
#[derive(Debug, Default)]
pub struct Router {}
