//! Inbound connections from other nodes, whose calls the local backend server runs.
//!
//! A call survives the loss of the connection that delivered it if its node reconnects in time, or if
//! it has started and may not be repeated. Its outcome is retained until it has been sent, and longer
//! for requests that may not be repeated, because the connection may be lost before the outcome
//! arrives.
//!
//! Sequence numbers are valid only within one process of the calling node. Each process therefore
//! has its own session, and a running call refers to the session of the process that sent it, so
//! that its outcome can't reach a later process.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::{task, time};

use crate::protocol::mesh::{
    BackendInfo, Call, Cause, Claim, CrashReport, EvacuationSet, Failure, Frame, Hello,
    HolderRates, Items, Load, Outcome, Permission, PermitRequest, Reminder, Response, Seq,
    StoreRequest, StoreResponse,
};
use crate::state::clock::{self, Instant};
use crate::state::reservation::Reservation;
use crate::state::routes::Repeat;
use crate::state::store_revision::Revision;
use crate::transport::sidecar::byte_budget::{ByteBudget, Release};
use crate::transport::sidecar::call_delay::CallDelay;
use crate::transport::sidecar::frames::{self, FrameReader, FrameWriter, Received};

/// Time that a node has to reconnect before its calls are cancelled, except those that have started
/// and may not be repeated.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum time to exchange the first frames; the other node gives an attempt up earlier.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of outcomes retained per process of a node.
const MAX_RETAINED_OUTCOMES: usize = 128;

/// Memory of a response from which it is evicted first while memory is short, in bytes.
const MAX_KEPT_RESPONSE: usize = 8 * 1024;

/// Number of processes retained per node. The first frame of a killed process may be read after
/// that of its successor, so the latest first frame doesn't tell which process is alive.
const MAX_SESSIONS: usize = 4;

/// Delay before the next accept after a failed one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Retry delay of a call for whose body there was no memory, in milliseconds.
const SHORTAGE_RETRY_MS: u32 = 1000;

/// Call to run.
pub struct Job {
    /// Future of the outcome.
    pub outcome: Pin<Box<dyn Future<Output = Outcome>>>,
    /// Set once the backend server may have started to run it.
    pub started: Rc<Cell<bool>>,
    /// Whether it may run more than once.
    pub repeat: Repeat,
}

impl std::fmt::Debug for Job {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Job")
            .field("started", &self.started)
            .field("repeat", &self.repeat)
            .finish_non_exhaustive()
    }
}

/// Handle to a running call, by which it can be cancelled.
#[derive(Debug)]
pub struct RunningCall {
    task: task::AbortHandle,
    started: Rc<Cell<bool>>,
    repeat: Repeat,
}

impl RunningCall {
    /// Starts a job; `done` is called with its outcome unless the job is cancelled first.
    #[must_use]
    pub fn spawn(job: Job, done: impl FnOnce(Outcome) + 'static) -> Self {
        let Job {
            outcome,
            started,
            repeat,
        } = job;
        let task = task::spawn_local(async move { done(outcome.await) });
        Self {
            task: task.abort_handle(),
            started,
            repeat,
        }
    }

    /// Cancels the call, unless it has started and may not be repeated; returns whether it was
    /// cancelled.
    #[must_use = "tells whether the call was cancelled"]
    pub fn cancel(&self) -> bool {
        let cancellable = self.repeat == Repeat::Idempotent || !self.started.get();
        if cancellable {
            self.task.abort();
        }
        cancellable
    }
}

/// Handler of the frames that other nodes send.
pub trait Handler {
    /// Starts a call.
    fn start_call(&self, call: Call) -> Job;

    /// Returns the description of the local backend server.
    fn backend_info(&self) -> BackendInfo;

    /// Returns the current load.
    fn load(&self) -> Load;

    /// Returns the store's items that changed after a revision.
    fn items(&self, since: Revision) -> Items;

    /// Returns the active configuration.
    fn config(&self) -> Items;

