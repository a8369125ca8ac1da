//! Tests with the real processes.

#[path = "../common/mod.rs"]
mod common;

mod checker;
mod load;
mod scenarios;
mod session;
mod target;
