//! End of the permissions that a node has given.

use std::time::Duration;

use filbertflow::coordination::sidecar::owner::all_ended;
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
