//! Requests to the backend server beside the node, over kept connections.
//!
//! A connection carries one request at a time. A response counts only if it bears the identifier of
//! its request; others are read and dropped, since backend servers sometimes answer twice. A
//! connection on which anything else came than one response a request is not used again.
//!
//! Two kinds of response could still be taken for another's. A refusal without an identifier counts
//! only as the first response on a connection, where no earlier request can have caused it. And a
//! connection ends with a refusal, because the same request may come again, and a second copy of its
//! refusal would then look like the answer.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::protocol::adapter;
use crate::protocol::http;
use crate::protocol::mesh::{Cause, Response};
use crate::state::clock::Instant;
use crate::state::routes::Repeat;
use crate::transport::sidecar::socket::{BodyBudget, ReadError, Socket};

/// Longest time to open a connection to the backend server; it is on the same host.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Age up to which an idle connection takes a request that may not be repeated. Backend servers
/// forget idle connections, and such a request can't be sent again.
const FRESH_IDLE: Duration = Duration::from_millis(300);

/// Age up to which an idle connection takes any request; below the usual idle limits.
const OLDEST_IDLE: Duration = Duration::from_secs(3);

/// Part of the stated idle limit after which a connection isn't used any more.
const IDLE_SHARE: f64 = 0.5;

/// Most idle connections that are kept.
const MOST_IDLE: usize = 24;

/// Largest response body, in bytes; the default limit on bodies of requests.
const MAX_RESPONSE: usize = 16 << 20;

/// Room for all response bodies that are read at the same time, in bytes; a quarter of the memory of
/// the smallest hosts.
const BODY_ROOM: usize = 40 << 20;

/// Answers to other requests that are skipped before a connection is given up.
const MOST_STRAYS: usize = 8;

/// Largest body of an answer to another request that is skipped, in bytes.
const MAX_STRAY: usize = 1 << 20;

/// Why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// The request was not sent.
    NotSent(Cause),
    /// The backend server says that it did not run it.
    NotRun(Cause),
    /// It may have run.
    Unknown(Cause),
}

/// Request with all that the backend server is told.
#[derive(Debug)]
pub struct Request<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Method.
    pub method: &'a str,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// The request as bytes.
    pub bytes: &'a [u8],
}

/// Connection with what it has carried.
#[derive(Debug)]
struct Carrier {
    socket: Socket,
    /// Whether it has carried a request.
    used: bool,
    /// Whether all that came on it belonged to its requests.
    clean: bool,
}

#[derive(Debug)]
struct Kept {
    carrier: Carrier,
    since: Instant,
    until: Instant,
}

/// Whole response of a backend server, with what it states.
struct Answer {
    head: http::ResponseHead,
    body: Vec<u8>,
    marks: adapter::Marks,
}

/// Connections to one backend server.
#[derive(Debug)]
pub struct Pool {
    adapter: Rc<dyn adapter::Adapter>,
    idle: RefCell<Vec<Kept>>,
    room: BodyBudget,
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(adapter: Rc<dyn adapter::Adapter>) -> Self {
        Self {
            adapter,
            idle: RefCell::new(Vec::new()),
            room: BodyBudget::new(BODY_ROOM),
        }
    }

