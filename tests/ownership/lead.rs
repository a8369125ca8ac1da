//! Decisions of a coordinator without a network, on real time.

use std::time::Duration;

use filbertflow::coordination::{lead, store};
use filbertflow::protocol::peer;
use filbertflow::state::{clock, document, ids, record, timing};

use crate::cluster::{UP, partition, wait_for};

const HOLD: Duration = Duration::from_mins(1);

pub fn node(port: u16) -> ids::NodeRef {
    ids::NodeRef {
        addr: ids::NodeAddr(([127, 0, 0, 1], port).into()),
        incarnation: ids::Incarnation(7),
    }
}

const ME: u16 = 1;
const A: u16 = 2;
const B: u16 = 3;
const STANDBY: u16 = 4;
const OTHER: u16 = 5;

/// Record of two slices that A and B own.
pub fn record(standbys: &[u16], checks: bool) -> record::PartitionRecord {
    let server = |port| record::Server {
        node: node(port),
        domain: "ie-east-a".to_owned(),
        draining: false,
        checks,
    };
    let mut slices = record::even_slices(2);
    slices[0].owner = Some(node(A));
    slices[1].owner = Some(node(B));
    record::PartitionRecord {
        id: partition(),
        epoch: ids::Epoch(1),
        revision: ids::Revision(1),
        coordinator: node(ME),
        standbys: standbys.iter().map(|p| node(*p)).collect(),
        servers: vec![server(A), server(B)],
        slices,
        intent: None,
        writer: store::writer(node(ME)),
    }
}

fn stored(record: record::PartitionRecord, hold: Duration) -> store::Stored {
    store::Stored {
        record: record.into(),
        hold,
        at: ids::ModRevision(1),
    }
}

fn led(standbys: &[u16], checks: bool) -> lead::Led {
    let stored = stored(record(standbys, checks), HOLD);
    lead::Led::new(node(ME), stored, clock::Instant::now())
}

fn renewal(port: u16, checks: bool) -> peer::Renew {
    peer::Renew {
        from: node(port),
        to: node(ME).incarnation,
        partition: partition(),
        stamp: (ids::Epoch(1), ids::Revision(1)),
        backend: peer::BackendState { checks, ..UP },
        report: Some(peer::Report {
            domain: "ie-east-a".to_owned(),
            load: peer::Load::default(),
        }),
    }
}

fn renew(led: &mut lead::Led, port: u16, checks: bool) -> bool {
    led.report(&renewal(port, checks));
    led.grant(node(port))
}

/// Waits until the coordinator takes A's slice away while B renews, and returns when it did.
fn until_taken(led: &mut lead::Led, checks: bool) -> clock::Instant {
    let env = lead::Env::default();
    wait_for("A's slice to be reassigned", || {
        led.tick(clock::Instant::now());
        renew(led, B, checks);
        let planned = led.plan(&env);
        let taken = planned.is_some_and(|p| p.write.record.slices[0].owner == Some(node(B)));
        if !taken {
            led.pending = None;
        }
        taken
    });
    clock::Instant::now()
}

/// R1: guards against a promise that outlasts the one that the standby counts.
#[test]
fn promise_counts_from_the_sending_of_its_request() {
    let mut led = led(&[STANDBY], true);
    let now = clock::Instant::now();
    led.promise(node(STANDBY), now - timing::PROMISE_DURATION);
    assert!(!led.authority(clock::Instant::now()));
    led.promise(node(STANDBY), now);
    assert!(led.authority(now));
    assert!(!led.authority(now + timing::PROMISE_DURATION));
}

/// R1: guards against a lease that the coordinator forgets before its owner does.
#[test]
fn lease_counts_from_the_answer_plus_drift() {
    let mut led = led(&[], true);
    let granted = clock::Instant::now();
    assert!(renew(&mut led, A, true));
    let wait = until_taken(&mut led, true).since(granted);
    assert!(
        wait >= timing::with_drift(timing::LEASE_DURATION),
        "{wait:?}"
    );
}

/// R2: guards against a lease that is granted without all promises.
#[test]
fn renewal_needs_every_promise() {
    let mut led = led(&[STANDBY, OTHER], true);
    assert!(!renew(&mut led, A, true));
    led.promise(node(STANDBY), clock::Instant::now());
    assert!(!renew(&mut led, A, true));
    led.promise(node(OTHER), clock::Instant::now());
    assert!(renew(&mut led, A, true));
}

/// R3: guards against a coordinator that counts on a new standby before it has promised.
#[test]
fn named_standby_must_promise() {
    let mut led = led(&[], true);
    assert!(led.authority(clock::Instant::now()));
    let mut named = record(&[STANDBY], true);
    named.revision = named.revision.next();
    led.adopt(stored(named, HOLD), clock::Instant::now());
    assert!(!led.authority(clock::Instant::now()));
    led.promise(node(STANDBY), clock::Instant::now());
    assert!(led.authority(clock::Instant::now()));
}

