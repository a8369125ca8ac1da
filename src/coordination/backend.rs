//! State and health of the local backend server.
//!
//! Announcements and the health endpoint are only hints, because the health endpoint of a server may
//! answer while all its requests time out. Health is judged by the results of requests. After three
//! consecutive timeouts or a refused connection the server is down until it answers a probe. It then
//! starts slowly and is down again after one further timeout. If no request was answered in between,
//! the next probe is delayed beyond the lease, so that the slices of a server with a misleading
//! health endpoint move to others.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::{net, time};

use tokio::sync::watch;

use crate::coordination::node;
use crate::protocol::{backend, peer};
use crate::state::{clock, timing};

/// Consecutive timeouts after which the server is down.
const MAX_TIMEOUTS: u32 = 3;

/// Interval at which the server is checked, and probed while it is down.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Timeout of a probe, which normally takes about 6 ms.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Time for which a draining server still serves the slices that it has not released. It is
/// guaranteed to get no new work after 5 s.
const DRAIN_GRACE: time::Duration = time::Duration::from_secs(3);

/// Shortest slow start after the server was down.
const MIN_RECOVERY_WARMUP: time::Duration = time::Duration::from_secs(1);

/// Connections reserved for grants, cancels and probes.
const RESERVED_CONNECTIONS: u32 = 4;

/// Delay of the first probe of a server that was down before and has not answered a request since.
/// It exceeds the length of a lease and doubles with each further relapse.
const RELAPSE_PROBE_DELAY: time::Duration = time::Duration::from_secs(2);

/// Number of relapses after which the probe delay no longer doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Limit on requests in flight at the start of a slow start.
const INITIAL_LIMIT: u32 = 2;

/// Tracks the local backend server.
#[derive(Debug)]
pub struct Backend {
    server: Mutex<Option<ServerState>>,
    node_draining: AtomicBool,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct ServerState {
    announcement: backend::Announcement,
    last_announcement: clock::Instant,
    warmup_start: clock::Instant,
    warmup: time::Duration,
    draining_since: Option<clock::Instant>,
    timeouts: u32,
    silent: bool,
    down: bool,
    next_probe: clock::Instant,
    relapses: u32,
}

/// Current state of the server, as the gate needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub addr: net::SocketAddr,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Whether it checks fencing tokens.
    pub checks_tokens: bool,
    /// Whether it is healthy and announces itself.
    pub up: bool,
    /// Whether it still accepts requests.
    pub accepts_requests: bool,
    /// Current limit on requests in flight.
    pub limit: usize,
}

impl Default for Backend {
    fn default() -> Self {
        Self {
            server: Mutex::default(),
            node_draining: AtomicBool::new(false),
            changes: watch::Sender::new(0),
        }
    }
}

