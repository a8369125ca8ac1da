//! Calls of a coordinator to standbys and servers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time;

use crate::coordination::{coordinator, node};
use crate::protocol::{peer, record as wire};
use crate::state::{clock, ids, record};
use crate::transport::error as transport;

/// Time for one promise, ping or push; the next tick tries again.
const CALL_LIMIT: time::Duration = time::Duration::from_millis(200);

pub(super) async fn ask(node: Arc<node::Node>, id: ids::PartitionId, standby: ids::NodeRef) {
    let reply = ask_once(&node, &id, standby, false).await;
    let reply = match reply {
        Ok((_, peer::PromiseReply::NeedRecord)) => ask_once(&node, &id, standby, true).await,
        other => other,
    };
    let superseded = node.coordinator.with(&id, |led| match reply {
        Ok((sent, peer::PromiseReply::Given { .. })) => {
            led.promise(standby, sent);
            None
        }
        Ok((_, peer::PromiseReply::Superseded(newer))) => Some(newer),
        Ok((_, peer::PromiseReply::Incarnation(newer))) if newer > standby.incarnation => {
            led.ended(standby);
            None
        }
        Err(transport::Error::Refused) => {
            led.ended(standby);
            None
        }
        Ok(_) | Err(_) => {
            led.refuse(standby);
            None
        }
    });
    if let Some(Some(newer)) = superseded
        && let Ok(newer) = record::PartitionRecord::try_from(*newer)
    {
        node.records.offer(newer);
    }
}

async fn ask_once(
    node: &Arc<node::Node>,
    id: &ids::PartitionId,
    standby: ids::NodeRef,
    full: bool,
) -> Result<(clock::Instant, peer::PromiseReply), transport::Error> {
    let Some(record) = node.coordinator.leads(id) else {
        return Err(transport::Error::Unreachable("not coordinating".to_owned()));
    };
    let req = peer::Promise {
        from: node.me,
        to: standby.incarnation,
        partition: id.clone(),
        stamp: record.stamp(),
        record: full.then(|| coordinator::boxed(&record)),
    };
    let sent = clock::Instant::now();
    let call = node
        .peers
        .call(standby.addr, CALL_LIMIT, |client, context| async move {
            client.promise(context, req).await
        });
    Ok((sent, call.await?))
}

/// Looks for proof that a server's process has ended; a server that answers gets the record again,
/// because it may not know its coordinator (R5).
pub(super) async fn probe(node: Arc<node::Node>, id: ids::PartitionId, server: ids::NodeRef) {
    if has_ended(&node, server).await {
        let new = node.coordinator.with(&id, |led| led.ended(server));
        if new == Some(true) {
            tracing::warn!(event = 405, partition = %id, server = %server, "process of the server has ended");
            node.coordinator.wake.notify_waiters();
        }
    } else if let Some(record) = node.coordinator.leads(&id) {
        deliver(&node, server, coordinator::boxed(&record)).await;
    }
}

/// Returns whether there is proof that a process has ended.
pub async fn has_ended(node: &Arc<node::Node>, process: ids::NodeRef) -> bool {
    match ping(node, process).await {
        Ok(answering) => answering > process.incarnation,
        Err(transport::Error::Refused) => true,
        Err(_) => false,
    }
}

/// Returns the incarnation that answers at an address.
///
/// # Errors
///
/// Returns the error of the call.
pub async fn ping(
    node: &Arc<node::Node>,
    to: ids::NodeRef,
) -> Result<ids::Incarnation, transport::Error> {
    let ping = peer::Ping { from: node.me };
    let call = node
        .peers
        .call(to.addr, CALL_LIMIT, |client, context| async move {
            client.ping(context, ping).await
        });
    Ok(call.await?.from.incarnation)
}

/// Sends a record to the nodes that it names, so that they act on it without delay.
pub(super) fn push(node: &Arc<node::Node>, record: &Arc<record::PartitionRecord>) {
    let servers = record.servers.iter().map(|s| s.node);
    let named: BTreeSet<_> = servers.chain(record.standbys.iter().copied()).collect();
    for to in named.into_iter().filter(|n| n.addr != node.me.addr) {
        let node = Arc::clone(node);
        let wire = coordinator::boxed(record);
        tokio::spawn(async move { deliver(&node, to, wire).await });
    }
}

async fn deliver(node: &Arc<node::Node>, to: ids::NodeRef, wire: Box<wire::Record>) {
    let call = node
        .peers
        .call(to.addr, CALL_LIMIT, |client, context| async move {
            client.record(context, wire).await
        });
    if let Err(e) = call.await {
        tracing::debug!(event = 413, peer = %to, error = %e, "record not delivered");
    }
}
