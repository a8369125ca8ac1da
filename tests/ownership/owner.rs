//! What an owner accepts, admits, passes on and releases.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use filbertflow::coordination::{grants, owner};
use filbertflow::protocol::{backend, peer, record as wire};
use filbertflow::state::{clock, ids, record, timing};
use quickcheck::quickcheck;

use crate::cluster::{self, Bare, Observer, UP, partition, wait_for};
use crate::fake::Fake;
use crate::lead;

fn granted(record: &record::PartitionRecord) -> peer::RenewReply {
    peer::RenewReply::Granted {
        stamp: record.stamp(),
        record: Some(Box::new(wire::Record::from(record))),
    }
}

fn apply(bare: &Bare, record: &record::PartitionRecord, sent: clock::Instant) -> owner::Renewal {
    let reply = granted(record);
    bare.runtime
        .block_on(owner::apply(&bare.node, &partition(), UP, sent, reply))
}

fn admits(bare: &Bare, hash: u64) -> bool {
    let hash = ids::KeyHash(hash);
    bare.node.grants.admit(&partition(), hash).is_ok()
}

fn owned(bare: &Bare) -> record::PartitionRecord {
    cluster::owned_by(bare.node.me, lead::node(9))
}

/// R1: guards against a lease that counts from the arrival of a late answer.
#[test]
fn lease_counts_from_the_sending_of_its_request() {
    let bare = cluster::bare(Fake::start().addr);
    let record = owned(&bare);
    apply(
        &bare,
        &record,
        clock::Instant::now() - timing::LEASE_DURATION,
    );
    assert!(!admits(&bare, 1));
    apply(&bare, &record, clock::Instant::now());
    assert!(admits(&bare, 1));
}

/// R5: guards against an owner that takes a lease of a coordinator which has been succeeded.
#[test]
fn lower_epoch_is_refused() {
    let bare = cluster::bare(Fake::start().addr);
    let old = owned(&bare);
    let mut new = old.clone();
    new.epoch = old.epoch.next();
    bare.node.records.offer(new);
    let result = apply(&bare, &old, clock::Instant::now());
    assert_eq!(result, owner::Renewal::Refused);
    assert!(!admits(&bare, 1));
}

/// R7: guards against an answer to a request sent before a release, which would give the released
/// slice back.
#[test]
fn answer_to_a_request_sent_before_a_release_is_discarded() {
    let bare = cluster::bare(Fake::start().addr);
    let record = owned(&bare);
    let sent = clock::Instant::now();
    bare.node.owner.release(&partition());
    assert_eq!(apply(&bare, &record, sent), owner::Renewal::Refused);
    assert_eq!(
        apply(&bare, &record, clock::Instant::now()),
        owner::Renewal::Applied
    );
}

quickcheck! {
    /// R7: guards against a renewal reply that moves the owner's stamp back.
    fn stamp_never_decreases(replies: Vec<(u8, u8)>) -> bool {
        let owner = owner::Owner::default();
        let base = cluster::owned_by(lead::node(1), lead::node(9));
        replies.into_iter().all(|(epoch, revision)| {
            let mut record = base.clone();
            record.epoch = ids::Epoch(u64::from(epoch % 4));
            record.revision = ids::Revision(u64::from(revision % 4));
            let before = owner.stamp(&partition());
            let stamp = record.stamp();
            let sent = clock::Instant::now();
            let taken = owner.accept(&partition(), sent, stamp, Some(record), ids::Epoch(0));
            let after = owner.stamp(&partition());
            after >= before && taken.is_some() == (stamp >= before)
        })
    }
}

/// R8: guards against a grant without tokens, or one that lasts longer than the node's lease.
#[test]
fn backend_server_gets_tokens_and_the_time_left() {
    let (addr, bodies) = backend_server();
    let bare = cluster::bare(Fake::start().addr);
    bare.node.backend.announce(backend::Announcement {
        service: cluster::SERVICE.to_owned(),
        address: addr,
        incarnation: 1,
        slots: 20,
        connections: 120,
        checks_tokens: true,
        draining: false,
        cold_start_ms: 0,
    });
    let mut record = owned(&bare);
    record.epoch = ids::Epoch(3);
    let before = clock::Instant::now();
    apply(
        &bare,
        &record,
        clock::Instant::now() - timing::LEASE_DURATION / 2,
    );
    let grants = bodies.lock().unwrap().clone();
    let grant: backend::GrantBody = serde_json::from_str(&grants[0]).unwrap();
    assert_eq!(grant.service, cluster::SERVICE);
    let covered: Vec<_> = grant.slices.iter().map(|s| (s.start.0, s.end.0)).collect();
    assert_eq!(covered, [(0, (1 << 63) - 1), (1 << 63, u64::MAX)]);
    assert!(grant.slices.iter().all(|s| s.token == "3.1"));
    assert!(Duration::from_millis(grant.valid_ms) <= timing::LEASE_DURATION / 2);
    let end = Duration::from_millis(grant.expires_ms);
    assert!(
        end <= (before + timing::LEASE_DURATION).since_boot(),
        "{end:?}"
    );
}

type Bodies = Arc<Mutex<Vec<String>>>;

