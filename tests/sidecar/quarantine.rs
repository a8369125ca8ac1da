//! Requests that crash backend servers, as counted by several nodes. The pattern is a poison pill: work
//! that takes down whoever picks it up, and is handed to the next one.

use std::time::Duration;

use filbertflow::coordination::sidecar::quarantine::{MAX_CRASHES, Quarantine};
use filbertflow::state::clock::Instant;
use filbertflow::state::fingerprint::Fingerprint;

const POISON: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

/// Returns a node that has seen as many crashes under a request as it takes to refuse it.
fn with_poison(now: Instant) -> Quarantine {
    let mut node = Quarantine::default();
    for life in (0..).take(MAX_CRASHES) {
        node.record_crash(POISON, life, now);
    }
    node
}

/// Sends each node's new reports to the others.
fn exchange(nodes: &mut [Quarantine], now: Instant) {
    let reports: Vec<_> = nodes.iter().map(|n| n.reports_after(0)).collect();
    for (i, node) in nodes.iter_mut().enumerate() {
        for (j, reports) in reports.iter().enumerate() {
            if i != j {
                for report in reports {
                    node.apply(*report, now);
                }
            }
        }
    }
}

/// Guards against crashes at three nodes that no node counts together.
#[test]
fn crashes_at_different_nodes_add_up() {
    let now = Instant::now();
    let mut nodes: [Quarantine; 4] = Default::default();
    for (life, node) in (0..).zip(nodes.iter_mut().take(MAX_CRASHES)) {
        node.record_crash(POISON, life, now);
        assert!(!node.refuses(POISON, now));
    }
    exchange(&mut nodes, now);
    for node in &mut nodes {
        assert!(node.refuses(POISON, now));
        assert!(!node.refuses(OTHER, now));
    }
}

/// Guards against a request that is refused because one life of a backend server lost its answers.
#[test]
fn one_life_counts_once() {
    let now = Instant::now();
    let mut node = Quarantine::default();
    for _ in 0..2 * MAX_CRASHES {
        node.record_crash(OTHER, 7, now);
    }
    assert!(!node.refuses(OTHER, now));
}

/// Guards against a request that only ran beside the one that crashed the servers.
#[test]
fn answered_request_is_cleared_everywhere() {
    let now = Instant::now();
    let mut nodes: [Quarantine; 3] = Default::default();
    for life in 0..2 {
        nodes[0].record_crash(OTHER, life, now);
    }
    exchange(&mut nodes, now);
    assert!(nodes[1].record_answer(OTHER, now));
    exchange(&mut nodes, now);
    nodes[0].record_crash(OTHER, 9, now);
    assert!(!nodes[0].refuses(OTHER, now));
}

/// Guards against a node that has started and sends the request again.
#[test]
fn started_node_learns_all() {
    let now = Instant::now();
    let node = with_poison(now);
    let mut started = Quarantine::default();
    for report in node.all_reports() {
        started.apply(report, now);
    }
    assert!(started.refuses(POISON, now));
}

/// Guards against a request that comes for longer than it is remembered, and against one that is refused
/// for ever.
#[test]
fn memory_lasts_while_the_request_comes() {
    let start = Instant::now();
    let mut node = with_poison(start);
    let minutes = |n| start + Duration::from_mins(n);
    assert!(node.refuses(POISON, minutes(9)));
    assert!(node.refuses(POISON, minutes(18)));
    assert!(!node.refuses(POISON, minutes(40)));
}

/// Guards against memory that grows with the number of requests under which servers broke off.
#[test]
fn memory_is_bounded() {
    let now = Instant::now();
    let mut node = Quarantine::default();
    for n in 0..20_000 {
        node.record_crash(Fingerprint(n), n, now);
    }
    assert!(node.all_reports().len() <= 4096);
    assert!(node.reports_after(0).len() <= 4096);
    assert_eq!(node.report_count(), 20_000);
    assert_eq!(node.reports_after(19_990).len(), 10);
}

/// Guards against two requests that differ in where one part ends and the next one begins.
#[test]
fn fingerprint_depends_on_each_part() {
    let one = Fingerprint::new("GET", "a", "/x", b"y");
    for other in [
        Fingerprint::new("POST", "a", "/x", b"y"),
        Fingerprint::new("GET", "b", "/x", b"y"),
        Fingerprint::new("GET", "a", "/xy", b""),
        Fingerprint::new("GET", "a", "/x", b"z"),
    ] {
        assert_ne!(one, other);
    }
}
