//! Connections of callers, with responses in the order of their requests.
//!
//! Pipelined `GET` and `HEAD` requests run concurrently. A connection that its caller closes is
//! detected while its requests run; dropping their futures then cancels them.

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
use crate::transport::sidecar::writing;

/// Maximum number of requests of one connection that run concurrently.
const MAX_PIPELINED: usize = 8;

/// Maximum number of bytes that are read ahead while requests run; further ones stay in the
/// system's buffers.
const READ_AHEAD: usize = 64 * 1024;

/// Maximum time to receive a body after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a connection is still read after its write half was shut down, so that a reset
/// doesn't discard the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(700);

/// Wait for connections and bytes that callers sent before the node began to terminate: connections
/// in the backlog, and bytes on idle connections. The system delivers those it has at once.
const BACKLOG_WAIT: Duration = Duration::from_millis(10);

/// Maximum time for accepting such connections, even if further ones keep arriving.
pub const ACCEPT_DRAIN_LIMIT: Duration = Duration::from_millis(200);

/// Initial size of a read buffer, in bytes.
const INITIAL_BUFFER_SIZE: usize = 1024;

/// Wait without an effective limit, while requests run; their responses end it.
const NO_LIMIT: Duration = Duration::from_hours(1);

/// Delay before the next accept after a failed one, for example when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Limits until a configuration is known.
const DEFAULT_LIMITS: routes::Limits = routes::Limits {
    head_bytes: 16 * 1024,
    body_bytes: 16 << 20,
    head_time: Duration::from_secs(5),
    idle_time: Duration::from_secs(30),
};

/// Request of a caller.
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
    /// Headers, without those that concern the connection.
    pub headers: Vec<http::Header>,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without headers and body.
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

/// Handler of the requests of callers.
pub trait Handler {
    /// Starts to answer a request; the future is dropped if the caller disconnects.
    fn answer(&self, request: Request) -> ResponseFuture;

    /// Returns the limits of the active configuration.
    fn limits(&self) -> Option<routes::Limits>;

    /// Returns whether connections should be closed after their current response.
    fn is_draining(&self) -> bool;

    /// Returns whether idle connections should be closed and no new ones accepted.
    fn is_terminating(&self) -> bool;

    /// Returns the notification of changes to [`Handler::is_terminating`].
    fn stage_changed(&self) -> Rc<Notify>;
}

