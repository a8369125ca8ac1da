//! Tests of the load tool as a process, against a small server with correct or faulty responses.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{process, thread};

/// Behavior of the server.
#[derive(Debug, Clone, Copy)]
enum Behavior {
    Answer,
    AnswerForAnotherKey,
    AnswerWithAnotherId,
    NoOutcome,
    NotRun,
}

/// Starts a server at a free port, which runs until the process exits. Returns its address and request
/// counter.
fn serve(behavior: Behavior) -> (String, Arc<AtomicUsize>) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let addr = server.server_addr().to_string();
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    thread::spawn(move || {
        for request in server.incoming_requests() {
            counter.fetch_add(1, Ordering::Relaxed);
            respond(request, behavior);
        }
    });
    (addr, count)
}

fn respond(request: tiny_http::Request, behavior: Behavior) {
    let id = request
        .headers()
        .iter()
        .find(|h| h.field.equiv("filbert-id"));
    let id = id.map(|h| h.value.to_string()).unwrap();
    let key = request.url().rsplit('/').next().unwrap().to_owned();
    let (id, key) = match behavior {
        Behavior::AnswerWithAnotherId => ("0192-other".to_owned(), key),
        Behavior::AnswerForAnotherKey => (id, "other".to_owned()),
        _ => (id, key),
    };
    let header = |name: &str, value: &str| {
        tiny_http::Header::from_bytes(name.as_bytes(), value.as_bytes()).unwrap()
    };
    let body = serde_json::json!({ "id": id, "key": key }).to_string();
    let mut response =
        tiny_http::Response::from_string(body).with_header(header("filbert-id", &id));
    match behavior {
        Behavior::NoOutcome => {}
        Behavior::NotRun => {
            response = response
                .with_status_code(503)
                .with_header(header("filbert-outcome", "not-run"))
                .with_header(header("filbert-reason", "no-owner"));
        }
        _ => response = response.with_header(header("filbert-outcome", "answered")),
    }
    // A failed delivery shows in the results of the tool.
    drop(request.respond(response));
}

fn load(args: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_filbertflow-load"))
        .args(args)
        .output()
        .unwrap()
}

fn run(to: &str) -> (Option<i32>, serde_json::Value) {
    let output = load(&[
        "run",
        "--to",
        to,
        "--service",
        "walk-listings",
        "--rate",
        "200",
        "--seconds",
        "0.5",
        "--seed",
        "5",
        "--json",
    ]);
    let json = serde_json::from_slice(&output.stdout).unwrap();
    (output.status.code(), json)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $behavior:expr => $code:literal, $reason:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let (addr, count) = serve($behavior);
            let (code, json) = run(&addr);
            assert_eq!(code, Some($code), "{json}");
            assert!(count.load(Ordering::Relaxed) > 50);
            assert_eq!(json["reasons"][$reason], json["requests"], "{json}");
        }
    )*};
}

cases! {
    /// Guards against correct answers that are counted under another outcome.
    right_answers_pass: Behavior::Answer => 0, "answered 200";
    /// Guards against counting an answer for another key as success.
    answer_of_another_key_fails: Behavior::AnswerForAnotherKey => 1, "wrong key-body";
    /// Guards against counting an answer to another request as success.
    answer_with_another_id_fails: Behavior::AnswerWithAnotherId => 1, "wrong id-header";
    /// Guards against counting a response without an outcome as an answer.
    response_without_outcome_fails: Behavior::NoOutcome => 1, "wrong no-outcome";
    /// Guards against rejections that are counted without their reason.
    refusals_are_counted_by_reason: Behavior::NotRun => 0, "not-run no-owner";
}

/// Guards against a run that fails because one of its addresses refuses connections.
#[test]
fn refused_connection_goes_to_the_next_address() {
    let (addr, _) = serve(Behavior::Answer);
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let both = format!("{},{addr}", gone.local_addr().unwrap());
    drop(gone);
    let (code, json) = run(&both);
    assert_eq!(code, Some(0));
    assert_eq!(json["reasons"]["answered 200"], json["requests"], "{json}");
}

/// Guards against usage errors with the exit code of a failure of the system under test.
#[test]
fn invalid_usage_has_its_exit_code() {
    for args in [
        &["run", "--service", "x"][..],
        &["run", "--to", "nowhere", "--service", "x"],
        &[
            "run",
            "--to",
            "127.0.0.1:1",
            "--service",
            "x",
            "--rate",
            "0",
        ],
        &[
            "run",
            "--to",
            "127.0.0.1:1",
            "--service",
            "x",
            "--spread",
            "zipf",
        ],
        &[
            "run",
            "--to",
            "127.0.0.1:1",
            "--service",
            "x",
            "--key",
            "cookie:x",
        ],
        &["policy", "--rate", "0"],
        &["unknown"],
        &[],
    ] {
        let output = load(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(!output.stderr.is_empty());
    }
}

/// Guards against help and version options that fail or print nothing.
#[test]
fn help_and_version_succeed() {
    for args in [
        &["--help"][..],
        &["--version"],
        &["run", "--help"],
        &["policy", "--help"],
    ] {
        let output = load(args);
        assert_eq!(output.status.code(), Some(0), "{args:?}");
        assert!(!output.stdout.is_empty());
    }
}
