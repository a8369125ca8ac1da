//! Buffers for bodies and frames, whose memory can be counted exactly.
//!
//! Up to [`SMALL_BUFFER`] bytes a buffer is on the heap. A larger one has a memory mapping of its own,
//! which is returned to the system as soon as the buffer is dropped. From the heap such sizes would leave
//! gaps that the allocator keeps, and that buffers of other sizes don't fill.

use std::io;

use bytes::Bytes;
use memmap2::{Advice, MmapMut, MmapOptions};

use crate::state::reservation::Footprint;

/// Size up to which a buffer is on the heap, in bytes. Below the threshold of 128 KiB from which the
/// allocator of the C library maps memory by itself.
pub const SMALL_BUFFER: usize = 64 * 1024;

/// Largest page size of the supported systems, in bytes.
const PAGE: usize = 64 * 1024;

/// Smallest size of a buffer whose final length isn't known, in bytes.
const MIN_STEP: usize = 1024;

/// Returns the memory of a buffer of an exact size.
#[must_use]
pub fn footprint(size: usize) -> Footprint {
    if size <= SMALL_BUFFER {
        Footprint::on_heap(size)
    } else {
        Footprint::of_mapping(whole_pages(size))
    }
}

/// Returns the size to which a buffer of unknown final length grows to hold `length` bytes.
#[must_use]
pub fn step(length: usize) -> usize {
    match length {
        0 => 0,
        _ if length <= SMALL_BUFFER => length.next_power_of_two().max(MIN_STEP),
        _ => whole_pages(length),
    }
}

fn whole_pages(size: usize) -> usize {
    size.saturating_add(PAGE - 1) / PAGE * PAGE
}

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

/// Buffer that is filled from its start.
#[derive(Debug)]
pub struct Buffer {
    /// Memory, of which the first `length` bytes are filled.
    storage: Storage,
    length: usize,
}

impl Default for Buffer {
    fn default() -> Self {
        Self {
            storage: Storage::Heap(Vec::new()),
            length: 0,
        }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => &bytes[..self.length],
            Storage::Mapped(bytes) => &bytes[..self.length],
        }
    }
}

impl Buffer {
    /// Returns the number of filled bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no bytes are filled.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Enlarges the buffer to `size` bytes. If that makes it a large one, address space for `limit` bytes
    /// is mapped at once; pages take up memory only when they are filled.
    ///
    /// # Errors
    ///
    /// Returns an error if the system maps no memory.
    pub fn enlarge(&mut self, size: usize, limit: usize) -> io::Result<()> {
        match &mut self.storage {
            Storage::Mapped(_) => {}
            Storage::Heap(bytes) if size <= SMALL_BUFFER => {
                bytes.reserve_exact(size.saturating_sub(bytes.len()));
                bytes.resize(size.max(bytes.len()), 0);
            }
            Storage::Heap(bytes) => {
                let mut map = MmapOptions::new().len(limit.max(size)).map_anon()?;
                if limit > size {
                    // A huge page would take up memory that isn't filled. Kernels without huge pages
                    // refuse the advice.
                    let _advised = map.advise(Advice::NoHugePage);
                }
                map[..self.length].copy_from_slice(&bytes[..self.length]);
                self.storage = Storage::Mapped(map);
            }
        }
        Ok(())
    }

    /// Returns the memory behind the filled bytes.
    pub fn unfilled(&mut self) -> &mut [u8] {
        match &mut self.storage {
            Storage::Heap(bytes) => &mut bytes[self.length..],
            Storage::Mapped(bytes) => &mut bytes[self.length..],
        }
    }

    /// Counts bytes that were written to [`Self::unfilled`] as filled.
    ///
    /// # Panics
    ///
    /// Panics if there are not as many.
    pub fn advance(&mut self, count: usize) {
        assert!(
            count <= self.unfilled().len(),
            "the bytes are in the buffer"
        );
        self.length += count;
    }

    /// Appends bytes; a small buffer grows on the heap if they don't fit.
    ///
    /// # Panics
    ///
    /// Panics if they don't fit into a large buffer.
    pub fn extend(&mut self, bytes: &[u8]) {
        let end = self.length + bytes.len();
        if let Storage::Heap(heap) = &mut self.storage
            && heap.len() < end
        {
            heap.resize(end.next_power_of_two(), 0);
        }
        self.unfilled()[..bytes.len()].copy_from_slice(bytes);
        self.length = end;
    }

    /// Returns the filled bytes, without a copy.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        match self.storage {
            Storage::Heap(mut bytes) => {
                bytes.truncate(self.length);
                bytes.into()
            }
            Storage::Mapped(_) => Bytes::from_owner(self),
        }
    }
}
