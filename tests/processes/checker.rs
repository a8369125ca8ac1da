//! Tests that the journal checker reports every kind of violation and accepts correct journals.

use std::time::Duration;

use filbertflow_harness::caller::{Call, Outcome, Request};
use filbertflow_harness::journal::{self, Violation};

const SECOND_NS: u64 = 1_000_000_000;

/// Builds a journal line with a timestamp in nanoseconds.
fn line(at: u64, event: &str, server: &str, id: &str, token: &str, idempotent: bool) -> String {
    format!(
        r#"{{"at":{at},"event":"{event}","server":"{server}","id":"{id}","attempt":"1","key":"walk","token":"{token}","idempotent":{idempotent}}}"#
    )
}

/// Builds the two lines of a request that ran to completion.
fn run_lines(start: u64, end: u64, server: &str, id: &str, token: &str) -> [String; 2] {
    [
        line(start, "start", server, id, token, false),
        line(end, "end", server, id, token, false),
    ]
}

fn call(id: &str, sent: u64, ended: u64, outcome: Outcome) -> Call {
    let mut request = Request::new("walk-listings", "walk", "POST", Duration::ZERO);
    id.clone_into(&mut request.id);
    Call {
        request,
        sent,
        ended,
        outcome,
        defect: None,
    }
}

fn not_run() -> Outcome {
    Outcome::NotRun("no-owner".to_owned())
}

fn check(lines: &[String], calls: &[Call]) -> Vec<Violation> {
    journal::check(&journal::parse(&lines.join("\n")), calls)
}

