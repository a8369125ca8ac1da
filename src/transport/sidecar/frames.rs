//! Framing of messages between nodes: a four-byte length prefix, then a message in postcard.
//!
//! Both halves of a connection record when the other host last showed that it is reachable. That is
//! judged by bytes, not by frames, since a large frame takes long on a slow link.
//!
//! What a call or response takes is reserved from the budget of the process, before its frame is read if
//! that is large, else before it is passed on. Without room, a large frame is skipped, and only its kind
//! and sequence number are kept; a call then ends as refused and a response as unknown. A large body isn't
//! copied: it is written from where it is, behind the encoded rest of its frame, and read into a buffer of
//! exactly the frame's size, to which the decoded body then refers.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use crate::protocol::body::Body;
use crate::protocol::buffer::{self, Buffer};
use crate::protocol::http;
use crate::protocol::mesh::{Cause, Failure, Frame, Hello, MAX_FRAME, Outcome, Seq};
use crate::state::reservation::{Footprint, Reservation};
use crate::transport::sidecar::activity::{ActiveRead, Activity};
use crate::transport::sidecar::byte_budget::{ByteBudget, Purpose};
use crate::transport::sidecar::{message_cost, writing};

/// Initial size of a connection's read buffer, in bytes; a node has two connections per peer, most
/// of which carry little traffic.
const INITIAL_BUFFER_SIZE: usize = 512;

/// Capacity above which a write buffer is freed after a flush, in bytes, and length from which it is to be
/// flushed before further frames are added.
const MAX_KEPT_CAPACITY: usize = 16 * 1024;

/// Size up to which a frame is read into the buffer of its connection, in bytes.
const SMALL_FRAME: usize = 8 * 1024;

/// Size of the pieces in which a skipped frame is read, in bytes.
const SKIPPED_PIECE: usize = 16 * 1024;

/// Time without room in a full send buffer after which a connection fails. A link closes a connection
/// without any sign of the other node earlier, so this limit serves the other side.
const STALL_LIMIT: Duration = Duration::from_secs(5);

/// Size of the length before each frame, in bytes.
const PREFIX: usize = 4;

/// Numbers by which the kinds of frames with bodies are encoded: their positions in [`Frame`].
const CALL_KIND: u32 = 1;
const REPLY_KIND: u32 = 4;

/// Number of bytes kept of a frame that is skipped: enough for its kind and sequence number.
const KEPT_OF_SKIPPED: usize = 16;

/// Encoded frame.
#[derive(Debug)]
pub struct RawFrame {
    bytes: Bytes,
    mode: ReadMode,
    /// Reservation that a call or response in the frame takes over.
    held: Rc<Reservation>,
    budget: Rc<ByteBudget>,
}

/// How a frame was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadMode {
    /// Into the buffer of the connection.
    Small,
    /// Into a buffer of its own, which is reserved.
    Large,
    /// Only its beginning, since there was no room for the rest.
    Skipped,
}

/// Decoded frame.
#[derive(Debug)]
pub enum Received {
    /// Frame with all that it takes reserved.
    Frame(Frame),
    /// Call without room in memory, which hasn't run.
    RefusedCall(Seq),
}

impl From<Vec<u8>> for RawFrame {
    fn from(bytes: Vec<u8>) -> Self {
        let budget = ByteBudget::unlimited();
        Self {
            bytes: bytes.into(),
            mode: ReadMode::Small,
            held: Rc::new(budget.empty_reservation()),
            budget,
        }
    }
}

impl RawFrame {
    /// Returns the number of the frame's kind, and the sequence number behind it.
    fn kind(&self) -> Option<(u32, Seq)> {
        let decoded = postcard::take_from_bytes::<(u32, Seq)>(&self.bytes);
        decoded.ok().map(|(kind, _)| kind)
    }

