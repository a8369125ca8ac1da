//! HTTP listener for operators, metrics and announcements of the backend server.
//!
//! `tiny_http` has no read timeout and reads the rest of a body when its request is answered, so a
//! client that stops in the middle of a body blocks a thread. Only some of the workers may read
//! bodies at a time, so that the others remain available.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{io, net, thread};

use crate::transport::{error, self_connect};

/// Number of worker threads.
const WORKERS: usize = 4;

/// Number of workers that may read a body at the same time.
const MAX_BODY_READERS: usize = 2;

/// Maximum body size in bytes; an announcement takes about 200.
const MAX_BODY_BYTES: u64 = 16 << 10;

/// Request from an operator or of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Decoded query parameters.
    pub query: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: String,
}

/// HTTP server that runs until dropped.
pub struct Server {
    http: Arc<tiny_http::Server>,
    workers: Vec<thread::JoinHandle<()>>,
    _self_connector: self_connect::SelfConnector,
}

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Server").finish_non_exhaustive()
    }
}

impl Server {
    /// Binds the address and answers requests with `handler`.
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
            body_readers: AtomicUsize::new(0),
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
            _self_connector: self_connect::SelfConnector::start(addr)?,
        })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // Each worker consumes one `unblock`. A worker that is reading a body exits after that
        // request; it is not joined.
        for _ in &self.workers {
            self.http.unblock();
        }
    }
}

struct Shared<F> {
    handler: F,
    body_readers: AtomicUsize,
}

fn work<F>(server: &tiny_http::Server, shared: &Shared<F>)
where
    F: Fn(&Request) -> Response,
{
    // `recv` fails once the server has been unblocked for shutdown.
    while let Ok(mut request) = server.recv() {
        let Some(_permit) = ReadPermit::acquire(&request, &shared.body_readers) else {
            reject(request);
            continue;
        };
        let response = match read(&mut request) {
            Ok(parsed) => (shared.handler)(&parsed),
            Err(response) => response,
        };
        respond(request, response);
    }
}

/// Permit to read a body; returned when dropped.
struct ReadPermit<'a>(Option<&'a AtomicUsize>);

impl<'a> ReadPermit<'a> {
    fn acquire(request: &tiny_http::Request, readers: &'a AtomicUsize) -> Option<Self> {
        if !has_body(request) {
            return Some(Self(None));
        }
        let permit = Self(Some(readers));
        (readers.fetch_add(1, Ordering::Relaxed) < MAX_BODY_READERS).then_some(permit)
    }
}

fn has_body(request: &tiny_http::Request) -> bool {
    let chunked = |h: &tiny_http::Header| h.field.equiv("transfer-encoding");
    request
        .body_length()
        .map_or_else(|| request.headers().iter().any(chunked), |n| n > 0)
}

impl Drop for ReadPermit<'_> {
    fn drop(&mut self) {
        if let Some(readers) = self.0 {
            readers.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Rejects a request on a thread of its own, because responding waits for the rest of the body.
///
/// `tiny_http` already uses a thread per connection, so this at most doubles the number of threads.
fn reject(request: tiny_http::Request) {
    let response = Response::error(503, "too many bodies are being read");
    let spawned = thread::Builder::new().spawn(move || respond(request, response));
    if let Err(e) = spawned {
        tracing::warn!(event = 263, error = %e, "can't start a thread to reject a request on the admin address");
    }
}

fn respond(request: tiny_http::Request, response: Response) {
    if let Err(e) = request.respond(encode(response)) {
        tracing::debug!(event = 261, error = %e, "can't send a response on the admin address");
    }
}

fn read(request: &mut tiny_http::Request) -> Result<Request, Response> {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let mut body = Vec::new();
    let mut limited = request.as_reader().take(MAX_BODY_BYTES + 1);
    let read = limited.read_to_end(&mut body);
    read.map_err(|e| Response::error(400, &format!("can't read the body: {e}")))?;
    if body.len() as u64 > MAX_BODY_BYTES {
        return Err(Response::error(413, "body is too large"));
    }
    Ok(Request {
        method: request.method().to_string(),
        path: path.to_owned(),
        query: parse_query(query),
        body,
    })
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
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

fn encode(response: Response) -> tiny_http::Response<io::Cursor<Vec<u8>>> {
    let header = tiny_http::Header::from_bytes("content-type", response.content_type)
        .expect("content types are valid header values");
    tiny_http::Response::from_string(response.body)
        .with_status_code(response.status)
        .with_header(header)
}

impl Response {
    /// Creates a response with a JSON body.
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

    /// Creates a JSON error response.
    #[must_use]
    pub fn error(status: u16, message: &str) -> Self {
        let body = crate::protocol::admin::ErrorResponse {
            error: message.to_owned(),
        };
        Self::json(status, &body)
    }
}
