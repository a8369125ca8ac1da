//! `filbertflow-ctl`: command dispatch.

use crate::cmd::{check, cli, diff, drain, explain, status, submit};

const USAGE: &str = "\
Controls a filbertflow fleet.

Usage:
    filbertflow-ctl COMMAND [OPTIONS]

Commands:
    check    check a document
    submit   submit a document
    diff     show what a document would change, or print the one in force
    status   show revision, partitions, owners and drains
    drain    move all keys away from a node
    explain  show which node owns a key and why

`filbertflow-ctl COMMAND --help` describes a command. The addresses of the
platform's service and of a node are taken from --platform and --admin, or from
FILBERTFLOW_PLATFORM and FILBERTFLOW_ADMIN.

Examples:
    filbertflow-ctl check consortium.jsonc
    filbertflow-ctl submit consortium.jsonc --based-on 7 --wait
    filbertflow-ctl drain 10.0.1.1:7101 --wait

Exit codes: 0 success, 1 failure at run time, 2 bad input, 3 conflict,
4 platform's service or node not available, or outcome unknown.

Options:
  -h, --help     print this help
  -V, --version  print the version
";

/// Runs the command named by the first argument.
///
/// # Errors
///
/// Returns the error of the command, with its exit code.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let Some((command, rest)) = args.split_first() else {
        return Err(cli::bad_input(format!("a command is required\n\n{USAGE}")));
    };
    match command.as_str() {
        "check" => check::run(rest),
        "submit" => submit::run(rest),
        "diff" => diff::run(rest),
        "status" => status::run(rest),
        "drain" => drain::run(rest),
        "explain" => explain::run(rest),
        "-h" | "--help" | "help" => cli::print(USAGE),
        "-V" | "--version" => {
            let version = env!("CARGO_PKG_VERSION");
            cli::print(&format!("filbertflow-ctl {version}\n"))
        }
        other => Err(cli::bad_input(format!("no command {other:?}\n\n{USAGE}"))),
    }
}
