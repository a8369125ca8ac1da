//! TCP connections with a read buffer.

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

/// Longest head of a response, in bytes.
const RESPONSE_HEAD: usize = 64 * 1024;

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
    Malformed(http::Malformed),
}

impl From<io::Error> for ReadError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

impl From<http::Malformed> for ReadError {
    fn from(e: http::Malformed) -> Self {
        Self::Malformed(e)
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

    /// Reads one response, whole.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole response.
    pub async fn response(
        &mut self,
        method: &str,
        limit: usize,
    ) -> Result<(http::ResponseHead, Vec<u8>), ReadError> {
        let head = loop {
            match http::ResponseHead::take(&mut self.buffer, method, RESPONSE_HEAD)? {
                Some(head) if head.status < 200 => {}
                Some(head) => break head,
                None if self.fill().await? == 0 => {
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
                }
                None => {}
            }
        };
        let mut reader = http::BodyReader::new(head.body, limit);
        while !reader.feed(&mut self.buffer)? {
            if self.fill().await? == 0 {
                if head.body == http::Body::UntilClose {
                    break;
                }
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        Ok((head, reader.into_content()))
    }
}
