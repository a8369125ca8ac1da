//! Tests that the operator's guide matches the code.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::collections::BTreeSet;
use std::fs;

use filbertflow::protocol::source;
use filbertflow::state::error;

/// Returns the known fields of an object, taken from the error message about an unknown field.
fn known(problems: &error::Error) -> BTreeSet<String> {
    let error::Error::Source(problems) = problems else {
        panic!("{problems}");
    };
    let lists = problems
        .iter()
        .filter_map(|p| p.message.split_once("expected one of "));
    lists
        .flat_map(|(_, names)| names.split(", ").map(str::to_owned))
        .collect()
}

/// Returns the fields described in the tables of a section.
fn described(heading: &str) -> BTreeSet<String> {
    let text = fs::read_to_string("docs/operators.md").unwrap();
    let section = text
        .split("\n## ")
        .find(|s| s.starts_with(heading))
        .unwrap();
    let cells = section.lines().filter_map(|l| l.strip_prefix("| `"));
    cells
        .map(|c| c.split('`').next().unwrap().to_owned())
        .collect()
}

/// Guards against settings missing from the guide, and against the guide describing removed ones.
#[test]
fn settings_reference_is_complete() {
    let problems = source::parse_settings("settings", "{ \"?\": 0 }").unwrap_err();
    assert_eq!(described("Settings reference"), known(&problems));
}

/// Guards against document fields missing from the guide, and against the guide describing removed
/// ones.
#[test]
fn document_reference_is_complete() {
    let text = "{ \"?\": 0, \"classes\": [{ \"?\": 0 }], \"services\": [{ \"?\": 0, \"key\": { \"?\": 0 }, \
                \"weights\": { \"?\": 0 }, \"objective\": { \"?\": 0 }, \"routes\": [{ \"?\": 0 }] }] }";
    let problems = source::parse_document("document", text).unwrap_err();
    assert_eq!(described("Document reference"), known(&problems));
}

/// Guards against commands in the guide that use options that no longer exist.
#[test]
fn guide_names_existing_options() {
    let text = fs::read_to_string("docs/operators.md").unwrap();
    let code: String = [
        "ctl", "submit", "diff", "status", "drain", "explain", "check", "node",
    ]
    .iter()
    .map(|name| fs::read_to_string(format!("src/cmd/{name}.rs")).unwrap())
    .collect();
    let commands = text.lines().filter(|l| {
        let line = l.trim();
        line.starts_with("filbertflow-ctl") || line.starts_with("filbertflow-node")
    });
    for option in commands
        .flat_map(str::split_whitespace)
        .filter(|w| w.starts_with("--"))
    {
        assert!(code.contains(option), "no option {option}");
    }
}

/// Guards against metrics missing from the guide, and against the guide describing removed ones.
#[test]
fn metrics_are_described() {
    let code: String = ["metrics.rs", "coordination/gauges.rs"]
        .iter()
        .map(|name| fs::read_to_string(format!("src/{name}")).unwrap())
        .collect();
    let quoted = code.split('"').skip(1).step_by(2);
    let names = quoted.filter(|q| q.starts_with("filbertflow_"));
    assert_eq!(described("Metrics"), names.map(str::to_owned).collect());
}
