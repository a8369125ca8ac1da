//! Connections from other nodes, whose calls the backend server beside this node runs.
//!
//! A call runs apart from the connection on which it came. Its outcome is kept until it has been
//! sent, and for requests that may not be repeated a while longer, because the connection may be
//! lost before the outcome arrives.
//!
//! Sequence numbers mean something within one process of the calling node only. So each process
//! has a record of its own, and a run holds the record of the process that asked for it: what it
//! ends with can't reach the process that comes after.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::{task, time};

use crate::protocol::mesh::{
    BackendInfo, Call, Cause, Failure, Frame, Hello, HolderRates, Items, Load, Outcome, Seq,
    StoreRequest, StoreResponse,
};
use crate::state::clock::{self, Instant};
use crate::state::routes::Repeat;
use crate::transport::sidecar::call_delay::CallDelay;
use crate::transport::sidecar::frames;

/// Time for which calls of a node that lost its connection go on.
const ORPHAN_TIME: Duration = Duration::from_millis(1500);

/// Outcomes that are kept after they were sent, for each process of a node.
const KEPT_OUTCOMES: usize = 128;

/// Processes of one node that are remembered. The greeting of one that was killed may be read after
/// that of its successor, so the newest greeting doesn't tell which process lives.
const KEPT_PROCESSES: usize = 4;

/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Call that runs.
pub struct Job {
    /// Future of the outcome.
    pub outcome: Pin<Box<dyn Future<Output = Outcome>>>,
    /// Set when the backend server may have begun to run it.
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

/// Running call, seen from the side that may cancel it.
#[derive(Debug)]
pub struct RunningCall {
    task: task::AbortHandle,
    started: Rc<Cell<bool>>,
    repeat: Repeat,
}

impl RunningCall {
    /// Starts a job; `done` gets its outcome unless it is cancelled before.
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

    /// Cancels the call, unless it may not be repeated and has begun; returns whether it did.
    #[must_use = "tells whether the call was cancelled"]
    pub fn cancel(&self) -> bool {
        let may = self.repeat == Repeat::Idempotent || !self.started.get();
        if may {
            self.task.abort();
        }
        may
    }
}

/// What a node does for other nodes.
pub trait Handler {
    /// Starts a call.
    fn start_call(&self, call: Call) -> Job;

    /// Returns the backend server beside the node.
    fn about(&self) -> BackendInfo;

    /// Returns the present load.
    fn load(&self) -> Load;

    /// Returns the store's items that changed after a revision.
    fn items(&self, after: u64) -> Items;

    /// Returns the configuration in force.
    fn config(&self) -> Items;

    /// Notes the delay of a call on its way, beyond the usual.
    fn record_delay(&self, late: Duration);

    /// Takes a report of the rates of keys.
    fn receive_rates(&self, heat: HolderRates);

    /// Makes a call to the store in the place of another node.
    fn relay(&self, request: StoreRequest) -> Pin<Box<dyn Future<Output = Option<StoreResponse>>>>;
}

/// One process of another node.
#[derive(Debug, Default)]
struct Remote {
    /// Connections so far.
    epoch: u64,
    domain: String,
    /// Last call.
    worked: Option<Instant>,
    /// Load that was sent last.
    told: Option<(Load, Instant)>,
    out: Option<mpsc::UnboundedSender<Frame>>,
    running: HashMap<Seq, RunningCall>,
    kept: VecDeque<(Seq, Outcome)>,
    /// Highest call whose outcome is kept no longer.
    forgotten: Seq,
    lag: CallDelay,
}

impl Remote {
    fn send(&self, frame: Frame) -> bool {
        self.out.as_ref().is_some_and(|out| out.send(frame).is_ok())
    }

    fn finish(&mut self, seq: Seq, repeat: Repeat, outcome: Outcome) {
        self.running.remove(&seq);
        let sent = self.send(Frame::Reply(seq, Box::new(outcome.clone())));
        if !sent || repeat == Repeat::Once {
            self.kept.push_back((seq, outcome));
            if self.kept.len() > KEPT_OUTCOMES
                && let Some((oldest, _)) = self.kept.pop_front()
            {
                self.forgotten = self.forgotten.max(oldest);
            }
        }
    }

    /// Answers the question after a call of an earlier connection.
    fn resume(&self, seq: Seq) {
        if self.running.contains_key(&seq) {
            return;
        }
        let kept = self.kept.iter().find(|k| k.0 == seq);
        let outcome = match kept {
            Some((_, outcome)) => outcome.clone(),
            // A process asks only after calls over an earlier connection; if this is the first one
            // known here, the record of that was dropped.
            None if seq <= self.forgotten || self.epoch <= 1 => {
                Outcome::Unknown(Failure::after_send(Cause::LinkLost))
            }
            // One that may not be repeated would be running or kept if it had ever arrived.
            None => Outcome::NotRun(Failure::before_send(Cause::LinkLost, 0)),
        };
        self.send(Frame::Reply(seq, Box::new(outcome)));
    }

