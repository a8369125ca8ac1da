//! Minimal HTTP server for the backend server's heartbeats, readiness probes and metrics.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::{task, time};

use crate::protocol::body_reader::BodyReader;
use crate::protocol::http;
use crate::state::clock::Instant;
use crate::transport::sidecar::writing;

/// Maximum size of a request head, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// Maximum size of a request body, in bytes; a heartbeat with all ranges of a backend server takes
/// a few KiB.
const MAX_BODY: usize = 256 * 1024;

/// Maximum time between two requests, or without room for a response, before a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time between the first and the last byte of a request; a backend server gives up its heartbeat
/// after a second.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the next accept after a failed one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Status code and body of a response.
pub type Reply = (u16, Vec<u8>);

/// Future of a response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Reply>>>;

/// Request handler.
pub type Handler = Rc<dyn Fn(http::RequestHead, Vec<u8>) -> ResponseFuture>;

/// Accepts and serves connections until the task is dropped; `kind` names the listener in logs.
pub async fn serve(listener: TcpListener, kind: &'static str, handler: Handler) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => {
                let handler = Rc::clone(&handler);
                task::spawn_local(async move {
                    if let Err(e) = serve_connection(io, kind, handler).await {
                        tracing::debug!(event = 254, error = %e, kind, "connection failed");
                    }
                });
            }
            Err(e) => {
                tracing::warn!(event = 255, error = %e, kind, "failed to accept a connection");
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(mut io: TcpStream, kind: &str, handler: Handler) -> std::io::Result<()> {
    io.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    loop {
        let (head, body) = match read_request(&mut io, &mut buffer).await? {
            Some(Ok(request)) => request,
            Some(Err(e)) => {
                tracing::warn!(event = 256, error = %e, kind, "rejected a malformed request");
                let response = http::write_response(400, &[], &[], true);
                return writing::write_all(&io, &response, IDLE_TIMEOUT, || ()).await;
            }
            None => return Ok(()),
        };
        let keep = head.keep_alive;
        let (status, content) = handler(head, body).await;
        let mut headers = Vec::new();
        if content.first() == Some(&b'{') {
            headers.push(http::Header::new("Content-Type", "application/json"));
        }
        let response = http::write_response(status, &headers, &content, !keep);
        writing::write_all(&io, &response, IDLE_TIMEOUT, || ()).await?;
        if !keep {
            return Ok(());
        }
    }
}

type ParseResult = Result<(http::RequestHead, Vec<u8>), http::ParseError>;

async fn read_request(
    io: &mut TcpStream,
    buffer: &mut BytesMut,
) -> std::io::Result<Option<ParseResult>> {
    if buffer.is_empty() && !read_more(io, buffer, IDLE_TIMEOUT).await? {
        return Ok(None);
    }
    let end = Instant::now() + REQUEST_TIMEOUT;
    let head = loop {
        match http::RequestHead::parse(buffer, MAX_HEAD) {
            Ok(Some(head)) => break head,
            Ok(None) => {}
            Err(e) => return Ok(Some(Err(e))),
        }
        if !read_more(io, buffer, end.left()).await? {
            return Ok(None);
        }
    };
    let mut reader = BodyReader::new(head.body, MAX_BODY);
    loop {
        match reader.feed(buffer) {
            Ok(true) => return Ok(Some(Ok((head, reader.into_body().into())))),
            Ok(false) => {}
            Err(e) => return Ok(Some(Err(e))),
        }
        if !read_more(io, buffer, end.left()).await? {
            return Ok(None);
        }
    }
}

/// Reads some bytes; returns whether there were any within the limit.
async fn read_more(
    io: &mut TcpStream,
    buffer: &mut BytesMut,
    limit: Duration,
) -> std::io::Result<bool> {
    match time::timeout(limit, io.read_buf(buffer)).await {
        Ok(read) => Ok(read? > 0),
        Err(_) => Ok(false),
    }
}