    /// Reserves what a message takes beside its frame; returns whether there is room.
    fn reserve(&self, cost: Footprint, purpose: Purpose) -> bool {
        let needed = self.held.held().plus(cost);
        let has_room = self.budget.set_now(&self.held, needed, purpose);
        if !has_room {
            self.budget.record_shortage("memory");
        }
        has_room
    }
}

/// Large frame that is being read.
#[derive(Debug)]
struct LargeFrame {
    /// Buffer for the frame, or for the beginning of it if it is skipped.
    buffer: Buffer,
    /// Bytes that are still to be read.
    left: usize,
    /// Reservation of the frame; `None` if it is skipped.
    held: Option<Reservation>,
}

/// Read half of a connection.
#[derive(Debug)]
pub struct FrameReader {
    io: ActiveRead,
    buffer: BytesMut,
    large: Option<LargeFrame>,
    budget: Rc<ByteBudget>,
    /// Maximum size of a frame, in bytes.
    limit: usize,
}

impl FrameReader {
    /// Reads the first frame, which introduces the other node. A longer one is refused before it is read, since
    /// what sends it isn't a node.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or fails, or if its first bytes are no such frame.
    pub async fn hello(&mut self) -> io::Result<Hello> {
        self.limit = SMALL_FRAME;
        let first = self.next().await;
        self.limit = MAX_FRAME;
        let first = first.ok_or(io::ErrorKind::UnexpectedEof)??;
        match decode(&first)? {
            Frame::Hello(hello) => Ok(hello),
            other => Err(io::Error::other(format!(
                "expected a hello frame, got {other:?}"
            ))),
        }
    }

    /// Sets the budget for frames, if there is one.
    pub fn set_budget(&mut self, budget: Option<Rc<ByteBudget>>) {
        if let Some(budget) = budget {
            self.budget = budget;
        }
    }

    /// Reads the next frame; returns `None` at the end of the connection. The future can be dropped without
    /// a loss of bytes.
    pub async fn next(&mut self) -> Option<io::Result<RawFrame>> {
        loop {
            match self.take().await {
                Ok(Some(frame)) => return Some(Ok(frame)),
                Ok(None) => {}
                Err(e) => return Some(Err(e)),
            }
            let read = match &mut self.large {
                Some(large) if large.held.is_some() => {
                    let room = &mut large.buffer.unfilled()[..large.left];
                    let read = self.io.read(room).await;
                    let count = *read.as_ref().unwrap_or(&0);
                    large.buffer.advance(count);
                    large.left -= count;
                    read
                }
                large => {
                    let skips = large.is_some();
                    self.buffer.reserve(if skips {
                        SKIPPED_PIECE
                    } else {
                        INITIAL_BUFFER_SIZE
                    });
                    self.io.read_buf(&mut self.buffer).await
                }
            };
            match read {
                Ok(0) if self.buffer.is_empty() && self.large.is_none() => return None,
                Ok(0) => return Some(Err(io::ErrorKind::UnexpectedEof.into())),
                Ok(_) => {}
                Err(e) => return Some(Err(e)),
            }
        }
    }

