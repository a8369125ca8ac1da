//! Small HTTP server for the backend server's heartbeats, readiness probes and metrics.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::{task, time};

use crate::protocol::http;

/// Longest head, in bytes.
const HEAD_LIMIT: usize = 16 * 1024;

/// Largest body, in bytes; a heartbeat with all ranges of a backend server takes a few KiB.
const BODY_LIMIT: usize = 256 * 1024;

/// Longest time without a byte on a connection.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Status and body of an answer.
pub type Reply = (u16, Vec<u8>);

/// Future of an answer.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Reply>>>;

/// Function that answers a request.
pub type Handler = Rc<dyn Fn(http::RequestHead, Vec<u8>) -> ResponseFuture>;

/// Serves a listener until the task is dropped.
pub async fn serve(listener: TcpListener, kind: &'static str, handler: Handler) {
    loop {
        match listener.accept().await {
            Ok((io, _)) => {
                let handler = Rc::clone(&handler);
                task::spawn_local(async move {
                    if let Err(e) = connection(io, kind, handler).await {
                        tracing::debug!(event = 254, error = %e, kind, "a connection failed");
                    }
                });
            }
            Err(e) => {
                tracing::warn!(event = 255, error = %e, kind, "can't accept a connection");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(mut io: TcpStream, kind: &str, handler: Handler) -> std::io::Result<()> {
    io.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    loop {
        let (head, body) = match request(&mut io, &mut buffer).await? {
            Some(Ok(request)) => request,
            Some(Err(e)) => {
                tracing::warn!(event = 256, error = %e, kind, "refused what is no request");
                return io
                    .write_all(&http::write_response(400, &[], &[], true))
                    .await;
            }
            None => return Ok(()),
        };
        let keep = head.keep_alive;
        let (status, content) = handler(head, body).await;
        let mut headers = Vec::new();
        if content.first() == Some(&b'{') {
            headers.push(http::Header::new("Content-Type", "application/json"));
        }
        io.write_all(&http::write_response(status, &headers, &content, !keep))
            .await?;
        if !keep {
            return Ok(());
        }
    }
}

type Parsed = Result<(http::RequestHead, Vec<u8>), http::ParseError>;

async fn request(io: &mut TcpStream, buffer: &mut BytesMut) -> std::io::Result<Option<Parsed>> {
    let head = loop {
        match http::RequestHead::parse(buffer, HEAD_LIMIT) {
            Ok(Some(head)) => break head,
            Ok(None) => {}
            Err(e) => return Ok(Some(Err(e))),
        }
        if !more(io, buffer).await? {
            return Ok(None);
        }
    };
    let mut reader = http::BodyReader::new(head.body, BODY_LIMIT);
    loop {
        match reader.feed(buffer) {
            Ok(true) => return Ok(Some(Ok((head, reader.into_body())))),
            Ok(false) => {}
            Err(e) => return Ok(Some(Err(e))),
        }
        if !more(io, buffer).await? {
            return Ok(None);
        }
    }
}

async fn more(io: &mut TcpStream, buffer: &mut BytesMut) -> std::io::Result<bool> {
    match time::timeout(IDLE_LIMIT, io.read_buf(buffer)).await {
        Ok(read) => Ok(read? > 0),
        Err(_) => Ok(false),
    }
}
