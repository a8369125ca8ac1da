//! HTTP listener for callers.
//!
//! `tiny_http` reads each connection on a thread of its own and passes complete heads to the
//! acceptor threads here. Bodies that `tiny_http` has not read yet are read by a bounded set of reader
//! threads. Requests go to the runtime and responses come back over crossbeam channels; writer
//! threads send the responses, so that a caller that reads slowly blocks nobody else.
//!
//! `tiny_http` has no time limits of its own. Accepted sockets inherit the send and receive limits
//! of the listening socket; the receive limit would also end an `accept` without connections, which
//! `tiny_http` takes for a fatal error, so a thread connects to the listener more often than that.

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{fmt, fs, io, mem, net, thread, time};

use crossbeam::channel;
use nix::sys::{socket, time as sys_time};
use tiny_http::{Header, Request};
use ureq::http;

use crate::protocol::caller;
use crate::transport::self_connect;

/// Threads that take requests from the library.
const ACCEPTORS: usize = 2;

/// Threads that read bodies, and so the number of slow bodies that are read at once.
const READERS: usize = 32;

/// Bodies that wait for a reader.
const READER_QUEUE: usize = 256;

/// Threads that write responses, and so the number of callers that may read slowly at once.
const WRITERS: usize = 32;

/// Threads that refuse requests whose body is still unread, which must be read and discarded first.
const DISCARDERS: usize = 4;

/// Requests in progress from arrival to the end of the response.
const MAX_IN_PROGRESS: usize = 8192;

/// Bytes of the bodies of all requests in progress.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Time without a byte after which a caller's connection is closed.
const SOCKET_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Interval of connections to the own listener.
const SELF_CONNECT: time::Duration = time::Duration::from_secs(5);

/// Bodies up to this size have been read when the library delivers the request.
const BUFFERED: usize = 1024;

/// Declared body size from which a refused request is not read to its end. The library reserves
/// memory for the rest of a body when it discards it, and a failed reservation ends the process.
const MAX_DISCARD: usize = 64 << 20;

/// Request that waits for its response.
pub struct Incoming {
    /// Request.
    pub request: caller::Request,
    /// When it arrived.
    pub arrived: time::Instant,
    /// Where the response goes.
    pub responder: Responder,
}

impl fmt::Debug for Incoming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Incoming")
            .field("request", &self.request)
            .finish_non_exhaustive()
    }
}

/// Sends the response to one request.
pub struct Responder {
    request: Option<Request>,
    reserved: usize,
    entry: Arc<Shared>,
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Responder").finish_non_exhaustive()
    }
}

struct Shared {
    requests: channel::Sender<Incoming>,
    bodies: channel::Sender<Request>,
    responses: channel::Sender<Reply>,
    refusals: channel::Sender<Reply>,
    in_progress: Arc<AtomicUsize>,
    body_bytes: AtomicUsize,
    refused: RejectionHandler,
}

/// Response on its way to a writer.
struct Reply {
    request: Request,
    response: caller::Response,
    reserved: usize,
}

