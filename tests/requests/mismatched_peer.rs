//! Faulty peer that answers every request with the outcome of another one.

use std::net;

use filbertflow::protocol::{peer, record};
use filbertflow::state::ids;
use filbertflow::transport::{counted, peer_server};
use futures::StreamExt;
use tarpc::context;
use tarpc::server::Channel;

use crate::host::Host;

/// Peer whose replies carry the identifier of a request that was never sent.
#[derive(Clone)]
pub struct MismatchedPeer(ids::NodeRef);

impl MismatchedPeer {
    /// Starts the peer on the runtime of a host.
    pub fn start(host: &Host) -> ids::NodeRef {
        let addr: net::SocketAddr = filbertflow_harness::free_addr();
        let me = ids::NodeRef {
            addr: ids::NodeAddr(addr),
            incarnation: ids::Incarnation(1),
        };
        let traffic = counted::Traffic::from(&host.node.metrics.peer_traffic);
        host.spawn(async move {
            let listener = peer_server::bind(addr).await.unwrap();
            peer_server::serve(listener, traffic, move |accepted| async move {
                let calls = accepted.execute(peer::Peer::serve(Self(me)));
                calls
                    .for_each(|call| async move {
                        tokio::spawn(call);
                    })
                    .await;
            })
            .await;
        });
        me
    }

    fn reply() -> peer::Reply {
        peer::Reply {
            id: ids::RequestId::create(),
            outcome: peer::Outcome::Answered(peer::BackendResponse {
                status: 200,
                content_type: None,
                body: b"of another".to_vec(),
            }),
            in_flight: 0,
        }
    }
}

impl peer::Peer for MismatchedPeer {
    async fn ping(self, _: context::Context, _: peer::Ping) -> peer::Ping {
        peer::Ping { from: self.0 }
    }

    async fn forward(self, _: context::Context, _: peer::Forward) -> peer::Reply {
        Self::reply()
    }

    async fn outcome(self, _: context::Context, _: peer::OutcomeQuery) -> peer::OutcomeReply {
        peer::OutcomeReply::Final(Self::reply())
    }

    async fn renew(self, _: context::Context, _: peer::Renew) -> peer::RenewReply {
        peer::RenewReply::NoAuthority
    }

    async fn promise(self, _: context::Context, _: peer::Promise) -> peer::PromiseReply {
        peer::PromiseReply::NeedRecord
    }

    async fn handover(self, _: context::Context, _: peer::Handover) -> peer::HandoverReply {
        peer::HandoverReply::Taken
    }

    async fn release(self, _: context::Context, _: peer::Release) -> peer::ReleaseReply {
        peer::ReleaseReply::Again
    }

    async fn record(self, _: context::Context, _: Box<record::Record>) {}

    async fn gossip(self, _: context::Context, exchange: peer::Gossip) -> peer::Gossip {
        exchange
    }

    async fn document(self, _: context::Context, _: peer::Document) {}
}