/// Defines one test for each case; its doc comment names the failure that it guards against.
macro_rules! cases {
    ($($(#[doc = $guards:literal])+ $name:ident: $found:expr => $expected:expr;)+) => {
        $(
            $(#[doc = $guards])+
            #[test]
            fn $name() {
                assert_eq!($found, $expected);
            }
        )+
    };
}

cases! {
    /// Guards against reporting a correct change of owner.
    accepts_owners_in_turn:
        check(
            &[
                run_lines(10, 20, "a", "1", "1.1"),
                run_lines(30, 40, "b", "2", "1.2"),
                run_lines(50, 60, "a", "3", "2.3"),
            ]
            .concat(),
            &[call("1", 5, 25, Outcome::Answered(200)), call("9", 5, 25, not_run())],
        ) => vec![];

    /// Guards against missing two servers that run requests for one key at the same time.
    finds_overlapping_work:
        check(
            &[run_lines(10, 30, "a", "1", "1.1"), run_lines(20, 40, "b", "2", "1.2")].concat(),
            &[],
        ) => vec![two_owners()];

    /// Guards against missing a request on the previous owner that falls between two requests on
    /// the new one and so overlaps neither.
    finds_alternating_owners:
        check(
            &[
                run_lines(10, 20, "a", "1", "1.1"),
                run_lines(30, 40, "b", "2", "1.2"),
                run_lines(50, 60, "a", "3", "1.1"),
            ]
            .concat(),
            &[],
        ) => vec![two_owners()];

    /// Guards against missing a fencing token that two servers use one after the other.
    finds_shared_token:
        check(
            &[run_lines(10, 20, "a", "1", "1.1"), run_lines(30, 40, "b", "2", "1.1")].concat(),
            &[],
        ) => vec![Violation::SharedToken { key: "walk".to_owned(), token: "1.1".to_owned() }];

    /// Guards against missing a non-idempotent request that runs twice on one server.
    finds_second_run:
        check(
            &[run_lines(10, 20, "a", "1", "1.1"), run_lines(30, 40, "a", "1", "1.1")].concat(),
            &[],
        ) => vec![Violation::RanTwice { id: "1".to_owned() }];

    /// Guards against missing a first run whose end isn't in the journal because its server was
    /// killed.
    finds_second_run_after_loss:
        check(
            &[
                vec![line(10, "start", "a", "1", "1.1", false)],
                run_lines(30, 40, "b", "1", "1.2").to_vec(),
            ]
            .concat(),
            &[],
        ) => vec![Violation::RanTwice { id: "1".to_owned() }];

    /// Guards against counting a request that was aborted without effect as a run.
    accepts_run_after_abort:
        check(
            &[
                vec![
                    line(10, "start", "a", "1", "1.1", false),
                    line(25, "abort", "a", "1", "1.1", false),
                ],
                run_lines(30, 40, "b", "1", "1.2").to_vec(),
            ]
            .concat(),
            &[],
        ) => vec![];

    /// Guards against reporting an idempotent request that runs twice.
    accepts_repeated_read:
        check(
            &[
                line(10, "start", "a", "1", "1.1", true),
                line(20, "end", "a", "1", "1.1", true),
                line(30, "start", "a", "1", "1.1", true),
                line(40, "end", "a", "1", "1.1", true),
            ],
            &[],
        ) => vec![];

    /// Guards against missing a run before the caller got "not run".
    finds_run_before_not_run:
        check(
            &run_lines(10, 20, "a", "1", "1.1"),
            &[call("1", 5, 25, not_run())],
        ) => vec![Violation::RanAfterAll { id: "1".to_owned() }];

    /// Guards against missing a run that starts after the caller got "not run".
    finds_run_after_not_run:
        check(
            &run_lines(30, 40, "a", "1", "1.1"),
            &[call("1", 5, 25, not_run())],
        ) => vec![Violation::RanAfterAll { id: "1".to_owned() }];

    /// Guards against missing a repeated call that gets "not run" although the first call ran.
    finds_not_run_after_run:
        check(
            &run_lines(10, 20, "a", "1", "1.1"),
            &[
                call("1", 5, 25, Outcome::Unknown("timeout".to_owned())),
                call("1", 30, 35, not_run()),
            ],
        ) => vec![Violation::RanAfterAll { id: "1".to_owned() }];

    /// Guards against reporting a refused request that succeeds when the caller repeats it.
    accepts_run_of_repeated_call:
        check(
            &run_lines(35, 40, "a", "1", "1.1"),
            &[call("1", 5, 25, not_run()), call("1", 30, 50, Outcome::Answered(200))],
        ) => vec![];

    /// Guards against missing a response to a request that no server ran.
    finds_answer_without_run:
        check(&[], &[call("1", 5, 25, Outcome::Answered(200))])
            => vec![Violation::AnsweredWithoutRun { id: "1".to_owned() }];

    /// Guards against missing a response that belongs to another request.
    finds_foreign_answer:
        {
            let mut foreign = call("1", 5, 25, Outcome::Answered(200));
            foreign.defect = Some("body belongs to another request".to_owned());
            check(&run_lines(10, 20, "a", "1", "1.1"), &[foreign])
        } => vec![Violation::ForeignAnswer {
            id: "1".to_owned(),
            defect: "body belongs to another request".to_owned(),
        }];

    /// Guards against missing a request that starts on a draining server after the time limit.
    finds_work_after_drain:
        check(
            &[
                vec![line(10, "drain", "a", "", "", false)],
                run_lines(4 * SECOND_NS, 4 * SECOND_NS + 5, "a", "1", "1.1").to_vec(),
                run_lines(6 * SECOND_NS, 6 * SECOND_NS + 5, "a", "2", "1.1").to_vec(),
            ]
            .concat(),
            &[],
        ) => vec![Violation::WorkAfterDrain { server: "a".to_owned(), id: "2".to_owned() }];

    /// Guards against rejecting a journal whose last line is incomplete because the server was
    /// killed.
    accepts_cut_last_line:
        check(
            &[
                run_lines(10, 20, "a", "1", "1.1").to_vec(),
                vec!["{\"at\":3".to_owned()],
            ]
            .concat(),
            &[],
        ) => vec![];
}

fn two_owners() -> Violation {
    Violation::TwoOwners {
        key: "walk".to_owned(),
        servers: ["a".to_owned(), "b".to_owned()],
    }
}

/// Guards against a caller that accepts a truncated body or that of another request.
#[test]
fn caller_notices_wrong_bodies() {
    let request = Request::new("walk-listings", "walk", "GET", Duration::ZERO);
    let body = |id: &str, key: &str| {
        let path = &request.path;
        format!(
            r#"{{"id":"{id}","key":"{key}","method":"GET","path":"{path}","body":"","complete":true}}"#
        )
    };
    let correct = body(&request.id, "walk");
    assert_eq!(request.find_defect(&correct), None);
    assert!(request.find_defect(&correct[..correct.len() / 2]).is_some());
    assert!(request.find_defect(&body("another", "walk")).is_some());
    assert!(request.find_defect(&body(&request.id, "another")).is_some());
}