/// Is told the reason of each request that is refused before it reaches the node.
pub type RejectionHandler = Box<dyn Fn(&'static str) + Send + Sync>;

/// Listener that is open.
#[derive(Debug)]
pub struct Listener {
    /// Address that it listens on.
    pub addr: net::SocketAddr,
    /// Requests in the order of their arrival.
    pub requests: channel::Receiver<Incoming>,
    /// Number of requests whose response has not been written yet.
    pub in_progress: Arc<AtomicUsize>,
}

/// Opens the listener and starts its threads, which run until the process ends.
///
/// # Errors
///
/// Returns the error of the socket or of a thread that can't be started.
pub fn open(addr: net::SocketAddr, refused: RejectionHandler) -> io::Result<Listener> {
    let listener = net::TcpListener::bind(addr)?;
    limit_sockets(&listener)?;
    let addr = listener.local_addr()?;
    let (requests, requests_out) = channel::unbounded();
    let (bodies, bodies_out) = channel::bounded(READER_QUEUE);
    let (responses, responses_out) = channel::unbounded();
    let (refusals, refusals_out) = channel::unbounded();
    let in_progress = Arc::default();
    let shared = Arc::new(Shared {
        requests,
        bodies,
        responses,
        refusals,
        in_progress: Arc::clone(&in_progress),
        body_bytes: AtomicUsize::new(0),
        refused,
    });
    for _ in 0..READERS {
        let (shared, queue) = (Arc::clone(&shared), bodies_out.clone());
        spawn("caller-body", move || {
            queue.iter().for_each(|r| shared.read(r));
        })?;
    }
    for _ in 0..WRITERS {
        let (shared, queue) = (Arc::clone(&shared), responses_out.clone());
        spawn("caller-write", move || shared.write(&queue))?;
    }
    for _ in 0..DISCARDERS {
        let (shared, queue) = (Arc::clone(&shared), refusals_out.clone());
        spawn("caller-refuse", move || shared.write(&queue))?;
    }
    let server = serve(&listener, &shared)?;
    let self_connector = self_connect::SelfConnector::start(addr)?;
    spawn("caller-listen", move || {
        let _self_connector = self_connector;
        supervise(&listener, &shared, server);
    })?;
    Ok(Listener {
        addr,
        requests: requests_out,
        in_progress,
    })
}

fn limit_sockets(listener: &net::TcpListener) -> io::Result<()> {
    let seconds = i64::try_from(SOCKET_LIMIT.as_secs()).expect("the limit is short");
    let limit = sys_time::TimeVal::new(seconds, 0);
    socket::setsockopt(listener, socket::sockopt::SendTimeout, &limit)?;
    socket::setsockopt(listener, socket::sockopt::ReceiveTimeout, &limit)?;
    socket::setsockopt(listener, socket::sockopt::KeepAlive, &true)?;
    Ok(())
}

fn spawn<F: FnOnce() + Send + 'static>(name: &str, f: F) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .map(drop)
}

/// Failed server whose open connections are still served.
struct Serving {
    failed: channel::Receiver<()>,
}

fn serve(listener: &net::TcpListener, shared: &Arc<Shared>) -> io::Result<Serving> {
    let server = tiny_http::Server::from_listener(listener.try_clone()?, None)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let server = Arc::new(server);
    let (report, failed) = channel::unbounded();
    for _ in 0..ACCEPTORS {
        let (server, shared, report) = (Arc::clone(&server), Arc::clone(shared), report.clone());
        spawn("caller-accept", move || {
            loop {
                match server.recv() {
                    Ok(request) => shared.accept(request),
                    Err(e) => {
                        // Only `accept` has ended; connections that are open go on.
                        tracing::warn!(event = 211, error = %e, "caller listener ended, opening it again");
                        report.send(()).ok();
                    }
                }
            }
        })?;
    }
    Ok(Serving { failed })
}

/// Keeps `accept` from timing out, and replaces a server whose `accept` has ended.
fn supervise(listener: &net::TcpListener, shared: &Arc<Shared>, mut serving: Serving) {
    loop {
        match serving.failed.recv_timeout(SELF_CONNECT) {
            Ok(()) => match serve(listener, shared) {
                Ok(new) => serving = new,
                Err(e) => {
                    tracing::error!(event = 212, error = %e, "can't open the caller listener again");
                    thread::sleep(SELF_CONNECT);
                }
            },
            Err(channel::RecvTimeoutError::Timeout) => self_connect(listener),
            Err(channel::RecvTimeoutError::Disconnected) => thread::sleep(SELF_CONNECT),
        }
    }
}

fn self_connect(listener: &net::TcpListener) {
    let connected = listener
        .local_addr()
        .and_then(|addr| net::TcpStream::connect_timeout(&addr, SELF_CONNECT));
    if let Err(e) = connected {
        tracing::warn!(event = 213, error = %e, "caller listener does not accept");
    }
}

