//! `filbertflow-load`: command dispatch.

use crate::cmd::{exit, policy, run};

const USAGE: &str = "\
Measures filbertflow under load.

Usage:
    filbertflow-load run --to ADDR --service NAME [options]
    filbertflow-load policy [options]

Commands:
    run       sends requests at a fixed rate and checks every answer
    policy    compares balance policies on one recorded workload

Each command prints its options with --help.

Exit codes: 0 success, 1 wrong answers or failure at run time, 2 invalid usage.";

/// Runs the command named by the first argument.
///
/// # Errors
///
/// Returns an error with its exit code if the usage is invalid or a check fails.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let (command, rest) = match args.split_first() {
        Some((command, rest)) => (command.as_str(), rest),
        None => ("", args),
    };
    match command {
        "run" => run::run(rest),
        "policy" => policy::run(rest),
        "-h" | "--help" | "help" => {
            println!("{USAGE}");
            Ok(())
        }
        "-V" | "--version" => {
            println!("filbertflow-load {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        other => {
            let message = format!("unknown command {other:?}\n\n{USAGE}");
            Err(exit::CommandError::new(exit::ExitCode::BadInput, message).into())
        }
    }
}
