//! Handling of heartbeats of the local backend server.
//!
//! Heartbeats may be late, repeated or from an earlier incarnation of the backend server. They are
//! ordered by the start time of the incarnation and the sequence number within it. One that is not
//! newer than the last is acknowledged or refused without any effect.
//!
//! A process that has just started knows no last heartbeat, so the first one may be of an earlier
//! incarnation. Before it is applied, the departure record and the assignment tables are read, which name
//! later incarnations; if the store doesn't respond, it is applied after a limited wait. A leave notice
//! may be the first message too, and is recorded before it is acknowledged.
//!
//! Where a start is missing, incarnations can't be ordered. Then one replaces another when that has been
//! silent and its grants have expired.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use tokio::{task, time};

use crate::coordination::sidecar::configuration::Configuration;
use crate::coordination::sidecar::departures::Departures;
use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::grant_manager::{self, GrantManager};
use crate::coordination::sidecar::local_backend::Backend;
use crate::coordination::sidecar::replication::Replicator;
use crate::coordination::sidecar::tables::Tables;
use crate::protocol::adapter::{Adapter, Heartbeat, Notice, Phase};
use crate::protocol::http;
use crate::state::clock::Instant;
use crate::state::keyspace::Holder;
use crate::transport::sidecar::http_server::Reply;

/// Maximum warm-up time that is accepted from a backend server.
const MAX_WARMUP: Duration = Duration::from_mins(1);

/// Maximum difference between the clocks of a backend server and its node.
const MAX_CLOCK_SKEW: Duration = Duration::from_hours(24);

/// Interval at which a first heartbeat checks whether the replicated items are read.
const ITEMS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Order of a heartbeat relative to the last one that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It is newer, or of a later incarnation.
    Newer,
    /// It is not newer than the last one of its incarnation.
    Repeated,
    /// It is of an earlier incarnation.
    Earlier,
    /// A start is missing or isn't unique, so the order can't be told.
    Unordered,
}

impl Freshness {
    /// Returns the order of a heartbeat by the start of its incarnation, then by its sequence number.
    #[must_use]
    pub fn of(holder: &Holder, sequence: u64, last: &Holder, last_sequence: u64) -> Self {
        match holder.start_order(last) {
            Some(Ordering::Equal) if sequence > last_sequence => Self::Newer,
            Some(Ordering::Equal) if holder.born == 0 => Self::Unordered,
            Some(Ordering::Equal) => Self::Repeated,
            Some(Ordering::Greater) => Self::Newer,
            Some(Ordering::Less) => Self::Earlier,
            None if last.born == 0 && holder.born > 0 => Self::Newer,
            None => Self::Unordered,
        }
    }
}

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
    /// Replica of the store's items.
    pub replicator: Rc<Replicator>,
    /// Assignment tables.
    pub tables: Rc<Tables>,
}

