//! Connections to other nodes, over which this node sends calls.
//!
//! A call outlives its connection: after a loss it is asked for again over the next one, and the
//! other node answers with the outcome, goes on running it, or says that it never got it. Only a
//! restart of the other node leaves an outcome unknown. A connection that stays silent is given up,
//! because it may have been forgotten on the way without a reset.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::{task, time};

use crate::protocol::mesh::{
    BackendInfo, Call, Cause, Failure, Frame, Hello, Items, Load, Outcome, Seq, StoreRequest,
    StoreResponse,
};
use crate::state::clock::Instant;
use crate::state::routes::Repeat;
use crate::transport::sidecar::frames::{self, FrameReader, FrameWriter};

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);

/// First pause between two attempts to connect; doubles up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two attempts to connect.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Interval at which silence is looked for.
pub const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Silence after which a node with calls outstanding is asked for a sign of life.
const BUSY_SILENCE: Duration = Duration::from_millis(250);

/// Silence after which a node without calls outstanding is asked for a sign of life.
const IDLE_SILENCE: Duration = Duration::from_millis(1500);

/// Longest wait for a sign of life; a slowed host answers later than a network does.
const PONG_LIMIT: Duration = Duration::from_millis(900);

/// Time for which an idempotent call waits for a new connection before it is tried elsewhere.
const RESUME_TIME: Duration = Duration::from_millis(500);

/// Function that gets the items that a node sends, with the failure domain of that node.
pub type ItemsHandler = Rc<dyn Fn(&str, Items)>;

#[derive(Debug)]
struct Pending {
    reply: oneshot::Sender<Outcome>,
    repeat: Repeat,
    written: bool,
}

/// What a node last reported of itself.
#[derive(Debug, Clone)]
pub struct Report {
    /// Backend server beside the node.
    pub about: Rc<BackendInfo>,
    /// Load.
    pub load: Load,
    /// Arrival of the report.
    pub received_at: Instant,
}

/// Connection to one other node.
pub struct Link {
    /// Address of the other node.
    pub node: String,
    /// Failure domain of the other node.
    pub domain: RefCell<String>,
    address: SocketAddr,
    hello: Hello,
    out: RefCell<Option<mpsc::UnboundedSender<Frame>>>,
    pending: RefCell<BTreeMap<Seq, Pending>>,
    relays: RefCell<BTreeMap<Seq, oneshot::Sender<Option<StoreResponse>>>>,
    next: Cell<Seq>,
    incarnation: Cell<Option<u64>>,
    about: RefCell<Rc<BackendInfo>>,
    report: Cell<Option<(Load, Instant)>>,
    take_items: ItemsHandler,
    /// Calls sent less calls ended since the last report.
    since_report: Cell<i32>,
    heard: Cell<Instant>,
    pinged: Cell<Option<Instant>>,
    lost: Cell<Option<Instant>>,
    give_up: Notify,
    removed: Cell<bool>,
    news: Rc<Notify>,
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Link")
            .field("node", &self.node)
            .field("lost", &self.lost.get())
            .finish_non_exhaustive()
    }
}

impl Link {
    /// Creates a link and starts to connect; `news` is told of each report, `take_items` gets the
    /// items that were asked for.
    #[must_use]
    pub fn start(
        address: SocketAddr,
        domain: &str,
        hello: Hello,
        news: Rc<Notify>,
        take_items: ItemsHandler,
    ) -> Rc<Self> {
        let now = Instant::now();
        let link = Rc::new(Self {
            node: address.to_string(),
            domain: RefCell::new(domain.to_owned()),
            address,
            hello,
            out: RefCell::new(None),
            pending: RefCell::new(BTreeMap::new()),
            relays: RefCell::new(BTreeMap::new()),
            next: Cell::new(0),
            incarnation: Cell::new(None),
            about: RefCell::default(),
            report: Cell::new(None),
            take_items,
            since_report: Cell::new(0),
            heard: Cell::new(now),
            pinged: Cell::new(None),
            lost: Cell::new(Some(now)),
            give_up: Notify::new(),
            removed: Cell::new(false),
            news,
        });
        task::spawn_local(run(Rc::clone(&link)));
        link
    }

