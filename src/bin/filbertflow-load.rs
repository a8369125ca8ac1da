//! Open-loop load generator and comparison of balance policies.

use std::process;

use filbertflow::cmd::{exit, load};

fn main() -> process::ExitCode {
    exit::report(load::run(&std::env::args().skip(1).collect::<Vec<_>>()))
}
