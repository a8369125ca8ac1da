//! Ownership protocol with several nodes in one process.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

mod cluster;
mod fake;
mod outage;
mod start;
mod succession;