    /// Returns whether the link is connected.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.out.borrow().is_some()
    }

    /// Returns the time since when the link is not connected.
    #[must_use]
    pub fn disconnected_since(&self) -> Option<Instant> {
        self.lost.get()
    }

    /// Returns the last report over the present connection.
    #[must_use]
    pub fn report(&self) -> Option<Report> {
        let (load, at) = self.report.get().filter(|_| self.is_connected())?;
        let about = Rc::clone(&self.about.borrow());
        Some(Report {
            about,
            load,
            received_at: at,
        })
    }

    /// Returns the number of calls sent less those ended since the last report.
    #[must_use]
    pub fn calls_since_report(&self) -> i32 {
        self.since_report.get()
    }

    /// Ends the link; calls outstanding end as lost.
    pub fn close(&self) {
        self.removed.set(true);
        self.give_up.notify_one();
    }

    /// Sends a frame without an answer, if connected.
    pub fn send(&self, frame: Frame) {
        if let Some(out) = &*self.out.borrow() {
            // The receiver is gone only if the connection ends, which is handled there.
            let _sent = out.send(frame);
        }
    }

    fn sequence(&self) -> Seq {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Sends a call; `None` if there is no connection.
    #[must_use]
    pub fn call(self: &Rc<Self>, mut call: Call) -> Option<InFlight> {
        if !self.is_connected() {
            return None;
        }
        let sent = Instant::now().since_boot().as_millis();
        call.sent_ms = u64::try_from(sent).unwrap_or(u64::MAX);
        let seq = self.sequence();
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

    /// Makes a call to the store through the other node.
    pub async fn relay(&self, request: StoreRequest, limit: Duration) -> Option<StoreResponse> {
        let seq = self.sequence();
        let (reply, answer) = oneshot::channel();
        self.relays.borrow_mut().insert(seq, reply);
        self.send(Frame::Relay(seq, Box::new(request)));
        let answered = time::timeout(limit, answer).await;
        self.relays.borrow_mut().remove(&seq);
        answered.ok()?.ok()?
    }

    /// Looks for silence; to be called every [`SILENCE_CHECK_INTERVAL`].
    pub fn check_silence(&self, now: Instant) {
        if !self.is_connected() {
            return;
        }
        if let Some(at) = self.pinged.get() {
            if now.since(at) > PONG_LIMIT {
                tracing::warn!(event = 221, node = %self.node, silent_ms = now.since(self.heard.get()).as_millis(), "a silent connection to a node is given up");
                self.give_up.notify_one();
            }
            return;
        }
        let bound = if self.pending.borrow().is_empty() {
            IDLE_SILENCE
        } else {
            BUSY_SILENCE
        };
        if now.since(self.heard.get()) > bound {
            self.pinged.set(Some(now));
            self.send(Frame::Ping);
        }
    }

    fn end(&self, seq: Seq, outcome: Outcome) {
        if let Some(pending) = self.pending.borrow_mut().remove(&seq) {
            self.since_report.set(self.since_report.get() - 1);
            // A caller that has left dropped the receiver.
            let _delivered = pending.reply.send(outcome);
        }
    }

    fn end_all(&self, cause: Cause, which: impl Fn(&Pending) -> bool) {
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
            self.end(seq, outcome);
        }
    }

    /// Ends a call with what the other node says about it.
    fn settle(&self, seq: Seq, outcome: Outcome) {
        let repeat = self.pending.borrow().get(&seq).map(|p| p.repeat);
        let outcome = match (outcome, repeat) {
            // Outcomes of idempotent calls aren't kept, so the other node can't rule a run out.
            (Outcome::NotRun(f), Some(Repeat::Idempotent)) if f.cause == Cause::LinkLost => {
                Outcome::Unknown(Failure::after_send(Cause::LinkLost))
            }
            (outcome, _) => outcome,
        };
        self.end(seq, outcome);
    }

    fn receive(&self, frame: Frame) {
        match frame {
            Frame::Reply(seq, outcome) => self.settle(seq, *outcome),
            Frame::Load(load) => {
                self.report.set(Some((load, Instant::now())));
                self.since_report.set(0);
                self.news.notify_waiters();
            }
            Frame::Relayed(seq, response) => {
                if let Some(reply) = self.relays.borrow_mut().remove(&seq) {
                    // Nobody waits any more if the time limit has passed.
                    let _delivered = reply.send(response);
                }
            }
            Frame::About(about) => *self.about.borrow_mut() = Rc::new(about),
            Frame::Items(items) => {
                // The items may change the failure domain of this very node.
                let domain = self.domain.borrow().clone();
                (self.take_items)(&domain, *items);
            }
            Frame::Pong => {}
            other => {
                tracing::warn!(event = 222, node = %self.node, frame = ?other, "a node sent a frame in the wrong direction");
            }
        }
    }

    /// Marks a call as written; returns whether the frame is still wanted, which a call isn't whose
    /// caller has left while it waited for the connection.
    fn is_wanted(&self, frame: &Frame) -> bool {
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

/// Call on its way; dropping it tells the other node that the caller has left.
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
            let gone = self.link.pending.borrow_mut().remove(&self.seq);
            if gone.is_some() {
                let since = self.link.since_report.get();
                self.link.since_report.set(since - 1);
            }
            self.link.send(Frame::Cancel(self.seq));
        }
    }
}

