//! Incremental reading of bodies, with a length, in chunks or until the connection closes.

use std::io;

use bytes::{Buf, Bytes, BytesMut};

use crate::protocol::buffer::{self, Buffer};
use crate::protocol::http::{BodyLength, ParseError};
use crate::state::reservation::Footprint;

/// Maximum length of a chunk-size or trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Length of a chunk-size line without an extension, in bytes: up to eight digits and the line's end.
const PLAIN_SIZE_LINE: usize = 10;

/// Maximum size of all chunk extensions and trailer lines of a body, in bytes; equal to the usual limit on
/// a head. They count towards no other limit, since they are skipped.
const MAX_SKIPPED_BYTES: usize = 16 * 1024;

/// Incremental reader of one body from the buffer of its connection.
#[derive(Debug)]
pub struct BodyReader {
    body: BodyLength,
    state: ChunkState,
    limit: usize,
    content: Buffer,
    /// Number of bytes of extensions and trailer lines so far.
    skipped: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

impl BodyReader {
    /// Creates a reader for a body of at most `limit` bytes.
    #[must_use]
    pub fn new(body: BodyLength, limit: usize) -> Self {
        Self {
            body,
            state: ChunkState::Size,
            limit,
            content: Buffer::default(),
            skipped: 0,
        }
    }

    /// Consumes the available part of the body from the buffer and returns whether it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed or too large, or has too many bytes besides its content.
    pub fn feed(&mut self, buffer: &mut BytesMut) -> Result<bool, ParseError> {
        match self.body {
            BodyLength::Length(length) if length > self.limit => Err(ParseError::BodyTooLarge),
            BodyLength::Length(length) => {
                self.consume(buffer, length - self.content.len())?;
                Ok(self.content.len() == length)
            }
            BodyLength::UntilClose => {
                self.consume(buffer, usize::MAX)?;
                Ok(false)
            }
            BodyLength::Chunked => self.feed_chunks(buffer),
        }
    }

    fn consume(&mut self, buffer: &mut BytesMut, max: usize) -> Result<(), ParseError> {
        let n = buffer.len().min(max);
        if self.content.len() + n > self.limit {
            return Err(ParseError::BodyTooLarge);
        }
        self.content.extend(&buffer[..n]);
        buffer.advance(n);
        Ok(())
    }

    /// Counts bytes that are not content.
    fn skip(&mut self, bytes: usize) -> Result<(), ParseError> {
        self.skipped += bytes;
        if self.skipped > MAX_SKIPPED_BYTES {
            return Err(ParseError::Framing);
        }
        Ok(())
    }

    fn feed_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool, ParseError> {
        loop {
            match self.state {
                ChunkState::Size => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((size, length))) => {
                        buffer.advance(size);
                        self.skip(size.saturating_sub(PLAIN_SIZE_LINE))?;
                        let length = usize::try_from(length).map_err(|_| ParseError::Framing)?;
                        if length > self.limit - self.content.len() {
                            return Err(ParseError::BodyTooLarge);
                        }
                        self.state = match length {
                            0 => ChunkState::Trailer,
                            n => ChunkState::Data(n),
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE_BYTES => {
                        return Ok(false);
                    }
                    Ok(httparse::Status::Partial) | Err(_) => return Err(ParseError::Framing),
                },
                ChunkState::Data(left) => {
                    let before = self.content.len();
                    self.consume(buffer, left)?;
                    match left - (self.content.len() - before) {
                        0 => self.state = ChunkState::DataEnd,
                        left => {
                            self.state = ChunkState::Data(left);
                            return Ok(false);
                        }
                    }
                }
                ChunkState::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(ParseError::Framing);
                    }
                    buffer.advance(2);
                    self.state = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
                        let bounded = buffer.len() <= MAX_CHUNK_LINE_BYTES;
                        return bounded.then_some(false).ok_or(ParseError::Framing);
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        return Ok(true);
                    }
                    self.skip(end + 2)?;
                }
            }
        }
    }

    /// Returns the memory that the body needs once it has read `further` bytes.
    #[must_use]
    pub fn footprint(&self, further: usize) -> Footprint {
        buffer::footprint(self.size(further))
    }

    /// Returns the size of the buffer that the body needs once it has read `further` bytes.
    fn size(&self, further: usize) -> usize {
        match self.body {
            BodyLength::Length(length) if length > self.limit => 0,
            BodyLength::Length(length) => length,
            BodyLength::Chunked | BodyLength::UntilClose => {
                buffer::step((self.content.len() + further).min(self.limit))
            }
        }
    }

    /// Allocates the memory of [`Self::footprint`], which has to be reserved before. Without that, the body
    /// is on the heap and grows on demand.
    ///
    /// # Errors
    ///
    /// Returns an error if the system has no memory.
    pub fn allocate(&mut self, further: usize) -> io::Result<()> {
        let size = self.size(further);
        let limit = match self.body {
            BodyLength::Length(_) => size,
            BodyLength::Chunked | BodyLength::UntilClose => self.limit,
        };
        self.content.enlarge(size, limit)
    }

    /// Returns the number of body bytes read so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.content.len()
    }

    /// Returns whether no body bytes have been read yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// Returns the body read so far.
    #[must_use]
    pub fn into_body(self) -> Bytes {
        self.content.freeze()
    }
}
