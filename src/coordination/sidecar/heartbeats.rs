//! Heartbeats of the backend server beside this node.
//!
//! Heartbeats may be late, repeated or from an earlier life. The start of a life and the counter
//! within it tell which one is newest; anything older is acknowledged or refused, and changes
//! nothing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task;

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::departures::Departures;
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::grant_manager::GrantManager;
use crate::coordination::sidecar::local_backend::Backend;
use crate::protocol::adapter::{Adapter, Heartbeat, Notice, Phase};
use crate::protocol::http;
use crate::state::clock::Instant;
use crate::state::keyspace::Holder;
use crate::transport::sidecar::http_server::Reply;

/// Longest slow time after a start that is believed.
const LONGEST_WARMUP: Duration = Duration::from_mins(1);

/// Receiver of heartbeats.
#[derive(Debug)]
pub struct HeartbeatHandler {
    /// Address of this node.
    pub node: String,
    /// Address of the backend server on this host.
    pub address: SocketAddr,
    /// Translation of heartbeats.
    pub adapter: Rc<dyn Adapter>,
    /// Configuration.
    pub configuration: Rc<Configuration>,
    /// Dispatcher to the local backend server.
    pub dispatcher: Rc<Dispatcher>,
    /// Keys of the backend server.
    pub grant_manager: Rc<GrantManager>,
    /// Departures, also those that earlier processes have acknowledged.
    pub departures: Rc<Departures>,
}

impl HeartbeatHandler {
    /// Answers a call of the backend server.
    pub async fn answer(&self, head: &http::RequestHead, body: &[u8]) -> Reply {
        match self.adapter.decode_notice(head, body) {
            Ok(Notice::Heartbeat(beat)) => {
                if self.dispatcher.backend().is_none() {
                    self.departures.wait_loaded().await;
                }
                self.heartbeat(&beat)
            }
            Ok(Notice::Leave { backend, born }) => self.leave(&backend, born).await,
            Err(e) => {
                tracing::warn!(event = 371, target = %head.target, error = %e, "a heartbeat can't be read and is ignored");
                (400, Vec::new())
            }
        }
    }

    async fn leave(&self, id: &str, born: Option<u64>) -> Reply {
        if let Some(mut backend) = self.dispatcher.backend()
            && backend.holder.backend == id
            && born.is_none_or(|b| b == backend.holder.born)
        {
            tracing::info!(event = 372, backend = %id, "the backend server leaves");
            backend.draining_since.get_or_insert_with(Instant::now);
            let holder = backend.holder.clone();
            self.dispatcher.set_backend(backend);
            self.departures.record(&holder).await;
        }
        (200, self.adapter.encode_grants(None))
    }

    fn heartbeat(&self, beat: &Heartbeat) -> Reply {
        let refused = self.refusal(beat);
        if let Some((status, reason)) = refused {
            tracing::warn!(event = 373, backend = %beat.backend, born = beat.born, sequence = beat.sequence, reason, "a heartbeat changes nothing");
            return (status, self.adapter.encode_grants(None));
        }
        let backend = self.describe(beat);
        self.dispatcher.set_backend(backend.clone());
        if !backend.keyed {
            return (200, self.adapter.encode_grants(None));
        }
        let grant_manager = Rc::clone(&self.grant_manager);
        let (grants, free) = self.grant_manager.heartbeat(beat, &backend);
        task::spawn_local(async move { grant_manager.record_release(free, &backend).await });
        (200, self.adapter.encode_grants(grants.as_ref()))
    }

    /// Returns why a heartbeat must not change anything.
    fn refusal(&self, beat: &Heartbeat) -> Option<(u16, &'static str)> {
        let stated: Result<SocketAddr, _> = beat.address.parse();
        if stated.ok() != Some(self.address) {
            return Some((400, "not the backend server on this host"));
        }
        let current = self.dispatcher.backend()?;
        let same = current.holder.backend == beat.backend && current.holder.born == beat.born;
        if same && beat.sequence <= current.sequence {
            return Some((200, "older than the last one"));
        }
        if !same && beat.born <= current.holder.born {
            return Some((409, "from an earlier life"));
        }
        None
    }

    fn describe(&self, beat: &Heartbeat) -> Backend {
        let now = Instant::now();
        let holder = Holder {
            node: self.node.clone(),
            backend: beat.backend.clone(),
            born: beat.born,
        };
        let before = self.dispatcher.backend().filter(|b| b.holder == holder);
        let known = before.is_some();
        let before = before.and_then(|b| b.draining_since);
        let leaving = match beat.phase {
            Phase::Draining => Some(before.unwrap_or(now)),
            // A life that leaves does not come back, nor after a restart of this node's process.
            Phase::Ready if self.departures.has_left(&holder) => Some(before.unwrap_or(now)),
            Phase::Ready => before,
        };
        if beat.phase == Phase::Draining {
            let (departures, holder) = (Rc::clone(&self.departures), holder.clone());
            task::spawn_local(async move { departures.record(&holder).await });
        }
        if !known || leaving != before {
            tracing::info!(event = 374, backend = %beat.backend, born = beat.born, sequence = beat.sequence, service = %beat.service, phase = ?beat.phase, "the backend server's state changed");
        }
        let routes = self.configuration.get();
        let service = routes.as_ref().and_then(|r| r.service(&beat.service));
        Backend {
            holder,
            sequence: beat.sequence,
            service: beat.service.clone(),
            address: self.address,
            slots: beat.slots,
            draining_since: leaving,
            keyed: service.is_some_and(|s| s.keyed),
            warmup_end: now + beat.warmup.min(LONGEST_WARMUP),
            last_heartbeat: now,
        }
    }
}
