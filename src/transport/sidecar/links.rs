//! Outbound connections to other nodes, over which this node sends calls.
//!
//! A call survives the loss of its connection: after reconnecting, the link asks for its outcome,
//! and the other node sends the outcome, keeps running the call, or reports that it has no such call.
//! The outcome of a call that was written to a connection is unknown if the other node has restarted
//! or no longer retains the outcome, or if the link is closed. For an idempotent call it is also
//! unknown if the other node has no such call, or if the link doesn't reconnect within
//! `RESUME_TIMEOUT`: such a call can be retried elsewhere. A silent connection is closed, because a
//! device on the path may have dropped its state without sending a reset.

mod connection;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{Notify, mpsc, oneshot};
use tokio::{task, time};

use crate::protocol::adapter::Signals;
use crate::protocol::mesh::{
    BackendInfo, Call, Cause, EvacuationSet, Failure, Frame, Hello, Items, Load, Outcome,
    Permission, PermitRequest, Seq, StoreRequest, StoreResponse,
};
use crate::state::clock::Instant;
use crate::state::keyspace::Holder;
use crate::state::routes::Repeat;
use crate::transport::sidecar::activity::Activity;
use crate::transport::sidecar::backend_memory::BackendMemory;
use crate::transport::sidecar::byte_budget::ByteBudget;

/// Interval at which connections are checked for silence.
pub const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Silence after which a ping is sent on a connection with pending calls.
const BUSY_PING_AFTER: Duration = Duration::from_millis(250);

/// Silence after which a ping is sent on a connection without pending calls.
const IDLE_PING_AFTER: Duration = Duration::from_millis(1500);

/// Maximum wait for a pong; it allows for a slow host, not only for network latency.
const PONG_TIMEOUT: Duration = Duration::from_millis(900);

/// Wait for a pong after which other nodes are asked first.
const PROMPT_PONG: Duration = Duration::from_millis(400);

/// Handler of the items that a node sends; gets the failure domain of that node.
pub type ItemsHandler = Rc<dyn Fn(&str, Items)>;

#[derive(Debug)]
struct Pending {
    reply: oneshot::Sender<Outcome>,
    repeat: Repeat,
    written: bool,
}

/// Current connection of a link.
#[derive(Debug)]
struct Connection {
    out: mpsc::UnboundedSender<Frame>,
    activity: Activity,
}

/// Last report of a node.
#[derive(Debug, Clone)]
pub struct Report {
    /// Local backend server of the node.
    pub backend_info: Rc<BackendInfo>,
    /// Load.
    pub load: Load,
    /// Arrival time of the report.
    pub received_at: Instant,
}

/// Link to one other node, reconnected after each loss.
pub struct Link {
    /// Address of the other node.
    pub node: String,
    /// Failure domain of the other node.
    pub domain: RefCell<String>,
    address: SocketAddr,
    hello: Hello,
    connection: RefCell<Option<Connection>>,
    pending: RefCell<BTreeMap<Seq, Pending>>,
    relays: RefCell<BTreeMap<Seq, oneshot::Sender<Option<StoreResponse>>>>,
    asks: RefCell<BTreeMap<Seq, oneshot::Sender<Permission>>>,
    /// Number of connections so far.
    connections: Cell<u64>,
    incarnation: Cell<Option<u64>>,
    backend_info: RefCell<Rc<BackendInfo>>,
    report: Cell<Option<(Load, Instant)>>,
    memory: RefCell<BackendMemory>,
    items_handler: ItemsHandler,
    /// Evacuations that the node has sent on request, until they are taken.
    evacuations: RefCell<Option<EvacuationSet>>,
    budget: RefCell<Option<Rc<ByteBudget>>>,
    /// Calls sent minus calls ended since the last report.
    since_report: Cell<i32>,
    pinged_at: Cell<Option<Instant>>,
    lost_at: Cell<Option<Instant>>,
    close_connection: Notify,
    closed: Cell<bool>,
    report_changed: Rc<Notify>,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link")
            .field("node", &self.node)
            .field("lost_at", &self.lost_at.get())
            .finish_non_exhaustive()
    }
}

