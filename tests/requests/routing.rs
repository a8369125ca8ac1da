//! Routing from the entry node to the owner, also when the owner is lost meanwhile.

use std::io::{Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::{net, thread, time};

use filbertflow::state::ids;

use crate::caller::{call, start};
use crate::eventually;
use crate::fake::{Behavior, Fake};
use crate::host::Host;
use crate::mismatched_peer::MismatchedPeer;

fn answering() -> Fake {
    Fake::start(|seen| Behavior::Answer(200, seen.path.clone()))
}

fn owner(fake: &Fake) -> Host {
    let host = Host::start();
    host.announce("walks", fake.addr, 4);
    host.offer_record("walks", Some(host.node.me), 1);
    host
}

/// Guards against a request that does not reach its owner from another entry node.
#[test]
fn request_takes_one_hop_to_its_owner() {
    let fake = answering();
    let owner = owner(&fake);
    let entry = Host::start();
    entry.offer_record("walks", Some(owner.node.me), 1);
    let got = call("POST", &entry.url("/walks/k"), &[], "seats");
    assert_eq!(got.outcome(), "answered");
    assert_eq!(got.body, "/k");
    assert_eq!(fake.seen()[0].body, b"seats");
}

/// Guards against a request that fails although its slice gets an owner in time.
#[test]
fn request_is_held_until_its_slice_has_an_owner() {
    let fake = answering();
    let owner = owner(&fake);
    let entry = Host::start();
    entry.offer_record("walks", None, 1);
    let waiting = start("POST", entry.url("/walks/k"), Vec::new());
    eventually("the request is held", || entry.node.router.held() == 1);
    entry.offer_record("walks", Some(owner.node.me), 2);
    assert_eq!(waiting.join().unwrap().outcome(), "answered");
    assert_eq!(entry.node.router.held(), 0);
}

/// Guards against a request that is lost because its entry node still knows an owner that has exited.
#[test]
fn request_follows_its_slice_to_the_next_owner() {
    let fake = answering();
    let owner = owner(&fake);
    let entry = Host::start();
    let exited = ids::NodeRef {
        addr: ids::NodeAddr(filbertflow_harness::free_addr()),
        incarnation: ids::Incarnation(1),
    };
    entry.offer_record("walks", Some(exited), 1);
    let waiting = start("POST", entry.url("/walks/k"), Vec::new());
    eventually("the request is held", || entry.node.router.held() == 1);
    entry.offer_record("walks", Some(owner.node.me), 2);
    assert_eq!(waiting.join().unwrap().outcome(), "answered");
    assert_eq!(fake.seen().len(), 1);
}

/// Guards against a caller that is kept waiting until its deadline for an owner.
#[test]
fn hold_ends_before_the_deadline() {
    let entry = Host::start();
    let got = call("GET", &entry.url("/walks/k"), &[], "");
    assert_eq!(got.outcome(), "not-run no-owner");
    // The deadline of the route is 4 s; a request is held for 2 s at most.
    assert!(got.elapsed < time::Duration::from_secs(4), "{got:?}");
}

/// Guards against a caller that gets the response to another request from a peer.
#[test]
fn reply_to_another_request_is_dropped() {
    let entry = Host::start();
    let peer = MismatchedPeer::start(&entry);
    entry.offer_record("walks", Some(peer), 1);
    for method in ["POST", "GET"] {
        let headers = [("filbert-deadline-ms", "1500")];
        let got = call(method, &entry.url("/walks/k"), &headers, "");
        assert_eq!(got.header("filbert-outcome"), "unknown", "{got:?}");
        assert!(!got.body.contains("of another"));
    }
    assert!(entry.dropped("entry", "reply-mismatch") >= 3);
}

/// Guards against a message that takes effect at another incarnation than it was meant for.
#[test]
fn message_to_an_earlier_incarnation_does_not_run() {
    let fake = answering();
    let owner = owner(&fake);
    let entry = Host::start();
    let earlier = ids::NodeRef {
        incarnation: ids::Incarnation(1),
        ..owner.node.me
    };
    entry.offer_record("walks", Some(earlier), 1);
    let headers = [("filbert-deadline-ms", "1500")];
    let got = call("POST", &entry.url("/walks/k"), &headers, "");
    assert_eq!(got.outcome(), "not-run incarnation");
    assert!(fake.seen().is_empty());
}

/// Guards against a request that waits until its deadline for an owner that has lost its slice.
#[test]
fn request_leaves_an_owner_that_lost_its_slice() {
    for (method, outcome) in [("GET", "answered"), ("POST", "unknown owner-lost")] {
        let (stuck, fake) = (Fake::start(|_| Behavior::Hold), answering());
        let (old, new) = (owner(&stuck), owner(&fake));
        let entry = Host::start();
        entry.offer_record("walks", Some(old.node.me), 1);
        let waiting = start(method, entry.url("/walks/k"), Vec::new());
        stuck.wait_for(1);
        entry.offer_record("walks", Some(new.node.me), 2);
        let got = waiting.join().unwrap();
        assert_eq!(got.outcome(), outcome);
        // The deadline of the route is 4 s.
        assert!(got.elapsed < time::Duration::from_secs(4), "{got:?}");
        stuck.release();
    }
}

/// Proxy between two nodes whose first connection can be made silent; later connections work.
struct FaultyProxy {
    addr: net::SocketAddr,
    is_silent: Arc<AtomicBool>,
}

impl FaultyProxy {
    fn start(to: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let silent = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&silent);
        thread::spawn(move || {
            // Only the first connection can be made silent.
            let mut flag = Some(cut);
            for from in listener.incoming().flatten() {
                let flag = flag.take().unwrap_or_default();
                let upstream = net::TcpStream::connect(to).unwrap();
                pipe(&from, &upstream, &flag);
                pipe(&upstream, &from, &flag);
            }
        });
        Self {
            addr,
            is_silent: silent,
        }
    }
}

