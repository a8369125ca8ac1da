//! Framing of messages between nodes: a four-byte length prefix, then a message in postcard.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

use crate::protocol::mesh::{Frame, MAX_FRAME};

/// Initial size of a connection's read buffer, in bytes; a node has two connections per peer, most
/// of which carry little traffic.
const INITIAL_BUFFER_SIZE: usize = 512;

/// Capacity above which a write buffer is freed after a flush, in bytes.
const MAX_KEPT_CAPACITY: usize = 16 * 1024;

/// Read half of a connection.
pub type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Splits a connection into its read half and its write half.
///
/// # Errors
///
/// Returns an error if `TCP_NODELAY` can't be set.
pub fn split(io: TcpStream) -> std::io::Result<(FrameReader, FrameWriter)> {
    io.set_nodelay(true)?;
    let (read, io) = io.into_split();
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec();
    let frames = FramedRead::with_capacity(read, codec, INITIAL_BUFFER_SIZE);
    let buffer = Vec::new();
    Ok((frames, FrameWriter { io, buffer }))
}

/// Write half of a connection; buffers frames until [`FrameWriter::flush`].
#[derive(Debug)]
pub struct FrameWriter {
    io: OwnedWriteHalf,
    buffer: Vec<u8>,
}

impl FrameWriter {
    /// Appends a frame to the write buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame can't be encoded.
    pub fn add(&mut self, frame: &Frame) -> std::io::Result<()> {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(&[0; 4]);
        let buffer = std::mem::take(&mut self.buffer);
        self.buffer = postcard::to_extend(frame, buffer).map_err(std::io::Error::other)?;
        let length = u32::try_from(self.buffer.len() - start - 4).map_err(std::io::Error::other)?;
        self.buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }

    /// Writes all buffered frames to the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn flush(&mut self) -> std::io::Result<()> {
        self.io.write_all(&self.buffer).await?;
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
pub fn decode(bytes: &[u8]) -> std::io::Result<Frame> {
    postcard::from_bytes(bytes).map_err(std::io::Error::other)
}