impl HeartbeatHandler {
    /// Handles a request of the backend server.
    pub async fn handle(&self, head: &http::RequestHead, body: &[u8]) -> Reply {
        match self.adapter.decode_notice(head, body) {
            Ok(Notice::Heartbeat(heartbeat)) => {
                if self.dispatcher.backend().is_none() {
                    self.wait_until_read().await;
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

    /// Waits until the departure record and the replicated items are read, or the wait has timed out. The
    /// items have the assignment tables, and the records of requests that crash backend servers.
    async fn wait_until_read(&self) {
        let wait = self.departures.load_wait();
        let items = async {
            while self.replicator.revision().is_none() {
                time::sleep(ITEMS_POLL_INTERVAL).await;
            }
        };
        let ((), read) = tokio::join!(self.departures.wait_loaded(), time::timeout(wait, items));
        if read.is_err() {
            tracing::warn!(
                event = 384,
                "accepted a heartbeat before the replicated items were read"
            );
        }
    }

    async fn leave(&self, id: &str, born: Option<u64>) -> Reply {
        let current = self.dispatcher.backend();
        let started = born.unwrap_or_default();
        match current {
            Some(mut backend)
                if backend.holder.backend == id
                    && (started == 0 || started == backend.holder.born) =>
            {
                tracing::info!(event = 372, backend = %id, "the backend server is leaving");
                backend.draining_since.get_or_insert_with(Instant::now);
                let holder = backend.holder.clone();
                self.dispatcher.set_backend(backend);
                self.departures.record(&holder).await;
            }
            Some(backend) if 0 < started && started < backend.holder.born => {
                tracing::info!(event = 381, backend = %id, born, "ignored a leave notice of an earlier incarnation");
            }
            _ => {
                tracing::info!(event = 382, backend = %id, born, "a backend server is leaving that has not registered with this process");
                self.departures.record_notice(id, born).await;
            }
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
        let holder = self.holder(heartbeat);
        if self.departures.has_ended(&holder) {
            return Some((409, "a later life has left"));
        }
        let Some(current) = self.dispatcher.backend() else {
            return self
                .has_successor(&holder)
                .then_some((409, "a later life holds keys"));
        };
        match Freshness::of(
            &holder,
            heartbeat.sequence,
            &current.holder,
            current.sequence,
        ) {
            Freshness::Newer => None,
            Freshness::Unordered if self.may_replace(&current) => {
                tracing::info!(event = 383, backend = %holder.backend, born = holder.born, before = %current.holder.backend, "a backend server that can't be ordered by its start replaces a silent one");
                None
            }
            Freshness::Unordered if holder.backend != current.holder.backend => {
                Some((409, "not known to be of a later life"))
            }
            Freshness::Repeated | Freshness::Unordered => Some((200, "older than the last one")),
            Freshness::Earlier => Some((409, "from an earlier life")),
        }
    }

    /// Returns whether a backend server of unknown order may replace the current one, which is silent
    /// and holds no keys any more.
    fn may_replace(&self, current: &Backend) -> bool {
        let silence = Instant::now().since(current.last_heartbeat);
        silence > grant_manager::HEARTBEAT_TIMEOUT && self.grant_manager.all_expired()
    }

    /// Returns whether a service is that of this host or one of the active configuration.
    fn is_known_service(&self, name: &str) -> bool {
        let routes = self.configuration.get();
        name == self.service || routes.is_some_and(|r| r.service(name).is_some())
    }

    fn is_keyed(&self, service: &str) -> bool {
        let routes = self.configuration.get();
        let service = routes.as_ref().and_then(|r| r.service(service));
        service.is_some_and(|s| s.keyed)
    }

    fn holder(&self, heartbeat: &Heartbeat) -> Holder {
        Holder {
            node: self.node.clone(),
            backend: heartbeat.backend.clone(),
            born: heartbeat.born,
        }
    }

    /// Returns whether the tables assign keys to a later incarnation on this node.
    fn has_successor(&self, holder: &Holder) -> bool {
        let services = self.tables.services().into_iter();
        let mut tables = services.filter_map(|s| self.tables.route(&s));
        tables.any(|table| {
            let holders = table.assignments.holders().into_iter();
            let mut local = holders.filter(|h| h.node == self.node);
            local.any(|h| h.start_order(holder) == Some(Ordering::Greater))
        })
    }

    fn describe(&self, heartbeat: &Heartbeat) -> Backend {
        let now = Instant::now();
        let holder = self.holder(heartbeat);
        // Without a start, a lower sequence number is that of a restarted backend server.
        let before = self
            .dispatcher
            .backend()
            .filter(|b| b.holder == holder && heartbeat.sequence > b.sequence);
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
        Backend {
            holder,
            sequence: heartbeat.sequence,
            service: heartbeat.service.clone(),
            address: self.address,
            slots: heartbeat.slots,
            draining_since,
            keyed: self.is_keyed(&heartbeat.service),
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