    /// Records the queueing delay of a call on the connection.
    fn record_delay(&self, delay: Duration);

    /// Handles a report of key rates.
    fn receive_rates(&self, rates: HolderRates);

    /// Handles what the backend server of another node may hold.
    fn receive_claim(&self, claim: Claim);

    /// Handles what another node has seen of requests under which backend servers broke off.
    fn receive_crashes(&self, reports: Vec<CrashReport>);

    /// Returns the evacuated failure domains, if they are known.
    fn evacuations(&self) -> Option<EvacuationSet>;

    /// Handles the evacuated failure domains that another node knows.
    fn receive_evacuations(&self, set: EvacuationSet);

    /// Decides whether a copy of a request may run that has crashed a backend server.
    fn decide(&self, request: PermitRequest) -> Permission;

    /// Takes in what another node was told about the local backend server.
    fn recall(&self, reminder: Reminder);

    /// Makes a call to the store on behalf of another node.
    fn relay(&self, request: StoreRequest) -> Pin<Box<dyn Future<Output = Option<StoreResponse>>>>;
}

/// Current connection of a session. Dropping it ends the task that serves the connection, even one
/// that waits for a silent node to read.
#[derive(Debug)]
struct Connection {
    out: mpsc::UnboundedSender<Frame>,
    _open: oneshot::Sender<Infallible>,
}

/// Session of one process of another node.
#[derive(Debug, Default)]
struct Session {
    /// Identifies the current connection; incremented for each new or abandoned one.
    epoch: u64,
    domain: String,
    /// Arrival time of the last call.
    last_call: Option<Instant>,
    /// Load that was sent last, and when.
    sent_load: Option<(Load, Instant)>,
    connection: Option<Connection>,
    running: HashMap<Seq, RunningCall>,
    retained: VecDeque<(Seq, Outcome)>,
    /// Highest sequence number whose outcome was evicted.
    evicted: Seq,
    delay: CallDelay,
}

impl Session {
    fn send(&self, frame: Frame) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|c| c.out.send(frame).is_ok())
    }

    fn finish(&mut self, seq: Seq, repeat: Repeat, outcome: Outcome) {
        self.running.remove(&seq);
        let sent = self.send(Frame::Reply(seq, Box::new(outcome.clone())));
        if !sent || repeat == Repeat::Once {
            self.retained.push_back((seq, outcome));
            if self.retained.len() > MAX_RETAINED_OUTCOMES
                && let Some((oldest, _)) = self.retained.pop_front()
            {
                self.evicted = self.evicted.max(oldest);
            }
        }
    }

    /// Evicts retained responses.
    fn release(&mut self, which: Release) {
        let evicted = &mut self.evicted;
        self.retained.retain(|(seq, outcome)| {
            let releases = match (outcome, which) {
                (Outcome::Answered(response), Release::Large) => is_large(response),
                (Outcome::Answered(_), Release::All) => true,
                (Outcome::NotRun(_) | Outcome::Unknown(_), _) => false,
            };
            if releases {
                *evicted = (*evicted).max(*seq);
            }
            !releases
        });
    }

    /// Replies to a resume request for a call from an earlier connection.
    fn resume(&self, seq: Seq) {
        if self.running.contains_key(&seq) {
            return;
        }
        let retained = self
            .retained
            .iter()
            .find(|(retained_seq, _)| *retained_seq == seq);
        let outcome = match retained {
            Some((_, outcome)) => outcome.clone(),
            // A process resumes only calls of an earlier connection; if none is known here, its
            // session was evicted.
            None if seq <= self.evicted || self.epoch <= 1 => {
                Outcome::Unknown(Failure::after_send(Cause::LinkLost))
            }
            // A non-repeatable call would be running or retained if it had ever arrived.
            None => Outcome::NotRun(Failure::before_send(Cause::LinkLost, 0)),
        };
        self.send(Frame::Reply(seq, Box::new(outcome)));
    }

    /// Ends the current connection and cancels the calls that may be cancelled.
    fn disconnect(&mut self) {
        self.epoch += 1;
        self.connection = None;
        self.running.retain(|_, running| !running.cancel());
    }
}