impl Backend {
    /// Processes an announcement of the backend server.
    pub fn announce(&self, new: backend::Announcement) {
        let now = clock::Instant::now();
        let changed = {
            let mut slot = self.lock();
            match slot.as_mut() {
                Some(known) if known.announcement.incarnation > new.incarnation => false,
                Some(known) if known.announcement.incarnation == new.incarnation => {
                    known.update(new, now)
                }
                _ => {
                    tracing::info!(event = 501, service = %new.service, addr = %new.address, incarnation = new.incarnation, "backend server announced itself");
                    *slot = Some(ServerState::new(new, now));
                    true
                }
            }
        };
        if changed {
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Marks the server as draining from now on, because its node is shutting down.
    pub fn drain(&self) {
        self.node_draining.store(true, Ordering::Relaxed);
        self.changes.send_modify(|n| *n += 1);
    }

    /// Returns the service and state of the backend server, if one has announced itself.
    #[must_use]
    pub fn state(&self) -> Option<(String, peer::BackendState)> {
        let slot = self.lock();
        let known = slot.as_ref()?;
        let a = &known.announcement;
        let state = peer::BackendState {
            up: known.is_up(),
            draining: a.draining || self.node_draining.load(Ordering::Relaxed),
            checks: a.checks_tokens,
            slots: a.slots,
        };
        Some((a.service.clone(), state))
    }

    /// Returns the current state of the backend server for the gate.
    #[must_use]
    pub fn server(&self) -> Option<Server> {
        let slot = self.lock();
        slot.as_ref()
            .map(|known| known.server(clock::Instant::now()))
    }

    /// Returns a receiver that is notified when the state changes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Records that a request was answered.
    pub fn record_answer(&self, incarnation: u64) {
        if let Some(known) = self.lock().as_mut()
            && known.announcement.incarnation == incarnation
        {
            known.timeouts = 0;
            known.relapses = 0;
        }
    }

    /// Records that a request with sufficient time was not answered.
    pub fn record_timeout(&self, incarnation: u64) {
        self.record_failure(incarnation, |known| {
            known.timeouts += 1;
            known.timeouts >= MAX_TIMEOUTS
        });
    }

    /// Records that the server refused a connection, which means that nothing listens at its address.
    pub fn record_connection_refused(&self, incarnation: u64) {
        self.record_failure(incarnation, |_| true);
    }

    fn record_failure<F: FnOnce(&mut ServerState) -> bool>(&self, incarnation: u64, is_down: F) {
        let changed = {
            let mut slot = self.lock();
            match slot.as_mut() {
                Some(known) if known.announcement.incarnation == incarnation && !known.down => {
                    let down = is_down(known);
                    if down {
                        known.mark_down(clock::Instant::now());
                    }
                    down
                }
                _ => false,
            }
        };
        if changed {
            tracing::warn!(
                event = 502,
                incarnation,
                "backend server is down, no requests until it answers a probe"
            );
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Records that the server has answered a probe.
    pub fn record_recovery(&self, incarnation: u64) {
        let changed = {
            let mut slot = self.lock();
            match slot.as_mut() {
                Some(known) if known.announcement.incarnation == incarnation && known.down => {
                    known.mark_up(clock::Instant::now());
                    true
                }
                _ => false,
            }
        };
        if changed {
            tracing::info!(event = 503, incarnation, "backend server is up again");
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Marks a server without recent announcements as silent. Returns the incarnation and address to
    /// probe if a probe is due.
    #[must_use]
    pub fn check_liveness(&self, now: clock::Instant) -> Option<(u64, net::SocketAddr)> {
        let mut slot = self.lock();
        let known = slot.as_mut()?;
        let silent = now.since(known.last_announcement) > timing::ANNOUNCEMENT_EXPIRY;
        let is_due = known.down && known.next_probe <= now;
        let probe = is_due.then_some((known.announcement.incarnation, known.announcement.address));
        if silent && !known.silent {
            known.silent = true;
            tracing::warn!(event = 504, service = %known.announcement.service, "no announcements from the backend server, marking it down");
            drop(slot);
            self.changes.send_modify(|n| *n += 1);
        }
        probe
    }

    fn lock(&self) -> MutexGuard<'_, Option<ServerState>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServerState {
    fn new(announcement: backend::Announcement, now: clock::Instant) -> Self {
        Self {
            warmup: time::Duration::from_millis(announcement.cold_start_ms),
            draining_since: announcement.draining.then_some(now),
            announcement,
            last_announcement: now,
            warmup_start: now,
            timeouts: 0,
            silent: false,
            down: false,
            next_probe: now,
            relapses: 0,
        }
    }

    /// Processes a further announcement of the same process; returns whether the state changed.
    fn update(&mut self, new: backend::Announcement, now: clock::Instant) -> bool {
        let changed = self.silent || self.announcement != new;
        self.draining_since = match (self.draining_since, new.draining) {
            (Some(since), true) => Some(since),
            (_, draining) => draining.then_some(now),
        };
        self.announcement = new;
        self.last_announcement = now;
        self.silent = false;
        changed
    }

    fn mark_down(&mut self, now: clock::Instant) {
        self.down = true;
        let doublings = self.relapses.saturating_sub(1).min(MAX_DOUBLINGS);
        let delay = match self.relapses {
            0 => time::Duration::ZERO,
            _ => RELAPSE_PROBE_DELAY * 2_u32.pow(doublings),
        };
        self.next_probe = now + delay;
        self.relapses += 1;
    }

    /// Marks the server up with a slow start; a single timeout takes it down again.
    fn mark_up(&mut self, now: clock::Instant) {
        self.down = false;
        self.timeouts = MAX_TIMEOUTS - 1;
        self.warmup_start = now;
        self.warmup = self.warmup.max(MIN_RECOVERY_WARMUP);
    }

    fn is_up(&self) -> bool {
        !self.down && !self.silent
    }

    fn server(&self, now: clock::Instant) -> Server {
        let a = &self.announcement;
        let is_drained = self
            .draining_since
            .is_some_and(|since| now.since(since) > DRAIN_GRACE);
        let capacity = a
            .slots
            .min(a.connections.saturating_sub(RESERVED_CONNECTIONS))
            .max(1);
        Server {
            service: a.service.clone(),
            addr: a.address,
            incarnation: a.incarnation,
            checks_tokens: a.checks_tokens,
            up: self.is_up(),
            accepts_requests: !is_drained,
            limit: slow_start(capacity, now.since(self.warmup_start), self.warmup),
        }
    }
}

/// Returns the limit on requests in flight of a server that started `age` ago. The limit grows
/// linearly up to `capacity` over `warmup`.
#[must_use]
pub fn slow_start(capacity: u32, age: time::Duration, warmup: time::Duration) -> usize {
    let first = INITIAL_LIMIT.min(capacity);
    let limit = if age >= warmup {
        capacity
    } else {
        let share = age.as_millis() * u128::from(capacity - first) / warmup.as_millis().max(1);
        first + u32::try_from(share).unwrap_or(capacity - first)
    };
    usize::try_from(limit).unwrap_or(usize::MAX)
}

/// Monitors the backend server and probes it while it is down.
pub async fn run(node: Arc<node::Node>) {
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let probe = node.backend.check_liveness(clock::Instant::now());
        node.gate.refuse_late(node.backend.server());
        let Some((incarnation, addr)) = probe else {
            continue;
        };
        let client = node.gate.client();
        let answer = tokio::task::spawn_blocking(move || {
            client.control("GET", addr, "/-/health", PROBE_TIMEOUT)
        });
        if let Ok(Ok(_)) = answer.await {
            node.backend.record_recovery(incarnation);
        }
    }
}
