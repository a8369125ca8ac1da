//! Pauses between failed calls to the store, and who makes the calls.

use std::time::Duration;

use filbertflow::coordination::sidecar::backoff::Backoff;
use filbertflow::coordination::sidecar::membership;

/// Pattern: the store is down for eight seconds. Guards against readers that repeat a failed call
/// several times a second for as long as that.
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

/// Guards against a pause after which entries or the configuration come back late.
#[test]
fn longest_pause_keeps_the_bounds() {
    let mut backoff = Backoff::default();
    let pauses = (0..100).map(|_| backoff.next_delay(1.0));
    assert!(pauses.max() <= Some(Duration::from_millis(1500)));
}

/// Guards against a short disturbance that is met with the pause of a long one.
#[test]
fn answer_shortens_the_next_pause() {
    let mut backoff = Backoff::default();
    let first = backoff.next_delay(1.0);
    for _ in 0..5 {
        backoff.next_delay(1.0);
    }
    backoff.reset();
    assert_eq!(backoff.next_delay(1.0), first);
}

macro_rules! ranks {
    ($($(#[$doc:meta])* $name:ident: $node:literal, $answered:literal, $others:expr => $rank:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(membership::rank($node, $answered, &$others), $rank);
        }
    )*};
}

ranks! {
    /// By address while the store answers all.
    all_answered: "c", true, [("a", true), ("b", true), ("d", true)] => 2;
    /// Pattern: the store is down. Guards against all nodes that call it then, where three would do.
    nobody_answered: "c", false, [("a", false), ("b", false), ("d", false)] => 2;
    /// Pattern: the store turns single hosts away. Others call it for them.
    turned_away: "a", false, [("b", true), ("c", true), ("d", false)] => 2;
    /// Guards against hosts that are turned away but still expected to call.
    lower_ones_turned_away: "c", true, [("a", false), ("b", false), ("d", true)] => 0;
}