/// Returns whether a response takes more memory than is retained while memory is short.
fn is_large(response: &Response) -> bool {
    let held = response.body.held().map(Reservation::held);
    held.is_some_and(|h| h.total() > MAX_KEPT_RESPONSE)
}

/// Load that was last sent to a node.
#[derive(Debug, Clone, Copy)]
pub struct SentLoad {
    /// Load.
    pub load: Load,
    /// Time at which it was sent.
    pub sent_at: Instant,
    /// Whether the node is in the same failure domain as this one.
    pub same_domain: bool,
    /// Arrival time of the node's last call.
    pub last_call: Option<Instant>,
}

/// Shared session of one process of another node.
type SharedSession = Rc<RefCell<Session>>;

/// Sessions of one node by incarnation, in the order of their last connection.
type NodeSessions = Vec<(u64, SharedSession)>;

/// Sessions of all nodes that connect to this one.
pub struct PeerServer {
    handler: Rc<dyn Handler>,
    hello: Hello,
    budget: RefCell<Option<Rc<ByteBudget>>>,
    sessions: RefCell<HashMap<String, NodeSessions>>,
}

impl std::fmt::Debug for PeerServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerServer")
            .field("hello", &self.hello)
            .finish_non_exhaustive()
    }
}

impl PeerServer {
    /// Creates a server without sessions.
    #[must_use]
    pub fn new(handler: Rc<dyn Handler>, hello: Hello) -> Rc<Self> {
        Rc::new(Self {
            handler,
            hello,
            budget: RefCell::default(),
            sessions: RefCell::new(HashMap::new()),
        })
    }

    /// Sets the budget for large calls; takes effect with the next connections.
    pub fn set_budget(self: &Rc<Self>, budget: &Rc<ByteBudget>) {
        *self.budget.borrow_mut() = Some(Rc::clone(budget));
        let peers = Rc::downgrade(self);
        budget.set_release(move |which| {
            if let Some(peers) = peers.upgrade() {
                peers.release(which);
            }
        });
    }

    /// Evicts the retained responses of all sessions.
    fn release(&self, which: Release) {
        for (_, session) in self.sessions.borrow().values().flatten() {
            session.borrow_mut().release(which);
        }
    }

