//! Memory reserved from a count that all holders in the process share.
//!
//! Two kinds of memory are counted apart, because they differ in what is left after their release. An
//! allocator keeps freed heap memory for later allocations, whereas a mapping is returned to the system
//! in full.

use std::cell::Cell;
use std::rc::Rc;

/// Memory that something takes, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Memory from the allocator.
    pub heap: usize,
    /// Memory mapped for a single large buffer.
    pub mapped: usize,
}

impl Footprint {
    /// Returns a footprint on the heap only.
    #[must_use]
    pub const fn on_heap(bytes: usize) -> Self {
        Self {
            heap: bytes,
            mapped: 0,
        }
    }

    /// Returns a footprint of mapped memory only.
    #[must_use]
    pub const fn of_mapping(bytes: usize) -> Self {
        Self {
            heap: 0,
            mapped: bytes,
        }
    }

    /// Returns the memory of both kinds.
    #[must_use]
    pub const fn total(self) -> usize {
        self.heap.saturating_add(self.mapped)
    }

    /// Returns the sum of two footprints.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            heap: self.heap.saturating_add(other.heap),
            mapped: self.mapped.saturating_add(other.mapped),
        }
    }

    /// Returns what this footprint exceeds another one by.
    #[must_use]
    pub fn beyond(self, other: Self) -> Self {
        Self {
            heap: self.heap.saturating_sub(other.heap),
            mapped: self.mapped.saturating_sub(other.mapped),
        }
    }

    /// Returns whether this footprint is within another one.
    #[must_use]
    pub fn fits_in(self, other: Self) -> bool {
        self.beyond(other) == Self::default()
    }
}

/// Reserved memory, shared by all reservations of a budget.
pub type SharedCount = Rc<Cell<Footprint>>;

/// Reserved memory of one holder; released on drop.
#[derive(Debug)]
pub struct Reservation {
    used: SharedCount,
    held: Cell<Footprint>,
}

impl Reservation {
    /// Adds a footprint to the count, without a check of any limit.
    #[must_use]
    pub fn new(used: &SharedCount, footprint: Footprint) -> Self {
        let reservation = Self {
            used: Rc::clone(used),
            held: Cell::default(),
        };
        reservation.set(footprint);
        reservation
    }

    /// Returns the reserved memory.
    #[must_use]
    pub fn held(&self) -> Footprint {
        self.held.get()
    }

    /// Changes the reserved memory, without a check of any limit.
    pub fn set(&self, footprint: Footprint) {
        let before = self.held.replace(footprint);
        let others = self.used.get().beyond(before);
        self.used.set(others.plus(footprint));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(Footprint::default());
    }
}
