//! Backend server beside this node: what it announces and how it behaves.
//!
//! Announcements and the health endpoint are hints: the health endpoint of a server whose requests
//! all time out may still answer. What counts is how requests end. After three timeouts in a row, or
//! a refused connection, the server is down until it answers a probe; it then starts slowly and is
//! down again after one further timeout. If no request was answered in between, the next probe is
//! made only after the lease has ended, so that the slices of a server with a misleading health
//! endpoint move to others.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::{net, time};

use tokio::sync::watch;

use crate::coordination::node;
use crate::protocol::{backend, peer};
use crate::state::{clock, timing};

/// Timeouts in a row after which the server is down.
const MAX_TIMEOUTS: u32 = 3;

/// Interval at which the server is checked, and probed while it is down.
const CHECK: time::Duration = time::Duration::from_millis(100);

/// Time for a probe, about 6 ms normally.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Time for which a draining server still serves the slices that it has not released; the
/// guarantee allows 5 s until it gets no new work.
const DRAIN_GRACE: time::Duration = time::Duration::from_secs(3);

/// Shortest slow start after the server was down.
const RECOVERY: time::Duration = time::Duration::from_secs(1);

/// Connections left to grants, cancels and probes.
const RESERVED_CONNECTIONS: u32 = 4;

/// Time until the first probe of a server that was down before and has not answered a request since.
/// It exceeds the length of a lease; it doubles with each further time.
const RELAPSE: time::Duration = time::Duration::from_secs(2);

/// Relapses after which the time no longer doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Requests in flight at the begin of a slow start.
const FIRST_LIMIT: u32 = 2;

/// Backend server beside this node.
#[derive(Debug)]
pub struct Backend {
    known: Mutex<Option<Known>>,
    leaving: AtomicBool,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct Known {
    announcement: backend::Announcement,
    heard: clock::Instant,
    started: clock::Instant,
    warmup: time::Duration,
    draining_since: Option<clock::Instant>,
    timeouts: u32,
    silent: bool,
    down: bool,
    probe_at: clock::Instant,
    relapses: u32,
}

/// Server as it is now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub addr: net::SocketAddr,
    /// Start of its process.
    pub incarnation: u64,
    /// Whether it checks fencing tokens.
    pub checks_tokens: bool,
    /// Whether it can serve.
    pub up: bool,
    /// Whether it still takes work.
    pub accepts_requests: bool,
    /// Requests that may be in flight now.
    pub limit: usize,
}

impl Default for Backend {
    fn default() -> Self {
        Self {
            known: Mutex::default(),
            leaving: AtomicBool::new(false),
            changes: watch::Sender::new(0),
        }
    }
}