/// Server that takes grants and keeps their bodies.
fn backend_server() -> (std::net::SocketAddr, Bodies) {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let addr = server.server_addr().to_ip().unwrap();
    let bodies = Bodies::default();
    let kept = Arc::clone(&bodies);
    std::thread::spawn(move || {
        while let Ok(mut request) = server.recv() {
            let mut body = String::new();
            request.as_reader().read_to_string(&mut body).unwrap();
            kept.lock().unwrap().push(body);
            let _ = request.respond(tiny_http::Response::empty(200));
        }
    });
    (addr, bodies)
}

fn lease(grants: &grants::Grants, record: &record::PartitionRecord) {
    let until = clock::Instant::now() + timing::LEASE_DURATION;
    let record = Arc::new(record.clone());
    grants.renew(record, until, &grants::Horizons::default());
}

const HALF: u64 = 1 << 63;

/// Guards against a slice that is released while a request runs that entered it before a split.
#[test]
fn running_requests_follow_their_hash_through_split_and_merge() {
    let me = lead::node(1);
    let grants = Arc::new(grants::Grants::new(me));
    let mut record = cluster::owned_by(me, lead::node(9));
    lease(&grants, &record);
    let ticket = grants.admit(&partition(), ids::KeyHash(700)).unwrap();
    assert!(record.split(ids::KeyHash(500)));
    lease(&grants, &record);
    let running = |from, to| grants.running(&partition(), ids::KeyHash(from), ids::KeyHash(to));
    assert_eq!(running(0, 499), 0);
    assert_eq!(running(500, HALF - 1), 1);
    assert!(ticket.valid_until().is_some());
    assert!(record.merge(0) && record.merge(0));
    lease(&grants, &record);
    assert_eq!(running(0, u64::MAX), 1);
    drop(ticket);
    assert_eq!(running(0, u64::MAX), 0);
}

/// Guards against a count of running requests that starts again when a lease is lost and taken
/// again, and against a ticket of an ended lease that counts as valid.
#[test]
fn running_requests_outlive_the_lease() {
    let me = lead::node(1);
    let grants = Arc::new(grants::Grants::new(me));
    let record = cluster::owned_by(me, lead::node(9));
    lease(&grants, &record);
    let ticket = grants.admit(&partition(), ids::KeyHash(1)).unwrap();
    grants.drop_lease(&partition());
    assert!(ticket.valid_until().is_none());
    assert!(grants.admit(&partition(), ids::KeyHash(1)).is_err());
    lease(&grants, &record);
    let all = |grants: &grants::Grants| {
        grants.running(&partition(), ids::KeyHash(0), ids::KeyHash(u64::MAX))
    };
    assert_eq!(all(&grants), 1);
    drop(ticket);
    assert_eq!(all(&grants), 0);
}

/// Guards against a slice that is served again after its release was sent, because the lease was
/// lost and taken again.
#[test]
fn stopped_slice_stays_stopped_under_its_version() {
    let me = lead::node(1);
    let grants = Arc::new(grants::Grants::new(me));
    let mut record = cluster::owned_by(me, lead::node(9));
    lease(&grants, &record);
    let version = record.slices[0].version;
    grants.stop(
        &partition(),
        ids::KeyHash(0),
        ids::KeyHash(HALF - 1),
        version,
    );
    let refusal = |grants: &Arc<grants::Grants>| {
        let admitted = grants.admit(&partition(), ids::KeyHash(1));
        admitted.err()
    };
    assert_eq!(refusal(&grants), Some(grants::Refusal::Moving));
    grants.drop_lease(&partition());
    lease(&grants, &record);
    assert_eq!(refusal(&grants), Some(grants::Refusal::Moving));
    record.assign(0, me);
    lease(&grants, &record);
    assert_eq!(refusal(&grants), None);
}

/// Guards against a release while a request of the slice runs, and against a new owner that takes
/// a handed over slice for one whose outcomes are unknown.
#[test]
fn draining_server_releases_each_slice_after_its_last_request() {
    let platform = Fake::start();
    let nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let record = nodes[0].record().unwrap();
    let me = nodes[0].me();
    let slice = *record.slices.iter().find(|s| s.owner == Some(me)).unwrap();
    let ticket = nodes[0]
        .node
        .grants
        .admit(&partition(), slice.start)
        .unwrap();
    let observer = Observer::watch(&nodes);
    nodes[0].set_backend(Some(peer::BackendState {
        draining: true,
        ..UP
    }));
    let left = || {
        let record = nodes[0].record().unwrap();
        record.slices.iter().filter(|s| s.owner == Some(me)).count()
    };
    wait_for("all slices but one to leave", || left() <= 1);
    assert_eq!(left(), 1, "a slice left while its request was running");
    let horizon = ticket.horizon;
    drop(ticket);
    wait_for("the last slice to leave", || left() == 0);
    let new = nodes[0].record().unwrap();
    let owner = new.slice_at(slice.start).unwrap().owner;
    let next = nodes.iter().find(|n| Some(n.me()) == owner).unwrap();
    wait_for("the new owner's lease", || next.admits(slice.start.0));
    let handed = next.node.grants.horizon(&partition(), slice.start);
    assert_eq!(handed, Some(horizon));
    observer.finish();
}
