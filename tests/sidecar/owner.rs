//! End of the permissions that a node has given.

use std::time::Duration;

use filbertflow::coordination::sidecar::owner::{Life, all_ended, is_settled, takes_away};
use filbertflow::state::clock::Instant;

const HOLD: Duration = Duration::from_secs(3);

macro_rules! permissions {
    ($($(#[$doc:meta])* $name:ident: $bound:expr, $age:literal => $ended:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let start = Instant::now();
            let at = |ms: u64| start + Duration::from_millis(ms);
            let bound: Option<u64> = $bound;
            assert_eq!(all_ended(bound.map(at), start, HOLD, at($age)), $ended);
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
            assert_eq!(takes_away(Life::$life, $ended, silence), $taken);
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
    earlier_life: Earlier, false, 0 => true;
    /// Guards against keys that a process before this one has granted.
    nothing_known: Unknown, false, 0 => false;
}

/// Guards against keys granted by a table that a change without an answer may still replace.
#[test]
fn unanswered_change_holds_grants_back() {
    let pending = ("walks".to_owned(), 7);
    assert!(!is_settled(Some(&pending), "walks", 7));
    assert!(is_settled(Some(&pending), "walks", 8));
    assert!(is_settled(Some(&pending), "office", 7));
    assert!(is_settled(None, "walks", 7));
}
