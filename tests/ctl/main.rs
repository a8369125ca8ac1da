//! Tests of `filbertflow-ctl` as a process, against a fake of the platform's service.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

mod check;
mod diff;
mod drain;
mod explain;
mod fake;
mod fleet;
mod run;
mod spread;
mod status;
mod submit;
mod usage;
