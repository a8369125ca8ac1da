//! Back-off between failed calls to the store, and the ranks of the nodes that make them.

use std::time::Duration;

use filbertflow::coordination::sidecar::backoff::Backoff;
use filbertflow::coordination::sidecar::membership;

/// Guards against readers that retry a failed call several times a second while the store is down,
/// here for eight seconds.
#[test]
fn outage_costs_few_calls() {
    let mut backoff = Backoff::default();
    let mut waited = Duration::ZERO;
    let mut calls = 0;
    while waited < Duration::from_secs(8) {
        waited += backoff.next_delay(0.5);
        calls += 1;
    }
    assert!(calls <= 12, "{calls}");
}

/// Guards against a delay after which membership entries or the configuration are restored too
/// late.
#[test]
fn longest_delay_is_bounded() {
    let mut backoff = Backoff::default();
    let delays = (0..100).map(|_| backoff.next_delay(1.0));
    assert!(delays.max() <= Some(Duration::from_millis(1500)));
}

/// Guards against a short outage that gets the delay of an earlier long one.
#[test]
fn reset_restores_the_initial_delay() {
    let mut backoff = Backoff::default();
    let first = backoff.next_delay(1.0);
    for _ in 0..5 {
        backoff.next_delay(1.0);
    }
    backoff.reset();
    assert_eq!(backoff.next_delay(1.0), first);
}

macro_rules! ranks {
    ($($(#[$doc:meta])* $name:ident: $node:literal, $store_up:literal, $others:expr => $rank:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(membership::rank($node, $store_up, &$others), $rank);
        }
    )*};
}

ranks! {
    /// Ranks follow the addresses while the store answers every node.
    all_answered: "c", true, [("a", true), ("b", true), ("d", true)] => 2;
    /// Guards against calls from all nodes, where three suffice, while the store is down.
    nobody_answered: "c", false, [("a", false), ("b", false), ("d", false)] => 2;
    /// A node that the store rejects ranks behind those that it answers; they call the store instead.
    rejected_node: "a", false, [("b", true), ("c", true), ("d", false)] => 2;
    /// Guards against relying on calls from nodes that the store rejects.
    lower_nodes_rejected: "c", true, [("a", false), ("b", false), ("d", true)] => 0;
}
