//! Gate of the backend server: admission, queue, slots and the outcome of each request.

use std::sync::Arc;

use crate::coordination::node;
use crate::protocol::peer;

/// Admission to the backend server.
#[derive(Debug, Default)]
pub struct Gate {}

/// Runs a request that an entry node has forwarded, or that entered here.
pub async fn forward(_node: &Arc<node::Node>, req: peer::Forward) -> peer::Reply {
    peer::Reply {
        id: req.id,
        outcome: peer::Outcome::NotRun(peer::NotRun {
            reason: peer::NotRunReason::NotOwner,
            retry_after: std::time::Duration::from_secs(1),
        }),
        in_flight: 0,
    }
}

/// Answers an entry node that has lost its connection while a request was running.
pub async fn outcome(node: &Arc<node::Node>, _query: peer::OutcomeQuery) -> peer::OutcomeReply {
    peer::OutcomeReply::Incarnation(node.me.incarnation)
}
