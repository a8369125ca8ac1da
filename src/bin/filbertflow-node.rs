//! Runs one node: caller interface, router, and admission control of the backend server on its host.

use std::process;

use filbertflow::cmd::{exit, node};

fn main() -> process::ExitCode {
    exit::report(node::run(&std::env::args().skip(1).collect::<Vec<_>>()))
}
