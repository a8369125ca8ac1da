//! Rollout progress of a document: the revision in force on each node, and the state of drains.

use std::{net, time};

use crossbeam::channel;
use serde::Serialize;

use crate::cmd::exit;
use crate::protocol::admin;
use crate::state::ids;
use crate::transport::admin_client;

/// Maximum number of nodes queried in parallel.
const MAX_PARALLEL_QUERIES: usize = 32;

/// Interval at which nodes are queried again while waiting.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Maximum wait for a change, which should be in force on all nodes within 5 s.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// Maximum number of nodes listed in the error when a wait times out.
const MAX_LISTED_NODES: usize = 10;

/// Revision in force on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct NodeRevision {
    /// Peer address of the node.
    pub address: ids::NodeAddr,
    /// Revision in force, or `None` if the node does not answer.
    pub revision: Option<ids::DocRevision>,
}

/// Queries the revision in force on each member listed in a status. The result is sorted by address.
#[must_use]
pub fn revisions(status: &admin::Status) -> Vec<NodeRevision> {
    let (jobs, queue) = channel::unbounded();
    for member in &status.members {
        if jobs.send(member).is_err() {
            break;
        }
    }
    drop(jobs);
    let (done, results) = channel::unbounded();
    std::thread::scope(|scope| {
        for _ in 0..MAX_PARALLEL_QUERIES.min(status.members.len()) {
            let (queue, done) = (queue.clone(), done.clone());
            scope.spawn(move || {
                for member in queue {
                    if done.send(query(member)).is_err() {
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

fn query(member: &admin::Member) -> NodeRevision {
    let revision = member.admin.parse().ok().and_then(|addr| {
        let answer = admin_client::revision(addr).ok()?;
        // Another node may be using this address now.
        (answer.address == member.address).then_some(answer.revision)
    });
    NodeRevision {
        address: member.address,
        revision,
    }
}

/// Waits until a revision is in force on all live nodes, and returns their number.
///
/// # Errors
///
/// Returns an error that lists the nodes still behind after a minute.
pub fn wait_in_force(admin: net::SocketAddr, revision: ids::DocRevision) -> eyre::Result<usize> {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
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
        sleep_until_retry(deadline, || {
            let named = behind
                .iter()
                .take(MAX_LISTED_NODES)
                .cloned()
                .collect::<Vec<_>>();
            let count = behind.len();
            format!(
                "revision {revision} is accepted, but not in force on {count} nodes: {}",
                named.join(", ")
            )
        })?;
    }
}

/// Waits until a node owns no slices. Returns whether the node itself confirmed it.
///
/// # Errors
///
/// Returns an error with the number of slices the node still owns after a minute.
pub fn wait_drained(admin: net::SocketAddr, node: ids::NodeAddr) -> eyre::Result<bool> {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let state = match admin_client::status(admin) {
            Ok(status) => {
                // The queried node may not know all records yet; the drained node knows its own leases.
                let own = drained_node_status(&status, node);
                let confirmed = own.is_some();
                match slices_left(&own.unwrap_or(status), node) {
                    Some(0) => return Ok(confirmed),
                    Some(left) => format!("{left} slices left"),
                    None => "drain is not in force".to_owned(),
                }
            }
            Err(e) => format!("{admin}: {e}"),
        };
        sleep_until_retry(deadline, || format!("{node} is not drained yet: {state}"))?;
    }
}

fn drained_node_status(status: &admin::Status, node: ids::NodeAddr) -> Option<admin::Status> {
    let member = status.members.iter().find(|m| m.address == node)?;
    let own = admin_client::status(member.admin.parse().ok()?).ok()?;
    (own.node.address == node).then_some(own)
}

fn slices_left(status: &admin::Status, node: ids::NodeAddr) -> Option<usize> {
    let drain = status.drains.iter().find(|d| d.address == node)?;
    let own = status.node.address == node;
    let leased: usize = status.roles.iter().map(|r| r.leased_slices).sum();
    Some(drain.slices_left.max(if own { leased } else { 0 }))
}

fn sleep_until_retry(
    deadline: time::Instant,
    message: impl FnOnce() -> String,
) -> eyre::Result<()> {
    if time::Instant::now() >= deadline {
        return Err(exit::CommandError::new(exit::ExitCode::Failure, message()).into());
    }
    std::thread::sleep(POLL_INTERVAL);
    Ok(())
}
