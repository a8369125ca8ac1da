//! Estimates of service times from few, short, long and failed requests.

use std::time::Duration;

use filbertflow::coordination::sidecar::service_times::{Completion, ServiceTimes};
use filbertflow::state::clock::Instant;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const OBJECTIVE: Duration = ms(1000);

/// Simulates requests that start every `gap` milliseconds and take the given times, and returns the
/// estimate `then` milliseconds after the first start.
fn estimate_after(requests: &[(u64, Completion)], gap: u64, then: u64) -> u128 {
    let start = Instant::now();
    let mut events = Vec::new();
    for (i, &(took, completion)) in (0..).zip(requests) {
        events.push((i * gap, i * gap, None));
        events.push((i * gap + took, i * gap, Some(completion)));
    }
    events.sort_by_key(|e| e.0);
    let mut times = ServiceTimes::default();
    for (at, started, completion) in events.into_iter().filter(|e| e.0 <= then) {
        match completion {
            None => times.record_start(1, OBJECTIVE, start + ms(at)),
            Some(completion) => {
                times.record_end(1, start + ms(started), completion, start + ms(at));
            }
        }
    }
    times.estimate(1, OBJECTIVE, start + ms(then)).as_millis()
}

fn requests(n: usize, took: u64, completion: Completion) -> Vec<(u64, Completion)> {
    vec![(took, completion); n]
}

macro_rules! estimates {
    ($($(#[$doc:meta])* $name:ident: $requests:expr, every $gap:literal, at $then:literal => $range:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let ms = estimate_after(&$requests, $gap, $then);
            let range: std::ops::RangeInclusive<u128> = $range;
            assert!(range.contains(&ms), "{ms} ms");
        }
    )*};
}

estimates! {
    /// The initial estimate is a share of the objective.
    no_requests: [], every 1, at 0 => 350..=350;
    /// A constant service time is estimated exactly.
    steady: requests(200, 300, Completion::Answered), every 20, at 4300 => 299..=301;
    /// Guards against an initial estimate that stays in the mean.
    short: requests(200, 20, Completion::Answered), every 20, at 4020 => 20..=21;
    /// Guards against an estimate that is too short because the shortest requests complete first.
    first_short: [requests(17, 3000, Completion::Answered), requests(1, 20, Completion::Answered)].concat(), every 1, at 600 => 450..=3000;
    /// Guards against a backend server that looks fast because it responds to nothing.
    stuck: requests(18, 9000, Completion::Answered), every 1, at 2000 => 1600..=9000;
    /// Guards against one long request that dominates the estimate.
    one_long: [requests(100, 80, Completion::Answered), requests(1, 3000, Completion::Answered)].concat(), every 20, at 2700 => 80..=110;
    /// Guards against counting immediate failures as short service times.
    failures: [requests(60, 300, Completion::Answered), requests(60, 5, Completion::Failed)].concat(), every 20, at 2420 => 270..=340;
    /// Guards against counting requests interrupted at their deadline as short ones.
    interrupted: requests(60, 600, Completion::Interrupted), every 20, at 1800 => 500..=20_000;
}

/// Guards against admitting as many requests during the warm-up as after it.
#[test]
fn initial_estimate_is_longer_during_warmup() {
    let now = Instant::now();
    let mut times = ServiceTimes::default();
    times.set_warming(true);
    assert_eq!(times.estimate(1, OBJECTIVE, now), ms(700));
}

/// Guards against reporting a mean after a single request.
#[test]
fn mean_is_reported_after_enough_requests() {
    let start = Instant::now();
    let mut times = ServiceTimes::default();
    for i in 0..8 {
        assert_eq!(times.mean(start + ms(i * 100)), None);
        times.record_start(1, OBJECTIVE, start + ms(i * 100));
        let started = start + ms(i * 100);
        times.record_end(1, started, Completion::Answered, started + ms(100));
    }
    assert!(times.mean(start + ms(800)).is_some());
}
