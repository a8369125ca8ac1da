//! Queue, limits and failure detection of the gate.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time;

use filbertflow::coordination::backend;
use filbertflow::protocol::backend::Announcement;
use filbertflow::state::clock;

use crate::caller::{call, start};
use crate::eventually;
use crate::fake::{Behavior, Fake};
use crate::host::{self, Host};

fn owner(fake: &Fake, slots: u32) -> Host {
    let host = Host::start();
    host.announce("walks", fake.addr, slots);
    host.offer_record("walks", Some(host.node.me), 1);
    host
}

/// Guards against more requests at the backend server than it has slots, and an unbounded queue.
#[test]
fn full_queue_refuses_at_once() {
    let fake = Fake::start(|_| Behavior::Hold);
    let host = owner(&fake, 2);
    let mut accepted = Vec::new();
    for n in 0..6 {
        accepted.push(start("POST", host.url(&format!("/walks/{n}")), Vec::new()));
    }
    eventually("two run and four wait", || host.node.gate.in_flight() == 6);
    let got = call("POST", &host.url("/walks/k"), &[], "");
    assert_eq!(got.status, 429);
    assert_eq!(got.outcome(), "not-run overloaded");
    assert!(!got.header("retry-after").is_empty());
    assert!(got.elapsed < time::Duration::from_secs(2), "{got:?}");
    fake.wait_for(2);
    assert_eq!(fake.seen().len(), 2);
    fake.release();
    for request in accepted {
        let got = request.join().unwrap();
        assert!(
            ["answered", "not-run overloaded"].contains(&got.outcome().as_str()),
            "{got:?}"
        );
    }
}

/// Guards against refusing a request while others of lower priority wait.
#[test]
fn important_request_displaces_the_last() {
    let fake = Fake::start(|_| Behavior::Hold);
    let host = owner(&fake, 1);
    let mut waiting = vec![start("POST", host.url("/walks/0"), Vec::new())];
    fake.wait_for(1);
    for n in 1..5 {
        waiting.push(start("POST", host.url(&format!("/walks/{n}")), Vec::new()));
    }
    eventually("one runs and four wait", || host.node.gate.in_flight() == 5);
    let operator = vec![("filbert-class", "operator".to_owned())];
    let important = start("POST", host.url("/walks/urgent"), operator);
    eventually("one is displaced", || {
        host.dropped("gate", "overloaded") == 1
    });
    fake.release();
    assert_eq!(important.join().unwrap().outcome(), "answered");
    let refused = waiting
        .into_iter()
        .map(|w| w.join().unwrap().outcome())
        .filter(|o| o != "answered")
        .count();
    assert!(refused >= 1);
    assert_eq!(fake.seen()[1].path, "/urgent");
}

/// Guards against requests that are sent to a frozen server whose health endpoint still answers,
/// and a server that stays down after it has recovered.
#[test]
fn frozen_server_is_down_until_it_answers() {
    let frozen = Arc::new(AtomicBool::new(true));
    let state = Arc::clone(&frozen);
    let fake = Fake::start(move |_| {
        if state.load(Ordering::SeqCst) {
            Behavior::Hold
        } else {
            Behavior::Answer(200, String::new())
        }
    });
    let host = owner(&fake, 4);
    let mut changes = host.node.backend.changes();
    changes.mark_unchanged();
    let headers = [("filbert-deadline-ms", "200")];
    for _ in 0..3 {
        let got = call("POST", &host.url("/walks/k"), &headers, "");
        assert_eq!(got.outcome(), "unknown timeout");
    }
    eventually("three timeouts in a row count", || {
        changes.has_changed().unwrap()
    });
    frozen.store(false, Ordering::SeqCst);
    eventually("the server is up again", || {
        host.node.backend.state().is_some_and(|(_, s)| s.up)
    });
    let got = call("POST", &host.url("/walks/k"), &[], "");
    assert_eq!(got.outcome(), "answered");
}

/// Guards against an unknown outcome where nothing was sent, and a server that still counts as up.
#[test]
fn refused_connection_proves_not_run() {
    let host = Host::start();
    host.announce("walks", filbertflow_harness::free_addr(), 4);
    host.offer_record("walks", Some(host.node.me), 1);
    let headers = [("filbert-deadline-ms", "1500")];
    let got = call("POST", &host.url("/walks/k"), &headers, "");
    assert_eq!(got.outcome(), "not-run unreachable");
    assert!(!host.node.backend.state().unwrap().1.up);
}