fn pipe(from: &net::TcpStream, to: &net::TcpStream, silent: &Arc<AtomicBool>) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    let silent = Arc::clone(silent);
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(n) = from.read(&mut buffer) {
            if silent.load(Ordering::SeqCst) {
                // Discards the data and keeps the connection open.
                continue;
            }
            if n == 0 || to.write_all(&buffer[..n]).is_err() {
                to.shutdown(net::Shutdown::Both).ok();
                return;
            }
        }
    });
}

/// Guards against losing a response with a connection that went silent, and against running its
/// request twice.
#[test]
fn outcome_is_recovered_over_a_new_connection() {
    let fake = Fake::start(|_| Behavior::Hold);
    let owner = owner(&fake);
    let proxy = FaultyProxy::start(owner.node.me.addr.0);
    let entry = Host::start();
    let through = ids::NodeRef {
        addr: ids::NodeAddr(proxy.addr),
        ..owner.node.me
    };
    entry.offer_record("walks", Some(through), 1);
    let waiting = start("POST", entry.url("/walks/k"), Vec::new());
    fake.wait_for(1);
    proxy.is_silent.store(true, Ordering::SeqCst);
    fake.release();
    let got = waiting.join().unwrap();
    assert_eq!(got.outcome(), "answered");
    assert_eq!(got.body, "held");
    assert_eq!(fake.seen().len(), 1);
}

/// Guards against a caller that waits until its deadline for an owner whose process has exited, and
/// against "not run" for a request that was running there.
#[test]
fn lost_owner_leaves_outcome_unknown_early() {
    let fake = Fake::start(|_| Behavior::Hold);
    let mut owner = owner(&fake);
    let entry = Host::start();
    entry.offer_record("walks", Some(owner.node.me), 1);
    let waiting = start("POST", entry.url("/walks/k"), Vec::new());
    fake.wait_for(1);
    owner.kill();
    let got = waiting.join().unwrap();
    assert_eq!(got.outcome(), "unknown owner-lost");
    assert!(got.elapsed < time::Duration::from_secs(3), "{got:?}");
    assert_eq!(fake.seen().len(), 1);
}

/// Guards against an idempotent request without key that waits for a lease it does not need, and
/// a non-idempotent one that runs without one.
#[test]
fn unkeyed_request_needs_a_lease_only_to_run_once() {
    let fake = answering();
    let host = Host::start();
    host.announce("desk", fake.addr, 4);
    let got = call("GET", &host.url("/desk/hours"), &[], "");
    assert_eq!(got.outcome(), "answered");
    let headers = [("filbert-deadline-ms", "1500")];
    let got = call("POST", &host.url("/desk/mail"), &headers, "");
    assert_eq!(got.outcome(), "not-run no-owner");
    assert_eq!(fake.seen().len(), 1);
    host.offer_record("desk", Some(host.node.me), 1);
    let got = call("POST", &host.url("/desk/mail"), &[], "");
    assert_eq!(got.outcome(), "answered");
    let seen = fake.seen();
    assert_eq!(seen[1].headers["filbert-token"], "1.1");
    assert!(!seen[0].headers.contains_key("filbert-token"));
}

/// Guards against a request that fails with the selected server although another is available.
#[test]
fn unkeyed_request_finds_a_live_server() {
    let (good, bad) = (answering(), Fake::start(|_| Behavior::Close));
    let failing = Host::start();
    failing.announce("desk", bad.addr, 4);
    let entry = Host::start();
    entry.announce("desk", good.addr, 4);
    entry.node.members.add_seeds([failing.node.me.addr]);
    eventually("the entry knows the other server", || {
        let members = entry.node.members.serving("desk");
        members
            .iter()
            .any(|m| m.node == failing.node.me && m.backend.up)
    });
    // The first selection is random; the failing server is selected at the latest when its assumed
    // latency has decayed.
    eventually("the failing server was tried", || {
        let got = call("GET", &entry.url("/desk/hours"), &[], "");
        assert_eq!(got.outcome(), "answered");
        !bad.seen().is_empty()
    });
}
