//! Second offers of requests that a gate has refused.

use std::time::Duration;

use filbertflow::coordination::sidecar::overload_retry::OverloadRetry;
use filbertflow::state::clock::Instant;

fn after(refusals: impl Iterator<Item = bool>, now: Instant) -> OverloadRetry {
    let mut offers = OverloadRetry::default();
    for refused in refusals {
        offers.record("desk", refused, now);
    }
    offers
}

/// Returns the share of refused requests that are offered again.
fn share(offers: &OverloadRetry, now: Instant) -> f64 {
    let worth = (0..100).filter(|n| offers.should_retry("desk", f64::from(*n) / 100.0, now));
    worth.count() as f64 / 100.0
}

/// Pattern: a service loses six of fourteen backend servers while purchases of 4 kB come at the old
/// rate, to hosts with 10 Mbit/s. Guards against four offers for each of them, which filled the
/// links and let calls arrive a second late.
#[test]
fn full_service_gets_few_second_offers() {
    let now = Instant::now();
    let offers = after((0..200).map(|_| true), now);
    assert!(share(&offers, now) <= 0.1);
}

/// Pattern: one backend server is slow, the others have room. Guards against refusals that another
/// gate would have spared.
#[test]
fn single_full_gate_costs_no_refusal() {
    let now = Instant::now();
    let offers = after((0..200).map(|n| n % 3 == 0), now);
    assert!(share(&offers, now) >= 1.0);
}

/// Guards against a service that has room again and is not offered anything.
#[test]
fn room_is_noticed() {
    let now = Instant::now();
    let offers = after((0..200).map(|_| true), now);
    let later = now + Duration::from_secs(4);
    assert!(share(&offers, later) >= 1.0);
}

/// Guards against one service's refusals that count for another.
#[test]
fn services_are_apart() {
    let now = Instant::now();
    let offers = after((0..200).map(|_| true), now);
    assert!(offers.should_retry("portal", 0.99, now));
}
