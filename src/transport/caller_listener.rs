//! HTTP listener for callers.
//!
//! `tiny_http` reads each connection on a thread of its own and passes complete request heads to the
//! acceptor threads here. A bounded pool of reader threads reads the bodies that `tiny_http` has not
//! buffered. Requests go to the runtime and responses come back over crossbeam channels; a pool of
//! writer threads sends the responses, so that a slow caller does not block others.
//!
//! `tiny_http` has no timeouts. Accepted sockets inherit the send and receive timeouts of the
//! listening socket. The receive timeout also applies to `accept`, and `tiny_http` treats a timed
//! out `accept` as fatal, so a thread connects to the listener at a shorter interval.

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{fmt, fs, io, mem, net, thread, time};

use crossbeam::channel;
use nix::sys::{socket, time as sys_time};
use tiny_http::{Header, Request};
use ureq::http;

use crate::protocol::caller;
use crate::state::ids;
use crate::transport::self_connect;

/// Number of threads that take requests from `tiny_http`.
const ACCEPTORS: usize = 2;

/// Number of threads that read bodies, and so of slow uploads that are read concurrently.
const READERS: usize = 32;

/// Number of bodies that may wait for a reader thread.
const READER_QUEUE: usize = 256;

/// Number of threads that write responses, and so of slow downloads that are served concurrently.
const WRITERS: usize = 32;

/// Number of threads that reject requests with an unread body, which has to be discarded first.
const DISCARDERS: usize = 4;

/// Maximum number of requests in progress, from arrival to the end of the response.
const MAX_IN_PROGRESS: usize = 8192;

/// Maximum total body size of all requests in progress, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Send and receive timeout of a caller's socket.
const SOCKET_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Interval of the connections that keep `accept` from timing out.
const SELF_CONNECT_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Largest body in bytes that `tiny_http` has buffered when it delivers the request.
const MAX_BUFFERED_BODY: usize = 1024;

/// Declared body size in bytes above which the body of a rejected request is not discarded.
/// `tiny_http` allocates memory for the rest of a body to discard it, and a failed allocation aborts
/// the process.
const MAX_DISCARD: usize = 64 << 20;

/// Request received from a caller.
pub struct Incoming {
    /// Request.
    pub request: caller::Request,
    /// Time of arrival.
    pub arrived: time::Instant,
    /// Sends the response.
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
    shared: Arc<Shared>,
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
    rejections: channel::Sender<Reply>,
    in_progress: Arc<AtomicUsize>,
    body_bytes: AtomicUsize,
    on_reject: RejectionHandler,
}

/// Response queued for a writer thread.
struct Reply {
    request: Request,
    response: caller::Response,
    reserved: usize,
}