/// R3: guards against a standby that stays named after it has stopped answering.
#[test]
fn silent_standby_is_replaced_by_one_that_has_promised() {
    let mut led = led(&[STANDBY], true);
    let env = lead::Env {
        candidates: vec![lead::Candidate {
            node: node(OTHER),
            domain: "ie-east-b".to_owned(),
        }],
        ..lead::Env::default()
    };
    wait_for("the replacement", || {
        let now = clock::Instant::now();
        led.tick(now);
        led.refuse(node(STANDBY));
        if led.asked(&env, now).contains(&node(OTHER)) {
            led.promise(node(OTHER), now);
        }
        let planned = led.plan(&env);
        let standbys = planned.map(|p| p.write.record.standbys.clone());
        led.pending = None;
        standbys == Some(vec![node(OTHER)])
    });
}

/// R5: guards against reassignment before an owner that the successor can't reach has stopped.
#[test]
fn successor_waits_for_one_lease() {
    let start = clock::Instant::now();
    let mut led = led(&[], true);
    let wait = until_taken(&mut led, true).since(start);
    assert!(
        wait >= timing::with_drift(timing::LEASE_DURATION),
        "{wait:?}"
    );
}

/// R5, R9: guards against reassignment while a backend server that checks no tokens may still run
/// a request of the last lease.
#[test]
fn successor_waits_longer_for_a_server_without_checks() {
    let start = clock::Instant::now();
    let mut led = led(&[], false);
    let wait = until_taken(&mut led, false).since(start);
    let least = timing::with_drift(timing::LEASE_DURATION) + timing::UNCHECKED_MARGIN;
    assert!(wait >= least, "{wait:?}");
}

/// R5: guards against a wait although the owner's process has ended.
#[test]
fn proof_of_termination_ends_the_wait() {
    let mut led = led(&[], true);
    renew(&mut led, B, true);
    led.ended(node(A));
    let planned = led.plan(&lead::Env::default()).unwrap();
    assert_eq!(planned.write.record.slices[0].owner, Some(node(B)));
}

/// R5: guards against a restarted owner that must wait for the lease of its former process.
#[test]
fn newer_incarnation_proves_termination() {
    let mut led = led(&[], true);
    renew(&mut led, B, true);
    let mut restarted = renewal(A, true);
    restarted.from.incarnation = ids::Incarnation(8);
    led.report(&restarted);
    let planned = led.plan(&lead::Env::default()).unwrap();
    assert_eq!(planned.write.record.slices[0].owner, Some(restarted.from));
    assert!(!renew(&mut led, A, true), "the ended process got a lease");
}

/// R6: guards against a coordinator that acts although a claim may have taken effect unseen.
#[test]
fn authority_ends_with_the_contact() {
    let hold = Duration::from_secs(1);
    let now = clock::Instant::now();
    let mut led = lead::Led::new(node(ME), stored(record(&[], true), hold), now);
    assert!(led.authority(now + hold / 2));
    assert!(!led.authority(now + hold));
    led.confirm(now + hold);
    assert!(led.authority(now + hold));
}

/// R6: guards against contact that is counted from a read which shows a claim intent.
#[test]
fn record_with_an_intent_proves_no_contact() {
    let mut intended = record(&[], true);
    intended.intent = Some(record::Intent {
        node: node(OTHER),
        revision: intended.revision,
    });
    let now = clock::Instant::now();
    let mut led = lead::Led::new(node(ME), stored(intended, HOLD), now);
    assert!(!led.authority(now));
    led.confirm(now);
    assert!(!led.authority(now));
    let planned = led.plan(&lead::Env::default()).unwrap();
    assert_eq!(planned.write.record.intent, None);
}

/// R10: guards against a coordinator that counts on its new standbys only, or on its old ones only,
/// while the write that changes them is unresolved.
#[test]
fn unresolved_change_needs_the_promises_of_both_sets() {
    let mut led = led(&[STANDBY], true);
    led.ended(node(STANDBY));
    let env = lead::Env {
        candidates: vec![lead::Candidate {
            node: node(OTHER),
            domain: "ie-east-b".to_owned(),
        }],
        ..lead::Env::default()
    };
    led.promise(node(OTHER), clock::Instant::now());
    let planned = led.plan(&env).unwrap();
    assert_eq!(planned.write.record.standbys, [node(OTHER)]);
    assert!(!led.authority(clock::Instant::now()), "without the old one");
    led.promise(node(STANDBY), clock::Instant::now());
    assert!(led.authority(clock::Instant::now()));
    led.promise(node(STANDBY), clock::Instant::now());
    let later = clock::Instant::now() + timing::PROMISE_DURATION / 2;
    led.promise(node(STANDBY), later);
    let expired = clock::Instant::now() + timing::PROMISE_DURATION;
    assert!(!led.authority(expired), "without the new one");
}

/// R10: guards against a lease on slices that an unresolved write has taken away.
#[test]
fn owner_that_an_unresolved_write_takes_slices_from_gets_no_lease() {
    let mut led = led(&[], true);
    until_taken(&mut led, true);
    assert!(led.pending.is_some());
    assert!(!renew(&mut led, A, true));
    assert!(renew(&mut led, B, true));
}

