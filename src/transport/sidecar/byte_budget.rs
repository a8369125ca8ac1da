//! Budget of the memory and descriptors that peers can make this process use.
//!
//! Every body counts with its length from its announcement or arrival until its last use: bodies of
//! callers, calls and responses on links, responses of the backend server, and retained outcomes. A
//! body is held once, whatever refers to it. Heads, buffers and the process itself live in the rest of
//! the memory, which the bound on connections keeps sufficient.
//!
//! When the budget is short, retained outcomes are released first. Then connections of callers that hold a body without progress are closed,
//! the longest without progress first. When the connections are short, idle ones are closed: those
//! that have never sent a whole request first, then the longest idle.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::{task, time};

use crate::state::clock::Instant;
use crate::state::reservation::{Reservation, SharedCount};
use crate::state::sidecar_settings::ProcessLimits;

/// Memory of a process whose settings don't state it, in bytes.
const DEFAULT_MEMORY: usize = 1 << 30;

/// Descriptors of a process whose settings don't state them.
const DEFAULT_DESCRIPTORS: usize = 16 * 1024;

/// Part of the memory for bodies. The other half has room for the process itself (about 15 MB), the heads
/// of callers, and what the allocator doesn't return.
const BODY_SHARE: usize = 2;

/// Part of the budget that only small bodies and responses may use, so that the usual requests are served
/// while large bodies take up the rest.
const RESERVE_SHARE: usize = 8;

/// Size up to which a body is small, in bytes. A connection with less isn't worth closing.
pub const SMALL_BODY: usize = 64 * 1024;

/// Part of the memory for heads and read buffers of callers.
const HEAD_SHARE: usize = 8;

/// Memory that one connection of a caller may take for its head and buffers, in bytes.
const HEAD_BYTES: usize = 20 * 1024;

/// Part of the descriptors that is reserved for links, the store, the backend server and probes. A mesh of
/// 88 nodes needs 176 for its links and 45 for the backend server.
const DESCRIPTOR_RESERVE_SHARE: usize = 4;

/// Progress that a connection has to make within [`STALL_TIME`] while the budget is short, in bytes. A body
/// of the largest legal size that arrives within its time limit makes far more.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Time without progress after which a connection may be closed.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Wait for closed connections to release their bytes, and the number of such waits.
const RELIEF_WAIT: Duration = Duration::from_millis(5);
const RELIEF_WAITS: usize = 6;

/// Interval between two log lines about the same shortage.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What a reservation is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Body of a request, which can be refused.
    Request,
    /// Response, whose request has run.
    Response,
}

/// What a caller's connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a request, or for the rest of its head.
    Idle,
    /// Receives a body.
    Receiving,
    /// Waits for a response.
    Running,
    /// Sends a response.
    Sending,
}

/// Connection of a caller.
#[derive(Debug)]
pub struct Connection {
    phase: Cell<Phase>,
    /// Bytes that it holds in this phase.
    held: Cell<usize>,
    /// Bytes moved since the last progress.
    moved: Cell<usize>,
    progressed: Cell<Instant>,
    /// Whether it has sent a whole request.
    served: Cell<bool>,
    closing: Cell<bool>,
    close: Notify,
}

impl Connection {
    /// Begins a phase in which the connection holds this many bytes.
    pub fn enter(&self, phase: Phase, held: usize) {
        if self.phase.replace(phase) != phase {
            self.progressed.set(Instant::now());
            self.moved.set(0);
            // The connection was chosen for a phase that it has left.
            self.closing.set(false);
        }
        self.held.set(held);
        self.served
            .set(self.served.get() || phase == Phase::Running);
    }

    /// Records received or sent bytes.
    pub fn record_moved(&self, bytes: usize) {
        let moved = self.moved.get() + bytes;
        if moved >= PROGRESS_BYTES {
            self.progressed.set(Instant::now());
        }
        self.moved.set(moved % PROGRESS_BYTES);
    }

    /// Waits until the connection is to be closed to free what it holds.
    pub async fn closed(&self) {
        while !self.closing.get() {
            self.close.notified().await;
        }
    }