/// Guard that counts an open connection until it is dropped.
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts callers until the node terminates; `open` counts their connections.
pub async fn accept(listener: TcpListener, handler: Rc<dyn Handler>, open: Rc<Cell<usize>>) {
    let stage_changed = handler.stage_changed();
    while !handler.is_terminating() {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stage_changed.notified() => continue,
        };
        match accepted {
            Ok((io, _)) => spawn_connection(io, &handler, &open),
            Err(e) => {
                tracing::warn!(event = 252, error = %e, open = open.get(), "failed to accept a connection from a caller");
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    // Connections in the backlog may already carry requests; closing the listener would reset them.
    let end = Instant::now() + ACCEPT_DRAIN_LIMIT;
    while let Ok(Ok((io, _))) = time::timeout(BACKLOG_WAIT.min(end.left()), listener.accept()).await
    {
        spawn_connection(io, &handler, &open);
    }
}

fn spawn_connection(io: TcpStream, handler: &Rc<dyn Handler>, open: &Rc<Cell<usize>>) {
    let handler = Rc::clone(handler);
    let counted = OpenGuard::new(open);
    task::spawn_local(async move {
        if let Err(e) = serve_connection(io, &*handler).await {
            tracing::debug!(event = 251, error = %e, "connection from a caller failed");
        }
        drop(counted);
    });
}

/// Future of a response and of whether the connection is closed after it.
type PendingResponse = Pin<Box<dyn Future<Output = (Response, bool)>>>;

/// Event on the read half of a connection.
enum Input {
    Request(Request),
    Rejected(u16),
    Closed,
    Idle,
}

/// Read half of a connection with its buffer and a partially read request.
struct Reader {
    io: OwnedReadHalf,
    buffer: BytesMut,
    partial: Option<(http::RequestHead, http::BodyReader, Instant)>,
    /// Start of the current wait for a request or for the rest of its head.
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
                Err(e) => return Some(Input::Rejected(status_of(e))),
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
            Err(e) => Some(Input::Rejected(status_of(e))),
        }
    }

    /// Returns the next input. Unless `accept` is set, requests stay in the buffer.
    async fn next(&mut self, accept: bool, busy: bool, handler: &dyn Handler) -> Input {
        if let Some(limits) = handler.limits() {
            // A connection keeps the longer idle timeout, on which its caller may still rely.
            let idle_time = limits.idle_time.max(self.limits.idle_time);
            self.limits = routes::Limits {
                idle_time,
                ..limits
            };
        }
        let stage_changed = handler.stage_changed();
        loop {
            let stage_changed = stage_changed.notified();
            if accept && let Some(input) = self.parse() {
                return input;
            }
            if self.buffer.len() >= READ_AHEAD && !accept {
                std::future::pending::<()>().await;
            }
            let clean = self.buffer.is_empty() && self.partial.is_none();
            let wait = match &self.partial {
                Some((_, _, start)) => (*start + BODY_TIMEOUT).left(),
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
                    match time::timeout(BACKLOG_WAIT, read).await {
                        Ok(Ok(n)) if n > 0 => continue,
                        _ => return Input::Idle,
                    }
                }
            }
            if self.buffer.capacity() == self.buffer.len() {
                self.buffer.reserve(INITIAL_BUFFER_SIZE);
            }
            let read = tokio::select! {
                read = self.io.read_buf(&mut self.buffer) => Some(read),
                () = time::sleep(wait) => None,
                () = stage_changed => continue,
            };
            match read {
                Some(Ok(0) | Err(_)) => return Input::Closed,
                Some(Ok(_)) if clean => self.since = Instant::now(),
                Some(Ok(_)) => {}
                None if clean => return Input::Idle,
                None => return Input::Rejected(408),
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

fn is_pipelinable(request: &Request) -> bool {
    matches!(request.head.method.as_str(), "GET" | "HEAD")
}

async fn serve_connection(io: TcpStream, handler: &dyn Handler) -> std::io::Result<()> {
    io.set_nodelay(true)?;
    let (read, write) = io.into_split();
    let mut reader = Reader {
        io: read,
        buffer: BytesMut::new(),
        partial: None,
        since: Instant::now(),
        limits: handler.limits().unwrap_or(DEFAULT_LIMITS),
    };
    let mut running: FuturesOrdered<PendingResponse> = FuturesOrdered::new();
    let mut last_received = false;
    let mut exclusive = false;
    let mut deferred: Option<Request> = None;
    loop {
        if running.is_empty() {
            exclusive = false;
            if let Some(request) = deferred.take() {
                exclusive = true;
                last_received = !request.head.keep_alive;
                enqueue(&mut running, handler, request);
            }
        }
        // While draining, a busy connection takes no further requests: callers send them elsewhere.
        let open = running.is_empty() || !handler.is_draining();
        let accept = open
            && !last_received
            && !exclusive
            && deferred.is_none()
            && running.len() < MAX_PIPELINED;
        let busy = !running.is_empty();
        tokio::select! {
            biased;
            Some((response, close)) = running.next(), if busy => {
                let last_response = running.is_empty() && deferred.is_none();
                let close = close || (last_response && handler.is_draining());
                let bytes = http::write_response(response.status, &response.headers, &response.body, close);
                // A caller that doesn't read its response is idle.
                let stall_limit = reader.limits.idle_time;
                writing::write_all(write.as_ref(), &bytes, stall_limit, || ()).await?;
                reader.since = Instant::now();
                if close {
                    return close_gracefully(reader, write).await;
                }
            }
            input = reader.next(accept, busy, handler) => match input {
                Input::Request(request) if running.is_empty() || is_pipelinable(&request) => {
                    exclusive = !is_pipelinable(&request);
                    last_received = !request.head.keep_alive;
                    enqueue(&mut running, handler, request);
                }
                Input::Request(request) => deferred = Some(request),
                Input::Rejected(status) => {
                    tracing::info!(event = 253, status, "rejected a malformed, oversized or late request");
                    last_received = true;
                    running.push_back(Box::pin(async move { (Response::empty(status), true) }));
                }
                Input::Closed | Input::Idle => return Ok(()),
            }
        }
    }
}

fn enqueue(running: &mut FuturesOrdered<PendingResponse>, handler: &dyn Handler, request: Request) {
    let close = !request.head.keep_alive;
    let response = handler.answer(request);
    running.push_back(Box::pin(async move { (response.await, close) }));
}

/// Closes a connection gracefully, so that the caller can read everything that was sent.
async fn close_gracefully(
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
    // Bytes that the caller has not read by then are lost with the connection.
    let _ended = time::timeout(LINGER_TIMEOUT, drained).await;
    Ok(())
}
