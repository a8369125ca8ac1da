//! Connections of callers: requests in, responses out in the same order.
//!
//! Idempotent requests that a caller sends without waiting run side by side. A caller that closes
//! its connection is noticed while its requests run; dropping their futures then cancels them.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use futures::stream::{FuturesOrdered, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::{task, time};

use crate::protocol::http;
use crate::state::clock::Instant;
use crate::state::routes;

/// Most requests of one connection that run side by side.
const MOST_PIPELINED: usize = 8;

/// Bytes that are read ahead while requests run; more are left to the system's buffers.
const READ_AHEAD: usize = 64 * 1024;

/// Longest time for a body, from the end of its head.
const BODY_TIME: Duration = Duration::from_secs(30);

/// Time for which a closed connection is still read, so that the last response isn't reset.
const LINGER: Duration = Duration::from_millis(700);

/// Time in which an ending node still takes what callers have sent before: connections that wait to be
/// accepted, and bytes on idle ones. The system hands over what it has at once.
const LAST_CALL: Duration = Duration::from_millis(10);

/// Longest time for taking such connections, however many follow.
pub const ACCEPT_DRAIN_LIMIT: Duration = Duration::from_millis(200);

/// First size of a read buffer, in bytes.
const FIRST_BUFFER: usize = 1024;

/// Wait without a limit of its own; the responses that are due end it.
const NO_LIMIT: Duration = Duration::from_hours(1);

/// Pause after an accept that failed, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits until a configuration is known.
const FIRST_LIMITS: routes::Limits = routes::Limits {
    head_bytes: 16 * 1024,
    body_bytes: 16 << 20,
    head_time: Duration::from_secs(5),
    idle_time: Duration::from_secs(30),
};

/// Request as it was read.
#[derive(Debug)]
pub struct Request {
    /// Head.
    pub head: http::RequestHead,
    /// Body.
    pub body: Vec<u8>,
    /// Time at which the head was complete.
    pub arrived: Instant,
}

/// Response to a caller.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header lines besides those that concern the connection.
    pub headers: Vec<http::Header>,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without header lines and body.
    #[must_use]
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }
}

/// Future of a response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;

/// What answers the requests of callers.
pub trait Handler {
    /// Starts to answer a request; dropping the future means that the caller has left.
    fn answer(&self, request: Request) -> ResponseFuture;

    /// Returns the limits in force.
    fn limits(&self) -> Option<routes::Limits>;

    /// Returns whether responses should end their connections.
    fn is_draining(&self) -> bool;

    /// Returns whether idle connections should be closed, and no new ones accepted.
    fn is_terminating(&self) -> bool;

    /// Told when [`Handler::is_terminating`] changes.
    fn stage_changed(&self) -> Rc<Notify>;
}

