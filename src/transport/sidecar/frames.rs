//! Frames between nodes: a length of four bytes, then a message in postcard.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

use crate::protocol::mesh::{Frame, MAX_FRAME};

/// First size of a connection's read buffer, in bytes; a node has two connections for each other
/// node, most of which carry little.
const FIRST_BUFFER: usize = 512;

/// Size from which a write buffer is given back after use, in bytes.
const LARGE_BUFFER: usize = 16 * 1024;

/// Reading side of a connection.
pub type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Splits a connection into a reader of frames and its writing side.
///
/// # Errors
///
/// Returns the error of the system call.
pub fn split(io: TcpStream) -> std::io::Result<(FrameReader, FrameWriter)> {
    io.set_nodelay(true)?;
    let (read, io) = io.into_split();
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec();
    let frames = FramedRead::with_capacity(read, codec, FIRST_BUFFER);
    let buffer = Vec::new();
    Ok((frames, FrameWriter { io, buffer }))
}

/// Writing side of a connection; frames are collected until [`FrameWriter::flush`].
#[derive(Debug)]
pub struct FrameWriter {
    io: OwnedWriteHalf,
    buffer: Vec<u8>,
}

impl FrameWriter {
    /// Adds a frame.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    pub fn add(&mut self, frame: &Frame) -> std::io::Result<()> {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(&[0; 4]);
        let buffer = std::mem::take(&mut self.buffer);
        self.buffer = postcard::to_extend(frame, buffer).map_err(std::io::Error::other)?;
        let length = u32::try_from(self.buffer.len() - start - 4).map_err(std::io::Error::other)?;
        self.buffer[start..start + 4].copy_from_slice(&length.to_be_bytes());
        Ok(())
    }

    /// Sends all frames.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call.
    pub async fn flush(&mut self) -> std::io::Result<()> {
        self.io.write_all(&self.buffer).await?;
        self.buffer.clear();
        if self.buffer.capacity() > LARGE_BUFFER {
            self.buffer = Vec::new();
        }
        Ok(())
    }
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns the error of the decoder.
pub fn decode(bytes: &[u8]) -> std::io::Result<Frame> {
    postcard::from_bytes(bytes).map_err(std::io::Error::other)
}
