//! HTTP server helpers on top of `tiny_http`.

use std::io::{self, Cursor, Read};
use std::net;
use std::sync::Arc;
use std::thread;

use serde::de;
use tiny_http::{Header, Request, Response, Server};

/// Longer request bodies are cut off at this length.
const MAX_BODY_BYTES: u64 = 4 << 20;

/// Response with a body in memory.
pub type BufferedResponse = Response<Cursor<Vec<u8>>>;

/// Binds a listening socket.
///
/// # Errors
///
/// Returns an error if the address is in use or not an address of this host.
pub fn listen(addr: net::SocketAddr) -> io::Result<Arc<Server>> {
    listen_on(net::TcpListener::bind(addr)?)
}

/// Wraps a bound listener in a server.
///
/// # Errors
///
/// Returns the error of the system call.
pub fn listen_on(listener: net::TcpListener) -> io::Result<Arc<Server>> {
    let server = Server::from_listener(listener, None);
    server.map(Arc::new).map_err(io::Error::other)
}

/// Handles each request on a new thread until the server is closed.
pub fn serve_concurrently<F>(server: &Server, handler: F)
where
    F: Fn(Request) + Clone + Send + 'static,
{
    while let Ok(request) = server.recv() {
        let handler = handler.clone();
        thread::spawn(move || handler(request));
    }
}

/// Starts a fixed number of threads that handle requests, and returns at once.
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

/// Reads the request body.
///
/// # Errors
///
/// Returns an error if the body is shorter than its declared length or not UTF-8.
pub fn read_body(request: &mut Request) -> io::Result<String> {
    let mut text = String::new();
    request
        .as_reader()
        .take(MAX_BODY_BYTES)
        .read_to_string(&mut text)?;
    Ok(text)
}

/// Reads and decodes a JSON body.
///
/// # Errors
///
/// Returns a message for the client if the body can't be read or decoded.
pub fn read_json<T: de::DeserializeOwned>(request: &mut Request) -> Result<T, String> {
    let text = read_body(request).map_err(|e| e.to_string())?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}

/// Builds a JSON response.
///
/// # Panics
///
/// Panics if the value can't be encoded, for instance because it has map keys that aren't strings.
pub fn json_response<T: serde::Serialize>(status: u16, value: &T) -> BufferedResponse {
    let text = serde_json::to_vec(value).expect("response types have string keys only");
    Response::from_data(text)
        .with_status_code(status)
        .with_header(header("content-type", "application/json"))
}

/// Builds a text response.
#[must_use]
pub fn text_response(status: u16, text: &str) -> BufferedResponse {
    Response::from_string(text).with_status_code(status)
}

/// Sends a response. Ignores a client that has disconnected.
pub fn respond(request: Request, response: BufferedResponse) {
    if let Err(e) = request.respond(response) {
        tracing::debug!(event = 702, error = %e, "client disconnected before its response");
    }
}

/// Closes the connection of a request without a response. `tiny_http` can't close a keep-alive
/// connection; its client gets status 503 instead.
pub fn close_without_response(request: Request) {
    let can_close = header_value(&request, "connection").is_some_and(|v| v == "close");
    if can_close {
        drop(request.into_writer());
    } else {
        respond(request, text_response(503, "unavailable"));
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

/// Returns the value of a request header.
#[must_use]
pub fn header_value(request: &Request, name: &str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|h| h.value.as_str().to_owned())
}

/// Returns the value of a query parameter. Values are not percent-decoded.
#[must_use]
pub fn query_param<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

/// Logs to standard error, with the filter in `RUST_LOG`.
pub fn log_to_stderr() {
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .init();
}
