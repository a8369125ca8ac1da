//! Read buffer of a connection, whose memory is known exactly.
//!
//! A `BytesMut` that is consumed from its front doesn't tell how much memory is behind it. This buffer
//! grows only by a new allocation of a given size.

use bytes::BytesMut;

use crate::protocol::heap_size;

/// Initial size, in bytes.
const INITIAL_SIZE: usize = 1024;

/// Buffer between a connection and a parser.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    /// Bytes that were read and not parsed yet.
    pub bytes: BytesMut,
    size: usize,
}

impl ReadBuffer {
    /// Returns whether no bytes can be read into the buffer as it is.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.bytes.len() == self.bytes.capacity()
    }

    /// Returns the size that the buffer needs to read more: twice the present one if it has no consumed
    /// bytes, but at least `min`.
    #[must_use]
    pub fn next_size(&self, min: usize) -> usize {
        let size = if self.bytes.len() >= self.size {
            (2 * self.size).max(INITIAL_SIZE)
        } else {
            self.size
        };
        size.max(min)
    }

    /// Returns the memory that a size takes beyond the initial one, in bytes.
    #[must_use]
    pub fn extra_memory(size: usize) -> usize {
        heap_size::of_block(size).saturating_sub(heap_size::of_block(INITIAL_SIZE))
    }

    /// Makes the buffer one of this size; its bytes stay, and consumed ones make room.
    pub fn resize(&mut self, size: usize) {
        let consumed = self.size.saturating_sub(self.bytes.capacity());
        if size == self.size && consumed >= self.bytes.len() {
            // Moves the bytes to the front of the same allocation.
            self.bytes.reserve(size - self.bytes.len());
            return;
        }
        let mut bytes = BytesMut::with_capacity(size.max(self.bytes.len()));
        bytes.extend_from_slice(&self.bytes);
        self.size = bytes.capacity();
        self.bytes = bytes;
    }

    /// Frees the memory of an empty buffer that has grown; returns whether it has.
    pub fn reset(&mut self) -> bool {
        let has_grown = self.bytes.is_empty() && self.size > INITIAL_SIZE;
        if has_grown {
            *self = Self::default();
        }
        has_grown
    }
}
