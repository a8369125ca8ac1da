//! Helpers around `tiny_http`.

use std::io::{self, Cursor, Read};
use std::net;
use std::sync::Arc;
use std::thread;

use serde::de;
use tiny_http::{Header, Request, Response, Server};

/// Largest body that is read.
const MAX_BODY: u64 = 4 << 20;

/// Response with a body in memory.
pub type Reply = Response<Cursor<Vec<u8>>>;

/// Opens a listening socket.
///
/// # Errors
///
/// Returns an error if the address is in use or not an address of this host.
pub fn listen(addr: net::SocketAddr) -> io::Result<Arc<Server>> {
    listen_on(net::TcpListener::bind(addr)?)
}

/// Serves on a listener.
///
/// # Errors
///
/// Returns the error of the system call.
pub fn listen_on(listener: net::TcpListener) -> io::Result<Arc<Server>> {
    let server = Server::from_listener(listener, None);
    server.map(Arc::new).map_err(io::Error::other)
}

/// Calls a handler on a thread of its own for each request.
pub fn serve_each<F>(server: &Server, handler: F)
where
    F: Fn(Request) + Clone + Send + 'static,
{
    while let Ok(request) = server.recv() {
        let handler = handler.clone();
        thread::spawn(move || handler(request));
    }
}

/// Calls a handler on a fixed number of threads, and returns at once.
pub fn serve_pool<F>(server: &Arc<Server>, threads: usize, handler: &F)
where
    F: Fn(Request) + Clone + Send + 'static,
{
    for _ in 0..threads {
        let server = Arc::clone(server);
        let handler = handler.clone();
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                handler(request);
            }
        });
    }
}

/// Reads the whole body.
///
/// # Errors
///
/// Returns an error if the body is shorter than declared or not UTF-8.
pub fn body(request: &mut Request) -> io::Result<String> {
    let mut text = String::new();
    request
        .as_reader()
        .take(MAX_BODY)
        .read_to_string(&mut text)?;
    Ok(text)
}

/// Reads a JSON body.
///
/// # Errors
///
/// Returns a message for the client if the body isn't valid.
pub fn json_body<T: de::DeserializeOwned>(request: &mut Request) -> Result<T, String> {
    let text = body(request).map_err(|e| e.to_string())?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}

/// Builds a JSON response.
///
/// # Panics
///
/// Panics if the value has map keys that are not strings.
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> Reply {
    let text = serde_json::to_vec(value).expect("response types have string keys only");
    Response::from_data(text)
        .with_status_code(status)
        .with_header(header("content-type", "application/json"))
}

/// Builds a text response.
#[must_use]
pub fn text(status: u16, text: &str) -> Reply {
    Response::from_string(text).with_status_code(status)
}

/// Sends a response; a client that has gone away is ignored.
pub fn respond(request: Request, reply: Reply) {
    if let Err(e) = request.respond(reply) {
        tracing::debug!(event = 702, error = %e, "client is gone before its response");
    }
}

/// Closes the connection of a request without a response. `tiny_http` can't close one that the
/// client wants to keep open; such a client gets status 503.
pub fn drop_unanswered(request: Request) {
    let closes = header_of(&request, "connection").is_some_and(|v| v == "close");
    if closes {
        drop(request.into_writer());
    } else {
        respond(request, text(503, "unavailable"));
    }
}

/// Builds a header.
///
/// # Panics
///
/// Panics if the name or value is not ASCII.
#[must_use]
pub fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("header is ASCII")
}

/// Returns the value of a request's header.
#[must_use]
pub fn header_of(request: &Request, name: &str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|h| h.value.as_str().to_owned())
}

/// Returns the value of a query parameter. Values are not percent-decoded.
#[must_use]
pub fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

/// Sends the log to standard error, by the filter in `RUST_LOG`.
pub fn log_to_stderr() {
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .init();
}
