//! Commands of the binaries. Each command has a module that begins with its usage text and options.

pub mod burn;
pub mod check;
pub mod cli;
pub mod ctl;
pub mod diff;
pub mod drain;
pub mod exit;
pub mod explain;
pub mod load;
pub mod logging;
pub mod node;
pub mod policy;
pub mod progress;
pub mod replay;
pub mod report;
pub mod results;
pub mod run;
pub mod scenario;
pub mod sidecar;
pub mod snapshot;
pub mod status;
pub mod submission;
pub mod submit;
pub mod workload;
