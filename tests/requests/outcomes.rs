//! Outcomes that are reported to callers, and at-most-once execution.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time;

use filbertflow::protocol::backend;
use filbertflow::state::{ids, timing};

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

macro_rules! unusable_response {
    ($($name:ident: $act:expr => $reason:literal;)*) => {
        $(
            /// Guards against a caller that gets a partial response or that of another request,
            /// and against a non-idempotent request that is sent again.
            #[test]
            fn $name() {
                let fake = Fake::start(|_| $act);
                let host = owner(&fake, 4);
                let got = call("POST", &host.url("/walks/k"), &[], "");
                assert_eq!(got.status, 504);
                assert_eq!(got.outcome(), concat!("unknown ", $reason));
                assert_eq!(fake.seen().len(), 1);
                assert_eq!(host.dropped("gate", $reason), 1);
            }
        )*
    };
}

unusable_response! {
    response_to_another_request_is_dropped: Behavior::WrongId => "mismatch";
    truncated_response_is_no_response: Behavior::Truncate => "mismatch";
    closed_connection_leaves_outcome_unknown: Behavior::Close => "broken";
}

macro_rules! proven_not_run {
    ($($name:ident: $why:literal => $status:literal $reason:literal;)*) => {
        $(
            /// Guards against losing the information that the backend server did not run a request.
            #[test]
            fn $name() {
                let fake = Fake::start(|_| Behavior::Refuse($why));
                let host = owner(&fake, 4);
                let deadline = [("filbert-deadline-ms", "1500")];
                let got = call("POST", &host.url("/walks/k"), &deadline, "");
                assert_eq!(got.status, $status);
                assert_eq!(got.outcome(), concat!("not-run ", $reason));
            }
        )*
    };
}

proven_not_run! {
    stale_token_proves_not_run: "stale-token" => 503 "fenced";
    missing_grant_proves_not_run: "no-grant" => 503 "fenced";
    shed_proves_not_run: "shed" => 429 "shed";
    drain_proves_not_run: "draining" => 503 "draining";
    cold_proves_not_run: "cold" => 503 "cold";
    expiry_proves_not_run: "expired" => 503 "expired";
}

/// Guards against treating an unknown refusal reason as proof that a request was not run.
#[test]
fn unknown_refusal_proves_nothing() {
    let fake = Fake::start(|_| Behavior::Refuse("bored"));
    let host = owner(&fake, 4);
    let got = call("POST", &host.url("/walks/k"), &[], "");
    assert_eq!(got.outcome(), "unknown mismatch");
}

/// Guards against running a request twice because the caller repeats it.
#[test]
fn repeated_id_is_answered_from_the_log() {
    let runs = AtomicUsize::new(0);
    let fake = Fake::start(move |_| {
        let n = runs.fetch_add(1, Ordering::SeqCst);
        Behavior::Answer(201, format!("ticket {n}"))
    });
    let host = owner(&fake, 4);
    let id = newer_than_horizon();
    let headers = [("filbert-id", id.as_str())];
    let first = call("POST", &host.url("/walks/k"), &headers, "");
    let second = call("POST", &host.url("/walks/k"), &headers, "");
    assert_eq!((first.status, first.body.as_str()), (201, "ticket 0"));
    assert_eq!((second.status, second.body.as_str()), (201, "ticket 0"));
    assert_eq!(second.header("filbert-id"), id);
    assert_eq!(fake.seen().len(), 1);
}

/// Waits until an identifier created now is not refused by the horizon of a lease taken before.
fn newer_than_horizon() -> String {
    // Identifiers carry whole milliseconds.
    let horizon = ids::wall_time() + timing::CLOCK_SKEW + time::Duration::from_millis(2);
    eventually("the horizon has passed", || ids::wall_time() > horizon);
    ids::RequestId::create().to_string()
}

/// Guards against a request that runs again after its first outcome was lost.
#[test]
fn unknown_outcome_is_final() {
    let fake = Fake::start(|_| Behavior::Close);
    let host = owner(&fake, 4);
    let id = newer_than_horizon();
    let headers = [("filbert-id", id.as_str())];
    for _ in 0..2 {
        let got = call("POST", &host.url("/walks/k"), &headers, "");
        assert_eq!(got.outcome(), "unknown broken");
    }
    assert_eq!(fake.seen().len(), 1);
}

