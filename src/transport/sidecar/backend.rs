//! Requests to the local backend server, over pooled connections.
//!
//! A connection carries one request at a time. A response is accepted only if it bears the
//! identifier of its request; others are read and discarded, since backend servers sometimes answer
//! twice. A connection that has received anything but one response per request is not reused.
//!
//! Two cases remain in which a response could be attributed to the wrong request. A refusal without
//! an identifier is accepted only as the first response on a connection, where no earlier request
//! can have caused it. And a connection is closed after a refusal, because the same request may be
//! sent again, and a duplicate of its refusal would then look like the response.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::protocol::adapter;
use crate::protocol::body::Body;
use crate::protocol::http;
use crate::protocol::mesh::{Cause, RateLimit, Response};
use crate::state::clock::Instant;
use crate::state::reservation::Footprint;
use crate::state::routes::Repeat;
use crate::transport::sidecar::byte_budget::ByteBudget;
use crate::transport::sidecar::socket::{ReadError, Socket};

/// Maximum time to open a connection to the backend server, which is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum idle time of a connection for a request that may not be repeated. Backend servers drop
/// idle connections, and such a request can't be sent again.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(300);

/// Maximum idle time of a connection for any request; below the usual idle timeouts of servers.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);

/// Fraction of the idle timeout stated by the server after which a connection isn't reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;

/// Maximum number of idle connections.
const MAX_IDLE: usize = 24;

/// Maximum size of a response body, in bytes; equal to the default limit on request bodies.
const MAX_RESPONSE: usize = 16 << 20;

/// Memory for all responses until the budget of the process is set, in bytes; a quarter of the memory of the
/// smallest hosts.
const RESPONSE_BUDGET: Footprint = Footprint {
    heap: 40 << 20,
    mapped: 40 << 20,
};

/// Maximum number of responses to other requests that are skipped before a connection is closed.
const MAX_SKIPPED: usize = 8;

/// Maximum body size of a skipped response, in bytes.
const MAX_SKIPPED_BODY: usize = 1 << 20;

/// Reason why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// The request was not sent.
    NotSent(Cause),
    /// The backend server refused the request without running it.
    NotRun(Cause),
    /// The request may have run.
    Unknown(Cause),
}

/// Encoded request to the backend server.
pub struct Request<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Method.
    pub method: &'a str,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Head as written to the connection; it may have a small body behind it.
    pub bytes: &'a [u8],
    /// Body that is written after it.
    pub body: &'a [u8],
    /// Called with what the backend server says of itself, once the head of its response is there.
    pub on_signals: &'a dyn Fn(adapter::Signals),
}

impl std::fmt::Debug for Request<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Request")
            .field("id", &self.id)
            .field("method", &self.method)
            .finish_non_exhaustive()
    }
}

/// Returns the signals of a response that belongs to its request, if they can be trusted: they come
/// from the intended backend server, and its bytes aren't garbled.
fn trusted_signals(marks: &adapter::Marks) -> Option<adapter::Signals> {
    let signals = marks.signals;
    match marks.refusal {
        Some(adapter::Refusal::Misdirected) => None,
        // A refusal may come from a part of the server that doesn't add the header.
        Some(_) if signals.limit == RateLimit::Unlimited => Some(adapter::Signals {
            limit: RateLimit::Unknown,
            ..signals
        }),
        Some(_) => Some(signals),
        None => marks.signed.then_some(signals),
    }
}

/// Connection and whether it may be reused.
#[derive(Debug)]
struct Connection {
    socket: Socket,
    /// Whether it has carried an earlier request.
    used: bool,
    /// Whether all responses received on it belonged to its requests.
    clean: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    /// Time of its last use.
    since: Instant,
    /// Time after which it is not reused.
    until: Instant,
}

/// Complete response to the request in progress, and its decoded headers.
struct OwnResponse {
    head: http::ResponseHead,
    body: Body,
    marks: adapter::Marks,
}

/// Connection pool for one backend server.
#[derive(Debug)]
pub struct Pool {
    adapter: Rc<dyn adapter::Adapter>,
    idle: RefCell<Vec<IdleConnection>>,
    budget: RefCell<Rc<ByteBudget>>,
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(adapter: Rc<dyn adapter::Adapter>) -> Self {
        Self {
            adapter,
            idle: RefCell::new(Vec::new()),
            budget: RefCell::new(ByteBudget::new(RESPONSE_BUDGET, 0)),
        }
    }

    /// Sets the budget of the process.
    pub fn set_budget(&self, budget: &Rc<ByteBudget>) {
        *self.budget.borrow_mut() = Rc::clone(budget);
    }

