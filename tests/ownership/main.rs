//! Ownership protocol with several nodes in one process.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

mod chaos;
mod claims;
mod cluster;
mod fake;
mod laws;
mod lead;
mod outage;
mod owner;
mod start;
mod store;
mod succession;