/// Guards against work for a backend server that no longer announces itself.
#[test]
fn silent_server_is_withdrawn() {
    let fake = Fake::start(|_| Behavior::Answer(200, String::new()));
    let host = owner(&fake, 4);
    host.set_announcement(None);
    eventually("the server is withdrawn", || {
        !host.node.backend.state().unwrap().1.up
    });
    let headers = [("filbert-deadline-ms", "1500")];
    let got = call("POST", &host.url("/walks/k"), &headers, "");
    assert_eq!(got.outcome(), "not-run unreachable");
    host.announce("walks", fake.addr, 4);
    let got = call("POST", &host.url("/walks/k"), &[], "");
    assert_eq!(got.outcome(), "answered");
}

/// Guards against a server that keeps its slices because its health endpoint answers while all its
/// requests time out.
#[test]
fn relapsed_server_is_probed_only_after_its_lease() {
    let server = backend::Backend::default();
    let announcement = host::announcement("walks", filbertflow_harness::free_addr(), 4);
    server.announce(announcement.clone());
    let up = || server.state().is_some_and(|(_, s)| s.up);
    let now = clock::Instant::now();
    for _ in 0..3 {
        assert!(up());
        server.record_timeout(1);
    }
    assert!(!up());
    assert!(
        server
            .check_liveness(now + time::Duration::from_millis(500))
            .is_some()
    );
    server.record_recovery(1);
    assert!(up());
    server.record_timeout(1);
    assert!(!up(), "one further timeout is enough");
    assert!(
        server
            .check_liveness(now + time::Duration::from_millis(1500))
            .is_none()
    );
    assert!(
        server
            .check_liveness(now + time::Duration::from_mins(1))
            .is_some()
    );
    // The check has marked the server as silent, because its last announcement was a minute old.
    server.announce(announcement);
    server.record_recovery(1);
    server.record_answer(1);
    for _ in 0..3 {
        assert!(up());
        server.record_timeout(1);
    }
    assert!(server.check_liveness(clock::Instant::now()).is_some());
}

/// Guards against more connections than the backend server accepts.
#[test]
fn connections_bound_the_requests_in_flight() {
    let fake = Fake::start(|_| Behavior::Hold);
    let host = Host::start();
    host.set_announcement(Some(Announcement {
        connections: 5,
        ..host::announcement("walks", fake.addr, 4)
    }));
    host.offer_record("walks", Some(host.node.me), 1);
    // Four of the five are reserved for grants, cancels and probes.
    assert_eq!(host.node.backend.server().map(|s| s.limit), Some(1));
    let first = start("POST", host.url("/walks/a"), Vec::new());
    let second = start("POST", host.url("/walks/b"), Vec::new());
    eventually("both are at the gate", || host.node.gate.in_flight() == 2);
    fake.wait_for(1);
    assert_eq!(fake.seen().len(), 1);
    fake.release();
    for request in [first, second] {
        assert_eq!(request.join().unwrap().outcome(), "answered");
    }
}

/// Guards against sending work to a draining backend server for longer than 5 s.
#[test]
fn draining_server_gets_no_work_after_a_time() {
    let fake = Fake::start(|_| Behavior::Answer(200, String::new()));
    let host = owner(&fake, 4);
    let started = time::Instant::now();
    host.set_announcement(Some(Announcement {
        draining: true,
        ..host::announcement("walks", fake.addr, 4)
    }));
    let first = call("POST", &host.url("/walks/k"), &[], "");
    assert_eq!(first.outcome(), "answered", "its slices have not moved yet");
    eventually("new work is refused", || {
        let headers = [("filbert-deadline-ms", "200")];
        let got = call("POST", &host.url("/walks/k"), &headers, "");
        got.outcome() == "not-run draining"
    });
    assert!(started.elapsed() > time::Duration::from_secs(1));
    let seen = fake.seen().len();
    let headers = [("filbert-deadline-ms", "200")];
    call("POST", &host.url("/walks/k"), &headers, "");
    assert_eq!(fake.seen().len(), seen);
}
