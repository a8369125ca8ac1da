//! Coordinator of partitions: grants leases and moves slices.

use std::sync::Arc;

use crate::coordination::node;
use crate::protocol::peer;

/// Partitions that this node coordinates.
#[derive(Debug, Default)]
pub struct Coordinator {}

/// Answers an owner that asks for its lease.
pub async fn renew(_node: &Arc<node::Node>, _req: peer::Renew) -> peer::RenewReply {
    peer::RenewReply::NotCoordinator(None)
}

/// Takes back slices that an owner has stopped serving.
pub async fn release(_node: &Arc<node::Node>, _req: peer::Release) -> peer::ReleaseReply {
    peer::ReleaseReply::Again
}

/// Runs the partitions that this node coordinates.
pub async fn run(_node: Arc<node::Node>) {}
