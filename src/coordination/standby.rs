//! Standby of partitions: promises not to claim, and claims after its promise has run out.

use std::sync::Arc;

use crate::coordination::node;
use crate::protocol::peer;

/// Promises given by this node.
#[derive(Debug, Default)]
pub struct Standby {}

/// Answers a coordinator that asks for a promise.
pub async fn promise(_node: &Arc<node::Node>, _req: peer::Promise) -> peer::PromiseReply {
    peer::PromiseReply::NeedRecord
}

/// Claims partitions whose coordinator is lost.
pub async fn run(_node: Arc<node::Node>) {}
