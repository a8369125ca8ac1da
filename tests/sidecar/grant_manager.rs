//! Expiry, revocation and release of grants.

use std::time::Duration;

use filbertflow::coordination::sidecar::grant_manager::{
    Incarnation, WithheldRanges, grants_expired, is_write_resolved, should_revoke,
};
use filbertflow::protocol::adapter::Hold;
use filbertflow::state::clock::Instant;
use filbertflow::state::keyspace::Holder;
use filbertflow::state::store_revision::{Era, Revision};

const MAX_GRANT: Duration = Duration::from_secs(3);

macro_rules! expiries {
    ($($(#[$doc:meta])* $name:ident: $last_expiry:expr, $age:literal => $expired:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let start = Instant::now();
            let at = |ms: u64| start + Duration::from_millis(ms);
            let last_expiry: Option<u64> = $last_expiry;
            assert_eq!(grants_expired(last_expiry.map(at), start, MAX_GRANT, at($age)), $expired);
        }
    )*};
}

expiries! {
    /// Hosts are restarted one by one while their backend servers drain. Guards against removing a
    /// node's entry while its backend server still holds keys.
    running: Some(13_000), 12_000 => false;
    /// An expired grant doesn't count.
    over: Some(13_000), 13_500 => true;
    /// Guards against grants of an earlier process, which this one doesn't know of.
    just_started: None, 2_000 => false;
    /// Guards against a backend server with a slow clock.
    just_started_slow_clock: None, 3_080 => false;
    /// Without grants, only those of an earlier process count.
    never_granted: None, 4_000 => true;
}

macro_rules! revocations {
    ($($(#[$doc:meta])* $name:ident: $incarnation:ident, $expired:literal, $silence:literal => $revoked:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let silence = Duration::from_millis($silence);
            assert_eq!(should_revoke(Incarnation::$incarnation, $expired, silence), $revoked);
        }
    )*};
}

revocations! {
    /// The store recovers after an outage longer than a lease. Guards against revoking keys of a
    /// backend server whose next heartbeat would renew them.
    heartbeats_go_on: Current, true, 500 => false;
    /// A disconnected backend server loses its keys after its grant has expired.
    silent: Current, true, 2_500 => true;
    /// Guards against revoking keys that are still granted.
    silent_with_grant: Current, false, 2_500 => false;
    /// A later incarnation proves that the earlier one has ended.
    earlier_incarnation: Previous, false, 0 => true;
    /// Guards against revoking keys that an earlier process has granted.
    nothing_known: Unknown, false, 0 => false;
}

/// Guards against grants by a table that a change without a reply may still replace.
#[test]
fn change_without_a_reply_delays_grants() {
    let revision = |number| Revision::new(Era(0), number);
    let pending = ("walks".to_owned(), revision(7));
    assert!(!is_write_resolved(Some(&pending), "walks", revision(7)));
    assert!(is_write_resolved(Some(&pending), "walks", revision(8)));
    assert!(is_write_resolved(Some(&pending), "office", revision(7)));
    assert!(is_write_resolved(None, "walks", revision(7)));
}

fn holder(born: u64) -> Holder {
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

/// Guards against freeing a range while a reply that grants it is in flight: the heartbeat whose reply
/// is the first to withhold the range may not hold it yet.
#[test]
fn range_is_free_only_after_a_reply_without_it() {
    let mut withheld = WithheldRanges::default();
    let moving = vec![(10, 19)];
    assert!(
        withheld
            .update(&holder(1), &[], Some(Vec::new()))
            .is_empty()
    );
    assert!(
        withheld
            .update(&holder(1), &[], Some(moving.clone()))
            .is_empty()
    );
    let busy = [hold(0, 30)];
    assert!(
        withheld
            .update(&holder(1), &busy, Some(moving.clone()))
            .is_empty()
    );
    assert_eq!(withheld.update(&holder(1), &[], Some(Vec::new())), moving);
    assert!(
        withheld
            .update(&holder(1), &[], Some(Vec::new()))
            .is_empty()
    );
}

/// Guards against a lost release after a heartbeat whose reply has no grants.
#[test]
fn release_survives_a_reply_without_grants() {
    let mut withheld = WithheldRanges::default();
    let moving = vec![(10, 19)];
    withheld.update(&holder(1), &[hold(10, 19)], Some(moving.clone()));
    assert!(
        withheld
            .update(&holder(1), &[hold(10, 19)], None)
            .is_empty()
    );
    assert_eq!(withheld.update(&holder(1), &[], None), moving);
}

/// Guards against ranges that were withheld from an earlier incarnation and are freed by the next one.
#[test]
fn new_incarnation_has_no_withheld_ranges() {
    let mut withheld = WithheldRanges::default();
    withheld.update(&holder(1), &[], Some(vec![(10, 19)]));
    assert!(
        withheld
            .update(&holder(2), &[], Some(Vec::new()))
            .is_empty()
    );
}
