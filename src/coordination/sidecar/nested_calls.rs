//! Detection of the calls that the local backend server makes for the requests that it runs.
//!
//! Such a call arrives like a request of any caller on this host. It ends at the deadline of the request
//! that it is made for, which the dispatcher has passed to the backend server; requests of other callers
//! rarely have the same deadline. A refused call fails the request that depends on it, with all the work
//! that it has taken, so calls are admitted before new requests (`admission.rs`).

use std::cell::RefCell;
use std::time::Duration;

use crate::state::clock::Instant;

/// Time by which a call may seem to end before its request: times are passed on in whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(2);

/// Time by which a call may seem to end after its request, since the remaining time that is passed on
/// counts from its arrival: at the backend server, and with the call at this node.
const TRANSIT: Duration = Duration::from_millis(15);

/// Deadlines of the requests that one backend server runs; there are as many as it has slots.
#[derive(Debug, Default)]
pub struct RunningDeadlines(RefCell<Vec<Instant>>);

impl RunningDeadlines {
    /// Adds the deadline of a request until the guard is dropped.
    #[must_use]
    pub fn add(&self, deadline: Instant) -> DeadlineGuard<'_> {
        self.0.borrow_mut().push(deadline);
        DeadlineGuard {
            running: self,
            deadline,
        }
    }

    /// Returns whether a running request has this deadline.
    #[must_use]
    pub fn contains(&self, deadline: Instant) -> bool {
        let near = |d: &Instant| d.since(deadline) <= ROUNDING && deadline.since(*d) <= TRANSIT;
        self.0.borrow().iter().any(near)
    }
}

/// Guard of a running request's deadline.
#[derive(Debug)]
pub struct DeadlineGuard<'a> {
    running: &'a RunningDeadlines,
    deadline: Instant,
}

impl Drop for DeadlineGuard<'_> {
    fn drop(&mut self) {
        let mut running = self.running.0.borrow_mut();
        if let Some(i) = running.iter().position(|d| *d == self.deadline) {
            running.swap_remove(i);
        }
    }
}