    /// Closes all idle connections, when another backend server takes the address.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections that are too old.
    pub fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|k| now < k.until);
    }

    fn take(&self, repeat: Repeat) -> Option<Carrier> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|k| now < k.until && k.carrier.socket.is_idle());
        let fresh = |k: &Kept| now.since(k.since) < FRESH_IDLE;
        // The newest is at the end, and the only one that may be fresh enough.
        let usable = repeat == Repeat::Idempotent || idle.last().is_some_and(fresh);
        usable.then(|| idle.pop()).flatten().map(|k| k.carrier)
    }

    fn keep(&self, carrier: Carrier, stated: Option<Duration>) {
        let now = Instant::now();
        let stated = stated.map_or(OLDEST_IDLE, |d| d.mul_f64(IDLE_SHARE));
        let mut idle = self.idle.borrow_mut();
        if carrier.clean && idle.len() < MOST_IDLE && carrier.socket.is_idle() {
            idle.push(Kept {
                carrier,
                since: now,
                until: now + stated.min(OLDEST_IDLE),
            });
        }
    }

    /// Opens a connection.
    async fn open(address: SocketAddr) -> Result<Carrier, SendError> {
        match Socket::connect(address, CONNECT_LIMIT).await {
            Ok(socket) => Ok(Carrier {
                socket,
                used: false,
                clean: true,
            }),
            Err(e) => {
                tracing::warn!(event = 551, %address, error = %e, "no connection to the backend server");
                Err(SendError::NotSent(Cause::Connect))
            }
        }
    }

    /// Sends a request, once, and reads its response.
    ///
    /// `limit` is the time at which the response is no longer of use.
    ///
    /// # Errors
    ///
    /// Returns what is known about a request without a response.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &Request<'_>,
        limit: Instant,
    ) -> Result<Response, SendError> {
        let mut carrier = match self.take(request.repeat) {
            Some(carrier) => carrier,
            None => Self::open(address).await?,
        };
        let answer = self.exchange(&mut carrier, request, limit).await?;
        carrier.used = true;
        let Answer { head, body, marks } = answer;
        if let Some(refusal) = marks.refusal {
            return Err(SendError::NotRun(match refusal {
                adapter::Refusal::Shed => Cause::Shed,
                adapter::Refusal::NotHolder => Cause::NotHolder,
                adapter::Refusal::Misdirected => Cause::Misdirected,
            }));
        }
        let encoded = http::header_value(&head.headers, "content-encoding").is_some();
        if encoded || (head.status < 300 && !marks.signed) {
            tracing::warn!(
                event = 554,
                id = request.id,
                status = head.status,
                encoded,
                "the response is not the backend server's own"
            );
            return Err(SendError::Unknown(Cause::Garbled));
        }
        if head.keep_alive {
            self.keep(carrier, marks.idle);
        }
        Ok(Response {
            status: head.status,
            headers: http::end_to_end_headers(&head.headers),
            body,
        })
    }

    async fn exchange(
        &self,
        carrier: &mut Carrier,
        request: &Request<'_>,
        limit: Instant,
    ) -> Result<Answer, SendError> {
        let mut begun = false;
        let answer = async {
            carrier.socket.write(request.bytes).await?;
            self.answer(carrier, request, &mut begun).await
        };
        match time::timeout(limit.left(), answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(ReadError::Io(e))) => {
                let early = e.kind() == io::ErrorKind::UnexpectedEof;
                tracing::info!(event = 552, id = request.id, error = %e, early, "the backend server broke the connection off");
                Err(SendError::Unknown(Cause::Broken))
            }
            Ok(Err(ReadError::Malformed(e))) => {
                tracing::warn!(event = 553, id = request.id, error = %e, "the backend server sent no response");
                Err(SendError::Unknown(Cause::Garbled))
            }
            Err(_) if begun => {
                tracing::warn!(
                    event = 556,
                    id = request.id,
                    "the backend server's response did not end in time"
                );
                Err(SendError::Unknown(Cause::Endless))
            }
            Err(_) => Err(SendError::Unknown(Cause::Timeout)),
        }
    }

    /// Reads responses until one belongs to the request; `begun` is set when one has begun to come.
    async fn answer(
        &self,
        carrier: &mut Carrier,
        request: &Request<'_>,
        begun: &mut bool,
    ) -> Result<Answer, ReadError> {
        for _ in 0..MOST_STRAYS {
            let socket = &mut carrier.socket;
            let head = socket.read_head(request.method).await?;
            *begun = true;
            let marks = self.adapter.decode_marks(&head);
            let first = !carrier.used && carrier.clean;
            let own = match &marks.id {
                Some(id) => id == request.id,
                None => marks.refusal.is_some() && first,
            };
            let limit = if own { MAX_RESPONSE } else { MAX_STRAY };
            let body = socket.read_body(head.body, limit, &self.room).await?;
            if own {
                return Ok(Answer { head, body, marks });
            }
            carrier.clean = false;
            tracing::info!(event = 555, id = request.id, other = ?marks.id, status = head.status, used = carrier.used, "skipped a response that belongs to another request");
            if !head.keep_alive {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        Err(http::ParseError::Syntax.into())
    }
}
