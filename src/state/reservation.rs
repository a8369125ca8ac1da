//! Bytes reserved from a count that all holders in the process share.

use std::cell::Cell;
use std::rc::Rc;

/// Number of reserved bytes, shared by all reservations of a budget.
pub type SharedCount = Rc<Cell<usize>>;

/// Reserved bytes; released on drop.
#[derive(Debug)]
pub struct Reservation {
    used: SharedCount,
    bytes: usize,
}

impl Reservation {
    /// Adds bytes to the count, without a check of any limit.
    #[must_use]
    pub fn new(used: &SharedCount, bytes: usize) -> Self {
        let mut reservation = Self {
            used: Rc::clone(used),
            bytes: 0,
        };
        reservation.grow_to(bytes);
        reservation
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows to `bytes`, without a check of any limit; never shrinks.
    pub fn grow_to(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        self.used.set(self.used.get() + more);
        self.bytes += more;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.bytes);
    }
}
