//! Tests with the real processes.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod checker;
mod load;
mod scenarios;
mod session;
mod target;
