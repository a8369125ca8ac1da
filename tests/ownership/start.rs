//! Creation of a record, joins, and the loss of an owner.

use std::time::Duration;

use crate::cluster::{self, Observer, TestNode, wait_for};
use crate::fake::Fake;

/// Guards against keys without an owner after the first start.
#[test]
fn first_node_serves_all_keys() {
    let platform = Fake::start();
    let node = TestNode::start(platform.addr, "ie-east-a");
    wait_for("all keys to be served", || cluster::all_served(&[&node]));
}

/// Guards against joiners that get no slices, and against two owners during their moves.
#[test]
fn joining_nodes_get_an_even_share() {
    let platform = Fake::start();
    let nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let observer = Observer::watch(&nodes);
    let new = TestNode::start(platform.addr, "ie-east-a");
    wait_for("the new node's share", || {
        let record = new.record();
        record.is_some_and(|r| {
            let done = r.slices.iter().all(|s| s.target.is_none());
            done && r
                .slices
                .iter()
                .filter(|s| s.owner == Some(new.me()))
                .count()
                == 16
        })
    });
    observer.finish();
}

/// Guards against an outage longer than the target when an owner's process ends.
#[test]
fn keys_of_a_lost_owner_are_served_within_two_seconds() {
    let platform = Fake::start();
    let mut nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let lost = nodes.iter().position(|n| !n.leads()).unwrap();
    let observer = Observer::watch(&nodes);
    nodes[lost].kill();
    let rest: Vec<_> = nodes
        .iter()
        .filter(|n| n.me() != nodes[lost].me())
        .collect();
    let took = wait_for("the lost keys", || cluster::all_served(&rest));
    assert!(took < Duration::from_secs(2), "took {took:?}");
    observer.finish();
}

/// Guards against an outage longer than the target, and two owners, when an owner is paused.
#[test]
fn keys_of_a_paused_owner_are_served_within_two_seconds() {
    let platform = Fake::start();
    let mut nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let lost = nodes.iter().position(|n| !n.leads()).unwrap();
    let observer = Observer::watch(&nodes);
    nodes[lost].pause();
    let rest: Vec<_> = nodes
        .iter()
        .filter(|n| n.me() != nodes[lost].me())
        .collect();
    let took = wait_for("the lost keys", || cluster::all_served(&rest));
    assert!(took < Duration::from_secs(2), "took {took:?}");
    nodes[lost].resume();
    let rejoined = &nodes[lost];
    wait_for("the paused node to rejoin", || {
        rejoined.record().is_some_and(|r| {
            r.owners().contains(&rejoined.me()) && r.slices.iter().all(|s| s.target.is_none())
        })
    });
    observer.finish();
}