/// Guards against a request that ran under an earlier owner and runs again under this one.
#[test]
fn id_older_than_the_lease_does_not_run() {
    let fake = Fake::start(|_| Behavior::Answer(200, String::new()));
    let id = ids::RequestId::create().to_string();
    let host = owner(&fake, 4);
    let got = call("POST", &host.url("/walks/k"), &[("filbert-id", &id)], "");
    assert_eq!(got.outcome(), "unknown horizon");
    assert!(fake.seen().is_empty());
}

/// Guards against "not run" for a request that an earlier call may have run at a lost owner.
#[test]
fn own_id_without_owner_is_unknown() {
    let host = Host::start();
    let id = ids::RequestId::create().to_string();
    let headers = [("filbert-id", id.as_str()), ("filbert-deadline-ms", "1500")];
    let got = call("POST", &host.url("/walks/k"), &headers, "");
    assert_eq!(got.outcome(), "unknown owner-lost");
}

/// Guards against a second run beside one that is in progress.
#[test]
fn concurrent_repeat_waits_for_the_first() {
    let fake = Fake::start(|_| Behavior::Hold);
    let host = owner(&fake, 4);
    let id = newer_than_horizon();
    let url = host.url("/walks/k");
    let first = start("POST", url.clone(), vec![("filbert-id", id.clone())]);
    fake.wait_for(1);
    let second = start("POST", url, vec![("filbert-id", id)]);
    eventually("both requests are in progress", || {
        host.node.router.in_progress() == 2
    });
    fake.release();
    assert_eq!(first.join().unwrap().body, "held");
    assert_eq!(second.join().unwrap().body, "held");
    assert_eq!(fake.seen().len(), 1);
}

/// Guards against an idempotent request that fails although another attempt would succeed.
#[test]
fn idempotent_request_is_repeated() {
    let runs = AtomicUsize::new(0);
    let fake = Fake::start(move |_| match runs.fetch_add(1, Ordering::SeqCst) {
        0 => Behavior::Close,
        _ => Behavior::Answer(200, "second".to_owned()),
    });
    let host = owner(&fake, 4);
    let got = call("GET", &host.url("/walks/k"), &[], "");
    assert_eq!(got.body, "second");
    assert_eq!(fake.seen().len(), 2);
}

/// Guards against retries without limit, and against "not run" after attempts that may have run.
#[test]
fn repeats_end_with_the_budget() {
    let fake = Fake::start(|_| Behavior::Close);
    let host = owner(&fake, 4);
    for _ in 0..20 {
        let got = call("GET", &host.url("/walks/k"), &[], "");
        assert_eq!(got.outcome(), "unknown broken");
    }
    // The budget allows ten retries without successes.
    assert_eq!(fake.seen().len(), 30);
}

/// Guards against a queued request that runs although its caller has cancelled it.
#[test]
fn cancelled_request_leaves_the_queue() {
    let fake = Fake::start(|_| Behavior::Hold);
    let host = owner(&fake, 1);
    let running = start("POST", host.url("/walks/a"), Vec::new());
    fake.wait_for(1);
    let id = newer_than_horizon();
    let queued = start(
        "POST",
        host.url("/walks/b"),
        vec![("filbert-id", id.clone())],
    );
    eventually("the second request waits", || {
        host.node.gate.in_flight() == 2
    });
    let cancelled = call("DELETE", &host.url(&format!("/-/requests/{id}")), &[], "");
    assert_eq!(cancelled.status, 202);
    let got = queued.join().unwrap();
    assert_eq!(got.outcome(), "not-run cancelled");
    fake.release();
    assert_eq!(running.join().unwrap().body, "held");
    assert_eq!(fake.seen().len(), 1);
}

/// Guards against a caller that waits until its deadline for a request that it cancelled, and
/// against "not run" for one that is running.
#[test]
fn cancelled_running_request_is_unknown_at_once() {
    let fake = Fake::start(|_| Behavior::Hold);
    let host = owner(&fake, 1);
    let id = newer_than_horizon();
    let running = start(
        "POST",
        host.url("/walks/a"),
        vec![("filbert-id", id.clone())],
    );
    fake.wait_for(1);
    call("DELETE", &host.url(&format!("/-/requests/{id}")), &[], "");
    let got = running.join().unwrap();
    assert_eq!(got.outcome(), "unknown cancelled");
    fake.release();
    let repeated = call("POST", &host.url("/walks/a"), &[("filbert-id", &id)], "");
    assert_eq!(repeated.body, "held");
    assert_eq!(fake.seen().len(), 1);
}

