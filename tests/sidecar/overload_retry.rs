//! Retries of requests that a dispatcher has rejected as overloaded.

use std::time::Duration;

use filbertflow::coordination::sidecar::overload_retry::OverloadRetry;
use filbertflow::state::clock::Instant;

fn after(rejections: impl Iterator<Item = bool>, now: Instant) -> OverloadRetry {
    let mut retry = OverloadRetry::default();
    for rejected in rejections {
        retry.record("desk", rejected, now);
    }
    retry
}

/// Returns the share of rejected requests that are retried.
fn retry_share(retry: &OverloadRetry, now: Instant) -> f64 {
    let retried = (0..100).filter(|n| retry.should_retry("desk", f64::from(*n) / 100.0, now));
    retried.count() as f64 / 100.0
}

/// Guards against saturated links when a whole service is overloaded. After the loss of six of
/// fourteen backend servers, with purchases of 4 kB at an unchanged rate and hosts with 10 Mbit/s,
/// sending each one to four nodes delayed calls by a second.
#[test]
fn full_service_gets_few_retries() {
    let now = Instant::now();
    let retry = after((0..200).map(|_| true), now);
    assert!(retry_share(&retry, now) <= 0.1);
}

/// Guards against rejecting requests that another dispatcher could admit, when one backend server
/// is slow and the others have free slots.
#[test]
fn single_full_dispatcher_causes_no_rejection() {
    let now = Instant::now();
    let retry = after((0..200).map(|n| n % 3 == 0), now);
    assert!(retry_share(&retry, now) >= 1.0);
}

/// Guards against a service that gets no retries after its overload has ended.
#[test]
fn end_of_overload_is_detected() {
    let now = Instant::now();
    let retry = after((0..200).map(|_| true), now);
    let later = now + Duration::from_secs(4);
    assert!(retry_share(&retry, later) >= 1.0);
}

/// Guards against rejections by one service that count for another.
#[test]
fn services_are_independent() {
    let now = Instant::now();
    let retry = after((0..200).map(|_| true), now);
    assert!(retry.should_retry("portal", 0.99, now));
}
