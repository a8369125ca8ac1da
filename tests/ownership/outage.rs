//! The platform's service is down, slow, or loses answers.

use std::time::{Duration, Instant};

use crate::cluster::{self, Observer, TestNode, wait_for};
use crate::fake::{Fake, Mode};

/// Guards against owners that stop serving, or a role that changes, because the platform's service
/// is down.
#[test]
fn owners_serve_through_an_outage() {
    let platform = Fake::start();
    let nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let refs: Vec<_> = nodes.iter().collect();
    let observer = Observer::watch(&nodes);
    platform.set(Mode::Down);
    // Longer than a lease and a promise together, so that each is renewed during the outage.
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        assert!(cluster::all_served(&refs), "a key was not served");
    }
    platform.set(Mode::Normal);
    let epochs = nodes.iter().map(|n| n.record().unwrap().epoch.0);
    assert_eq!(epochs.max(), Some(1));
    observer.finish();
}

/// Guards against writes to the platform's service in steady state.
#[test]
fn steady_state_writes_nothing() {
    let platform = Fake::start();
    let nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let before = platform.writes();
    let start = nodes[0].node.owner.renewed(&cluster::partition());
    wait_for("eight renewals", || {
        let renewed = nodes[0].node.owner.renewed(&cluster::partition());
        renewed.since(start) > Duration::from_secs(2)
    });
    assert_eq!(platform.writes(), before);
}

/// R12: guards against a coordinator that repeats or forgets a write whose answer was lost.
#[test]
fn lost_answer_of_a_write_is_resolved_by_reading_back() {
    let platform = Fake::start();
    let nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let observer = Observer::watch(&nodes);
    let before = platform.writes();
    platform.set(Mode::LoseAnswers);
    let new = TestNode::start(platform.addr, "ie-east-a");
    let known = nodes[0].record().unwrap();
    new.node.records.offer((*known).clone());
    wait_for("a write that took effect", || platform.writes() > before);
    platform.set(Mode::Normal);
    wait_for("the new node's share", || {
        let record = new.record().unwrap();
        record.owners().contains(&new.me()) && record.slices.iter().all(|s| s.target.is_none())
    });
    assert_eq!(new.record().unwrap().epoch.0, 1);
    observer.finish();
}

/// R12: guards against a write that arrives late and is taken for one that failed.
#[test]
fn late_write_takes_effect_once() {
    let platform = Fake::start();
    let nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let observer = Observer::watch(&nodes);
    platform.set(Mode::KeepBack);
    let new = TestNode::start(platform.addr, "ie-east-a");
    let known = nodes[0].record().unwrap();
    new.node.records.offer((*known).clone());
    wait_for("two sendings of the write", || platform.kept() >= 2);
    platform.set(Mode::Normal);
    platform.deliver();
    wait_for("the new node's share", || {
        let record = new.record().unwrap();
        record.owners().contains(&new.me()) && record.slices.iter().all(|s| s.target.is_none())
    });
    observer.finish();
}
