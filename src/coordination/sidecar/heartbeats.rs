//! Handling of heartbeats of the local backend server.
//!
//! Heartbeats may be late, repeated or from an earlier incarnation of the backend server. They are
//! ordered by the start time of the incarnation and the sequence number within it. One that is not
//! newer than the last is acknowledged or refused without any effect.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

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

/// Maximum warm-up time that is accepted from a backend server.
const MAX_WARMUP: Duration = Duration::from_mins(1);

/// Maximum difference between the clocks of a backend server and its node.
const MAX_CLOCK_SKEW: Duration = Duration::from_hours(24);

/// Handler of heartbeats and leave notices.
#[derive(Debug)]
pub struct HeartbeatHandler {
    /// Address of this node.
    pub node: String,
    /// Address of the local backend server.
    pub address: SocketAddr,
    /// Service of the local backend server according to the settings.
    pub service: String,
    /// Codec of heartbeats and their replies.
    pub adapter: Rc<dyn Adapter>,
    /// Active configuration.
    pub configuration: Rc<Configuration>,
    /// Dispatcher to the local backend server.
    pub dispatcher: Rc<Dispatcher>,
    /// Grants of keys to the backend server.
    pub grant_manager: Rc<GrantManager>,
    /// Departures that this process or an earlier one has acknowledged.
    pub departures: Rc<Departures>,
}

impl HeartbeatHandler {
    /// Handles a request of the backend server.
    pub async fn handle(&self, head: &http::RequestHead, body: &[u8]) -> Reply {
        match self.adapter.decode_notice(head, body) {
            Ok(Notice::Heartbeat(heartbeat)) => {
                if self.dispatcher.backend().is_none() {
                    self.departures.wait_loaded().await;
                }
                self.heartbeat(&heartbeat)
            }
            Ok(Notice::Leave { backend, born }) => self.leave(&backend, born).await,
            Err(e) => {
                tracing::warn!(event = 371, target = %head.target, error = %e, "ignored a heartbeat that can't be decoded");
                (400, Vec::new())
            }
        }
    }

    async fn leave(&self, id: &str, born: Option<u64>) -> Reply {
        if let Some(mut backend) = self.dispatcher.backend()
            && backend.holder.backend == id
            && born.is_none_or(|b| b == backend.holder.born)
        {
            tracing::info!(event = 372, backend = %id, "the backend server is leaving");
            backend.draining_since.get_or_insert_with(Instant::now);
            let holder = backend.holder.clone();
            self.dispatcher.set_backend(backend);
            self.departures.record(&holder).await;
        }
        (200, self.adapter.encode_grants(None))
    }

    fn heartbeat(&self, heartbeat: &Heartbeat) -> Reply {
        if let Some((status, reason)) = self.rejection(heartbeat) {
            tracing::warn!(event = 373, backend = %heartbeat.backend, born = heartbeat.born, sequence = heartbeat.sequence, reason, "ignored a stale or misdirected heartbeat");
            return (status, self.adapter.encode_grants(None));
        }
        let backend = self.describe(heartbeat);
        self.dispatcher.set_backend(backend.clone());
        if !backend.keyed {
            return (200, self.adapter.encode_grants(None));
        }
        let grant_manager = Rc::clone(&self.grant_manager);
        let (grants, released) = self.grant_manager.heartbeat(heartbeat, &backend);
        task::spawn_local(async move { grant_manager.record_release(released, &backend).await });
        (200, self.adapter.encode_grants(grants.as_ref()))
    }

    /// Returns the status and reason to reject a heartbeat with, if it must have no effect.
    fn rejection(&self, heartbeat: &Heartbeat) -> Option<(u16, &'static str)> {
        let address: Result<SocketAddr, _> = heartbeat.address.parse();
        if address.ok() != Some(self.address) {
            return Some((400, "not the backend server on this host"));
        }
        if !self.is_known_service(&heartbeat.service) {
            return Some((400, "of a service that isn't configured"));
        }
        if heartbeat.born > latest_start() {
            return Some((400, "started in the future"));
        }
        let current = self.dispatcher.backend()?;
        let same =
            current.holder.backend == heartbeat.backend && current.holder.born == heartbeat.born;
        if same && heartbeat.sequence <= current.sequence {
            return Some((200, "older than the last one"));
        }
        if !same && heartbeat.born <= current.holder.born {
            return Some((409, "from an earlier life"));
        }
        None
    }

    /// Returns whether a service is that of this host or one of the active configuration.
    fn is_known_service(&self, name: &str) -> bool {
        let routes = self.configuration.get();
        name == self.service || routes.is_some_and(|r| r.service(name).is_some())
    }

    fn describe(&self, heartbeat: &Heartbeat) -> Backend {
        let now = Instant::now();
        let holder = Holder {
            node: self.node.clone(),
            backend: heartbeat.backend.clone(),
            born: heartbeat.born,
        };
        let before = self.dispatcher.backend().filter(|b| b.holder == holder);
        let known = before.is_some();
        let before = before.and_then(|b| b.draining_since);
        // An earlier process may have acknowledged the drain up to any time ago.
        let first_seen = if known {
            now
        } else {
            now - self.dispatcher.drain_timeout()
        };
        let draining_since = match heartbeat.phase {
            Phase::Draining => Some(before.unwrap_or(first_seen)),
            // An incarnation that has left stays draining, also after a restart of this process.
            Phase::Ready if self.departures.has_left(&holder) => Some(before.unwrap_or(first_seen)),
            Phase::Ready => before,
        };
        if !known || draining_since != before {
            tracing::info!(event = 374, backend = %heartbeat.backend, born = heartbeat.born, sequence = heartbeat.sequence, service = %heartbeat.service, phase = ?heartbeat.phase, "the backend server's state changed");
        }
        let routes = self.configuration.get();
        let service = routes.as_ref().and_then(|r| r.service(&heartbeat.service));
        Backend {
            holder,
            sequence: heartbeat.sequence,
            service: heartbeat.service.clone(),
            address: self.address,
            slots: heartbeat.slots,
            draining_since,
            keyed: service.is_some_and(|s| s.keyed),
            warmup_end: now + heartbeat.warmup.min(MAX_WARMUP),
            last_heartbeat: now,
        }
    }
}

/// Returns the latest time at which a backend server can have started, in Unix milliseconds.
fn latest_start() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let latest = now.unwrap_or_default() + MAX_CLOCK_SKEW;
    u64::try_from(latest.as_millis()).unwrap_or(u64::MAX)
}
