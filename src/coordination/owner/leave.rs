//! Release of slices that are being moved to another server.

use std::sync::Arc;
use std::time;

use crate::coordination::{coordinator, node};
use crate::protocol::peer;
use crate::state::{ids, record};

use super::{RENEWAL_LIMIT, RETRY};

/// Starts the release of slices that the record moves away from this node.
pub(super) fn start_moves(node: &Arc<node::Node>, record: &Arc<record::PartitionRecord>) {
    for (i, slice) in record.slices.iter().enumerate() {
        let (Some(target), true) = (slice.target, slice.owner == Some(node.me)) else {
            continue;
        };
        let new = {
            let mut table = node.owner.lock();
            let owned = table.entry(record.id.clone()).or_default();
            owned.moving.insert((slice.start, slice.version))
        };
        if new {
            let leaving = Leaving {
                id: record.id.clone(),
                start: slice.start,
                end: record.slice_end(i),
                version: slice.version,
                target,
            };
            node.grants
                .stop(&leaving.id, leaving.start, leaving.end, leaving.version);
            tokio::spawn(leave(Arc::clone(node), leaving));
        }
    }
}

/// Slice that this node is handing to another.
#[derive(Debug, Clone)]
struct Leaving {
    id: ids::PartitionId,
    start: ids::KeyHash,
    end: ids::KeyHash,
    version: ids::SliceVersion,
    target: ids::NodeRef,
}

async fn leave(node: Arc<node::Node>, leaving: Leaving) {
    tracing::info!(event = 423, partition = %leaving.id, start = leaving.start.0, to = %leaving.target, "releasing the slice");
    drained(&node, &leaving).await;
    while leaving.is_current(&node) && !hand_over(&node, &leaving).await {
        tokio::time::sleep(RETRY).await;
    }
    node.owner.release(&leaving.id);
    while leaving.is_current(&node) {
        give_up(&node, &leaving).await;
        tokio::time::sleep(RETRY).await;
    }
    let mut table = node.owner.lock();
    if let Some(owned) = table.get_mut(&leaving.id) {
        owned.moving.remove(&(leaving.start, leaving.version));
    }
}

/// Waits until no request of the slice is running.
async fn drained(node: &Arc<node::Node>, leaving: &Leaving) {
    let mut finished = node.grants.finished();
    while node.grants.running(&leaving.id, leaving.start, leaving.end) > 0 {
        // The sender lives as long as the node.
        drop(finished.changed().await);
    }
}

impl Leaving {
    /// Returns whether the newest record still moves the slice away from this node.
    fn is_current(&self, node: &Arc<node::Node>) -> bool {
        let record = node.records.get(&self.id);
        let slice = record.as_ref().and_then(|r| r.slice_at(self.start));
        slice.is_some_and(|s| {
            s.start == self.start
                && s.version == self.version
                && s.owner == Some(node.me)
                && s.target == Some(self.target)
        })
    }
}

/// Sends recent outcomes to the next owner; returns whether it has taken all of them.
async fn hand_over(node: &Arc<node::Node>, leaving: &Leaving) -> bool {
    let outcomes = node
        .outcomes
        .export(&leaving.id, leaving.start, leaving.end);
    let held = node.grants.horizon(&leaving.id, leaving.start);
    let Some(held) = held else { return false };
    let horizon = held.max(node.outcomes.evicted_before());
    let mut parts = chunks(outcomes);
    let last = parts.pop().unwrap_or_default();
    for part in parts {
        if !send_part(node, leaving, part, time::Duration::MAX).await {
            return false;
        }
    }
    send_part(node, leaving, last, horizon).await
}

/// Divides outcomes so that each part fits well into a frame.
fn chunks(outcomes: Vec<peer::FinishedRequest>) -> Vec<Vec<peer::FinishedRequest>> {
    let mut parts = vec![Vec::new()];
    let mut size = 0;
    for finished in outcomes {
        let body = match &finished.outcome {
            peer::Outcome::Answered(answer) => answer.body.len(),
            peer::Outcome::NotRun(_) | peer::Outcome::Unknown(_) => 0,
        };
        size += body + OUTCOME_OVERHEAD;
        if size > PART {
            parts.push(Vec::new());
            size = body + OUTCOME_OVERHEAD;
        }
        if let Some(part) = parts.last_mut() {
            part.push(finished);
        }
    }
    parts
}

/// Encoded size of an outcome without its body, in bytes, rounded up.
const OUTCOME_OVERHEAD: usize = 256;

/// Size of one handover message, in bytes; an answer's body has at most 1 MiB.
const PART: usize = peer::MAX_FRAME / 2;

async fn send_part(
    node: &Arc<node::Node>,
    leaving: &Leaving,
    outcomes: Vec<peer::FinishedRequest>,
    horizon: time::Duration,
) -> bool {
    let req = peer::Handover {
        from: node.me,
        to: leaving.target.incarnation,
        partition: leaving.id.clone(),
        start: leaving.start,
        version: leaving.version,
        horizon,
        outcomes,
    };
    let to = leaving.target.addr;
    let call = node
        .peers
        .call(to, RENEWAL_LIMIT, |client, context| async move {
            client.handover(context, req).await
        });
    match call.await {
        Ok(reply) => reply == peer::HandoverReply::Taken,
        Err(e) => {
            tracing::warn!(event = 424, partition = %leaving.id, to = %leaving.target, error = %e, "handover failed");
            false
        }
    }
}

/// Tells the coordinator that the slice is no longer served here.
async fn give_up(node: &Arc<node::Node>, leaving: &Leaving) {
    let Some(record) = node.records.get(&leaving.id) else {
        return;
    };
    let to = record.coordinator;
    let req = peer::Release {
        from: node.me,
        to: to.incarnation,
        partition: leaving.id.clone(),
        slices: vec![(leaving.start, leaving.version)],
    };
    let reply = if to == node.me {
        Ok(coordinator::release(node, req).await)
    } else {
        let call = node
            .peers
            .call(to.addr, RENEWAL_LIMIT, |client, context| async move {
                client.release(context, req).await
            });
        call.await
    };
    if let Ok(peer::ReleaseReply::Done(record)) = reply
        && let Ok(record) = record::PartitionRecord::try_from(*record)
    {
        node.records.offer(record);
    }
}
