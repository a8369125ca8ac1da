//! Owner of slices: renews leases, passes grants to the backend server, releases moving slices.

use std::sync::Arc;

use crate::coordination::node;
use crate::protocol::peer;

/// Keeps the outcomes of a slice that is about to be granted to this node.
pub async fn handover(node: &Arc<node::Node>, _req: peer::Handover) -> peer::HandoverReply {
    peer::HandoverReply::Incarnation(node.me.incarnation)
}

/// Renews the leases of this node.
pub async fn run(_node: Arc<node::Node>) {}
