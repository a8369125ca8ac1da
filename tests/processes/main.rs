//! Tests that run the real binaries as processes on one machine.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod checker;
mod host_selector;
mod load;
mod scenarios;
mod session;
