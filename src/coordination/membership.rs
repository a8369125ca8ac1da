//! Known nodes, spread by gossip.

use std::sync::Arc;

use crate::coordination::node;
use crate::protocol::peer;
use crate::state::{ids, settings};

/// Known nodes.
#[derive(Debug)]
pub struct Members {
    me: ids::NodeRef,
}

impl Members {
    /// Creates a table that holds only this node.
    #[must_use]
    pub fn new(me: ids::NodeRef, _settings: &settings::Settings) -> Self {
        Self { me }
    }

    /// Returns the entries of all nodes that have not left, this one included.
    #[must_use]
    pub fn live(&self) -> Vec<peer::Member> {
        Vec::new()
    }

    /// Returns the newest known incarnation at an address.
    #[must_use]
    pub fn incarnation(&self, addr: ids::NodeAddr) -> Option<ids::Incarnation> {
        (addr == self.me.addr).then_some(self.me.incarnation)
    }
}

/// Answers a round of gossip.
pub async fn gossip(node: &Arc<node::Node>, _exchange: peer::Gossip) -> peer::Gossip {
    peer::Gossip {
        from: node.me,
        digest: Vec::new(),
        entries: Vec::new(),
        document: ids::DocRevision(0),
        records: Vec::new(),
    }
}

/// Gossips with other nodes.
pub async fn run(_node: Arc<node::Node>) {}