impl Shared {
    fn accept(self: &Arc<Self>, request: Request) {
        if self.in_progress.fetch_add(1, Ordering::Relaxed) >= MAX_IN_PROGRESS {
            return self.refuse(request, "too-many-requests", 503);
        }
        if let Err(invalid) = check(&request) {
            return self.refuse(request, invalid.reason, invalid.status);
        }
        let read = request.body_length().is_some_and(|n| n <= BUFFERED)
            && !has_header(&request, "expect")
            || (request.body_length().is_none() && !has_header(&request, "transfer-encoding"));
        if read {
            self.read(request);
        } else if let Err(e) = self.bodies.try_send(request) {
            self.refuse(e.into_inner(), "too-many-bodies", 503);
        }
    }

    fn read(self: &Arc<Self>, mut request: Request) {
        let declared = request.body_length();
        let reserved = match declared {
            None if has_header(&request, "transfer-encoding") => caller::MAX_BODY,
            length => length.unwrap_or_default(),
        };
        let before = self.body_bytes.fetch_add(reserved, Ordering::Relaxed);
        if before + reserved > MAX_BODY_BYTES {
            self.body_bytes.fetch_sub(reserved, Ordering::Relaxed);
            return self.refuse(request, "too-many-bodies", 503);
        }
        match read_body(&mut request, declared) {
            Ok(parsed) => self.pass(request, parsed, reserved),
            Err((reason, status)) => {
                self.body_bytes.fetch_sub(reserved, Ordering::Relaxed);
                self.refuse(request, reason, status);
            }
        }
    }

    fn pass(self: &Arc<Self>, request: Request, parsed: caller::Request, reserved: usize) {
        let incoming = Incoming {
            request: parsed,
            arrived: time::Instant::now(),
            responder: Responder {
                request: Some(request),
                reserved,
                entry: Arc::clone(self),
            },
        };
        // The receiver is gone only when the node ends.
        drop(self.requests.send(incoming));
    }

    fn refuse(&self, request: Request, reason: &'static str, status: u16) {
        (self.refused)(reason);
        tracing::debug!(event = 214, reason, status, "caller request refused");
        let mut response = caller::Response::invalid(caller::InvalidRequest { status, reason });
        if status == 503 {
            response
                .headers
                .push((caller::RETRY_AFTER_HEADER, "1".to_owned()));
            response
                .headers
                .push((caller::RETRY_AFTER_MS_HEADER, "1000".to_owned()));
        }
        let unread = request.body_length().is_none_or(|n| n > BUFFERED);
        let queue = if unread {
            &self.refusals
        } else {
            &self.responses
        };
        drop(queue.send(Reply {
            request,
            response,
            reserved: 0,
        }));
    }

    fn write(&self, queue: &channel::Receiver<Reply>) {
        for reply in queue {
            respond(reply.request, reply.response);
            self.in_progress.fetch_sub(1, Ordering::Relaxed);
            self.body_bytes.fetch_sub(reply.reserved, Ordering::Relaxed);
        }
    }
}

/// Reads the body and returns the whole request, or why it is refused.
fn read_body(
    request: &mut Request,
    declared: Option<usize>,
) -> Result<caller::Request, (&'static str, u16)> {
    let mut body = Vec::with_capacity(declared.unwrap_or_default().min(caller::MAX_BODY));
    let limit = u64::try_from(caller::MAX_BODY + 1).unwrap_or(u64::MAX);
    let read = request.as_reader().take(limit).read_to_end(&mut body);
    if body.len() > caller::MAX_BODY {
        return Err(("body-too-large", 413));
    }
    if read.is_err() || declared.is_some_and(|n| n != body.len()) {
        return Err(("body-truncated", 400));
    }
    parse(request, body).ok_or(("request-malformed", 400))
}