    /// Accepts connections until the task is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((io, _)) => {
                    let peers = Rc::clone(&self);
                    task::spawn_local(async move {
                        if let Err(e) = peers.serve(io).await {
                            tracing::debug!(event = 231, error = %e, "connection from a node ended");
                        }
                    });
                }
                Err(e) => {
                    tracing::warn!(event = 232, error = %e, "failed to accept a connection from a node");
                    time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Sends a frame to all connected nodes.
    pub fn broadcast(&self, frame: &Frame) {
        for (_, session) in self.sessions.borrow().values().flatten() {
            session.borrow().send(frame.clone());
        }
    }

    /// Sends the load to each connected node for which `is_due` returns true.
    pub fn report_load(&self, load: Load, is_due: impl Fn(&SentLoad) -> bool) {
        let now = Instant::now();
        for (_, session) in self.sessions.borrow().values().flatten() {
            let mut session = session.borrow_mut();
            let sent = session.sent_load.map(|(load, at)| SentLoad {
                load,
                sent_at: at,
                same_domain: session.domain == self.hello.domain,
                last_call: session.last_call,
            });
            if sent.is_some_and(|sent| is_due(&sent)) && session.send(Frame::Load(load)) {
                session.sent_load = Some((load, now));
            }
        }
    }

    /// Sends items of the store to the connected nodes that `to` selects by address and failure
    /// domain.
    pub fn send_items(&self, items: &Items, to: impl Fn(&str, &str) -> bool) {
        for (node, node_sessions) in &*self.sessions.borrow() {
            for (_, session) in node_sessions {
                let session = session.borrow();
                if to(node, &session.domain) {
                    session.send(Frame::Items(Box::new(items.clone())));
                }
            }
        }
    }

    /// Returns the number of running calls from other nodes.
    #[must_use]
    pub fn running_calls(&self) -> usize {
        let sessions = self.sessions.borrow();
        let all = sessions.values().flatten();
        all.map(|(_, s)| s.borrow().running.len()).sum()
    }

    /// Registers a connection as the current one of the process that opened it; returns the session
    /// of the process and the number of the connection.
    fn register(&self, hello: &Hello, connection: Connection) -> (SharedSession, u64) {
        let mut sessions = self.sessions.borrow_mut();
        let node_sessions = sessions.entry(hello.node.clone()).or_default();
        let known = node_sessions
            .iter()
            .position(|(i, _)| *i == hello.incarnation);
        let process = match known {
            Some(i) => node_sessions.remove(i),
            None => (hello.incarnation, SharedSession::default()),
        };
        for (incarnation, other) in &*node_sessions {
            let mut other = other.borrow_mut();
            if other.connection.is_some() || !other.running.is_empty() {
                tracing::info!(event = 235, node = %hello.node, incarnation, successor = hello.incarnation, calls = other.running.len(), "another process of a node connected; cancelling repeatable and unstarted calls of the earlier one");
            }
            other.disconnect();
        }
        let session = Rc::clone(&process.1);
        node_sessions.push(process);
        let extra = node_sessions.len().saturating_sub(MAX_SESSIONS);
        node_sessions.drain(..extra);
        let mut state = session.borrow_mut();
        state.epoch += 1;
        hello.domain.clone_into(&mut state.domain);
        let load = self.handler.load();
        // The receiver isn't dropped before the connection ends.
        let _sent = connection
            .out
            .send(Frame::About(self.handler.backend_info()));
        let _sent = connection.out.send(Frame::Load(load));
        state.sent_load = Some((load, Instant::now()));
        state.connection = Some(connection);
        let epoch = state.epoch;
        drop(state);
        (session, epoch)
    }

    /// Serves a connection until it fails or another one takes its place. Reading and writing don't
    /// wait for each other, as in a link.
    async fn serve(self: Rc<Self>, io: TcpStream) -> std::io::Result<()> {
        let (mut read, mut write) = frames::split(io)?;
        read.set_budget(self.budget.borrow().clone());
        let greeting = time::timeout(HELLO_TIMEOUT, self.greet(&mut read, &mut write)).await;
        let hello = greeting.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        let (out, mut queued) = mpsc::unbounded_channel();
        let (open, replaced) = oneshot::channel();
        let connection = Connection { out, _open: open };
        let (session, epoch) = self.register(&hello, connection);
        let reading = async {
            loop {
                let bytes = read.next().await;
                let bytes = bytes.ok_or(std::io::ErrorKind::UnexpectedEof)??;
                let current = session.borrow().epoch == epoch;
                if !current {
                    return Ok(());
                }
                match frames::receive(&bytes)? {
                    Received::Frame(frame) => self.receive(&session, frame)?,
                    Received::RefusedCall(seq) => {
                        let failure = Failure::before_send(Cause::Full, SHORTAGE_RETRY_MS);
                        let outcome = Outcome::NotRun(failure);
                        session.borrow_mut().finish(seq, Repeat::Once, outcome);
                    }
                }
            }
        };
        let writing = async {
            while let Some(frame) = queued.recv().await {
                let mut next = Some(frame);
                while let Some(frame) = next {
                    write.add(&frame)?;
                    if write.is_full() {
                        write.flush().await?;
                    }
                    next = queued.try_recv().ok();
                }
                write.flush().await?;
            }
            Ok(())
        };
        let done = tokio::select! {
            biased;
            ended = reading => ended,
            ended = writing => ended,
            _ = replaced => Ok(()),
        };
        if session.borrow().epoch == epoch {
            session.borrow_mut().connection = None;
            task::spawn_local(cancel_orphans(session, epoch));
        }
        done
    }

    /// Exchanges the first frames of a connection.
    async fn greet(
        &self,
        read: &mut FrameReader,
        write: &mut FrameWriter,
    ) -> std::io::Result<Hello> {
        let hello = read.hello().await?;
        write.add(&Frame::Hello(self.hello.clone()))?;
        write.flush().await?;
        Ok(hello)
    }

    /// Processes a frame; an error ends the connection.
    fn receive(&self, session: &SharedSession, frame: Frame) -> std::io::Result<()> {
        match frame {
            Frame::Call(seq, mut call) => {
                let now = Instant::now();
                let mut state = session.borrow_mut();
                state.last_call = Some(now);
                let delay = state.delay.observe(call.sent_ms, now);
                drop(state);
                self.handler.record_delay(delay);
                let delay_ms = clock::millis(delay);
                if delay_ms >= call.left_ms {
                    tracing::info!(event = 234, id = %call.id, late_ms = delay_ms, left_ms = call.left_ms, "call expired before it arrived");
                    let outcome = Outcome::NotRun(Failure::before_send(Cause::Expired, 0));
                    session.borrow_mut().finish(seq, call.repeat, outcome);
                    return Ok(());
                }
                call.left_ms -= delay_ms;
                call.aim_ms = call.aim_ms.saturating_sub(delay_ms);
                let job = self.handler.start_call(*call);
                let (caller, repeat) = (Rc::clone(session), job.repeat);
                let running = RunningCall::spawn(job, move |outcome| {
                    caller.borrow_mut().finish(seq, repeat, outcome);
                });
                session.borrow_mut().running.insert(seq, running);
            }
            Frame::Cancel(seq) => {
                let mut state = session.borrow_mut();
                if state.running.get(&seq).is_some_and(RunningCall::cancel) {
                    state.running.remove(&seq);
                }
            }
            Frame::Resume(calls) => {
                for seq in calls {
                    session.borrow().resume(seq);
                }
            }
            Frame::Ping => {
                session.borrow().send(Frame::Pong);
            }
            Frame::Want(since) => {
                let items = self.handler.items(since);
                session.borrow().send(Frame::Items(Box::new(items)));
            }
            Frame::WantConfig => {
                let items = self.handler.config();
                session.borrow().send(Frame::Items(Box::new(items)));
            }
            Frame::Remind(reminder) => self.handler.recall(*reminder),
            Frame::Heat(rates) => self.handler.receive_rates(*rates),
            Frame::Crashes(reports) => self.handler.receive_crashes(reports),
            Frame::Ask(seq, request) => {
                let permission = self.handler.decide(request);
                session.borrow().send(Frame::Granted(seq, permission));
            }
            Frame::Claim(claim) => self.handler.receive_claim(*claim),
            Frame::Evacuations(set) => self.handler.receive_evacuations(*set),
            Frame::WantEvacuations => {
                if let Some(set) = self.handler.evacuations() {
                    session.borrow().send(Frame::Evacuations(Box::new(set)));
                }
            }
            Frame::Relay(seq, request) => {
                let relayed = self.handler.relay(*request);
                let session = Rc::clone(session);
                task::spawn_local(async move {
                    let response = relayed.await;
                    session.borrow().send(Frame::Relayed(seq, response));
                });
            }
            other => {
                tracing::warn!(event = 233, frame = ?other, "received a frame that is not allowed in this direction");
                return Err(std::io::ErrorKind::InvalidData.into());
            }
        }
        Ok(())
    }
}

/// Cancels the calls of a process that doesn't reconnect in time.
async fn cancel_orphans(session: SharedSession, epoch: u64) {
    time::sleep(RECONNECT_TIMEOUT).await;
    let mut state = session.borrow_mut();
    if state.epoch == epoch {
        state.running.retain(|_, running| !running.cancel());
    }
}