    /// Takes a complete frame from what has been read.
    async fn take(&mut self) -> io::Result<Option<RawFrame>> {
        if self.large.is_none() {
            let Some(prefix) = self.buffer.first_chunk::<PREFIX>() else {
                return Ok(None);
            };
            let length = usize::try_from(u32::from_be_bytes(*prefix)).map_err(io::Error::other)?;
            if length > self.limit {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if length <= SMALL_FRAME {
                if self.buffer.len() < PREFIX + length {
                    self.buffer.reserve(PREFIX + length - self.buffer.len());
                    return Ok(None);
                }
                self.buffer.advance(PREFIX);
                let bytes = self.buffer.split_to(length).freeze();
                return Ok(Some(RawFrame {
                    bytes,
                    mode: ReadMode::Small,
                    held: Rc::new(self.budget.empty_reservation()),
                    budget: Rc::clone(&self.budget),
                }));
            }
            let Some(kind) = self.buffer.get(PREFIX) else {
                return Ok(None);
            };
            let purpose = match u32::from(*kind) {
                CALL_KIND => Purpose::Request,
                REPLY_KIND => Purpose::Response,
                _ => Purpose::Control,
            };
            let held = self.budget.empty_reservation();
            let footprint = buffer::footprint(length);
            let mut has_room = self.budget.set(&held, footprint, purpose).await;
            let mut frame = Buffer::default();
            if has_room && let Err(e) = frame.enlarge(length, length) {
                tracing::warn!(event = 236, error = %e, "the system has no memory for a frame");
                has_room = false;
            }
            if !has_room {
                frame.enlarge(KEPT_OF_SKIPPED, KEPT_OF_SKIPPED)?;
            }
            self.buffer.advance(PREFIX);
            self.large = Some(LargeFrame {
                buffer: frame,
                left: length,
                held: has_room.then_some(held),
            });
        }
        let Some(large) = &mut self.large else {
            return Ok(None);
        };
        let buffered = self.buffer.len().min(large.left);
        let kept = buffered.min(large.buffer.unfilled().len());
        large.buffer.extend(&self.buffer[..kept]);
        self.buffer.advance(buffered);
        large.left -= buffered;
        if large.left > 0 {
            return Ok(None);
        }
        let Some(large) = self.large.take() else {
            return Ok(None);
        };
        Ok(Some(RawFrame {
            bytes: large.buffer.freeze(),
            mode: match large.held {
                Some(_) => ReadMode::Large,
                None => ReadMode::Skipped,
            },
            held: Rc::new(
                large
                    .held
                    .unwrap_or_else(|| self.budget.empty_reservation()),
            ),
            budget: Rc::clone(&self.budget),
        }))
    }
}

/// Splits a connection into its read half and its write half.
///
/// # Errors
///
/// Returns an error if `TCP_NODELAY` can't be set.
pub fn split(io: TcpStream) -> io::Result<(FrameReader, FrameWriter)> {
    io.set_nodelay(true)?;
    let (read, io) = io.into_split();
    let activity = Activity::start();
    let read = ActiveRead::new(read, activity.clone());
    let frames = FrameReader {
        io: read,
        buffer: BytesMut::with_capacity(INITIAL_BUFFER_SIZE),
        large: None,
        budget: ByteBudget::unlimited(),
        limit: MAX_FRAME,
    };
    let writer = FrameWriter {
        io,
        activity,
        buffer: Vec::new(),
        bodies: Vec::new(),
    };
    Ok((frames, writer))
}

/// Write half of a connection; buffers frames until [`FrameWriter::flush`].
#[derive(Debug)]
pub struct FrameWriter {
    io: OwnedWriteHalf,
    activity: Activity,
    buffer: Vec<u8>,
    /// Large bodies, each with its place in the buffer.
    bodies: Vec<(usize, Body)>,
}

/// Returns a copy of a frame without its large body, which is at the end of the encoded frame, and the
/// body.
fn split_body(frame: &Frame) -> Option<(Frame, Body)> {
    match frame {
        Frame::Call(seq, call) if call.body.len() > http::JOINED_BYTES => {
            let mut call = call.clone();
            let body = std::mem::take(&mut call.body);
            Some((Frame::Call(*seq, call), body))
        }
        Frame::Reply(seq, outcome) => match &**outcome {
            Outcome::Answered(response) if response.body.len() > http::JOINED_BYTES => {
                let mut response = response.clone();
                let body = std::mem::take(&mut response.body);
                let outcome = Box::new(Outcome::Answered(response));
                Some((Frame::Reply(*seq, outcome), body))
            }
            _ => None,
        },
        _ => None,
    }
}

impl FrameWriter {
    /// Returns the activity of the connection.
    #[must_use]
    pub fn activity(&self) -> Activity {
        self.activity.clone()
    }

    /// Returns whether the buffered frames are to be flushed before further ones are added. The memory of
    /// an encoded call or response isn't reserved any more.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.buffer.len() >= MAX_KEPT_CAPACITY
    }