/// Checks what the library accepts although it is malformed.
fn check(request: &Request) -> Result<(), caller::InvalidRequest> {
    let count = |name: &str| {
        let same = |h: &&Header| h.field.as_str().as_str().eq_ignore_ascii_case(name);
        request.headers().iter().filter(same).count()
    };
    let lengths = count("content-length");
    let encodings = count("transfer-encoding");
    // Two readers of the same bytes could disagree about where the request ends.
    if lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1) {
        return Err(caller::InvalidRequest::malformed("length-ambiguous"));
    }
    if lengths == 1 && request.body_length().is_none() {
        return Err(caller::InvalidRequest::malformed("length-malformed"));
    }
    if request.body_length().is_some_and(|n| n > caller::MAX_BODY) {
        return Err(caller::InvalidRequest::too_large());
    }
    let upgrade = request.headers().iter().any(|h| {
        h.field.equiv("connection") && h.value.as_str().to_ascii_lowercase().contains("upgrade")
    });
    if upgrade {
        return Err(caller::InvalidRequest::malformed("upgrade-unsupported"));
    }
    Ok(())
}

fn has_header(request: &Request, name: &str) -> bool {
    request
        .headers()
        .iter()
        .any(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
}

fn parse(request: &Request, body: Vec<u8>) -> Option<caller::Request> {
    let method = http::Method::from_bytes(request.method().as_str().as_bytes()).ok()?;
    if matches!(method, http::Method::CONNECT | http::Method::TRACE) {
        return None;
    }
    let url = http::uri::PathAndQuery::try_from(request.url()).ok()?;
    let headers = request
        .headers()
        .iter()
        .map(|h| {
            let name = h.field.as_str().as_str().to_ascii_lowercase();
            (name, h.value.as_str().to_owned())
        })
        .collect();
    Some(caller::Request {
        method: method.as_str().to_owned(),
        url: url.as_str().to_owned(),
        headers,
        body,
    })
}

impl Responder {
    /// Passes the response to a writer thread.
    pub fn send(mut self, response: caller::Response) {
        if let Some(request) = self.request.take() {
            drop(self.entry.responses.send(Reply {
                request,
                response,
                reserved: self.reserved,
            }));
        }
    }
}

impl Drop for Responder {
    /// Answers a request whose task ended without a response.
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            let bytes = &self.entry.body_bytes;
            bytes.fetch_sub(self.reserved, Ordering::Relaxed);
            self.entry.refuse(request, "internal-error", 500);
        }
    }
}

/// Ends the connection of a caller whose socket can't be reached through the library.
fn disconnect(caller: net::SocketAddr) {
    let peer = socket::SockaddrStorage::from(caller);
    let descriptors = fs::read_dir("/proc/self/fd").into_iter().flatten();
    for fd in descriptors.flatten() {
        let name = fd.file_name();
        let Some(fd) = name.to_str().and_then(|n| n.parse().ok()) else {
            continue;
        };
        if socket::getpeername(fd).is_ok_and(|p: socket::SockaddrStorage| p == peer)
            && let Err(e) = socket::shutdown(fd, socket::Shutdown::Both)
        {
            tracing::debug!(event = 216, error = %e, "can't end a caller's connection");
        }
    }
}

fn respond(request: Request, response: caller::Response) {
    let headers = response
        .headers
        .iter()
        .filter_map(|(name, value)| Header::from_bytes(*name, value.as_bytes()).ok())
        .collect();
    let length = response.body.len();
    let body = io::Cursor::new(response.body);
    let status = tiny_http::StatusCode(response.status);
    let http = tiny_http::Response::new(status, headers, body, Some(length), None)
        .with_chunked_threshold(usize::MAX);
    if request.body_length().is_some_and(|n| n > MAX_DISCARD) {
        let caller = request.remote_addr().copied();
        // Dropping the stream would reserve memory of the declared size, so its memory and its
        // descriptor stay in use; the connection is ended below it.
        mem::forget(request.upgrade("none", http));
        if let Some(caller) = caller {
            disconnect(caller);
        }
        return;
    }
    if let Err(e) = request.respond(http) {
        tracing::debug!(event = 215, error = %e, "can't send a response to a caller");
    }
}