/// R11: guards against a wait that ended under the old record and counts for the new one.
#[test]
fn adoption_restarts_the_wait() {
    let mut led = led(&[], true);
    until_taken(&mut led, true);
    let start = clock::Instant::now();
    let mut newer = record(&[], true);
    newer.revision = ids::Revision(5);
    led.adopt(stored(newer, HOLD), start);
    let wait = until_taken(&mut led, true).since(start);
    assert!(
        wait >= timing::with_drift(timing::LEASE_DURATION),
        "{wait:?}"
    );
}

/// Guards against an owner that renews, but is refused for want of a promise, being given up.
#[test]
fn owner_that_asks_in_vain_keeps_its_slices() {
    let mut led = led(&[STANDBY], true);
    let env = lead::Env::default();
    let start = clock::Instant::now();
    wait_for("twice the length of a lease", || {
        led.tick(clock::Instant::now());
        assert!(!renew(&mut led, A, true));
        assert!(!renew(&mut led, B, true));
        let planned = led.plan(&env);
        let owners = planned.map(|p| p.write.record.owners());
        led.pending = None;
        assert!(owners.is_none_or(|o| o.len() == 2));
        clock::Instant::now().since(start) > timing::LEASE_DURATION * 2
    });
}

/// Guards against a release of an ended move that takes the slice from its owner.
#[test]
fn late_release_has_no_effect() {
    let mut led = led(&[], true);
    renew(&mut led, A, true);
    renew(&mut led, B, true);
    renew(&mut led, OTHER, true);
    let mut moving = record(&[], true);
    let mut third = moving.servers[0].clone();
    third.node = node(OTHER);
    moving.servers.push(third);
    moving.slices[0].target = Some(node(B));
    let version = moving.slices[0].version;
    led.adopt(stored(moving, HOLD), clock::Instant::now());
    // The target fails, so the move ends.
    led.ended(node(B));
    let ended = led.plan(&lead::Env::default()).unwrap();
    let mut again = (*ended.write.record).clone();
    assert_eq!(again.slices[0].owner, Some(node(A)));
    assert_eq!(again.slices[0].target, None);
    again.slices[0].target = Some(node(OTHER));
    led.adopt(stored(again, HOLD), clock::Instant::now());
    led.release(node(A), ids::KeyHash(0), version);
    let planned = led.plan(&lead::Env::default());
    let owner = planned.map_or(Some(node(A)), |p| p.write.record.slices[0].owner);
    assert_eq!(owner, Some(node(A)));
}

/// Guards against an overloaded server that keeps all its slices although balance would move some.
#[test]
fn load_of_an_overloaded_server_is_moved() {
    let mut balanced = record(&[], true);
    balanced.slices = record::even_slices(16);
    for (i, slice) in balanced.slices.iter_mut().enumerate() {
        slice.owner = Some(node(if i < 8 { A } else { B }));
    }
    let starts: Vec<_> = balanced.slices.iter().map(|s| s.start).collect();
    let now = clock::Instant::now();
    let mut led = lead::Led::new(node(ME), stored(balanced, HOLD), now);
    let mut loaded = renewal(A, true);
    loaded.report = Some(peer::Report {
        domain: "ie-east-a".to_owned(),
        load: peer::Load {
            seconds: 10.0,
            rate: 8000.0,
            slices: starts[..8].iter().map(|s| (*s, 1000.0)).collect(),
            hot: Vec::new(),
        },
    });
    led.report(&loaded);
    led.report(&renewal(B, true));
    let env = lead::Env {
        policy: Some(lead::Policy {
            weights: document::Weights {
                imbalance: 1.0,
                churn: 1.0,
                unavailable: 1.0,
            },
            churn_budget: 100.0,
            slices: 16,
        }),
        ..lead::Env::default()
    };
    assert!(led.plan(&env).is_none());
    led.rebalance(&env);
    let planned = led.plan(&env).unwrap();
    let moves = planned
        .write
        .record
        .slices
        .iter()
        .filter(|s| s.target == Some(node(B)));
    let moves = moves.count();
    assert!((3..=5).contains(&moves), "{moves} moves");
}

/// Guards against a split that changes owner or version, and against a split of a moving slice.
#[test]
fn split_is_written_unless_the_slice_moves() {
    let mut led = led(&[], true);
    renew(&mut led, A, true);
    renew(&mut led, B, true);
    led.request(vec![lead::Edit::Split(ids::KeyHash(77))]);
    let planned = led.plan(&lead::Env::default()).unwrap();
    let planned = (*planned.write.record).clone();
    assert_eq!(planned.slices.len(), 3);
    assert_eq!(planned.slices[1].start, ids::KeyHash(77));
    assert_eq!(planned.slices[1].owner, planned.slices[0].owner);
    assert_eq!(planned.slices[1].version, planned.slices[0].version);
    let mut moving = planned;
    moving.slices[0].target = Some(node(B));
    led.adopt(stored(moving, HOLD), clock::Instant::now());
    led.request(vec![lead::Edit::Split(ids::KeyHash(5))]);
    assert!(led.plan(&lead::Env::default()).is_none());
}
