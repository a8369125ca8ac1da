//! Runs one node: caller entry, router and gate of the backend server on its host.

use std::process;

use filbertflow::cmd::{exit, node};

fn main() -> process::ExitCode {
    exit::report(node::run(&std::env::args().skip(1).collect::<Vec<_>>()))
}