/// Counts a connection as closed when dropped.
struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts callers until the node ends; `open` counts their connections.
pub async fn accept(listener: TcpListener, handler: Rc<dyn Handler>, open: Rc<Cell<usize>>) {
    let ending = handler.stage_changed();
    while !handler.is_terminating() {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = ending.notified() => continue,
        };
        match accepted {
            Ok((io, _)) => spawn(io, &handler, &open),
            Err(e) => {
                tracing::warn!(event = 252, error = %e, open = open.get(), "can't accept a caller");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Connections that the system has taken already may carry requests; closing the listener would
    // reset them.
    let end = Instant::now() + ACCEPT_DRAIN_LIMIT;
    while let Ok(Ok((io, _))) = time::timeout(LAST_CALL.min(end.left()), listener.accept()).await {
        spawn(io, &handler, &open);
    }
}

fn spawn(io: TcpStream, handler: &Rc<dyn Handler>, open: &Rc<Cell<usize>>) {
    let handler = Rc::clone(handler);
    let counted = Open::new(open);
    task::spawn_local(async move {
        if let Err(e) = serve(io, &*handler).await {
            tracing::debug!(event = 251, error = %e, "a caller's connection failed");
        }
        drop(counted);
    });
}

/// Future of a response, and whether it ends the connection.
type Last = Pin<Box<dyn Future<Output = (Response, bool)>>>;

/// Something that happened on the reading side of a connection.
enum Input {
    Request(Request),
    Refused(u16),
    Closed,
    Idle,
}

struct Reader {
    io: OwnedReadHalf,
    buffer: BytesMut,
    partial: Option<(http::RequestHead, http::BodyReader, Instant)>,
    since: Instant,
    limits: routes::Limits,
}

impl Reader {
    fn parse(&mut self) -> Option<Input> {
        if self.partial.is_none() {
            match http::RequestHead::parse(&mut self.buffer, self.limits.head_bytes) {
                Ok(None) => return None,
                Ok(Some(head)) => {
                    let body = http::BodyReader::new(head.body, self.limits.body_bytes);
                    self.partial = Some((head, body, Instant::now()));
                }
                Err(e) => return Some(Input::Refused(status_of(e))),
            }
        }
        let (_, body, _) = self.partial.as_mut()?;
        match body.feed(&mut self.buffer) {
            Ok(false) => None,
            Ok(true) => {
                let (head, body, arrived) = self.partial.take()?;
                self.since = Instant::now();
                Some(Input::Request(Request {
                    head,
                    body: body.into_body(),
                    arrived,
                }))
            }
            Err(e) => Some(Input::Refused(status_of(e))),
        }
    }

    /// Returns the next input. Without `accept`, requests stay in the buffer.
    async fn next(&mut self, accept: bool, busy: bool, handler: &dyn Handler) -> Input {
        if let Some(limits) = handler.limits() {
            // A connection keeps the longer idle limit, which its caller may still go by.
            let idle_time = limits.idle_time.max(self.limits.idle_time);
            self.limits = routes::Limits {
                idle_time,
                ..limits
            };
        }
        let ending = handler.stage_changed();
        loop {
            let ending = ending.notified();
            if accept && let Some(input) = self.parse() {
                return input;
            }
            if self.buffer.len() >= READ_AHEAD && !accept {
                std::future::pending::<()>().await;
            }
            let clean = self.buffer.is_empty() && self.partial.is_none();
            let wait = match &self.partial {
                Some((_, _, start)) => (*start + BODY_TIME).left(),
                None if busy || !accept => NO_LIMIT,
                None if clean => (self.since + self.limits.idle_time).left(),
                None => (self.since + self.limits.head_time).left(),
            };
            if clean && !busy {
                if self.buffer.capacity() > READ_AHEAD {
                    self.buffer = BytesMut::new();
                }
                if handler.is_terminating() {
                    let read = self.io.read_buf(&mut self.buffer);
                    match time::timeout(LAST_CALL, read).await {
                        Ok(Ok(n)) if n > 0 => continue,
                        _ => return Input::Idle,
                    }
                }
            }
            if self.buffer.capacity() == self.buffer.len() {
                self.buffer.reserve(FIRST_BUFFER);
            }
            let read = tokio::select! {
                read = self.io.read_buf(&mut self.buffer) => Some(read),
                () = time::sleep(wait) => None,
                () = ending => continue,
            };
            match read {
                Some(Ok(0) | Err(_)) => return Input::Closed,
                Some(Ok(_)) if clean => self.since = Instant::now(),
                Some(Ok(_)) => {}
                None if clean => return Input::Idle,
                None => return Input::Refused(408),
            }
        }
    }
}

fn status_of(e: http::ParseError) -> u16 {
    match e {
        http::ParseError::HeadTooLarge => 431,
        http::ParseError::BodyTooLarge => 413,
        http::ParseError::Syntax | http::ParseError::Framing => 400,
    }
}

fn may_overlap(request: &Request) -> bool {
    matches!(request.head.method.as_str(), "GET" | "HEAD")
}

async fn serve(io: TcpStream, handler: &dyn Handler) -> std::io::Result<()> {
    io.set_nodelay(true)?;
    let (read, mut write) = io.into_split();
    let mut reader = Reader {
        io: read,
        buffer: BytesMut::new(),
        partial: None,
        since: Instant::now(),
        limits: handler.limits().unwrap_or(FIRST_LIMITS),
    };
    let mut running: FuturesOrdered<Last> = FuturesOrdered::new();
    let mut last = false;
    let mut alone = false;
    let mut held: Option<Request> = None;
    loop {
        if running.is_empty() {
            alone = false;
            if let Some(request) = held.take() {
                alone = true;
                last = !request.head.keep_alive;
                push(&mut running, handler, request);
            }
        }
        // A closing connection takes nothing behind what runs: callers send that again elsewhere.
        let open = running.is_empty() || !handler.is_draining();
        let accept = open && !last && !alone && held.is_none() && running.len() < MOST_PIPELINED;
        let busy = !running.is_empty();
        tokio::select! {
            biased;
            Some((response, close)) = running.next(), if busy => {
                let final_one = running.is_empty() && held.is_none();
                let close = close || (final_one && handler.is_draining());
                let bytes = http::write_response(response.status, &response.headers, &response.body, close);
                write.write_all(&bytes).await?;
                reader.since = Instant::now();
                if close {
                    return linger(reader, write).await;
                }
            }
            input = reader.next(accept, busy, handler) => match input {
                Input::Request(request) if running.is_empty() || may_overlap(&request) => {
                    alone = !may_overlap(&request);
                    last = !request.head.keep_alive;
                    push(&mut running, handler, request);
                }
                Input::Request(request) => held = Some(request),
                Input::Refused(status) => {
                    tracing::info!(event = 253, status, "refused what is no acceptable request");
                    last = true;
                    running.push_back(Box::pin(async move { (Response::empty(status), true) }));
                }
                Input::Closed | Input::Idle => return Ok(()),
            }
        }
    }
}

fn push(running: &mut FuturesOrdered<Last>, handler: &dyn Handler, request: Request) {
    let close = !request.head.keep_alive;
    let answer = handler.answer(request);
    running.push_back(Box::pin(async move { (answer.await, close) }));
}

/// Closes a connection so that the peer can read all that was sent.
async fn linger(
    mut reader: Reader,
    mut write: tokio::net::tcp::OwnedWriteHalf,
) -> std::io::Result<()> {
    write.shutdown().await?;
    let drained = async {
        loop {
            reader.buffer.clear();
            if matches!(reader.io.read_buf(&mut reader.buffer).await, Ok(0) | Err(_)) {
                return;
            }
        }
    };
    // What is still unread after this time is lost with the connection.
    let _ended = time::timeout(LINGER, drained).await;
    Ok(())
}
