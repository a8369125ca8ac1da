//! Test double of a backend server.

pub mod announce;
pub mod cmd;
pub mod control;
pub mod fence;
pub mod mode;
pub mod requests;
pub mod server;
