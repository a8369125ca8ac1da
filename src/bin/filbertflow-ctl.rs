//! Command-line tool for operators: checks and submits documents, drains nodes and shows status.

use std::process;

use filbertflow::cmd::{ctl, exit};

fn main() -> process::ExitCode {
    exit::report(ctl::run(&std::env::args().skip(1).collect::<Vec<_>>()))
}
