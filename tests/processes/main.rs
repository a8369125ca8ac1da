//! Tests with the real processes.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "the measurements use more of the helper")]
#[path = "../common/mod.rs"]
mod common;

mod checker;
mod load;
mod scenarios;
mod session;
mod target;
