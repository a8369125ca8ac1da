//! Requests to the backend server beside the node, over kept connections.
//!
//! A connection carries one request at a time. A response counts only if it bears the identifier of
//! its request; others are read and dropped, since backend servers sometimes answer twice. Bytes
//! left over after a response end the connection.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::protocol::edge;
use crate::protocol::http;
use crate::protocol::mesh::{Cause, Response};
use crate::state::clock::Instant;
use crate::state::routes::Repeat;
use crate::transport::sidecar::socket::{ReadError, Socket};

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

/// Largest response body, in bytes.
const MAX_RESPONSE: usize = 64 << 20;

/// Answers to other requests that are skipped before a connection is given up.
const MOST_STRAYS: usize = 8;

/// Why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failed {
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

#[derive(Debug)]
struct Kept {
    socket: Socket,
    since: Instant,
    until: Instant,
}

/// Connections to one backend server.
#[derive(Debug)]
pub struct Pool {
    adapter: Rc<dyn edge::Adapter>,
    idle: RefCell<Vec<Kept>>,
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(adapter: Rc<dyn edge::Adapter>) -> Self {
        Self {
            adapter,
            idle: RefCell::new(Vec::new()),
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

    fn take(&self, repeat: Repeat) -> Option<Socket> {
        let now = Instant::now();
        loop {
            let kept = self.idle.borrow_mut().pop()?;
            let fresh = repeat == Repeat::Idempotent || now.since(kept.since) < FRESH_IDLE;
            if now < kept.until && fresh && kept.socket.is_idle() {
                return Some(kept.socket);
            }
        }
    }

    fn keep(&self, socket: Socket, stated: Option<Duration>) {
        let now = Instant::now();
        let stated = stated.map_or(OLDEST_IDLE, |d| d.mul_f64(IDLE_SHARE));
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MOST_IDLE && socket.is_idle() {
            idle.push(Kept {
                socket,
                since: now,
                until: now + stated.min(OLDEST_IDLE),
            });
        }
    }

    /// Opens a connection.
    async fn open(address: SocketAddr) -> Result<Socket, Failed> {
        match Socket::connect(address, CONNECT_LIMIT).await {
            Ok(socket) => Ok(socket),
            Err(e) => {
                tracing::warn!(event = 551, %address, error = %e, "no connection to the backend server");
                Err(Failed::NotSent(Cause::Connect))
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
    ) -> Result<Response, Failed> {
        let mut socket = match self.take(request.repeat) {
            Some(socket) => socket,
            None => Self::open(address).await?,
        };
        let (response, reusable) = self.exchange(&mut socket, request, limit).await?;
        if let Some(marks) = reusable {
            self.keep(socket, marks.idle);
        }
        Ok(response)
    }

    async fn exchange(
        &self,
        socket: &mut Socket,
        request: &Request<'_>,
        limit: Instant,
    ) -> Result<(Response, Option<edge::Marks>), Failed> {
        let answer = async {
            socket.write(request.bytes).await?;
            self.answer(socket, request).await
        };
        let answer = time::timeout(limit.left(), answer).await;
        let (head, body, marks) = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(ReadError::Io(e))) => {
                let early = e.kind() == io::ErrorKind::UnexpectedEof;
                tracing::info!(event = 552, id = request.id, error = %e, early, "the backend server broke the connection off");
                return Err(Failed::Unknown(Cause::Broken));
            }
            Ok(Err(ReadError::Malformed(e))) => {
                tracing::warn!(event = 553, id = request.id, error = %e, "the backend server sent no response");
                return Err(Failed::Unknown(Cause::Garbled));
            }
            Err(_) => return Err(Failed::Unknown(Cause::Timeout)),
        };
        if let Some(refusal) = marks.refusal {
            return Err(Failed::NotRun(match refusal {
                edge::Refusal::Shed => Cause::Shed,
                edge::Refusal::NotHolder => Cause::NotHolder,
                edge::Refusal::Misdirected => Cause::Misdirected,
            }));
        }
        let encoded = http::value(&head.headers, "content-encoding").is_some();
        if encoded || (head.status < 300 && !marks.signed) {
            tracing::warn!(
                event = 554,
                id = request.id,
                status = head.status,
                encoded,
                "the response is not the backend server's own"
            );
            return Err(Failed::Unknown(Cause::Garbled));
        }
        let response = Response {
            status: head.status,
            headers: http::end_to_end(&head.headers),
            body,
        };
        Ok((response, head.keep_open.then_some(marks)))
    }

    /// Reads responses until one belongs to the request.
    async fn answer(
        &self,
        socket: &mut Socket,
        request: &Request<'_>,
    ) -> Result<(http::ResponseHead, Vec<u8>, edge::Marks), ReadError> {
        for _ in 0..MOST_STRAYS {
            let (head, body) = socket.response(request.method, MAX_RESPONSE).await?;
            let marks = self.adapter.marks(&head);
            if marks.id.as_deref() == Some(request.id)
                || (marks.id.is_none() && marks.refusal.is_some())
            {
                return Ok((head, body, marks));
            }
            tracing::info!(event = 555, id = request.id, other = ?marks.id, "skipped a response that belongs to another request");
            if !head.keep_open {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        Err(http::Malformed::Syntax.into())
    }
}