impl Link {
    /// Creates a link and starts to connect; `report_changed` is notified of each report and of
    /// each loss of the connection, `items_handler` is called with the items that the node sends.
    #[must_use]
    pub fn start(
        address: SocketAddr,
        domain: &str,
        hello: Hello,
        report_changed: Rc<Notify>,
        items_handler: ItemsHandler,
    ) -> Rc<Self> {
        let now = Instant::now();
        let link = Rc::new(Self {
            node: address.to_string(),
            domain: RefCell::new(domain.to_owned()),
            address,
            hello,
            connection: RefCell::new(None),
            pending: RefCell::new(BTreeMap::new()),
            relays: RefCell::new(BTreeMap::new()),
            asks: RefCell::default(),
            connections: Cell::new(0),
            incarnation: Cell::new(None),
            backend_info: RefCell::default(),
            report: Cell::new(None),
            memory: RefCell::default(),
            items_handler,
            evacuations: RefCell::default(),
            budget: RefCell::default(),
            since_report: Cell::new(0),
            pinged_at: Cell::new(None),
            lost_at: Cell::new(Some(now)),
            close_connection: Notify::new(),
            closed: Cell::new(false),
            report_changed,
        });
        task::spawn_local(connection::run(Rc::clone(&link)));
        link
    }

    /// Sets the budget for large responses; takes effect with the next connection.
    pub fn set_budget(&self, budget: Option<Rc<ByteBudget>>) {
        *self.budget.borrow_mut() = budget;
    }

