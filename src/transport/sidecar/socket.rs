//! Buffered TCP connections to HTTP servers.
//!
//! A faulty server may send an endless head or body, so every read is bounded: a head by a maximum
//! size, a body by its own limit and by a memory budget that all concurrently read bodies share.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use crate::protocol::http;

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
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
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

/// Memory budget shared by the bodies that are read concurrently.
#[derive(Debug)]
pub struct BodyBudget {
    left: Cell<usize>,
}

impl BodyBudget {
    /// Creates a budget of `bytes` bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Cell::new(bytes),
        }
    }

    /// Returns the number of bytes that are not reserved.
    #[must_use]
    pub fn available(&self) -> usize {
        self.left.get()
    }
}

/// Part of the budget that one body has reserved; released on drop.
struct Reservation<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl Reservation<'_> {
    fn grow_to(&mut self, bytes: usize) -> Result<(), http::ParseError> {
        let more = bytes.saturating_sub(self.bytes);
        let left = self.budget.left.get().checked_sub(more);
        self.budget
            .left
            .set(left.ok_or(http::ParseError::BodyTooLarge)?);
        self.bytes += more;
        Ok(())
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.budget.left.set(self.budget.left.get() + self.bytes);
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

    /// Reads the body of a response, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is incomplete, malformed, or exceeds the limit or the budget.
    pub async fn read_body(
        &mut self,
        body: http::BodyLength,
        limit: usize,
        budget: &BodyBudget,
    ) -> Result<Vec<u8>, ReadError> {
        let mut reader = http::BodyReader::new(body, limit);
        let mut reservation = Reservation { budget, bytes: 0 };
        while !reader.feed(&mut self.buffer)? {
            reservation.grow_to(reader.len())?;
            if self.fill().await? == 0 {
                if body == http::BodyLength::UntilClose {
                    break;
                }
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        Ok(reader.into_body())
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
        let body = self
            .read_body(head.body, limit, &BodyBudget::new(limit))
            .await?;
        Ok((head, body))
    }
}
