//! Share of requests that fail at a backend server.

use std::time::Duration;

use filbertflow::coordination::sidecar::failures::Failures;
use filbertflow::state::clock::Instant;

/// Guards against a backend server that is given up for one failed request.
#[test]
fn one_failure_weighs_little() {
    let now = Instant::now();
    let mut failures = Failures::new(now);
    failures.count(true, now);
    assert!(failures.share(now) < 0.1);
}

/// Pattern: a backend server refuses half of its requests. Guards against a share that does not
/// show it.
#[test]
fn half_failing_shows() {
    let now = Instant::now();
    let mut failures = Failures::new(now);
    for n in 0..200 {
        failures.count(n % 2 == 0, now);
    }
    let share = failures.share(now);
    assert!((0.4..0.6).contains(&share), "{share}");
}

/// Guards against a backend server that recovers and is never tried again.
#[test]
fn share_fades() {
    let now = Instant::now();
    let mut failures = Failures::new(now);
    failures.unreachable(now);
    assert!(failures.share(now) > 0.8);
    assert!(failures.share(now + Duration::from_secs(12)) < 0.1);
}