/// Guards against losing the backend server's confirmation that a cancelled request was not run.
#[test]
fn cancel_before_the_start_proves_not_run() {
    let fake = Fake::start(|_| Behavior::Close);
    let host = owner(&fake, 1);
    fake.set_cancel("not-started");
    let holding = Fake::start(|_| Behavior::Hold);
    host.announce("walks", holding.addr, 1);
    let id = newer_than_horizon();
    let headers = vec![
        ("filbert-id", id.clone()),
        ("filbert-deadline-ms", "600".to_owned()),
    ];
    holding.set_cancel("not-started");
    let running = start("POST", host.url("/walks/a"), headers);
    holding.wait_for(1);
    call("DELETE", &host.url(&format!("/-/requests/{id}")), &[], "");
    let got = running.join().unwrap();
    assert_eq!(got.outcome(), "not-run cancelled");
}

/// Guards against "not run" for a cancelled request that an earlier call may have run.
#[test]
fn cancel_without_owner_proves_nothing_for_own_id() {
    for (own, outcome) in [(true, "unknown cancelled"), (false, "not-run cancelled")] {
        let host = Host::start();
        let id = ids::RequestId::create().to_string();
        // The class header has no effect; it stands in for the identifier.
        let header = if own { "filbert-id" } else { "filbert-class" };
        let waiting = start("POST", host.url("/walks/a"), vec![(header, id.clone())]);
        eventually("the request is held", || host.node.router.held() == 1);
        let id = host.node.router.active_ids().remove(0);
        call("DELETE", &host.url(&format!("/-/requests/{id}")), &[], "");
        assert_eq!(waiting.join().unwrap().outcome(), outcome);
    }
}

/// Guards against reporting the cancellation of an unknown request as done.
#[test]
fn cancel_of_unknown_request_is_refused() {
    let host = Host::start();
    let id = ids::RequestId::create();
    let got = call("DELETE", &host.url(&format!("/-/requests/{id}")), &[], "");
    assert_eq!(got.status, 404);
    let got = call("GET", &host.url(&format!("/-/requests/{id}")), &[], "");
    assert_eq!(got.status, 405);
}

/// Guards against a request that is written to the backend server after its lease was lost.
#[test]
fn queued_request_does_not_outlive_its_lease() {
    let fake = Fake::start(|_| Behavior::Hold);
    let host = owner(&fake, 1);
    let running = start("POST", host.url("/walks/a"), Vec::new());
    fake.wait_for(1);
    let queued = start("POST", host.url("/walks/b"), Vec::new());
    eventually("the second request waits", || {
        host.node.gate.in_flight() == 2
    });
    host.node
        .grants
        .drop_lease(&ids::PartitionId::first("walks"));
    fake.release();
    assert_eq!(running.join().unwrap().body, "held");
    let got = queued.join().unwrap();
    assert_eq!(got.outcome(), "not-run not-owner");
    assert_eq!(fake.seen().len(), 1);
}

/// Guards against a backend server without token checks that works on a request after the lease
/// of its node (R9).
#[test]
fn deadline_sent_ends_within_the_lease() {
    let fake = Fake::start(|_| Behavior::Answer(200, String::new()));
    let host = Host::start();
    host.set_announcement(Some(backend::Announcement {
        checks_tokens: false,
        ..host::announcement("walks", fake.addr, 1)
    }));
    host.offer_record("walks", Some(host.node.me), 1);
    let record = host::record("walks", Some(host.node.me), host.node.me, 1);
    let lease = time::Duration::from_millis(900);
    host.lease(&record, lease);
    let got = call("POST", &host.url("/walks/k"), &[], "");
    assert_eq!(got.outcome(), "answered");
    let left: u128 = fake.seen()[0].headers["filbert-deadline-ms"]
        .parse()
        .unwrap();
    assert!(left < lease.as_millis(), "deadline {left}");
}

/// Guards against a lease that shortens the deadline of a server with token checks, which may work
/// on while its lease is renewed.
#[test]
fn checking_server_gets_the_deadline_of_the_caller() {
    let fake = Fake::start(|_| Behavior::Answer(200, String::new()));
    let host = owner(&fake, 1);
    let record = host::record("walks", Some(host.node.me), host.node.me, 1);
    let lease = time::Duration::from_millis(900);
    host.lease(&record, lease);
    let deadline = ("filbert-deadline-ms", "3000");
    let got = call("POST", &host.url("/walks/k"), &[deadline], "");
    assert_eq!(got.outcome(), "answered");
    let left: u128 = fake.seen()[0].headers["filbert-deadline-ms"]
        .parse()
        .unwrap();
    assert!(left > lease.as_millis() && left <= 3000, "deadline {left}");
}