    /// Takes back the request to close the connection, which then ends in an orderly way.
    pub fn acknowledge_close(&self) {
        self.closing.set(false);
    }

    fn close(&self) {
        self.closing.set(true);
        self.close.notify_one();
    }

    fn is_stalled(&self, now: Instant) -> bool {
        let moves = matches!(self.phase.get(), Phase::Receiving | Phase::Sending);
        moves && !self.closing.get() && now.since(self.progressed.get()) >= STALL_TIME
    }
}

/// Registered connection of a caller; removed on drop.
#[derive(Debug)]
pub struct Registered {
    budget: Rc<ByteBudget>,
    number: u64,
    /// Connection.
    pub connection: Rc<Connection>,
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.budget.callers.borrow_mut().remove(&self.number);
    }
}

/// Budget of one process.
pub struct ByteBudget {
    limit: usize,
    used: SharedCount,
    max_callers: usize,
    callers: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
    refused: RefCell<Option<prometheus::IntCounterVec>>,
    release_retained: RefCell<Option<Box<dyn Fn()>>>,
}

impl std::fmt::Debug for ByteBudget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ByteBudget")
            .field("limit", &self.limit)
            .field("used", &self.used)
            .finish_non_exhaustive()
    }
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes and `max_callers` connections.
    #[must_use]
    pub fn new(limit: usize, max_callers: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: SharedCount::default(),
            max_callers,
            callers: RefCell::default(),
            last: Cell::new(0),
            logged_at: Cell::new(None),
            refused: RefCell::default(),
            release_retained: RefCell::default(),
        })
    }

    /// Creates the budget of a process with these limits.
    #[must_use]
    pub fn of_process(limits: ProcessLimits) -> Rc<Self> {
        let memory = limits.memory_bytes.unwrap_or(DEFAULT_MEMORY);
        let descriptors = limits.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let by_descriptors = descriptors - descriptors / DESCRIPTOR_RESERVE_SHARE;
        let by_memory = memory / HEAD_SHARE / HEAD_BYTES;
        Self::new(memory / BODY_SHARE, by_descriptors.min(by_memory).max(1))
    }

    /// Sets the counter of refusals and closed connections, by place and reason.
    pub fn set_metric(&self, refused: prometheus::IntCounterVec) {
        *self.refused.borrow_mut() = Some(refused);
    }

    /// Sets what releases bodies that are retained only in case that a connection is lost; it is called
    /// before any connection is closed.
    pub fn set_release(&self, release: impl Fn() + 'static) {
        *self.release_retained.borrow_mut() = Some(Box::new(release));
    }

    /// Returns the count of reserved bytes, for reservations that begin empty.
    #[must_use]
    pub fn count(&self) -> &SharedCount {
        &self.used
    }

    /// Returns the number of bytes that are not reserved.
    #[must_use]
    pub fn available(&self) -> usize {
        self.limit.saturating_sub(self.used.get())
    }

    /// Reserves bytes if there is room.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize, purpose: Purpose) -> Option<Reservation> {
        let mut reservation = Reservation::new(&self.used, 0);
        self.try_grow(&mut reservation, bytes, purpose)
            .then_some(reservation)
    }

    /// Grows a reservation to `bytes` if there is room; returns whether there is.
    #[must_use]
    pub fn try_grow(&self, held: &mut Reservation, bytes: usize, purpose: Purpose) -> bool {
        let ceiling = match purpose {
            Purpose::Request if bytes > SMALL_BODY => self.limit - self.limit / RESERVE_SHARE,
            Purpose::Request | Purpose::Response => self.limit,
        };
        let more = bytes.saturating_sub(held.bytes());
        let has_room = self.used.get().saturating_add(more) <= ceiling;
        if has_room {
            held.grow_to(bytes);
        }
        has_room
    }

    /// Grows a reservation to `bytes`, after connections without progress were closed if necessary;
    /// returns whether there is room.
    pub async fn grow(&self, held: &mut Reservation, bytes: usize, purpose: Purpose) -> bool {
        if self.try_grow(held, bytes, purpose) {
            return true;
        }
        if let Some(release) = &*self.release_retained.borrow() {
            release();
        }
        if self.try_grow(held, bytes, purpose) {
            return true;
        }
        for round in 0..RELIEF_WAITS {
            self.close_stalled(bytes - held.bytes());
            wait_for_relief(round).await;
            if self.try_grow(held, bytes, purpose) {
                return true;
            }
        }
        self.record_shortage("memory");
        false
    }

    /// Closes connections without progress that hold `needed` bytes together, the longest stalled first.
    fn close_stalled(&self, needed: usize) {
        let now = Instant::now();
        let callers = self.callers.borrow();
        let stalled = callers
            .values()
            .filter(|c| c.held.get() > SMALL_BODY && c.is_stalled(now));
        let mut stalled: Vec<_> = stalled.collect();
        stalled.sort_by_key(|c| c.progressed.get());
        let mut freed = 0;
        for connection in stalled {
            if freed >= needed {
                return;
            }
            freed += connection.held.get();
            tracing::info!(event = 257, held = connection.held.get(), phase = ?connection.phase.get(), stalled_ms = now.since(connection.progressed.get()).as_millis(), "closing a caller's connection that holds bytes without progress");
            self.record("stalled");
            connection.close();
        }
    }

    /// Registers a caller's connection; closes an idle one if there are too many, or one without progress,
    /// and returns `None` if there is none to close.
    pub async fn register(self: &Rc<Self>) -> Option<Registered> {
        for round in 0..RELIEF_WAITS {
            if self.callers.borrow().len() < self.max_callers {
                return Some(self.add());
            }
            self.close_least_useful();
            wait_for_relief(round).await;
        }
        self.record_shortage("connections");
        None
    }

    fn add(self: &Rc<Self>) -> Registered {
        let connection = Rc::new(Connection {
            phase: Cell::new(Phase::Idle),
            held: Cell::new(0),
            moved: Cell::new(0),
            progressed: Cell::new(Instant::now()),
            served: Cell::new(false),
            closing: Cell::new(false),
            close: Notify::new(),
        });
        self.last.set(self.last.get() + 1);
        let number = self.last.get();
        let mut callers = self.callers.borrow_mut();
        callers.insert(number, Rc::clone(&connection));
        Registered {
            budget: Rc::clone(self),
            number,
            connection,
        }
    }

    /// Closes an idle connection. If there is none, closes the one that has been longest without progress,
    /// however few bytes it holds.
    fn close_least_useful(&self) {
        let now = Instant::now();
        let callers = self.callers.borrow();
        let idle = callers
            .values()
            .filter(|c| c.phase.get() == Phase::Idle && !c.closing.get());
        if let Some(connection) = idle.min_by_key(|c| (c.served.get(), c.progressed.get())) {
            self.record("idle");
            connection.close();
            return;
        }
        let stalled = callers.values().filter(|c| c.is_stalled(now));
        if let Some(connection) = stalled.min_by_key(|c| c.progressed.get()) {
            self.record("stalled");
            connection.close();
        }
    }

    fn record(&self, reason: &str) {
        if let Some(refused) = &*self.refused.borrow() {
            refused.with_label_values(&["callers", reason]).inc();
        }
    }

    fn record_shortage(&self, reason: &'static str) {
        self.record(reason);
        let now = Instant::now();
        let recent = |at| now.since(at) < LOG_INTERVAL;
        if !self.logged_at.get().is_some_and(recent) {
            self.logged_at.set(Some(now));
            tracing::warn!(
                event = 258,
                reason,
                used = self.used.get(),
                limit = self.limit,
                callers = self.callers.borrow().len(),
                max_callers = self.max_callers,
                "refusing callers: the memory or the descriptors of the process are used up"
            );
        }
    }
}

/// Lets closed connections end; the first rounds don't wait longer than that takes.
async fn wait_for_relief(round: usize) {
    if round < 2 {
        task::yield_now().await;
    } else {
        time::sleep(RELIEF_WAIT).await;
    }
}
