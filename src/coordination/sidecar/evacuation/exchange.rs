//! Messages about evacuations to other nodes.

use std::collections::HashMap;
use std::rc::Rc;

use crate::coordination::sidecar::evacuation::{Evacuations, START_LIMIT};
use crate::protocol::mesh::Frame;
use crate::state::clock::Instant;
use crate::transport::sidecar::links::Link;

/// State that was last sent to each node: the incarnation of its process, and the hash of the state.
pub type SentStates = HashMap<String, (u64, u64)>;

impl Evacuations {
    /// Sends the state to each process that has just connected, and from a watcher of the store to all
    /// nodes when it has changed.
    pub fn notify_peers(&self, links: &[Rc<Link>], is_watcher: bool, sent: &mut SentStates) {
        let Some(digest) = self.digest() else {
            self.check_start();
            return;
        };
        for link in links {
            let Some(incarnation) = link.incarnation().filter(|_| link.is_connected()) else {
                // What was sent last may be lost with the connection.
                sent.remove(&link.node);
                continue;
            };
            let before = sent.get(&link.node).filter(|t| t.0 == incarnation);
            let due = before.is_none_or(|t| is_watcher && t.1 != digest.content);
            if due && let Some(set) = self.to_set() {
                link.send(Frame::Evacuations(Box::new(set)));
                sent.insert(link.node.clone(), (incarnation, digest.content));
            }
        }
        sent.retain(|node, _| links.iter().any(|l| l.node == *node));
    }

    /// Logs once that requests are served although the state is unknown.
    fn check_start(&self) {
        let since_start = Instant::now().since(self.started);
        if since_start >= START_LIMIT && !self.start_ended.replace(true) {
            tracing::warn!(event = 588, domain = %self.domain, "neither the store nor another node has told the evacuations; serving without them");
        }
    }
}