    /// Closes all idle connections; to be called when another backend server takes the address.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections that have expired.
    pub fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|c| now < c.until);
    }

    fn take(&self, repeat: Repeat) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|c| now < c.until && c.connection.socket.is_idle());
        let fresh = |c: &IdleConnection| now.since(c.since) < MAX_IDLE_NON_REPEATABLE;
        // The most recently used connection is at the end; if it isn't fresh, none is.
        let usable = repeat == Repeat::Idempotent || idle.last().is_some_and(fresh);
        usable.then(|| idle.pop()).flatten().map(|c| c.connection)
    }

    fn keep(&self, connection: Connection, idle_timeout: Option<Duration>) {
        let now = Instant::now();
        let idle_timeout = idle_timeout.map_or(MAX_IDLE_TIME, |d| d.mul_f64(IDLE_TIMEOUT_FRACTION));
        let mut idle = self.idle.borrow_mut();
        if connection.clean && idle.len() < MAX_IDLE && connection.socket.is_idle() {
            idle.push(IdleConnection {
                connection,
                since: now,
                until: now + idle_timeout.min(MAX_IDLE_TIME),
            });
        }
    }

    /// Opens a connection.
    async fn open(address: SocketAddr) -> Result<Connection, SendError> {
        match Socket::connect(address, CONNECT_TIMEOUT).await {
            Ok(socket) => Ok(Connection {
                socket,
                used: false,
                clean: true,
            }),
            Err(e) => {
                tracing::warn!(event = 551, %address, error = %e, "failed to connect to the backend server");
                Err(SendError::NotSent(Cause::Connect))
            }
        }
    }

    /// Sends a request once and reads its response, until the deadline.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &Request<'_>,
        deadline: Instant,
    ) -> Result<Response, SendError> {
        let mut connection = match self.take(request.repeat) {
            Some(connection) => connection,
            None => Self::open(address).await?,
        };
        let response = self.exchange(&mut connection, request, deadline).await?;
        connection.used = true;
        let OwnResponse { head, body, marks } = response;
        if let Some(refusal) = marks.refusal {
            return Err(SendError::NotRun(match refusal {
                adapter::Refusal::Shed => Cause::Shed,
                adapter::Refusal::NotHolder => Cause::NotHolder,
                adapter::Refusal::Misdirected => Cause::Misdirected,
            }));
        }
        let encoded = http::header_value(&head.headers, "content-encoding").is_some();
        // Without the signature, a status tells nothing about whether the request has run.
        let needs_signature = head.status < 300 || self.adapter.promises_not_run(head.status);
        if encoded || (needs_signature && !marks.signed) {
            tracing::warn!(
                event = 554,
                id = request.id,
                status = head.status,
                encoded,
                "response is encoded or lacks the backend server's signature"
            );
            return Err(SendError::Unknown(Cause::Garbled));
        }
        if head.keep_alive {
            self.keep(connection, marks.idle);
        }
        Ok(Response {
            status: head.status,
            headers: http::end_to_end_headers(&head.headers),
            body,
        })
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        request: &Request<'_>,
        deadline: Instant,
    ) -> Result<OwnResponse, SendError> {
        let mut head_received = false;
        let response = async {
            connection.socket.write(request.bytes).await?;
            connection.socket.write(request.body).await?;
            self.read_response(connection, request, &mut head_received)
                .await
        };
        match time::timeout(deadline.left(), response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(ReadError::Io(e))) => {
                let early = e.kind() == io::ErrorKind::UnexpectedEof;
                tracing::info!(event = 552, id = request.id, error = %e, early, "connection to the backend server was lost");
                Err(SendError::Unknown(Cause::Broken))
            }
            Ok(Err(ReadError::Malformed(e))) => {
                tracing::warn!(event = 553, id = request.id, error = %e, "backend server sent an invalid response");
                Err(SendError::Unknown(Cause::Garbled))
            }
            Err(_) if head_received => {
                tracing::warn!(
                    event = 556,
                    id = request.id,
                    "response of the backend server did not end in time"
                );
                Err(SendError::Unknown(Cause::Endless))
            }
            Err(_) => Err(SendError::Unknown(Cause::Timeout)),
        }
    }

    /// Reads responses until one belongs to the request; sets `head_received` once any response
    /// head has arrived.
    async fn read_response(
        &self,
        connection: &mut Connection,
        request: &Request<'_>,
        head_received: &mut bool,
    ) -> Result<OwnResponse, ReadError> {
        for _ in 0..MAX_SKIPPED {
            let socket = &mut connection.socket;
            let head = socket.read_head(request.method).await?;
            *head_received = true;
            let marks = self.adapter.decode_marks(&head);
            let first = !connection.used && connection.clean;
            let own = match &marks.id {
                Some(id) => id == request.id,
                None => marks.refusal.is_some() && first,
            };
            // A response to another request is late, so what it says may no longer hold.
            if own && let Some(signals) = trusted_signals(&marks) {
                if marks.refusal.is_none() && signals.limit == RateLimit::Unknown {
                    tracing::warn!(
                        event = 557,
                        id = request.id,
                        "ignored a limit of the backend server that can't be decoded"
                    );
                }
                (request.on_signals)(signals);
            }
            let limit = if own { MAX_RESPONSE } else { MAX_SKIPPED_BODY };
            let budget = Rc::clone(&self.budget.borrow());
            let body = socket.read_body(&head, limit, &budget).await?;
            if own {
                return Ok(OwnResponse { head, body, marks });
            }
            connection.clean = false;
            tracing::info!(event = 555, id = request.id, other = ?marks.id, status = head.status, used = connection.used, "skipped a response to another request");
            if !head.keep_alive {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        Err(http::ParseError::Syntax.into())
    }
}