impl Backend {
    /// Takes an announcement of the backend server.
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
                    *slot = Some(Known::new(new, now));
                    true
                }
            }
        };
        if changed {
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Marks the server as draining from now on, because its node is about to stop.
    pub fn drain(&self) {
        self.leaving.store(true, Ordering::Relaxed);
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
            draining: a.draining || self.leaving.load(Ordering::Relaxed),
            checks: a.checks_tokens,
            slots: a.slots,
        };
        Some((a.service.clone(), state))
    }

    /// Returns the backend server as the gate needs it.
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

    /// Notes that a request was answered.
    pub fn record_answer(&self, incarnation: u64) {
        if let Some(known) = self.lock().as_mut()
            && known.announcement.incarnation == incarnation
        {
            known.timeouts = 0;
            known.relapses = 0;
        }
    }

    /// Notes that a request that had enough time was not answered.
    pub fn record_timeout(&self, incarnation: u64) {
        self.fail(incarnation, |known| {
            known.timeouts += 1;
            known.timeouts >= MAX_TIMEOUTS
        });
    }

    /// Notes that the server refused a connection, so that nothing listens at its address.
    pub fn record_connection_refused(&self, incarnation: u64) {
        self.fail(incarnation, |_| true);
    }

    fn fail<F: FnOnce(&mut Known) -> bool>(&self, incarnation: u64, is_down: F) {
        let changed = {
            let mut slot = self.lock();
            match slot.as_mut() {
                Some(known) if known.announcement.incarnation == incarnation && !known.down => {
                    let down = is_down(known);
                    if down {
                        known.stop(clock::Instant::now());
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
                "backend server fails, taking no requests until it answers a probe"
            );
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Notes that the server has answered a probe.
    pub fn record_recovery(&self, incarnation: u64) {
        let changed = {
            let mut slot = self.lock();
            match slot.as_mut() {
                Some(known) if known.announcement.incarnation == incarnation && known.down => {
                    known.restart(clock::Instant::now());
                    true
                }
                _ => false,
            }
        };
        if changed {
            tracing::info!(event = 503, incarnation, "backend server answers again");
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Withdraws a silent server; returns the incarnation and address to probe, if that is due.
    #[must_use]
    pub fn check_liveness(&self, now: clock::Instant) -> Option<(u64, net::SocketAddr)> {
        let mut slot = self.lock();
        let known = slot.as_mut()?;
        let silent = now.since(known.heard) > timing::ANNOUNCEMENT_EXPIRY;
        let due = known.down && known.probe_at <= now;
        let probe = due.then_some((known.announcement.incarnation, known.announcement.address));
        if silent && !known.silent {
            known.silent = true;
            tracing::warn!(event = 504, service = %known.announcement.service, "backend server is silent, withdrawing it");
            drop(slot);
            self.changes.send_modify(|n| *n += 1);
        }
        probe
    }

    fn lock(&self) -> MutexGuard<'_, Option<Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    fn new(announcement: backend::Announcement, now: clock::Instant) -> Self {
        Self {
            warmup: time::Duration::from_millis(announcement.cold_start_ms),
            draining_since: announcement.draining.then_some(now),
            announcement,
            heard: now,
            started: now,
            timeouts: 0,
            silent: false,
            down: false,
            probe_at: now,
            relapses: 0,
        }
    }

    /// Takes a further announcement of the same process; returns whether the state changed.
    fn update(&mut self, new: backend::Announcement, now: clock::Instant) -> bool {
        let changed = self.silent || self.announcement != new;
        self.draining_since = match (self.draining_since, new.draining) {
            (Some(since), true) => Some(since),
            (_, draining) => draining.then_some(now),
        };
        self.announcement = new;
        self.heard = now;
        self.silent = false;
        changed
    }

    fn stop(&mut self, now: clock::Instant) {
        self.down = true;
        let doublings = self.relapses.saturating_sub(1).min(MAX_DOUBLINGS);
        let wait = match self.relapses {
            0 => time::Duration::ZERO,
            _ => RELAPSE * 2_u32.pow(doublings),
        };
        self.probe_at = now + wait;
        self.relapses += 1;
    }

    /// Starts the server slowly, one timeout away from being down again.
    fn restart(&mut self, now: clock::Instant) {
        self.down = false;
        self.timeouts = MAX_TIMEOUTS - 1;
        self.started = now;
        self.warmup = self.warmup.max(RECOVERY);
    }

    fn is_up(&self) -> bool {
        !self.down && !self.silent
    }

    fn server(&self, now: clock::Instant) -> Server {
        let a = &self.announcement;
        let drained = self
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
            accepts_requests: !drained,
            limit: slow_start(capacity, now.since(self.started), self.warmup),
        }
    }
}

/// Returns the limit of a server that started `age` ago: it grows evenly up to `capacity`.
#[must_use]
pub fn slow_start(capacity: u32, age: time::Duration, warmup: time::Duration) -> usize {
    let first = FIRST_LIMIT.min(capacity);
    let limit = if age >= warmup {
        capacity
    } else {
        let share = age.as_millis() * u128::from(capacity - first) / warmup.as_millis().max(1);
        first + u32::try_from(share).unwrap_or(capacity - first)
    };
    usize::try_from(limit).unwrap_or(usize::MAX)
}

/// Watches the backend server.
pub async fn run(node: Arc<node::Node>) {
    let mut tick = tokio::time::interval(CHECK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
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
