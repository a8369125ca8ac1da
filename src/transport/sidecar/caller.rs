//! Connections of callers, with responses in the order of their requests.
//!
//! Pipelined `GET` and `HEAD` requests run concurrently. A connection that its caller closes is
//! detected while its requests run; dropping their futures then cancels them.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures::stream::{FuturesOrdered, StreamExt};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::{task, time};

use crate::protocol::body::Body;
use crate::protocol::http;
use crate::state::clock::Instant;
use crate::state::reservation::{Footprint, Reservation};
use crate::state::routes;
use crate::transport::sidecar::byte_budget::{ByteBudget, Connection, Phase, Registered};
use crate::transport::sidecar::request_reader::{Input, Reader};
use crate::transport::sidecar::writing;

/// Maximum number of requests of one connection that run concurrently.
const MAX_PIPELINED: usize = 8;

/// Time for which a connection is still read after its write half was shut down, so that a reset
/// doesn't discard the last response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(700);

/// Wait for connections and bytes that callers sent before the node began to terminate: connections
/// in the backlog, and bytes on idle connections. The system delivers those it has at once.
pub const BACKLOG_WAIT: Duration = Duration::from_millis(10);

/// Maximum time for accepting such connections, even if further ones keep arriving.
pub const ACCEPT_DRAIN_LIMIT: Duration = Duration::from_millis(200);

/// Retry-After of a request that was refused because the memory is used up, in seconds. Stalled bodies can
/// be closed after one second.
const SHORTAGE_RETRY_AFTER: &str = "1.000";

/// Size of the pieces in which a response is written, in bytes, after each of which progress is recorded.
const WRITE_PIECE: usize = 16 * 1024;

/// Delay before the next accept after a failed one, for example when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Request of a caller.
#[derive(Debug)]
pub struct Request {
    /// Head.
    pub head: http::RequestHead,
    /// Body.
    pub body: Body,
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
    pub body: Body,
}

impl Response {
    /// Creates a response without headers and body.
    #[must_use]
    pub fn empty(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Body::default(),
        }
    }
}

/// Future of a response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response>>>;

/// Handler of the requests of callers.
pub trait Handler {
    /// Starts to answer a request; the future is dropped if the caller disconnects.
    fn answer(&self, request: Request) -> ResponseFuture;

    /// Returns the refusal of a request that has no room in memory; without a head if that has none.
    fn refuse(&self, head: Option<&http::RequestHead>) -> Response {
        let _ = head;
        Response {
            headers: vec![http::Header::new("Retry-After", SHORTAGE_RETRY_AFTER)],
            ..Response::empty(503)
        }
    }

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

/// Accepts callers until the node terminates; `open` counts their connections, `budget` bounds what they
/// hold.
pub async fn accept(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    open: Rc<Cell<usize>>,
    budget: Rc<ByteBudget>,
) {
    let stage_changed = handler.stage_changed();
    while !handler.is_terminating() {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stage_changed.notified() => continue,
        };
        match accepted {
            Ok((io, _)) => spawn_connection(io, &handler, &open, &budget).await,
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
        spawn_connection(io, &handler, &open, &budget).await;
    }
}

/// Serves a connection in the background; closes it if there are too many and none is idle.
async fn spawn_connection(
    io: TcpStream,
    handler: &Rc<dyn Handler>,
    open: &Rc<Cell<usize>>,
    budget: &Rc<ByteBudget>,
) {
    let Some(registered) = budget.register().await else {
        return;
    };
    let handler = Rc::clone(handler);
    let budget = Rc::clone(budget);
    let counted = OpenGuard::new(open);
    task::spawn_local(async move {
        if let Err(e) = serve_connection(io, &*handler, budget, registered).await {
            tracing::debug!(event = 251, error = %e, "connection from a caller failed");
        }
        drop(counted);
    });
}

/// Future of a response and of whether the connection is closed after it.
type PendingResponse = Pin<Box<dyn Future<Output = (Response, bool)>>>;

fn is_pipelinable(request: &Request) -> bool {
    matches!(request.head.method.as_str(), "GET" | "HEAD")
}

async fn serve_connection(
    io: TcpStream,
    handler: &dyn Handler,
    budget: Rc<ByteBudget>,
    registered: Registered,
) -> std::io::Result<()> {
    io.set_nodelay(true)?;
    let connection = Rc::clone(&registered.connection);
    let (read, write) = io.into_split();
    let mut reader = Reader::new(read, budget, registered, handler.limits());
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
                // A caller that doesn't read its response is idle.
                let stall_limit = reader.idle_time();
                write_response(write.as_ref(), response, close, stall_limit, &connection).await?;
                reader.restart_wait();
                if close {
                    return close_gracefully(reader, write).await;
                }
                if !reader.is_receiving() {
                    let idle = running.is_empty() && deferred.is_none();
                    let phase = if idle { Phase::Idle } else { Phase::Running };
                    connection.enter(phase, Footprint::default());
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
                Input::Refused(head) => {
                    last_received = true;
                    let response = handler.refuse(head.as_deref());
                    running.push_back(Box::pin(async move { (response, true) }));
                }
                Input::Closed | Input::Idle => return Ok(()),
            }
        }
    }
}

/// Writes a response. A large body is written from where it is, and given up if the connection is closed
/// to free its memory.
async fn write_response(
    io: &TcpStream,
    response: Response,
    close: bool,
    stall_limit: Duration,
    connection: &Connection,
) -> std::io::Result<()> {
    let Response {
        status,
        headers,
        body,
    } = response;
    let (start, rest) = if body.len() <= http::JOINED_BYTES {
        let bytes = http::write_response(status, &headers, &body, close);
        (bytes, &[][..])
    } else {
        let bytes = http::write_response_head(status, &headers, body.len(), close);
        (bytes, &body[..])
    };
    // Most responses fit into the send buffer.
    let sent = io.try_write(&start).unwrap_or(0);
    if sent == start.len() && rest.is_empty() {
        return Ok(());
    }
    let held = body.held().map(Reservation::held);
    connection.enter(Phase::Sending, held.unwrap_or_default());
    let written = async {
        writing::write_all(io, &start[sent..], stall_limit, || ()).await?;
        for piece in rest.chunks(WRITE_PIECE) {
            writing::write_all(io, piece, stall_limit, || ()).await?;
            connection.record_moved(piece.len());
        }
        Ok(())
    };
    tokio::select! {
        written = written => written,
        () = connection.closed() => Err(std::io::ErrorKind::TimedOut.into()),
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
    // Bytes that the caller has not read by then are lost with the connection.
    let _ended = time::timeout(LINGER_TIMEOUT, reader.drain()).await;
    Ok(())
}
