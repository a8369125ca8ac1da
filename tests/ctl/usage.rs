//! Tests of usage texts and invalid usage.

use crate::run;

macro_rules! help {
    ($($name:ident: $args:expr;)*) => {$(
        /// Guards against help texts without examples, exit codes or options.
        #[test]
        fn $name() {
            let run = run::local(&$args);
            assert_eq!(run.code, 0, "{}", run.err);
            for part in ["Usage:", "Example", "Exit codes:", "Options:"] {
                assert!(run.out.contains(part), "no {part:?} in {}", run.out);
            }
            let widest = run.out.lines().map(|l| l.chars().count()).max();
            assert!(widest <= Some(100), "{}", run.out);
        }
    )*};
}

help! {
    help_of_ctl: ["--help"];
    help_of_check: ["check", "--help"];
    help_of_submit: ["submit", "--help"];
    help_of_diff: ["diff", "--help"];
    help_of_status: ["status", "--help"];
    help_of_drain: ["drain", "--help"];
    help_of_explain: ["explain", "--help"];
}

macro_rules! refused {
    ($($name:ident: $args:expr => $text:literal;)*) => {$(
        /// Guards against invalid usage that is accepted, or whose message does not name the problem.
        #[test]
        fn $name() {
            let run = run::local(&$args);
            assert_eq!(run.code, 2, "{}{}", run.out, run.err);
            assert!(run.err.contains($text), "{}", run.err);
        }
    )*};
}

refused! {
    no_command: [] as [&str; 0] => "a command is required";
    unknown_command: ["sumbit"] => "no command \"sumbit\"";
    unknown_option: ["status", "--jsno"] => "--jsno";
    submit_without_a_file: ["submit", "--based-on", "0"] => "expected one FILE";
    submit_without_a_base: ["submit", "examples/consortium.jsonc"] => "--based-on";
    submit_without_an_address:
        ["submit", "examples/consortium.jsonc", "--based-on", "0"] => "--platform";
    wait_without_an_address: [
        "submit", "examples/consortium.jsonc", "--based-on", "0", "--wait",
        "--platform", "127.0.0.1:9"
    ] => "--admin";
    status_without_an_address: ["status"] => "FILBERTFLOW_ADMIN";
    address_by_name: ["status", "--admin", "localhost:7102"] => "admin";
    drain_of_a_name: ["drain", "node-1", "--platform", "127.0.0.1:9"] => "expected IP:PORT";
    explain_without_a_service: ["explain", "dusk-walk"] => "--service";
    missing_file: ["check", "no-such.jsonc"] => "no-such.jsonc";
}

/// Guards against a version output without the name of the binary.
#[test]
fn version_names_the_binary() {
    let run = run::local(&["--version"]);
    assert_eq!(run.code, 0);
    assert_eq!(
        run.out,
        concat!("filbertflow-ctl ", env!("CARGO_PKG_VERSION"), "\n")
    );
}
