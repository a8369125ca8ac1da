//! Commands: one module each, with its usage text and options on top.

pub mod exit;
pub mod logging;
pub mod node;
