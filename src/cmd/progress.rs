//! Progress of a change on the nodes: which revision is in force where.

use std::{net, time};

use crossbeam::channel;
use serde::Serialize;

use crate::cmd::exit;
use crate::protocol::admin;
use crate::state::ids;
use crate::transport::admin_client;

/// Nodes that are asked at the same time.
const ASKED_AT_ONCE: usize = 32;

/// Interval at which nodes that are behind are asked again.
const POLL: time::Duration = time::Duration::from_millis(50);

/// Longest wait; a change is to be in force everywhere within 5 s.
const WAIT_LIMIT: time::Duration = time::Duration::from_mins(1);

/// Nodes that are named when a wait fails.
const NAMED: usize = 10;

/// Revision in force on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct NodeRevision {
    /// Peer address.
    pub address: ids::NodeAddr,
    /// Revision; `None` if the node does not answer.
    pub revision: Option<ids::DocRevision>,
}

/// Asks all nodes of a status for the revision in force, in the order of their addresses.
#[must_use]
pub fn revisions(status: &admin::Status) -> Vec<NodeRevision> {
    let (todo, queue) = channel::unbounded();
    for member in &status.members {
        if todo.send(member).is_err() {
            break;
        }
    }
    drop(todo);
    let (done, results) = channel::unbounded();
    std::thread::scope(|scope| {
        for _ in 0..ASKED_AT_ONCE.min(status.members.len()) {
            let (queue, done) = (queue.clone(), done.clone());
            scope.spawn(move || {
                for member in queue {
                    if done.send(ask(member)).is_err() {
                        break;
                    }
                }
            });
        }
    });
    drop(done);
    let mut revisions: Vec<_> = results.into_iter().collect();
    revisions.sort_by_key(|r| r.address);
    revisions
}

fn ask(member: &admin::Member) -> NodeRevision {
    let answer = member.admin.parse().ok().and_then(|addr| {
        let answer = admin_client::revision(addr).ok()?;
        // Another node may have taken over the address.
        (answer.address == member.address).then_some(answer.revision)
    });
    NodeRevision {
        address: member.address,
        revision: answer,
    }
}

/// Waits until a revision is in force on all live nodes, and returns their number.
///
/// # Errors
///
/// Returns an error that names the nodes that are behind after a minute.
pub fn wait_in_force(admin: net::SocketAddr, revision: ids::DocRevision) -> eyre::Result<usize> {
    let limit = time::Instant::now() + WAIT_LIMIT;
    loop {
        let behind = match admin_client::status(admin) {
            Ok(status) => {
                let nodes = revisions(&status);
                let behind: Vec<_> = nodes
                    .iter()
                    .filter(|n| n.revision.is_none_or(|r| r < revision))
                    .map(|n| n.address.to_string())
                    .collect();
                if behind.is_empty() && !nodes.is_empty() {
                    return Ok(nodes.len());
                }
                behind
            }
            Err(e) => vec![format!("{admin}: {e}")],
        };
        give_up(limit, || {
            let named = behind.iter().take(NAMED).cloned().collect::<Vec<_>>();
            let count = behind.len();
            format!(
                "revision {revision} is accepted, but not in force on {count} nodes: {}",
                named.join(", ")
            )
        })?;
    }
}

/// Waits until a node owns no slices, and returns whether the node itself has confirmed it.
///
/// # Errors
///
/// Returns an error that tells how many it still owns after a minute.
pub fn wait_drained(admin: net::SocketAddr, node: ids::NodeAddr) -> eyre::Result<bool> {
    let limit = time::Instant::now() + WAIT_LIMIT;
    loop {
        let left = match admin_client::status(admin) {
            Ok(status) => {
                // The asked node may not know all records yet; the drained one knows its leases.
                let own = own_status(&status, node);
                let confirmed = own.is_some();
                match left(&own.unwrap_or(status), node) {
                    Some(0) => return Ok(confirmed),
                    Some(left) => format!("{left} slices left"),
                    None => "drain is not in force".to_owned(),
                }
            }
            Err(e) => format!("{admin}: {e}"),
        };
        give_up(limit, || format!("{node} is not drained yet: {left}"))?;
    }
}

fn own_status(status: &admin::Status, node: ids::NodeAddr) -> Option<admin::Status> {
    let member = status.members.iter().find(|m| m.address == node)?;
    let own = admin_client::status(member.admin.parse().ok()?).ok()?;
    (own.node.address == node).then_some(own)
}

fn left(status: &admin::Status, node: ids::NodeAddr) -> Option<usize> {
    let drain = status.drains.iter().find(|d| d.address == node)?;
    let own = status.node.address == node;
    let leased: usize = status.roles.iter().map(|r| r.leased_slices).sum();
    Some(drain.slices_left.max(if own { leased } else { 0 }))
}

fn give_up(limit: time::Instant, message: impl FnOnce() -> String) -> eyre::Result<()> {
    if time::Instant::now() >= limit {
        return Err(exit::CommandError::new(exit::ExitCode::Failure, message()).into());
    }
    std::thread::sleep(POLL);
    Ok(())
}
