//! Reports how fast services spend their error budgets.

use std::process;

use filbertflow::cmd::{exit, report};

fn main() -> process::ExitCode {
    exit::report(report::run(&std::env::args().skip(1).collect::<Vec<_>>()))
}