async fn run(link: Rc<Link>) {
    let mut pause = FIRST_PAUSE;
    while !link.removed.get() {
        match connect(&link).await {
            Ok(io) => {
                pause = FIRST_PAUSE;
                if let Err(e) = exchange(&link, io).await {
                    tracing::info!(event = 223, node = %link.node, error = %e, calls = link.pending.borrow().len(), "lost the connection to a node");
                }
                *link.out.borrow_mut() = None;
                link.pinged.set(None);
                link.lost.set(Some(Instant::now()));
                link.relays.borrow_mut().clear();
                link.news.notify_waiters();
            }
            Err(e) => {
                tracing::debug!(event = 224, node = %link.node, error = %e, "can't connect to a node");
            }
        }
        let since = link.lost.get().unwrap_or_else(Instant::now);
        if Instant::now().since(since) > RESUME_TIME {
            link.end_all(Cause::LinkLost, |p| p.repeat == Repeat::Idempotent);
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        if !link.pending.borrow().is_empty() {
            pause = pause.min(RESUME_TIME / 2);
        }
    }
    link.end_all(Cause::LinkLost, |_| true);
}

async fn connect(link: &Link) -> std::io::Result<(FrameReader, FrameWriter)> {
    let opened = async {
        let io = TcpStream::connect(link.address).await?;
        let (mut read, mut write) = frames::split(io)?;
        write.add(&Frame::Hello(link.hello.clone()))?;
        write.flush().await?;
        let first = read.next().await;
        let first = first.ok_or(std::io::ErrorKind::UnexpectedEof)??;
        match frames::decode(&first)? {
            Frame::Hello(hello) => Ok(((read, write), hello)),
            other => Err(std::io::Error::other(format!(
                "expected hello, got {other:?}"
            ))),
        }
    };
    let opened = time::timeout(CONNECT_LIMIT, opened).await;
    let (io, hello) = opened.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    let before = link.incarnation.replace(Some(hello.incarnation));
    if before.is_some_and(|b| b != hello.incarnation) {
        tracing::info!(event = 225, node = %link.node, incarnation = hello.incarnation, calls = link.pending.borrow().len(), "a node was restarted");
        link.end_all(Cause::Restarted, |_| true);
        link.report.set(None);
    }
    Ok(io)
}

async fn exchange(link: &Link, io: (FrameReader, FrameWriter)) -> std::io::Result<()> {
    let (mut read, mut write) = io;
    let (out, mut queued) = mpsc::unbounded_channel();
    let pending: Vec<Seq> = link.pending.borrow().keys().copied().collect();
    if !pending.is_empty() {
        // The receiver lives until the end of this function.
        let _sent = out.send(Frame::Resume(pending));
    }
    link.heard.set(Instant::now());
    link.lost.set(None);
    *link.out.borrow_mut() = Some(out);
    tracing::info!(event = 226, node = %link.node, "connected to a node");
    loop {
        tokio::select! {
            biased;
            bytes = read.next() => {
                let bytes = bytes.ok_or(std::io::ErrorKind::UnexpectedEof)??;
                link.heard.set(Instant::now());
                link.pinged.set(None);
                link.receive(frames::decode(&bytes)?);
            }
            frame = queued.recv() => {
                let mut next = frame;
                while let Some(frame) = next {
                    if link.is_wanted(&frame) {
                        write.add(&frame)?;
                    }
                    next = queued.try_recv().ok();
                }
                write.flush().await?;
            }
            () = link.give_up.notified() => return Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
}
