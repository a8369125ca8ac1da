//! Tests of `filbertflow-ctl check`.

use crate::run;

/// Guards against rejecting a document that `submit` accepts.
#[test]
fn valid_document_passes() {
    for file in ["examples/consortium.jsonc", "examples/thrissur.jsonc"] {
        let run = run::local(&["check", file]);
        assert_eq!((run.code, run.err.as_str()), (0, ""));
        assert_eq!(run.out, format!("{file} is valid: 3 services, 6 routes\n"));
    }
}

/// Guards against stopping at the first problem, or exiting with success despite problems.
#[test]
fn all_problems_are_listed() {
    let text = run::changed(0).replace("\"hold_ms\": 14400000", "\"hold_s\": 60");
    let file = run::File::new(&text);
    let run = run::local(&["check", file.name()]);
    assert_eq!((run.code, run.out.as_str()), (2, ""));
    for part in [":4:3: hold_s:", "hold_ms: required", "services[0].slices:"] {
        assert!(run.err.contains(part), "no {part:?} in {}", run.err);
    }
}
