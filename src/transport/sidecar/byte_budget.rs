//! Budget of the memory and descriptors that peers can make this process use.
//!
//! Everything that a peer makes the process hold is reserved first, and until its last use: the
//! connection and its read buffer, a request with its parsed head and the copies of it, calls and
//! responses on links, responses of the backend server, and retained outcomes. `message_cost` states
//! what a message takes. Large buffers are mapped, and counted apart from the heap: what the allocator
//! keeps of freed heap memory must leave them enough room.
//!
//! When the budget is short, retained outcomes are released first. Then connections of callers that hold
//! memory without progress are closed, the longest without progress first. When the connections are
//! short, idle ones are closed: those that have never sent a whole request first, then the longest idle.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::{task, time};

use crate::state::clock::Instant;
use crate::state::reservation::{Footprint, Reservation, SharedCount};
use crate::state::sidecar_settings::ProcessLimits;

/// Memory of a process whose settings don't state it, in bytes.
const DEFAULT_MEMORY: usize = 1 << 30;

/// Descriptors of a process whose settings don't state them.
const DEFAULT_DESCRIPTORS: usize = 16 * 1024;

/// Part of the memory for mapped buffers.
const MAPPED_SHARE: usize = 2;

/// Part of the memory for what is reserved on the heap. The rest has room for the process itself (10 to
/// 20 MB), and for what the allocator needs and keeps beyond the reserved bytes.
const HEAP_SHARE: usize = 6;

/// Part of the mapped memory that only responses may use.
const MAPPED_RESERVE_SHARE: usize = 8;

/// Parts of the heap, in eighths, up to which it can be reserved: for requests that are sent ahead, for
/// larger requests and read buffers, and for usual requests. Responses may use all of it.
const AHEAD_EIGHTHS: usize = 4;
const LARGE_EIGHTHS: usize = 5;
const USUAL_EIGHTHS: usize = 7;

/// Memory up to which a request is a usual one, in bytes: a few header lines and a body of a few KiB.
pub const USUAL_REQUEST: usize = 24 * 1024;

/// Memory of a connection up to which its read buffer is a usual one, in bytes: room for a head of 4 KiB.
const USUAL_BUFFER: usize = 12 * 1024;

/// Heap memory up to which a connection isn't worth closing, in bytes.
const KEPT_HEAP: usize = 16 * 1024;

/// Part of the heap for connections of callers.
const CONNECTION_SHARE: usize = 2;

/// Part of the memory for the receive buffers of callers' connections, which the system fills up to twice
/// the size that is set.
const RECEIVE_SHARE: usize = 8;

/// Size of the receive buffer of a caller's connection, in bytes. The system doubles it for its own
/// bookkeeping; without a setting it grows to several MiB. Callers are on the same host, so that a small
/// window costs little throughput.
pub const RECEIVE_BUFFER: usize = 8 * 1024;

/// Memory of a caller's connection with a read buffer of the initial size, in bytes.
pub const CONNECTION_BYTES: usize = 8 * 1024;

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

/// Limit that no footprint exceeds.
const UNLIMITED: Footprint = Footprint {
    heap: usize::MAX,
    mapped: usize::MAX,
};

/// Interval between two log lines about the same shortage.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What a reservation is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Request that was sent before the response to an earlier one, which can be refused.
    Ahead,
    /// Read buffer of a connection beyond the initial size.
    Buffer,
    /// Request, which can be refused.
    Request,
    /// Response, whose request has run.
    Response,
    /// Message by which nodes coordinate; it has room at all times.
    Control,
}

/// Which retained outcomes are released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// Those that take much memory.
    Large,
    /// All.
    All,
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
    /// Memory that closing it in this phase frees.
    held: Cell<Footprint>,
    /// Bytes moved since the last progress.
    moved: Cell<usize>,
    progressed: Cell<Instant>,
    /// Whether it has sent a whole request.
    served: Cell<bool>,
    closing: Cell<bool>,
    close: Notify,
}

impl Connection {
    /// Begins a phase in which the connection holds this memory.
    pub fn enter(&self, phase: Phase, held: Footprint) {
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

    /// Returns the present phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase.get()
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
        self.phase.get() != Phase::Running
            && !self.closing.get()
            && now.since(self.progressed.get()) >= STALL_TIME
    }
}

