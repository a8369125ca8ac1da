//! TCP connections with a read buffer.
//!
//! A server in trouble may send bytes without end, in a head or in a body. Everything that is read
//! is bounded: a head by its size, a body by a limit of its own and by the room that all bodies share
//! which are read at the same time.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

use crate::protocol::http;

/// Length of the queue of connections that are not accepted yet.
const BACKLOG: u32 = 1024;

/// First size of a read buffer, in bytes; grows with what is read.
const FIRST_BUFFER: usize = 2048;

/// Longest head of a response, in bytes; the same as the usual limit on those of requests.
const RESPONSE_HEAD: usize = 16 * 1024;

/// Interim responses that are skipped before the final one; HTTP sets no bound.
const MOST_INTERIM: usize = 8;

/// Opens a listener at an address, also when an earlier process has just left it.
///
/// # Errors
///
/// Returns the error of the system call.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Why no whole response was read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection failed or ended.
    Io(io::Error),
    /// The bytes are no response.
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

/// Memory for bodies that are read at the same time.
#[derive(Debug)]
pub struct BodyBudget {
    left: Cell<usize>,
}

impl BodyBudget {
    /// Creates room for a number of bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Cell::new(bytes),
        }
    }

    /// Returns the bytes that are left.
    #[must_use]
    pub fn available(&self) -> usize {
        self.left.get()
    }
}

/// Part of a room that one body has taken, given back when dropped.
struct Taken<'a> {
    room: &'a BodyBudget,
    bytes: usize,
}

impl Taken<'_> {
    fn grow_to(&mut self, bytes: usize) -> Result<(), http::ParseError> {
        let more = bytes.saturating_sub(self.bytes);
        let left = self.room.left.get().checked_sub(more);
        self.room
            .left
            .set(left.ok_or(http::ParseError::BodyTooLarge)?);
        self.bytes += more;
        Ok(())
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.room.left.set(self.room.left.get() + self.bytes);
    }
}

/// Connection to a server.
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
    /// Returns the error of the system call, or `TimedOut`.
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
    /// Returns the error of the system call.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes).await
    }

    async fn fill(&mut self) -> io::Result<usize> {
        if self.buffer.capacity() == self.buffer.len() {
            self.buffer.reserve(FIRST_BUFFER);
        }
        self.io.read_buf(&mut self.buffer).await
    }

    /// Returns whether an idle connection can take a request: open, and nothing unread.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let empty =
            matches!(self.io.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        empty && self.buffer.is_empty()
    }

    /// Reads the head of a final response.
    ///
    /// # Errors
    ///
    /// Returns why there is no head.
    pub async fn read_head(&mut self, method: &str) -> Result<http::ResponseHead, ReadError> {
        let mut interim = 0;
        loop {
            match http::ResponseHead::parse(&mut self.buffer, method, RESPONSE_HEAD)? {
                Some(head) if head.status < 200 && interim < MOST_INTERIM => interim += 1,
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
    /// Returns why there is no whole body.
    pub async fn read_body(
        &mut self,
        body: http::BodyLength,
        limit: usize,
        room: &BodyBudget,
    ) -> Result<Vec<u8>, ReadError> {
        let mut reader = http::BodyReader::new(body, limit);
        let mut taken = Taken { room, bytes: 0 };
        while !reader.feed(&mut self.buffer)? {
            taken.grow_to(reader.len())?;
            if self.fill().await? == 0 {
                if body == http::BodyLength::UntilClose {
                    break;
                }
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        Ok(reader.into_body())
    }

    /// Reads one response, whole.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole response.
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