    /// Ends the present connection, and what may be cancelled.
    fn abandon(&mut self) {
        self.epoch += 1;
        self.out = None;
        self.running.retain(|_, running| !running.cancel());
    }
}

/// What one node was last told of this one's load.
#[derive(Debug, Clone, Copy)]
pub struct SentLoad {
    /// Load.
    pub load: Load,
    /// Time at which it was sent.
    pub sent_at: Instant,
    /// Whether the node is in the failure domain of this one.
    pub same_domain: bool,
    /// Last call of the node.
    pub last_call: Option<Instant>,
}

/// Record of one process of another node.
type Shared = Rc<RefCell<Remote>>;

/// Processes of one node, the one that connected last at the end.
type Processes = Vec<(u64, Shared)>;

/// All nodes that are connected to this one.
pub struct PeerServer {
    service: Rc<dyn Handler>,
    hello: Hello,
    remotes: RefCell<HashMap<String, Processes>>,
}

impl std::fmt::Debug for PeerServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerServer")
            .field("hello", &self.hello)
            .finish_non_exhaustive()
    }
}

impl PeerServer {
    /// Creates a registry without connections.
    #[must_use]
    pub fn new(service: Rc<dyn Handler>, hello: Hello) -> Rc<Self> {
        Rc::new(Self {
            service,
            hello,
            remotes: RefCell::new(HashMap::new()),
        })
    }