/// Called with the reason of each request that the listener rejects itself.
pub type RejectionHandler = Box<dyn Fn(&'static str) + Send + Sync>;

/// Open listener.
#[derive(Debug)]
pub struct Listener {
    /// Bound address.
    pub addr: net::SocketAddr,
    /// Requests in order of arrival.
    pub requests: channel::Receiver<Incoming>,
    /// Number of requests whose response is not written yet.
    pub in_progress: Arc<AtomicUsize>,
}

/// Opens the listener and starts its threads, which run until the process exits.
///
/// # Errors
///
/// Returns an error if the socket can't be bound or a thread can't be started.
pub fn open(addr: net::SocketAddr, on_reject: RejectionHandler) -> io::Result<Listener> {
    let listener = net::TcpListener::bind(addr)?;
    set_socket_options(&listener)?;
    let addr = listener.local_addr()?;
    let (requests, requests_out) = channel::unbounded();
    let (bodies, bodies_out) = channel::bounded(READER_QUEUE);
    let (responses, responses_out) = channel::unbounded();
    let (rejections, rejections_out) = channel::unbounded();
    let in_progress = Arc::default();
    let shared = Arc::new(Shared {
        requests,
        bodies,
        responses,
        rejections,
        in_progress: Arc::clone(&in_progress),
        body_bytes: AtomicUsize::new(0),
        on_reject,
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
        let (shared, queue) = (Arc::clone(&shared), rejections_out.clone());
        spawn("caller-refuse", move || shared.write(&queue))?;
    }
    let acceptors = start_acceptors(&listener, &shared)?;
    let self_connector = self_connect::SelfConnector::start(addr)?;
    spawn("caller-listen", move || {
        let _self_connector = self_connector;
        supervise(&listener, &shared, acceptors);
    })?;
    Ok(Listener {
        addr,
        requests: requests_out,
        in_progress,
    })
}

fn set_socket_options(listener: &net::TcpListener) -> io::Result<()> {
    let seconds = i64::try_from(SOCKET_TIMEOUT.as_secs()).expect("the timeout fits i64");
    let timeout = sys_time::TimeVal::new(seconds, 0);
    socket::setsockopt(listener, socket::sockopt::SendTimeout, &timeout)?;
    socket::setsockopt(listener, socket::sockopt::ReceiveTimeout, &timeout)?;
    socket::setsockopt(listener, socket::sockopt::KeepAlive, &true)?;
    Ok(())
}

fn spawn<F: FnOnce() + Send + 'static>(name: &str, f: F) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .map(drop)
}

/// Acceptor threads of one `tiny_http` server, which keep serving its connections after it fails.
struct Acceptors {
    failed: channel::Receiver<()>,
}

fn start_acceptors(listener: &net::TcpListener, shared: &Arc<Shared>) -> io::Result<Acceptors> {
    let server = tiny_http::Server::from_listener(listener.try_clone()?, None)
        .map_err(|e| io::Error::other(e.to_string()))?;
    let server = Arc::new(server);
    let (report, failed) = channel::unbounded();
    for _ in 0..ACCEPTORS {
        let (server, shared, report) = (Arc::clone(&server), Arc::clone(shared), report.clone());
        spawn("caller-accept", move || {
            loop {
                match server.recv() {
                    Ok(request) => shared.admit(request),
                    Err(e) => {
                        // Only the accept loop has ended; open connections are still served.
                        tracing::warn!(event = 211, error = %e, "accepting callers failed, restarting the listener");
                        report.send(()).ok();
                    }
                }
            }
        })?;
    }
    Ok(Acceptors { failed })
}

/// Keeps `accept` from timing out and replaces a server whose accept loop has ended.
fn supervise(listener: &net::TcpListener, shared: &Arc<Shared>, mut acceptors: Acceptors) {
    loop {
        match acceptors.failed.recv_timeout(SELF_CONNECT_INTERVAL) {
            Ok(()) => match start_acceptors(listener, shared) {
                Ok(new) => acceptors = new,
                Err(e) => {
                    tracing::error!(event = 212, error = %e, "can't restart the caller listener");
                    thread::sleep(SELF_CONNECT_INTERVAL);
                }
            },
            Err(channel::RecvTimeoutError::Timeout) => self_connect(listener),
            Err(channel::RecvTimeoutError::Disconnected) => thread::sleep(SELF_CONNECT_INTERVAL),
        }
    }
}

fn self_connect(listener: &net::TcpListener) {
    let connected = listener
        .local_addr()
        .and_then(|addr| net::TcpStream::connect_timeout(&addr, SELF_CONNECT_INTERVAL));
    if let Err(e) = connected {
        tracing::warn!(event = 213, error = %e, "caller listener does not accept connections");
    }
}

impl Shared {
    fn admit(self: &Arc<Self>, request: Request) {
        if self.in_progress.fetch_add(1, Ordering::Relaxed) >= MAX_IN_PROGRESS {
            return self.reject(request, "too-many-requests", 503);
        }
        if let Err(invalid) = validate(&request) {
            return self.reject(request, invalid.reason, invalid.status);
        }
        let is_buffered = request
            .body_length()
            .is_some_and(|n| n <= MAX_BUFFERED_BODY)
            && !has_header(&request, "expect")
            || (request.body_length().is_none() && !has_header(&request, "transfer-encoding"));
        if is_buffered {
            self.read(request);
        } else if let Err(e) = self.bodies.try_send(request) {
            self.reject(e.into_inner(), "too-many-bodies", 503);
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
            return self.reject(request, "too-many-bodies", 503);
        }
        match read_body(&mut request, declared) {
            Ok(parsed) => self.forward(request, parsed, reserved),
            Err((reason, status)) => {
                self.body_bytes.fetch_sub(reserved, Ordering::Relaxed);
                self.reject(request, reason, status);
            }
        }
    }

    fn forward(self: &Arc<Self>, request: Request, parsed: caller::Request, reserved: usize) {
        let incoming = Incoming {
            request: parsed,
            arrived: time::Instant::now(),
            responder: Responder {
                request: Some(request),
                reserved,
                shared: Arc::clone(self),
            },
        };
        // The receiver is dropped only when the node shuts down.
        drop(self.requests.send(incoming));
    }

    fn reject(&self, request: Request, reason: &'static str, status: u16) {
        (self.on_reject)(reason);
        tracing::debug!(event = 214, reason, status, "caller request rejected");
        let mut response = caller::Response::invalid(caller::InvalidRequest { status, reason });
        if status == 503 {
            response
                .headers
                .push((caller::RETRY_AFTER_HEADER, "1".to_owned()));
            response
                .headers
                .push((caller::RETRY_AFTER_MS_HEADER, "1000".to_owned()));
        }
        let unread = request.body_length().is_none_or(|n| n > MAX_BUFFERED_BODY);
        let queue = if unread {
            &self.rejections
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

/// Reads the body and returns the complete request, or the reason and status of its rejection.
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

/// Rejects malformed requests that `tiny_http` accepts.
fn validate(request: &Request) -> Result<(), caller::InvalidRequest> {
    let count = |name: &str| {
        let same = |h: &&Header| h.field.as_str().as_str().eq_ignore_ascii_case(name);
        request.headers().iter().filter(same).count()
    };
    let lengths = count("content-length");
    let encodings = count("transfer-encoding");
    // Ambiguous framing: two HTTP parsers could disagree about where the request ends.
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
    /// Queues the response for a writer thread.
    pub fn send(mut self, response: caller::Response) {
        if let Some(request) = self.request.take() {
            drop(self.shared.responses.send(Reply {
                request,
                response,
                reserved: self.reserved,
            }));
        }
    }
}

impl Drop for Responder {
    /// Sends an error response if the task of the request ended without one.
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            let bytes = &self.shared.body_bytes;
            bytes.fetch_sub(self.reserved, Ordering::Relaxed);
            self.shared.reject(request, "internal-error", 500);
        }
    }
}

/// Shuts down a caller's connection, whose socket `tiny_http` does not expose.
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
            tracing::debug!(event = 216, error = %e, "can't shut down a caller's connection");
        }
    }
}

/// Returns the identifier of a request, if its caller set a valid one.
fn request_id(request: &Request) -> Option<ids::RequestId> {
    let is_id = |h: &&Header| h.field.equiv(caller::REQUEST_ID_HEADER);
    let header = request.headers().iter().find(is_id)?;
    header.value.as_str().parse().ok()
}

fn respond(request: Request, mut response: caller::Response) {
    let identified = response
        .headers
        .iter()
        .any(|(name, _)| *name == caller::REQUEST_ID_HEADER);
    // A request may be refused before it is parsed.
    if let Some(id) = request_id(&request).filter(|_| !identified) {
        let header = (caller::REQUEST_ID_HEADER, id.to_string());
        response.headers.push(header);
    }
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
        // Dropping the stream would allocate memory of the declared size, so it is leaked with its
        // descriptor and the connection is shut down through the descriptor.
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