    /// Returns whether the link is connected.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.connection.borrow().is_some()
    }

    /// Returns when the connection was lost, if the link is not connected.
    #[must_use]
    pub fn disconnected_since(&self) -> Option<Instant> {
        self.lost_at.get()
    }

    /// Returns the last report received over the current connection.
    #[must_use]
    pub fn report(&self) -> Option<Report> {
        let (mut load, at) = self.report.get().filter(|_| self.is_connected())?;
        let backend_info = Rc::clone(&self.backend_info.borrow());
        let memory = self.memory.borrow();
        memory.complete(backend_info.holder.as_ref(), &mut load);
        Some(Report {
            backend_info,
            load,
            received_at: at,
        })
    }

    /// Returns the number of calls sent minus those ended since the last report.
    #[must_use]
    pub fn calls_since_report(&self) -> i32 {
        self.since_report.get()
    }

    /// Returns the incarnation of the node's process, once it has connected.
    #[must_use]
    pub fn incarnation(&self) -> Option<u64> {
        self.incarnation.get()
    }

    /// Returns the incarnation of the node's local backend server, as far as it is known.
    #[must_use]
    pub fn holder(&self) -> Option<Holder> {
        self.backend_info.borrow().holder.clone()
    }

    /// Takes the evacuations that the node has sent on request.
    pub fn take_evacuations(&self) -> Option<EvacuationSet> {
        self.evacuations.take()
    }

    /// Records what the node's local backend server said of itself in a response.
    pub fn record_signals(&self, holder: &Holder, signals: Signals) {
        let mut memory = self.memory.borrow_mut();
        memory.record_response(holder, signals, Instant::now());
    }

    /// Closes the link; pending calls end with [`Cause::LinkLost`].
    pub fn close(&self) {
        self.closed.set(true);
        self.close_connection.notify_one();
    }

    /// Sends a frame that expects no reply, if connected.
    pub fn send(&self, frame: Frame) {
        if let Some(connection) = &*self.connection.borrow() {
            // The receiver is dropped only when the connection ends, which `run` handles.
            let _sent = connection.out.send(frame);
        }
    }

    /// Sends a call; returns `None` if there is no connection.
    #[must_use]
    pub fn call(self: &Rc<Self>, mut call: Call) -> Option<InFlight> {
        if !self.is_connected() {
            return None;
        }
        let sent = Instant::now().since_boot().as_millis();
        call.sent_ms = u64::try_from(sent).unwrap_or(u64::MAX);
        let seq = next_seq();
        let (reply, outcome) = oneshot::channel();
        let pending = Pending {
            reply,
            repeat: call.repeat,
            written: false,
        };
        self.pending.borrow_mut().insert(seq, pending);
        self.since_report.set(self.since_report.get() + 1);
        self.send(Frame::Call(seq, Box::new(call)));
        Some(InFlight {
            link: Rc::clone(self),
            seq,
            outcome,
            done: false,
        })
    }

    /// Relays a call to the store through the other node; returns `None` without a response.
    pub async fn relay(&self, request: StoreRequest, limit: Duration) -> Option<StoreResponse> {
        let seq = next_seq();
        let (reply, response) = oneshot::channel();
        self.relays.borrow_mut().insert(seq, reply);
        self.send(Frame::Relay(seq, Box::new(request)));
        let received = time::timeout(limit, response).await;
        self.relays.borrow_mut().remove(&seq);
        received.ok()?.ok()?
    }

    /// Asks the other node whether a copy of a request may run; returns `None` without an answer.
    pub async fn ask(&self, request: PermitRequest, limit: Duration) -> Option<Permission> {
        let seq = next_seq();
        let (reply, answer) = oneshot::channel();
        self.asks.borrow_mut().retain(|_, reply| !reply.is_closed());
        self.asks.borrow_mut().insert(seq, reply);
        self.send(Frame::Ask(seq, request));
        let received = time::timeout(limit, answer).await;
        self.asks.borrow_mut().remove(&seq);
        received.ok()?.ok()
    }

    /// Returns the number of the current connection, which tells it from earlier ones.
    #[must_use]
    pub fn connection_number(&self) -> u64 {
        self.connections.get()
    }

    /// Returns the time since the node last showed that it is reachable, if the link is connected.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        let connection = self.connection.borrow();
        connection.as_ref().map(|c| now.since(c.activity.last()))
    }

    /// Returns whether the link is connected and the last ping isn't overdue.
    #[must_use]
    pub fn is_responsive(&self, now: Instant) -> bool {
        let Some(silence) = self.silence(now) else {
            return false;
        };
        let waited = self.pinged_at.get().map(|at| now.since(at));
        // A later sign of the node answers the ping.
        waited.is_none_or(|waited| waited > silence || waited < PROMPT_PONG)
    }

    /// Pings the node, unless an earlier ping is unanswered.
    pub fn ping(&self, now: Instant) {
        let Some(silence) = self.silence(now) else {
            return;
        };
        let pinged_at = self.pinged_at.get();
        if pinged_at.is_none_or(|at| now.since(at) > silence) {
            self.pinged_at.set(Some(now));
            self.send(Frame::Ping);
        }
    }

    /// Pings a silent node and closes the connection if there is no sign of it afterwards; to be called
    /// every [`SILENCE_CHECK_INTERVAL`].
    pub fn check_silence(&self, now: Instant) {
        let connection = self.connection.borrow();
        let Some(active) = connection.as_ref().map(|c| c.activity.last()) else {
            return;
        };
        drop(connection);
        if let Some(at) = self.pinged_at.get().filter(|at| *at >= active) {
            if now.since(at) > PONG_TIMEOUT {
                tracing::warn!(event = 221, node = %self.node, silent_ms = now.since(active).as_millis(), "closing a silent connection to a node");
                self.close_connection.notify_one();
            }
            return;
        }
        let ping_after = if self.pending.borrow().is_empty() {
            IDLE_PING_AFTER
        } else {
            BUSY_PING_AFTER
        };
        if now.since(active) > ping_after {
            self.ping(now);
        }
    }

    fn end_call(&self, seq: Seq, outcome: Outcome) {
        if let Some(pending) = self.pending.borrow_mut().remove(&seq) {
            self.since_report.set(self.since_report.get() - 1);
            // The receiver is dropped if the caller has disconnected.
            let _delivered = pending.reply.send(outcome);
        }
    }

    fn end_calls(&self, cause: Cause, which: impl Fn(&Pending) -> bool) {
        let all = self.pending.borrow();
        let ended = all.iter().filter(|(_, p)| which(p));
        let ended: Vec<_> = ended.map(|(seq, p)| (*seq, p.written)).collect();
        drop(all);
        for (seq, written) in ended {
            let outcome = if written {
                Outcome::Unknown(Failure::after_send(cause))
            } else {
                Outcome::NotRun(Failure::before_send(cause, 0))
            };
            self.end_call(seq, outcome);
        }
    }

    /// Ends a call with the outcome that the other node reports.
    fn complete(&self, seq: Seq, outcome: Outcome) {
        let repeat = self.pending.borrow().get(&seq).map(|p| p.repeat);
        let outcome = match (outcome, repeat) {
            // An outcome of an idempotent call isn't retained after it was sent, and a started call
            // may have been cancelled, so the other node can't tell whether the call has run.
            (Outcome::NotRun(f), Some(Repeat::Idempotent)) if f.cause == Cause::LinkLost => {
                Outcome::Unknown(Failure::after_send(Cause::LinkLost))
            }
            (outcome, _) => outcome,
        };
        self.end_call(seq, outcome);
    }

    /// Processes a frame; an error ends the connection.
    fn receive(&self, frame: Frame) -> std::io::Result<()> {
        match frame {
            Frame::Reply(seq, outcome) => self.complete(seq, *outcome),
            Frame::Load(load) => {
                if let Some(holder) = &self.backend_info.borrow().holder {
                    let mut memory = self.memory.borrow_mut();
                    memory.record_load(holder, &load, Instant::now());
                }
                self.report.set(Some((load, Instant::now())));
                self.since_report.set(0);
                self.report_changed.notify_waiters();
            }
            Frame::Relayed(seq, response) => {
                if let Some(reply) = self.relays.borrow_mut().remove(&seq) {
                    // The receiver is dropped if the time limit has passed.
                    let _delivered = reply.send(response);
                }
            }
            Frame::Granted(seq, permission) => {
                if let Some(reply) = self.asks.borrow_mut().remove(&seq) {
                    // The receiver is dropped if the time limit has passed.
                    let _delivered = reply.send(permission);
                }
            }
            Frame::About(info) => *self.backend_info.borrow_mut() = Rc::new(info),
            Frame::Items(items) => {
                // Cloned because the handler may borrow this cell mutably, when the items change the
                // failure domain of the sending node.
                let domain = self.domain.borrow().clone();
                (self.items_handler)(&domain, *items);
            }
            Frame::Evacuations(set) => {
                self.evacuations.replace(Some(*set));
                self.report_changed.notify_waiters();
            }
            Frame::Pong => {}
            other => {
                tracing::warn!(event = 222, node = %self.node, frame = ?other, "received a frame that is not allowed in this direction");
                return Err(std::io::ErrorKind::InvalidData.into());
            }
        }
        Ok(())
    }

    /// Marks a call as written; returns whether the frame should be sent. A call is not sent if its
    /// caller disconnected while the frame was queued.
    fn mark_written(&self, frame: &Frame) -> bool {
        let Frame::Call(seq, _) = frame else {
            return true;
        };
        match self.pending.borrow_mut().get_mut(seq) {
            Some(pending) => {
                pending.written = true;
                true
            }
            None => false,
        }
    }
}

/// Call without an outcome yet; dropping it cancels the call on the other node.
#[derive(Debug)]
pub struct InFlight {
    link: Rc<Link>,
    seq: Seq,
    outcome: oneshot::Receiver<Outcome>,
    done: bool,
}

impl InFlight {
    /// Waits for the outcome.
    pub async fn outcome(mut self) -> Outcome {
        let outcome = (&mut self.outcome).await;
        self.done = true;
        outcome.unwrap_or(Outcome::Unknown(Failure::after_send(Cause::LinkLost)))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.done {
            let removed = self.link.pending.borrow_mut().remove(&self.seq);
            if removed.is_some() {
                let since = self.link.since_report.get();
                self.link.since_report.set(since - 1);
            }
            self.link.send(Frame::Cancel(self.seq));
        }
    }
}

/// Returns a sequence number that is unique in this process. The other node keeps calls and outcomes by
/// process, so a link that replaces an earlier one to the same node must not use its numbers again.
fn next_seq() -> Seq {
    static LAST: AtomicU64 = AtomicU64::new(0);
    LAST.fetch_add(1, Ordering::Relaxed) + 1
}
