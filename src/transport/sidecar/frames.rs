//! Framing of messages between nodes: a four-byte length prefix, then a message in postcard.
//!
//! Both halves of a connection record when the other host last showed that it is reachable. That is
//! judged by bytes, not by frames, since a large frame takes long on a slow link.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

use crate::protocol::mesh::{Frame, MAX_FRAME};
use crate::state::clock::Instant;
use crate::transport::sidecar::writing;

/// Initial size of a connection's read buffer, in bytes; a node has two connections per peer, most
/// of which carry little traffic.
const INITIAL_BUFFER_SIZE: usize = 512;

/// Capacity above which a write buffer is freed after a flush, in bytes.
const MAX_KEPT_CAPACITY: usize = 16 * 1024;

/// Time without room in a full send buffer after which a connection fails. A link closes a connection
/// without any sign of the other node earlier, so this limit serves the other side.
const STALL_LIMIT: Duration = Duration::from_secs(5);

/// Time of the last sign that the other host is reachable, shared by both halves of a connection.
#[derive(Debug, Clone)]
pub struct Activity(Rc<Cell<Instant>>);

impl Activity {
    fn start() -> Self {
        Self(Rc::new(Cell::new(Instant::now())))
    }

    fn record(&self) {
        self.0.set(Instant::now());
    }

    /// Returns when bytes were last received, or room last became free in a full send buffer.
    #[must_use]
    pub fn last(&self) -> Instant {
        self.0.get()
    }
}

/// Byte stream of a connection's read half, which records its activity.
#[derive(Debug)]
pub struct ActiveRead {
    io: OwnedReadHalf,
    activity: Activity,
}

impl AsyncRead for ActiveRead {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.io).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            this.activity.record();
        }
        read
    }
}

/// Read half of a connection.
pub type FrameReader = FramedRead<ActiveRead, LengthDelimitedCodec>;

/// Splits a connection into its read half and its write half.
///
/// # Errors
///
/// Returns an error if `TCP_NODELAY` can't be set.
pub fn split(io: TcpStream) -> io::Result<(FrameReader, FrameWriter)> {
    io.set_nodelay(true)?;
    let (read, io) = io.into_split();
    let activity = Activity::start();
    let read = ActiveRead {
        io: read,
        activity: activity.clone(),
    };
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec();
    let frames = FramedRead::with_capacity(read, codec, INITIAL_BUFFER_SIZE);
    let writer = FrameWriter {
        io,
        activity,
        buffer: Vec::new(),
    };
    Ok((frames, writer))
}

/// Write half of a connection; buffers frames until [`FrameWriter::flush`].
#[derive(Debug)]
pub struct FrameWriter {
    io: OwnedWriteHalf,
    activity: Activity,
    buffer: Vec<u8>,
}

impl FrameWriter {
    /// Returns the activity of the connection.
    #[must_use]
    pub fn activity(&self) -> Activity {
        self.activity.clone()
    }

    /// Appends a frame to the write buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame can't be encoded.
    pub fn add(&mut self, frame: &Frame) -> io::Result<()> {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(&[0; 4]);
        let buffer = std::mem::take(&mut self.buffer);
        self.buffer = postcard::to_extend(frame, buffer).map_err(io::Error::other)?;
        let length = u32::try_from(self.buffer.len() - start - 4).map_err(io::Error::other)?;
        self.buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }

    /// Writes all buffered frames to the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if the other host takes no bytes for
    /// `STALL_LIMIT`.
    pub async fn flush(&mut self) -> io::Result<()> {
        let on_drained = || self.activity.record();
        writing::write_all(self.io.as_ref(), &self.buffer, STALL_LIMIT, on_drained).await?;
        self.buffer.clear();
        if self.buffer.capacity() > MAX_KEPT_CAPACITY {
            self.buffer = Vec::new();
        }
        Ok(())
    }
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid frame.
pub fn decode(bytes: &[u8]) -> io::Result<Frame> {
    postcard::from_bytes(bytes).map_err(io::Error::other)
}