    /// Accepts nodes until the task is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((io, _)) => {
                    let peers = Rc::clone(&self);
                    task::spawn_local(async move {
                        if let Err(e) = peers.serve(io).await {
                            tracing::debug!(event = 231, error = %e, "a node's connection ended");
                        }
                    });
                }
                Err(e) => {
                    tracing::warn!(event = 232, error = %e, "can't accept a node");
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Tells all connected nodes.
    pub fn broadcast(&self, frame: &Frame) {
        for (_, remote) in self.remotes.borrow().values().flatten() {
            remote.borrow().send(frame.clone());
        }
    }

    /// Tells the load to those connected nodes for which it is due.
    pub fn report_load(&self, load: Load, is_due: impl Fn(&SentLoad) -> bool) {
        let now = Instant::now();
        for (_, remote) in self.remotes.borrow().values().flatten() {
            let mut remote = remote.borrow_mut();
            let told = remote.told.map(|(load, at)| SentLoad {
                load,
                sent_at: at,
                same_domain: remote.domain == self.hello.domain,
                last_call: remote.worked,
            });
            if told.is_some_and(|told| is_due(&told)) && remote.send(Frame::Load(load)) {
                remote.told = Some((load, now));
            }
        }
    }

    /// Sends items of the store to connected nodes, by their address and failure domain.
    pub fn send_items(&self, items: &Items, to: impl Fn(&str, &str) -> bool) {
        for (node, processes) in &*self.remotes.borrow() {
            for (_, remote) in processes {
                let remote = remote.borrow();
                if to(node, &remote.domain) {
                    remote.send(Frame::Items(Box::new(items.clone())));
                }
            }
        }
    }

    /// Returns the number of calls that run for other nodes.
    #[must_use]
    pub fn running_calls(&self) -> usize {
        let remotes = self.remotes.borrow();
        let all = remotes.values().flatten();
        all.map(|(_, r)| r.borrow().running.len()).sum()
    }

    /// Makes a connection the present one of the process that opened it; returns the record of the
    /// process and the number of the connection.
    fn enter(&self, hello: &Hello, out: mpsc::UnboundedSender<Frame>) -> (Shared, u64) {
        let mut remotes = self.remotes.borrow_mut();
        let processes = remotes.entry(hello.node.clone()).or_default();
        let known = processes.iter().position(|(i, _)| *i == hello.incarnation);
        let process = match known {
            Some(i) => processes.remove(i),
            None => (hello.incarnation, Shared::default()),
        };
        for (incarnation, other) in &*processes {
            let mut other = other.borrow_mut();
            if other.out.is_some() || !other.running.is_empty() {
                tracing::info!(event = 235, node = %hello.node, incarnation, successor = hello.incarnation, calls = other.running.len(), "another process of a node connected; what the earlier one waited for is cancelled where it may be");
            }
            other.abandon();
        }
        let remote = Rc::clone(&process.1);
        processes.push(process);
        let extra = processes.len().saturating_sub(KEPT_PROCESSES);
        processes.drain(..extra);
        let mut r = remote.borrow_mut();
        r.epoch += 1;
        hello.domain.clone_into(&mut r.domain);
        let load = self.service.load();
        // The receiver lives as long as the connection.
        let _sent = out.send(Frame::About(self.service.about()));
        let _sent = out.send(Frame::Load(load));
        r.told = Some((load, Instant::now()));
        r.out = Some(out);
        let epoch = r.epoch;
        drop(r);
        (remote, epoch)
    }

    async fn serve(self: Rc<Self>, io: TcpStream) -> std::io::Result<()> {
        let (mut read, mut write) = frames::split(io)?;
        let first = read.next().await;
        let first = first.ok_or(std::io::ErrorKind::UnexpectedEof)??;
        let Frame::Hello(hello) = frames::decode(&first)? else {
            return Err(std::io::Error::other("expected hello"));
        };
        write.add(&Frame::Hello(self.hello.clone()))?;
        write.flush().await?;
        let (out, mut queued) = mpsc::unbounded_channel();
        let (remote, epoch) = self.enter(&hello, out);
        let done = async {
            loop {
                tokio::select! {
                    biased;
                    bytes = read.next() => {
                        let bytes = bytes.ok_or(std::io::ErrorKind::UnexpectedEof)??;
                        let current = remote.borrow().epoch == epoch;
                        if !current {
                            return Ok(());
                        }
                        self.receive(&remote, frames::decode(&bytes)?);
                    }
                    frame = queued.recv() => {
                        let Some(mut frame) = frame else { return Ok(()) };
                        loop {
                            write.add(&frame)?;
                            match queued.try_recv() {
                                Ok(next) => frame = next,
                                Err(_) => break,
                            }
                        }
                        write.flush().await?;
                    }
                }
            }
        }
        .await;
        if remote.borrow().epoch == epoch {
            remote.borrow_mut().out = None;
            task::spawn_local(orphan(remote, epoch));
        }
        done
    }

    fn receive(&self, remote: &Shared, frame: Frame) {
        match frame {
            Frame::Call(seq, mut call) => {
                let now = Instant::now();
                let mut r = remote.borrow_mut();
                r.worked = Some(now);
                let late = r.lag.observe(call.sent_ms, now);
                drop(r);
                self.service.record_delay(late);
                let late = clock::millis(late);
                if late >= call.left_ms {
                    tracing::info!(event = 234, id = %call.id, late_ms = late, left_ms = call.left_ms, "a call arrived too late to be run");
                    let outcome = Outcome::NotRun(Failure::before_send(Cause::Expired, 0));
                    remote.borrow_mut().finish(seq, call.repeat, outcome);
                    return;
                }
                call.left_ms -= late;
                call.aim_ms = call.aim_ms.saturating_sub(late);
                let job = self.service.start_call(*call);
                let (owner, repeat) = (Rc::clone(remote), job.repeat);
                let running = RunningCall::spawn(job, move |outcome| {
                    owner.borrow_mut().finish(seq, repeat, outcome);
                });
                remote.borrow_mut().running.insert(seq, running);
            }
            Frame::Cancel(seq) => {
                let mut r = remote.borrow_mut();
                if r.running.get(&seq).is_some_and(RunningCall::cancel) {
                    r.running.remove(&seq);
                }
            }
            Frame::Resume(calls) => {
                for seq in calls {
                    remote.borrow().resume(seq);
                }
            }
            Frame::Ping => {
                remote.borrow().send(Frame::Pong);
            }
            Frame::Want(after) => {
                let items = self.service.items(after);
                remote.borrow().send(Frame::Items(Box::new(items)));
            }
            Frame::WantConfig => {
                let items = self.service.config();
                remote.borrow().send(Frame::Items(Box::new(items)));
            }
            Frame::Heat(heat) => self.service.receive_rates(*heat),
            Frame::Relay(seq, request) => {
                let answer = self.service.relay(*request);
                let remote = Rc::clone(remote);
                task::spawn_local(async move {
                    let response = answer.await;
                    remote.borrow().send(Frame::Relayed(seq, response));
                });
            }
            other => {
                tracing::warn!(event = 233, frame = ?other, "a node sent a frame in the wrong direction");
            }
        }
    }
}

/// Ends what nobody will ask for, if the node does not come back.
async fn orphan(remote: Shared, epoch: u64) {
    time::sleep(ORPHAN_TIME).await;
    let mut r = remote.borrow_mut();
    if r.epoch == epoch {
        r.running.retain(|_, running| !running.cancel());
    }
}
