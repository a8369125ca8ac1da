//! Loss of the coordinator, alone and together with an owner.

use std::time::Duration;

use crate::cluster::{self, Observer, TestNode, wait_for};
use crate::fake::{Fake, Mode};

/// Target for the time without an owner after a loss.
const TARGET: Duration = Duration::from_secs(2);

fn leader(nodes: &[TestNode]) -> usize {
    nodes.iter().position(TestNode::leads).unwrap()
}

fn without<'a>(nodes: &'a [TestNode], lost: &[usize]) -> Vec<&'a TestNode> {
    let kept = nodes.iter().enumerate().filter(|(i, _)| !lost.contains(i));
    kept.map(|(_, n)| n).collect()
}

/// R4, R5: guards against keys of live owners that move or stay unserved when the coordinator ends.
#[test]
fn owners_are_readopted_after_the_loss_of_their_coordinator() {
    let platform = Fake::start();
    let mut nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let before = nodes[0].record().unwrap();
    let lost = leader(&nodes);
    let observer = Observer::watch(&nodes);
    nodes[lost].kill();
    let rest = without(&nodes, &[lost]);
    let took = wait_for("the lost keys", || cluster::all_served(&rest));
    assert!(took < TARGET, "took {took:?}");
    let after = rest[0].record().unwrap();
    assert_eq!(after.epoch, before.epoch.next());
    for (old, new) in before.slices.iter().zip(&after.slices) {
        let moved = old.owner != new.owner;
        assert_eq!(moved, old.owner == Some(nodes[lost].me()));
    }
    observer.finish();
}

/// R1, R5, R11: guards against two owners, and an outage longer than the target, when the
/// coordinator is paused and resumes.
#[test]
fn paused_coordinator_is_succeeded() {
    let platform = Fake::start();
    let mut nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let lost = leader(&nodes);
    let observer = Observer::watch(&nodes);
    nodes[lost].pause();
    let rest = without(&nodes, &[lost]);
    let took = wait_for("the lost keys", || cluster::all_served(&rest));
    assert!(took < TARGET, "took {took:?}");
    nodes[lost].resume();
    wait_for("the old coordinator to step down", || !nodes[lost].leads());
    observer.finish();
}

/// R5: guards against an outage longer than the target when an owner is lost with its coordinator.
#[test]
fn coordinator_and_owner_lost_together() {
    let platform = Fake::start();
    let domains = ["ie-east-a", "ie-east-b", "ie-east-c", "ie-east-a"];
    let mut nodes = cluster::cluster(&platform, &domains);
    let record = nodes[0].record().unwrap();
    let lost = leader(&nodes);
    let named = |n: &TestNode| record.standbys.contains(&n.me());
    let other = (0..nodes.len())
        .find(|i| *i != lost && !named(&nodes[*i]))
        .unwrap();
    let observer = Observer::watch(&nodes);
    nodes[lost].pause();
    nodes[other].pause();
    let rest = without(&nodes, &[lost, other]);
    let took = wait_for("the lost keys", || cluster::all_served(&rest));
    assert!(took < TARGET, "took {took:?}");
    nodes[lost].resume();
    nodes[other].resume();
    wait_for("the old coordinator to step down", || !nodes[lost].leads());
    observer.finish();
}

/// Guards against slices that stay with a backend server that its node reports as down.
#[test]
fn slices_of_a_backend_server_that_is_down_are_reassigned() {
    let platform = Fake::start();
    let nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let observer = Observer::watch(&nodes);
    let down = cluster::UP;
    nodes[0].set_backend(Some(filbertflow::protocol::peer::BackendState {
        up: false,
        ..down
    }));
    let rest = without(&nodes, &[0]);
    let took = wait_for("the lost keys", || cluster::all_served(&rest));
    assert!(took < TARGET, "took {took:?}");
    observer.finish();
}

/// R3: guards against keys that are not served because a standby is paused.
#[test]
fn paused_standby_is_replaced_without_a_gap() {
    let platform = Fake::start();
    let domains = ["ie-east-a", "ie-east-b", "ie-east-c", "ie-east-a"];
    let mut nodes = cluster::cluster(&platform, &domains);
    let record = cluster::settled(&nodes);
    let paused = record.standbys[0];
    let i = nodes.iter().position(|n| n.me() == paused).unwrap();
    let observer = Observer::watch(&nodes);
    nodes[i].pause();
    let rest = without(&nodes, &[i]);
    let kept = |hash: u64| {
        let slice = record.slice_at(filbertflow::state::ids::KeyHash(hash));
        slice.unwrap().owner != Some(paused)
    };
    let hashes: Vec<_> = cluster::probes().into_iter().filter(|h| kept(*h)).collect();
    let served = |hash: &u64| rest.iter().any(|n| n.admits(*hash));
    wait_for("the replacement and the paused node's keys", || {
        assert!(hashes.iter().all(served), "a key was not served");
        let named = &rest[0].record().unwrap().standbys;
        named.len() == 2 && !named.contains(&paused) && cluster::all_served(&rest)
    });
    nodes[i].resume();
    observer.finish();
}

/// R3: guards against a coordinator that grants without any promise in a double fault.
#[test]
fn coordinator_without_standbys_and_platform_stops() {
    let platform = Fake::start();
    let mut nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let lead = leader(&nodes);
    let observer = Observer::watch(&nodes);
    platform.set(Mode::Down);
    for (i, node) in nodes.iter_mut().enumerate() {
        if i != lead {
            node.pause();
        }
    }
    let id = cluster::partition();
    wait_for("the authority to end", || {
        !nodes[lead].node.coordinator.has_authority(&id)
    });
    wait_for("the leases to end", || {
        cluster::probes().iter().all(|h| !nodes[lead].admits(*h))
    });
    assert!(!nodes[lead].node.coordinator.has_authority(&id));
    for node in &mut nodes {
        node.resume();
    }
    let all: Vec<_> = nodes.iter().collect();
    wait_for("all keys to be served again", || cluster::all_served(&all));
    observer.finish();
}
