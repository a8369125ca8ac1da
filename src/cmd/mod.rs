//! Commands: one module each, with its usage text and options on top.

pub mod exit;
pub mod load;
pub mod logging;
pub mod node;
pub mod policy;
pub mod replay;
pub mod run;
pub mod scenario;
pub mod tally;
pub mod workload;