    /// Appends a frame to the write buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame can't be encoded.
    pub fn add(&mut self, frame: &Frame) -> io::Result<()> {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(&[0; PREFIX]);
        let buffer = std::mem::take(&mut self.buffer);
        let split = split_body(frame);
        let frame = split.as_ref().map_or(frame, |(frame, _)| frame);
        self.buffer = postcard::to_extend(frame, buffer).map_err(io::Error::other)?;
        let mut length = self.buffer.len() - start - PREFIX;
        if let Some((_, body)) = split {
            // The length of the empty body, one byte, is replaced by that of the body.
            self.buffer.pop();
            let buffer = std::mem::take(&mut self.buffer);
            self.buffer = postcard::to_extend(&body.len(), buffer).map_err(io::Error::other)?;
            length = self.buffer.len() - start - PREFIX + body.len();
            self.bodies.push((self.buffer.len(), body));
        }
        let length = u32::try_from(length).map_err(io::Error::other)?;
        self.buffer[start..start + PREFIX].copy_from_slice(&length.to_be_bytes());
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
        let mut written = 0;
        for (at, body) in self.bodies.drain(..) {
            let before = &self.buffer[written..at];
            writing::write_all(self.io.as_ref(), before, STALL_LIMIT, on_drained).await?;
            writing::write_all(self.io.as_ref(), &body, STALL_LIMIT, on_drained).await?;
            written = at;
        }
        let rest = &self.buffer[written..];
        writing::write_all(self.io.as_ref(), rest, STALL_LIMIT, on_drained).await?;
        self.buffer.clear();
        if self.buffer.capacity() > MAX_KEPT_CAPACITY {
            self.buffer = Vec::new();
        }
        Ok(())
    }
}

/// Decodes a frame and reserves what the call or response in it takes. A response without room becomes an
/// unknown outcome of its call.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid frame, or of another skipped one.
pub fn receive(raw: &RawFrame) -> io::Result<Received> {
    if raw.mode == ReadMode::Skipped {
        return match raw.kind() {
            Some((CALL_KIND, seq)) => Ok(Received::RefusedCall(seq)),
            Some((REPLY_KIND, seq)) => Ok(Received::Frame(lost_reply(seq))),
            _ => Err(io::ErrorKind::OutOfMemory.into()),
        };
    }
    let referred = match raw.mode {
        ReadMode::Large => raw.bytes.clone(),
        ReadMode::Small | ReadMode::Skipped => Bytes::new(),
    };
    let decoded = Body::decoding(referred, &raw.held, || postcard::from_bytes(&raw.bytes));
    let frame: Frame = decoded.map_err(io::Error::other)?;
    if let Frame::Call(seq, call) = &frame {
        let cost = message_cost::of_call(call, raw.mode == ReadMode::Small);
        if !raw.reserve(cost, Purpose::Request) {
            return Ok(Received::RefusedCall(*seq));
        }
    }
    if let Frame::Reply(seq, outcome) = &frame
        && let Outcome::Answered(response) = &**outcome
    {
        let cost = message_cost::of_response(response, raw.mode == ReadMode::Small);
        if !raw.reserve(cost, Purpose::Response) {
            return Ok(Received::Frame(lost_reply(*seq)));
        }
    }
    Ok(Received::Frame(frame))
}

/// Decodes a frame that is no call.
///
/// # Errors
///
/// Returns an error as [`receive`] does, or if the frame is a call without room.
pub fn decode(raw: &RawFrame) -> io::Result<Frame> {
    match receive(raw)? {
        Received::Frame(frame) => Ok(frame),
        Received::RefusedCall(_) => Err(io::ErrorKind::OutOfMemory.into()),
    }
}

fn lost_reply(seq: Seq) -> Frame {
    let failure = Failure::after_send(Cause::Garbled);
    Frame::Reply(seq, Box::new(Outcome::Unknown(failure)))
}
