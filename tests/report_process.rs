//! Tests of the report tool as a process, against a small admin server.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{net, process, thread};

use filbertflow::metrics;
use filbertflow::protocol::admin;
use filbertflow::state::ids;

const DOCUMENT: &str = include_str!("../examples/consortium.jsonc");

/// Starts an admin server at a free port, which runs until the process exits.
fn serve() -> net::SocketAddr {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let addr = server.server_addr().to_ip().unwrap();
    let started = ids::Incarnation::now();
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let body = match request.url() {
                "/status" => serde_json::to_string(&status(addr, started)).unwrap(),
                "/document" => serde_json::to_string(&admin::Document {
                    revision: ids::DocRevision(1),
                    text: DOCUMENT.to_owned(),
                })
                .unwrap(),
                "/metrics" => counters(),
                other => panic!("unexpected call {other}"),
            };
            drop(request.respond(tiny_http::Response::from_string(body)));
        }
    });
    addr
}

fn status(addr: net::SocketAddr, started: ids::Incarnation) -> admin::Status {
    let closed = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = closed.local_addr().unwrap();
    let identity = admin::Identity {
        address: ids::NodeAddr(addr),
        incarnation: started,
        region: "ie-east".to_owned(),
        failure_domain: "ie-east-a".to_owned(),
        caller: addr,
        admin: addr,
    };
    let member = |admin: net::SocketAddr| admin::Member {
        address: ids::NodeAddr(admin),
        incarnation: started,
        failure_domain: "ie-east-a".to_owned(),
        admin: admin.to_string(),
        service: None,
        up: false,
        draining: false,
        slots: 0,
    };
    admin::Status {
        node: identity,
        revision: ids::DocRevision(1),
        roles: Vec::new(),
        members: vec![member(addr), member(closed)],
        partitions: Vec::new(),
        drains: Vec::new(),
    }
}

fn counters() -> String {
    let metrics = metrics::Metrics::default();
    for (outcome, reason, n) in [("answered", "", 990), ("unknown", "timeout", 10)] {
        let labels = ["walk-listings", "tourist", outcome, reason];
        metrics.requests.with_label_values(&labels).inc_by(n);
        for _ in 0..n {
            let labels = ["walk-listings", "tourist", outcome];
            metrics.latency.with_label_values(&labels).observe(0.01);
        }
    }
    metrics.encode()
}

fn report(args: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_filbertflow-report"))
        .args(args)
        .env_remove("FILBERTFLOW_ADMIN")
        .output()
        .unwrap()
}

/// Guards against members that are not queried, and against a report that fails because one member does
/// not answer.
#[test]
fn members_of_one_node_are_asked() {
    let addr = serve().to_string();
    let output = report(&["--admin", &addr, "--interval", "0.1", "--json"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["nodes"], 1);
    assert_eq!(json["silent"].as_array().unwrap().len(), 1);
    let service = &json["services"][0];
    assert_eq!(service["causes"][0]["cause"], "unknown timeout");
    let rate = service["classes"][0]["long"]["rate"].as_f64().unwrap();
    assert!((9.9..10.1).contains(&rate), "{json}");
}

/// Guards against a history that the next run does not use, and against text output without the results.
#[test]
fn history_is_kept_between_runs() {
    let addr = serve().to_string();
    let file = std::env::temp_dir().join(format!("filbertflow-report-{}", process::id()));
    let file = file.to_str().unwrap();
    let args = ["--nodes", &addr, "--history", file, "--interval", "0.1"];
    let lines = || std::fs::read_to_string(file).unwrap().lines().count();
    let first = report(&args);
    assert_eq!(first.status.code(), Some(0), "{first:?}");
    assert_eq!(lines(), 2);
    let second = report(&args);
    assert_eq!(lines(), 3);
    std::fs::remove_file(file).unwrap();
    let text = String::from_utf8(second.stdout).unwrap();
    for part in [
        "walk-listings: 99.9% within 250 ms",
        "tourist",
        "unknown timeout",
    ] {
        assert!(text.contains(part), "{text}");
    }
    assert!(text.lines().all(|l| l.len() <= 100), "{text}");
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $args:expr => $code:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let output = report(&$args);
            assert_eq!(output.status.code(), Some($code), "{output:?}");
            let text = if $code == 0 { output.stdout } else { output.stderr };
            assert!(!text.is_empty());
        }
    )*};
}

cases! {
    /// Guards against a missing address with the exit code of an unavailable node.
    address_is_required: [""; 0] => 2;
    /// Guards against an invalid address that is ignored.
    invalid_address_is_refused: ["--nodes", "127.0.0.1"] => 2;
    /// Guards against a short window that is longer than the long one, which gives misleading burn rates.
    short_window_must_be_shorter: ["--nodes", "127.0.0.1:1", "--short", "90"] => 2;
    /// Guards against an unavailable fleet with the exit code of invalid usage.
    unavailable_node_has_its_exit_code: ["--nodes", "127.0.0.1:1"] => 4;
    /// Guards against a help option that fails.
    help_succeeds: ["--help"] => 0;
    /// Guards against a version option that fails.
    version_succeeds: ["--version"] => 0;
}
