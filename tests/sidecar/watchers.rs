//! Silence of the nodes that watch the store.

use std::time::Duration;

use filbertflow::coordination::sidecar::watchers::{CHECK_INTERVAL, Reaction};

/// Time in which a configuration has to be in force on the known deployments.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Time that is left for the read of the store, on a slow host.
const READ_TIME: Duration = Duration::from_millis(500);

macro_rules! reactions {
    ($($(#[$doc:meta])* $name:ident: $silent_ms:literal => $reaction:ident;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let reaction = Reaction::from(Duration::from_millis($silent_ms));
            assert_eq!(reaction, Reaction::$reaction);
        }
    )*};
}

reactions! {
    /// Guards against pings on busy links.
    load_reports_are_enough: 300 => Rely;
    /// Guards against pings to other failure domains while the nearest watcher may answer.
    nearest_watcher_is_pinged_first: 400 => PingNearest;
    /// Guards against a takeover because only the nearest watcher is lost.
    all_watchers_are_pinged: 600 => PingAll;
    /// Guards against a takeover before a slow host can have answered the pings.
    pong_has_time: 999 => PingAll;
    /// The watchers are lost.
    silence_ends_the_reliance: 1000 => Watch;
}

/// Guards against a loss that is noticed too late to read a new configuration in time.
#[test]
fn loss_is_noticed_within_the_bound_of_a_configuration() {
    let mut silence = Duration::ZERO;
    while Reaction::from(silence) != Reaction::Watch {
        silence += CHECK_INTERVAL;
    }
    assert!(silence + CHECK_INTERVAL + READ_TIME <= APPLY_LIMIT);
}
