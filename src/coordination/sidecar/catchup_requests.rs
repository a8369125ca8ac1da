//! Sending of the requests for newer state that a catch-up decides on.

use std::rc::Rc;

use tokio::sync::Notify;

use crate::coordination::sidecar::catchup::{Action, CatchUp, Source};
use crate::protocol::mesh::Frame;
use crate::state::clock::Instant;
use crate::transport::sidecar::links::Link;

/// Connection to a node with newer state.
#[derive(Debug)]
pub struct Ahead<'a> {
    /// Connection.
    pub link: &'a Rc<Link>,
    /// Whether the node is in this node's failure domain.
    pub same_domain: bool,
    /// Whether the node isn't silent.
    pub responsive: bool,
}

/// Performs the next action of a catch-up: sends `request` to one of the nodes that are ahead, or
/// triggers a read of the store.
pub fn send<V: Copy + Ord>(
    catch_up: &mut CatchUp<V>,
    known: V,
    ahead: &[Ahead<'_>],
    request: Frame,
    reread: &Notify,
) {
    let sources = ahead.iter().map(|a| Source {
        node: &a.link.node,
        same_domain: a.same_domain,
        responsive: a.responsive,
    });
    let (sources, now) = (sources.collect::<Vec<_>>(), Instant::now());
    match catch_up.next_action(known, &sources, now, rand::random()) {
        Action::Wait => {}
        Action::Request(node) => {
            if let Some(a) = ahead.iter().find(|a| a.link.node == node) {
                a.link.send(request);
                // The response may take long; a missing pong tells that there will be none.
                a.link.ping(now);
            }
        }
        Action::ReadStore => {
            tracing::info!(event = 327, frame = ?request, nodes = ahead.len(), "still behind other nodes; reading the store");
            reread.notify_one();
        }
    }
}
