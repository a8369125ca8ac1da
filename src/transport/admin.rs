//! Listener for operators, metrics and announcements of the backend server.
//!
//! `tiny_http` has no read timeouts and reads the rest of a body when its request is answered, so a
//! sender that stops in the middle of a body holds a thread. Only some of the workers read bodies at
//! a time; the others keep answering.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{io, net, thread};

use crate::transport::{error, self_connect};

/// Threads that answer.
const WORKERS: usize = 4;

/// Threads that may read a body at the same time.
const MAX_READERS: usize = 2;

/// Largest body, in bytes; an announcement takes about 200.
const MAX_BODY: u64 = 16 << 10;

/// Request of an operator or of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query parameters, decoded.
    pub query: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: String,
}

/// Answers calls until it is dropped.
pub struct Server {
    http: Arc<tiny_http::Server>,
    workers: Vec<thread::JoinHandle<()>>,
    _waker: self_connect::SelfConnector,
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server").finish_non_exhaustive()
    }
}

impl Server {
    /// Binds the address and answers calls with `handler`.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, for example if the address is in use.
    pub fn start<F>(addr: net::SocketAddr, handler: F) -> Result<Self, error::Error>
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let listener = net::TcpListener::bind(addr)?;
        let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let shared = Arc::new(Shared {
            handler,
            readers: AtomicUsize::new(0),
        });
        let mut workers = Vec::new();
        for i in 0..WORKERS {
            let server = Arc::clone(&server);
            let shared = Arc::clone(&shared);
            let worker = thread::Builder::new()
                .name(format!("admin-{i}"))
                .spawn(move || work(&server, &*shared))?;
            workers.push(worker);
        }
        Ok(Self {
            http: server,
            workers,
            _waker: self_connect::SelfConnector::start(addr)?,
        })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // Each worker consumes one wake-up; one that reads a body ends with it and is not awaited.
        for _ in &self.workers {
            self.http.unblock();
        }
    }
}

struct Shared<F> {
    handler: F,
    readers: AtomicUsize,
}

fn work<F>(server: &tiny_http::Server, shared: &Shared<F>)
where
    F: Fn(&Request) -> Response,
{
    // An error means that the server was unblocked to end.
    while let Ok(mut request) = server.recv() {
        let Some(_reader) = Reader::enter(&request, &shared.readers) else {
            refuse(request);
            continue;
        };
        let answer = match read(&mut request) {
            Ok(call) => (shared.handler)(&call),
            Err(answer) => answer,
        };
        respond(request, answer);
    }
}

/// Permission to read a body, until it is dropped.
struct Reader<'a>(Option<&'a AtomicUsize>);

impl<'a> Reader<'a> {
    fn enter(request: &tiny_http::Request, readers: &'a AtomicUsize) -> Option<Self> {
        if !has_body(request) {
            return Some(Self(None));
        }
        let reader = Self(Some(readers));
        (readers.fetch_add(1, Ordering::Relaxed) < MAX_READERS).then_some(reader)
    }
}

fn has_body(request: &tiny_http::Request) -> bool {
    let chunked = |h: &tiny_http::Header| h.field.equiv("transfer-encoding");
    request
        .body_length()
        .map_or_else(|| request.headers().iter().any(chunked), |n| n > 0)
}

impl Drop for Reader<'_> {
    fn drop(&mut self) {
        if let Some(readers) = self.0 {
            readers.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Refuses a body on a thread of its own, because the answer waits for the rest of the body.
///
/// `tiny_http` spends a thread on each connection already, so this at most doubles their number.
fn refuse(request: tiny_http::Request) {
    let answer = Response::error(503, "too many bodies are being read");
    let spawned = thread::Builder::new().spawn(move || respond(request, answer));
    if let Err(e) = spawned {
        tracing::warn!(event = 263, error = %e, "can't refuse a call on the admin address");
    }
}

fn respond(request: tiny_http::Request, answer: Response) {
    if let Err(e) = request.respond(response(answer)) {
        tracing::debug!(event = 261, error = %e, "can't answer a call on the admin address");
    }
}

fn read(request: &mut tiny_http::Request) -> Result<Request, Response> {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let mut body = Vec::new();
    let mut limited = request.as_reader().take(MAX_BODY + 1);
    let read = limited.read_to_end(&mut body);
    read.map_err(|e| Response::error(400, &format!("can't read the body: {e}")))?;
    if body.len() as u64 > MAX_BODY {
        return Err(Response::error(413, "body is too large"));
    }
    Ok(Request {
        method: request.method().to_string(),
        path: path.to_owned(),
        query: parameters(query),
        body,
    })
}

fn parameters(query: &str) -> BTreeMap<String, String> {
    let decode = |text: &str| {
        let spaced = text.replace('+', " ");
        percent_encoding::percent_decode_str(&spaced)
            .decode_utf8_lossy()
            .into_owned()
    };
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .map(|(name, value)| (decode(name), decode(value)))
        .collect()
}

fn response(answer: Response) -> tiny_http::Response<io::Cursor<Vec<u8>>> {
    let header = tiny_http::Header::from_bytes("content-type", answer.content_type)
        .expect("content types are valid header values");
    tiny_http::Response::from_string(answer.body)
        .with_status_code(answer.status)
        .with_header(header)
}

impl Response {
    /// Creates an answer in JSON.
    pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_string(value) {
            Ok(body) => Self {
                status,
                content_type: "application/json",
                body,
            },
            Err(e) => Self {
                status: 500,
                content_type: "text/plain; charset=utf-8",
                body: e.to_string(),
            },
        }
    }

    /// Creates an answer that tells why a call was refused.
    #[must_use]
    pub fn error(status: u16, message: &str) -> Self {
        let body = crate::protocol::admin::ErrorResponse {
            error: message.to_owned(),
        };
        Self::json(status, &body)
    }
}
