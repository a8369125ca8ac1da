//! Requests to other nodes for newer state.

use std::time::Duration;

use filbertflow::coordination::sidecar::catchup::{Action, CatchUp, Source};
use filbertflow::state::clock::Instant;

fn sources<'a>(nodes: &[(&'a str, bool)]) -> Vec<Source<'a>> {
    let source = |&(node, same_domain)| Source {
        node,
        same_domain,
        responsive: true,
    };
    nodes.iter().map(source).collect()
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A configuration of 1,200 routes takes a quarter of a second on a link of 10 Mbit/s, while 57 nodes
/// report it several times a second. Guards against one request per report, which saturated the link
/// for seconds and broke the connections to all nodes.
#[test]
fn slow_link_gets_one_copy() {
    let start = Instant::now();
    let names: Vec<String> = (0..57).map(|n| format!("node-{n:02}")).collect();
    let nodes: Vec<_> = names.iter().map(|n| (n.as_str(), false)).collect();
    let nodes = sources(&nodes);
    let mut catch_up = CatchUp::new(Duration::ZERO);
    let steps = (0..30).map(|n| catch_up.next_action(7, &nodes, start + ms(20 * n), 0.4));
    let requests = steps.filter(|s| matches!(s, Action::Request(_))).count();
    assert_eq!(requests, 1);
}

/// 57 nodes request a change from three. Guards against all of them asking the same node.
#[test]
fn requests_are_spread() {
    let start = Instant::now();
    let nodes = sources(&[("a", false), ("b", false), ("c", false)]);
    let mut requests = [0; 3];
    for n in 0..57 {
        let random = f64::from(n) / 57.0;
        match CatchUp::new(Duration::ZERO).next_action(7, &nodes, start, random) {
            Action::Request("a") => requests[0] += 1,
            Action::Request("b") => requests[1] += 1,
            Action::Request("c") => requests[2] += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(requests.iter().all(|n| *n <= 57 / 3), "{requests:?}");
}

/// Guards against traffic between failure domains while a node of the same domain has the state.
#[test]
fn same_domain_is_asked_first() {
    let nodes = sources(&[("a", false), ("b", true), ("c", false)]);
    let step = CatchUp::new(Duration::ZERO).next_action(7, &nodes, Instant::now(), 0.9);
    assert_eq!(step, Action::Request("b"));
}

/// Guards against waiting for a response of a node whose connection is lost.
#[test]
fn lost_node_is_replaced_at_once() {
    let start = Instant::now();
    let mut catch_up = CatchUp::new(Duration::ZERO);
    let both = sources(&[("a", false), ("b", false)]);
    assert_eq!(
        catch_up.next_action(7, &both, start, 0.0),
        Action::Request("a")
    );
    let left = sources(&[("b", false)]);
    assert_eq!(
        catch_up.next_action(7, &left, start + ms(20), 0.0),
        Action::Request("b")
    );
}

/// Guards against the wait for a response of a node that lost power after it had reported newer state.
#[test]
fn silent_node_is_replaced_at_once() {
    let start = Instant::now();
    let mut catch_up = CatchUp::new(Duration::ZERO);
    let mut nodes = sources(&[("a", false), ("b", false)]);
    let first = catch_up.next_action(7, &nodes, start, 0.0);
    assert_eq!(first, Action::Request("a"));
    nodes[0].responsive = false;
    let next = catch_up.next_action(7, &nodes, start + ms(20), 0.0);
    assert_eq!(next, Action::Request("b"));
}

/// All nodes that have reported newer state are silent. Guards against a request to one of them, and against
/// more than one read of the store in the time that a read takes.
#[test]
fn silence_of_all_sources_leads_to_the_store_once() {
    let start = Instant::now();
    let mut nodes = sources(&[("a", false), ("b", true)]);
    for node in &mut nodes {
        node.responsive = false;
    }
    let mut catch_up = CatchUp::new(Duration::ZERO);
    let steps = (0..30).map(|n| catch_up.next_action(7, &nodes, start + ms(20 * n), 0.0));
    let steps: Vec<_> = steps.collect();
    assert_eq!(steps[0], Action::ReadStore);
    assert!(steps[1..].iter().all(|s| *s == Action::Wait), "{steps:?}");
}

/// Guards against a node that stays out of date because no connected node responds.
#[test]
fn silent_nodes_lead_to_the_store() {
    let start = Instant::now();
    let nodes = sources(&[("a", false), ("b", false)]);
    let mut catch_up = CatchUp::new(Duration::ZERO);
    let steps = (0..150).map(|n| catch_up.next_action(7, &nodes, start + ms(20 * n), 0.0));
    let steps: Vec<_> = steps.filter(|s| *s != Action::Wait).collect();
    assert_eq!(
        steps[..3],
        [
            Action::Request("a"),
            Action::Request("b"),
            Action::ReadStore
        ]
    );
}

/// Guards against a completed request that delays the request for the next change.
#[test]
fn response_ends_the_request() {
    let start = Instant::now();
    let nodes = sources(&[("a", false)]);
    let mut catch_up = CatchUp::new(Duration::ZERO);
    assert_eq!(
        catch_up.next_action(7, &nodes, start, 0.0),
        Action::Request("a")
    );
    assert_eq!(
        catch_up.next_action(7, &[], start + ms(50), 0.0),
        Action::Wait
    );
    assert_eq!(
        catch_up.next_action(7, &nodes, start + ms(100), 0.0),
        Action::Request("a")
    );
}

/// Guards against first requests at a time when only one node has the new state.
#[test]
fn first_request_is_delayed() {
    let start = Instant::now();
    let nodes = sources(&[("a", false)]);
    let mut catch_up = CatchUp::new(ms(100));
    assert_eq!(catch_up.next_action(7, &nodes, start, 0.5), Action::Wait);
    assert_eq!(
        catch_up.next_action(7, &nodes, start + ms(40), 0.0),
        Action::Wait
    );
    assert_eq!(
        catch_up.next_action(7, &nodes, start + ms(60), 0.0),
        Action::Request("a")
    );
}

/// Keys move several times a second. Guards against a node that waits on after a response, because
/// other nodes report newer state again.
#[test]
fn response_is_seen_while_more_changes() {
    let start = Instant::now();
    let nodes = sources(&[("a", false), ("b", false)]);
    let mut catch_up = CatchUp::new(Duration::ZERO);
    for n in 0..100 {
        let step = catch_up.next_action(7 + n, &nodes, start + ms(20 * n), 0.0);
        assert_eq!(step, Action::Request("a"), "after {n} responses");
    }
}
