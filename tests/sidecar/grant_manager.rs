//! End of the permissions that a node has given.

use std::time::Duration;

use filbertflow::coordination::sidecar::grant_manager::{
    Incarnation, WithheldRanges, grants_expired, is_write_resolved, should_revoke,
};
use filbertflow::protocol::adapter::Hold;
use filbertflow::state::clock::Instant;
use filbertflow::state::keyspace::Holder;

const HOLD: Duration = Duration::from_secs(3);

macro_rules! permissions {
    ($($(#[$doc:meta])* $name:ident: $bound:expr, $age:literal => $ended:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let start = Instant::now();
            let at = |ms: u64| start + Duration::from_millis(ms);
            let bound: Option<u64> = $bound;
            assert_eq!(grants_expired(bound.map(at), start, HOLD, at($age)), $ended);
        }
    )*};
}

permissions! {
    /// Pattern: hosts are restarted in turn while their backend servers drain. Guards against an
    /// entry that is removed while a backend server still holds keys.
    running: Some(13_000), 12_000 => false;
    /// A permission that has run out binds nobody.
    over: Some(13_000), 13_500 => true;
    /// Guards against permissions of the process before, which this one doesn't know.
    just_started: None, 2_000 => false;
    /// Guards against a slow clock of the backend server.
    just_started_slow_clock: None, 3_080 => false;
    /// Nothing was ever granted.
    never_granted: None, 4_000 => true;
}

macro_rules! takings {
    ($($(#[$doc:meta])* $name:ident: $life:ident, $ended:literal, $silence:literal => $taken:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let silence = Duration::from_millis($silence);
            assert_eq!(should_revoke(Incarnation::$life, $ended, silence), $taken);
        }
    )*};
}

takings! {
    /// Pattern: the store returns after an outage longer than a lease. Guards against keys that are
    /// taken from a backend server whose next heartbeat is about to renew them.
    heartbeats_go_on: Current, true, 500 => false;
    /// A backend server that is cut off from its node loses its keys when they have run out.
    silent: Current, true, 2_500 => true;
    /// Guards against keys that are taken while they are held.
    silent_with_permission: Current, false, 2_500 => false;
    /// A later life proves the end of the one before.
    earlier_life: Previous, false, 0 => true;
    /// Guards against keys that a process before this one has granted.
    nothing_known: Unknown, false, 0 => false;
}

/// Guards against keys granted by a table that a change without an answer may still replace.
#[test]
fn unanswered_change_holds_grants_back() {
    let pending = ("walks".to_owned(), 7);
    assert!(!is_write_resolved(Some(&pending), "walks", 7));
    assert!(is_write_resolved(Some(&pending), "walks", 8));
    assert!(is_write_resolved(Some(&pending), "office", 7));
    assert!(is_write_resolved(None, "walks", 7));
}

fn life(born: u64) -> Holder {
    Holder {
        node: "10.0.0.1:7000".to_owned(),
        backend: "walks-1".to_owned(),
        born,
    }
}

fn hold(from: u16, to: u16) -> Hold {
    let token = 3;
    Hold { from, to, token }
}

/// Guards against a range that is passed on while the answer that granted it is on its way: the
/// heartbeat that is the first to be answered without it doesn't hold it yet.
#[test]
fn range_is_free_only_after_an_answer_without_it() {
    let mut withheld = WithheldRanges::default();
    let moving = vec![(10, 19)];
    assert!(withheld.update(&life(1), &[], Some(Vec::new())).is_empty());
    assert!(
        withheld
            .update(&life(1), &[], Some(moving.clone()))
            .is_empty()
    );
    let busy = [hold(0, 30)];
    assert!(
        withheld
            .update(&life(1), &busy, Some(moving.clone()))
            .is_empty()
    );
    assert_eq!(withheld.update(&life(1), &[], Some(Vec::new())), moving);
    assert!(withheld.update(&life(1), &[], Some(Vec::new())).is_empty());
}

/// Guards against a release that is forgotten because its heartbeat can't be answered with grants.
#[test]
fn release_outlasts_an_answer_without_grants() {
    let mut withheld = WithheldRanges::default();
    let moving = vec![(10, 19)];
    withheld.update(&life(1), &[hold(10, 19)], Some(moving.clone()));
    assert!(withheld.update(&life(1), &[hold(10, 19)], None).is_empty());
    assert_eq!(withheld.update(&life(1), &[], None), moving);
}

/// Guards against an earlier life's answer that is taken for one to the next life.
#[test]
fn another_life_has_been_left_out_of_nothing() {
    let mut withheld = WithheldRanges::default();
    withheld.update(&life(1), &[], Some(vec![(10, 19)]));
    assert!(withheld.update(&life(2), &[], Some(Vec::new())).is_empty());
}