/// Registered connection of a caller; removed on drop.
#[derive(Debug)]
pub struct Registered {
    budget: Rc<ByteBudget>,
    number: u64,
    /// Memory of the connection and its read buffer.
    pub held: Reservation,
    /// Connection.
    pub connection: Rc<Connection>,
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.budget.callers.borrow_mut().remove(&self.number);
    }
}

/// Releases retained outcomes.
type ReleaseHandler = Box<dyn Fn(Release)>;

/// Budget of one process.
pub struct ByteBudget {
    limit: Footprint,
    used: SharedCount,
    max_callers: usize,
    callers: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
    refused: RefCell<Option<prometheus::IntCounterVec>>,
    release_retained: RefCell<Option<ReleaseHandler>>,
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
    /// Creates a budget of a memory limit and `max_callers` connections.
    #[must_use]
    pub fn new(limit: Footprint, max_callers: usize) -> Rc<Self> {
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

    /// Creates a budget that refuses nothing, for messages whose size is bounded otherwise.
    #[must_use]
    pub fn unlimited() -> Rc<Self> {
        Self::new(UNLIMITED, 0)
    }

    /// Creates the budget of a process with these limits.
    #[must_use]
    pub fn of_process(limits: ProcessLimits) -> Rc<Self> {
        let memory = limits.memory_bytes.unwrap_or(DEFAULT_MEMORY);
        let descriptors = limits.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let by_descriptors = descriptors - descriptors / DESCRIPTOR_RESERVE_SHARE;
        let limit = Footprint {
            heap: memory / HEAP_SHARE,
            mapped: memory / MAPPED_SHARE,
        };
        let by_heap = limit.heap / CONNECTION_SHARE / CONNECTION_BYTES;
        let by_buffers = memory / RECEIVE_SHARE / (2 * RECEIVE_BUFFER);
        let max_callers = by_descriptors.min(by_heap).min(by_buffers).max(1);
        Self::new(limit, max_callers)
    }

    /// Sets the counter of refusals and closed connections, by place and reason.
    pub fn set_metric(&self, refused: prometheus::IntCounterVec) {
        *self.refused.borrow_mut() = Some(refused);
    }

    /// Sets what releases outcomes that are retained only in case that a connection is lost; it is called
    /// before any connection is closed.
    pub fn set_release(&self, release: impl Fn(Release) + 'static) {
        *self.release_retained.borrow_mut() = Some(Box::new(release));
    }

    /// Returns a reservation that takes nothing yet.
    #[must_use]
    pub fn empty_reservation(&self) -> Reservation {
        Reservation::new(&self.used, Footprint::default())
    }

    /// Returns the memory that is not reserved.
    #[must_use]
    pub fn available(&self) -> Footprint {
        self.limit.beyond(self.used.get())
    }

    /// Returns up to which the memory may be reserved if a reservation takes `footprint` of it.
    fn ceiling(&self, footprint: Footprint, purpose: Purpose) -> Footprint {
        let Footprint { heap, mapped } = self.limit;
        let usual = match purpose {
            Purpose::Buffer => USUAL_BUFFER,
            _ => USUAL_REQUEST,
        };
        let eighths = match purpose {
            Purpose::Ahead => AHEAD_EIGHTHS,
            Purpose::Buffer | Purpose::Request if footprint.heap > usual => LARGE_EIGHTHS,
            Purpose::Buffer | Purpose::Request => USUAL_EIGHTHS,
            Purpose::Response => return self.limit,
            Purpose::Control => return UNLIMITED,
        };
        Footprint {
            heap: heap / 8 * eighths,
            mapped: mapped - mapped / MAPPED_RESERVE_SHARE,
        }
    }

    /// Reserves memory if there is room.
    #[must_use]
    pub fn try_reserve(&self, footprint: Footprint, purpose: Purpose) -> Option<Reservation> {
        let reservation = self.empty_reservation();
        self.try_set(&reservation, footprint, purpose)
            .then_some(reservation)
    }

    /// Changes a reservation to `footprint` if there is room for it; returns whether there is.
    #[must_use]
    pub fn try_set(&self, held: &Reservation, footprint: Footprint, purpose: Purpose) -> bool {
        let more = footprint.beyond(held.held());
        let total = self.used.get().plus(more);
        let ceiling = self.ceiling(footprint, purpose);
        let has_room = (more.heap == 0 || total.heap <= ceiling.heap)
            && (more.mapped == 0 || total.mapped <= ceiling.mapped);
        if has_room {
            held.set(footprint);
        }
        has_room
    }

    /// Changes a reservation to `footprint`, after retained outcomes were released if necessary; returns
    /// whether there is room.
    #[must_use]
    pub fn set_now(&self, held: &Reservation, footprint: Footprint, purpose: Purpose) -> bool {
        if self.try_set(held, footprint, purpose) {
            return true;
        }
        let release_retained = self.release_retained.borrow();
        let Some(release) = &*release_retained else {
            return false;
        };
        [Release::Large, Release::All].into_iter().any(|which| {
            release(which);
            self.try_set(held, footprint, purpose)
        })
    }

    /// Changes a reservation to `footprint`, after connections without progress were closed if necessary;
    /// returns whether there is room.
    pub async fn set(&self, held: &Reservation, footprint: Footprint, purpose: Purpose) -> bool {
        if self.set_now(held, footprint, purpose) {
            return true;
        }
        for round in 0..RELIEF_WAITS {
            self.close_stalled(footprint.beyond(held.held()));
            wait_for_relief(round).await;
            if self.try_set(held, footprint, purpose) {
                return true;
            }
        }
        self.record_shortage("memory");
        false
    }

    /// Closes connections without progress that hold `needed` memory together, the longest stalled first.
    fn close_stalled(&self, needed: Footprint) {
        let now = Instant::now();
        let callers = self.callers.borrow();
        let frees = |held: Footprint| {
            (needed.heap > 0 && held.heap > KEPT_HEAP) || (needed.mapped > 0 && held.mapped > 0)
        };
        let stalled = callers
            .values()
            .filter(|c| frees(c.held.get()) && c.is_stalled(now));
        let mut stalled: Vec<_> = stalled.collect();
        stalled.sort_by_key(|c| c.progressed.get());
        let mut released = Footprint::default();
        for connection in stalled {
            if needed.fits_in(released) {
                return;
            }
            let held = connection.held.get();
            released = released.plus(held);
            tracing::info!(event = 257, held = held.total(), heap = held.heap, mapped = held.mapped, phase = ?connection.phase.get(), stalled_ms = now.since(connection.progressed.get()).as_millis(), "closing a caller's connection that holds memory without progress");
            self.record("stalled");
            connection.close();
        }
    }

    /// Registers a caller's connection; closes an idle one if there are too many, or one without progress,
    /// and returns `None` if there is none to close.
    pub async fn register(self: &Rc<Self>) -> Option<Registered> {
        for round in 0..RELIEF_WAITS {
            if self.callers.borrow().len() < self.max_callers {
                let footprint = Footprint::on_heap(CONNECTION_BYTES);
                let held = self.empty_reservation();
                if self.set_now(&held, footprint, Purpose::Request) {
                    return Some(self.add(held));
                }
                self.close_stalled(footprint);
            }
            self.close_least_useful();
            wait_for_relief(round).await;
        }
        self.record_shortage("connections");
        None
    }

    fn add(self: &Rc<Self>, held: Reservation) -> Registered {
        let connection = Rc::new(Connection {
            phase: Cell::new(Phase::Idle),
            held: Cell::default(),
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
            held,
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

    /// Records that peers are refused because of a shortage.
    pub fn record_shortage(&self, reason: &'static str) {
        self.record(reason);
        let now = Instant::now();
        let recent = |at| now.since(at) < LOG_INTERVAL;
        if !self.logged_at.get().is_some_and(recent) {
            self.logged_at.set(Some(now));
            tracing::warn!(
                event = 258,
                reason,
                used = self.used.get().total(),
                limit = self.limit.total(),
                heap = self.used.get().heap,
                max_heap = self.limit.heap,
                mapped = self.used.get().mapped,
                max_mapped = self.limit.mapped,
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
