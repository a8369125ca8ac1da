//! Service that a node offers to its peers; each call goes to the module that decides about it.

use std::future;
use std::sync::Arc;

use futures::StreamExt;
use tarpc::context;
use tarpc::server::Channel;

use crate::coordination::{config, coordinator, gate, membership, node, owner, standby};
use crate::protocol::{peer, record as wire};
use crate::state::record;
use crate::transport::peer_server;

/// Peer service of a node.
#[derive(Debug, Clone)]
pub struct Service(pub Arc<node::Node>);

/// Serves one accepted connection until it is closed.
pub async fn connection(node: Arc<node::Node>, accepted: peer_server::Accepted) {
    let service = Service(node);
    accepted
        .execute(peer::Peer::serve(service))
        .for_each(|call| {
            tokio::spawn(call);
            future::ready(())
        })
        .await;
}

impl peer::Peer for Service {
    async fn ping(self, _: context::Context, _: peer::Ping) -> peer::Ping {
        peer::Ping { from: self.0.me }
    }

    async fn forward(self, _: context::Context, req: peer::Forward) -> peer::Reply {
        gate::forward(&self.0, req).await
    }

    async fn outcome(self, _: context::Context, query: peer::OutcomeQuery) -> peer::OutcomeReply {
        gate::outcome(&self.0, query).await
    }

    async fn renew(self, _: context::Context, req: peer::Renew) -> peer::RenewReply {
        coordinator::renew(&self.0, req).await
    }

    async fn promise(self, _: context::Context, req: peer::Promise) -> peer::PromiseReply {
        standby::promise(&self.0, req).await
    }

    async fn handover(self, _: context::Context, req: peer::Handover) -> peer::HandoverReply {
        owner::handover(&self.0, req).await
    }

    async fn release(self, _: context::Context, req: peer::Release) -> peer::ReleaseReply {
        coordinator::release(&self.0, req).await
    }

    async fn record(self, _: context::Context, push: Box<wire::Record>) {
        match record::PartitionRecord::try_from(*push) {
            Ok(new) => {
                self.0.records.offer(new);
            }
            Err(e) => tracing::warn!(event = 205, error = %e, "peer sent an invalid record"),
        }
    }

    async fn gossip(self, _: context::Context, exchange: peer::Gossip) -> peer::Gossip {
        membership::gossip(&self.0, exchange).await
    }

    async fn document(self, _: context::Context, push: peer::Document) {
        config::document(&self.0, push).await;
    }
}
