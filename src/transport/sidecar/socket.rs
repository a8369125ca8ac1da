//! Buffered TCP connections to HTTP servers.
//!
//! A faulty server may send an endless head or body, so every read is bounded: a head by a maximum
//! size, a body by its own limit and by a memory budget that all concurrently read bodies share.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use crate::protocol::body::Body;
use crate::protocol::body_reader::BodyReader;
use crate::protocol::http;
use crate::transport::sidecar::byte_budget::{ByteBudget, Purpose, RECEIVE_BUFFER};
use crate::transport::sidecar::message_cost;

/// Backlog of connections that are not accepted yet.
const BACKLOG: u32 = 1024;

/// Initial size of a read buffer, in bytes; the buffer grows on demand.
const INITIAL_BUFFER_SIZE: usize = 2048;

/// Maximum size of a response head, in bytes; equal to the usual limit on request heads.
const MAX_HEAD: usize = 16 * 1024;

/// Maximum number of interim responses before the final one; HTTP itself sets no limit.
const MAX_INTERIM: usize = 8;

/// Opens a listener at an address, even if a previous process has only just released it.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    open_listener(address, None)
}

/// Opens a listener as [`listen`] does, whose connections have small receive buffers.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn listen_for_callers(address: SocketAddr) -> io::Result<TcpListener> {
    open_listener(address, Some(RECEIVE_BUFFER))
}

fn open_listener(address: SocketAddr, receive_buffer: Option<usize>) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    if let Some(size) = receive_buffer {
        socket.set_recv_buffer_size(u32::try_from(size).map_err(io::Error::other)?)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Reason why a response could not be read in full.
#[derive(Debug)]
pub enum ReadError {
    /// The connection failed or was closed.
    Io(io::Error),
    /// The bytes are not an acceptable HTTP response.
    Malformed(http::ParseError),
}

impl From<io::Error> for ReadError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<http::ParseError> for ReadError {
    fn from(e: http::ParseError) -> Self {
        Self::Malformed(e)
    }
}

/// Buffered connection to a server.
#[derive(Debug)]
pub struct Socket {
    io: TcpStream,
    buffer: BytesMut,
}

impl Socket {
    /// Connects within a time limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused, or `TimedOut` after the limit.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connected = time::timeout(limit, TcpStream::connect(address)).await;
        let io = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        io.set_nodelay(true)?;
        let buffer = BytesMut::new();
        Ok(Self { io, buffer })
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes).await
    }

    async fn fill(&mut self) -> io::Result<usize> {
        if self.buffer.capacity() == self.buffer.len() {
            self.buffer.reserve(INITIAL_BUFFER_SIZE);
        }
        self.io.read_buf(&mut self.buffer).await
    }

    /// Returns whether an idle connection can take a request: it is open and has no unread bytes.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let empty =
            matches!(self.io.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        empty && self.buffer.is_empty()
    }

    /// Reads the head of the final response and skips interim ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends first, or if a head is malformed or too large.
    pub async fn read_head(&mut self, method: &str) -> Result<http::ResponseHead, ReadError> {
        let mut interim = 0;
        loop {
            match http::ResponseHead::parse(&mut self.buffer, method, MAX_HEAD)? {
                Some(head) if head.status < 200 && interim < MAX_INTERIM => interim += 1,
                Some(head) if head.status < 200 => return Err(http::ParseError::Syntax.into()),
                Some(head) => return Ok(head),
                None if self.fill().await? == 0 => {
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
                }
                None => {}
            }
        }
    }

    /// Reads the body of a response, of at most `limit` bytes. What the response takes is reserved.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is incomplete, malformed, or exceeds the limit or the budget.
    pub async fn read_body(
        &mut self,
        head: &http::ResponseHead,
        limit: usize,
        budget: &ByteBudget,
    ) -> Result<Body, ReadError> {
        let mut reader = BodyReader::new(head.body, limit);
        let cost = message_cost::of_own_response(head);
        let reserved = budget.empty_reservation();
        loop {
            let buffered = self.buffer.len();
            let needed = cost.plus(message_cost::of_body(reader.footprint(buffered)));
            if reserved.held() != needed && !budget.set(&reserved, needed, Purpose::Response).await
            {
                return Err(http::ParseError::BodyTooLarge.into());
            }
            reader.allocate(buffered)?;
            if reader.feed(&mut self.buffer)? {
                break;
            }
            if self.fill().await? == 0 {
                if head.body == http::BodyLength::UntilClose {
                    break;
                }
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        Ok(Body::new(reader.into_body(), Some(Rc::new(reserved))))
    }

    /// Reads one complete response of at most `limit` body bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is incomplete, malformed or too large.
    pub async fn read_response(
        &mut self,
        method: &str,
        limit: usize,
    ) -> Result<(http::ResponseHead, Vec<u8>), ReadError> {
        let head = self.read_head(method).await?;
        let budget = ByteBudget::unlimited();
        let body = self.read_body(&head, limit, &budget).await?;
        Ok((head, body.to_vec()))
    }
}
