//! Exponentially decayed average.

use std::time::Duration;

use filbertflow::state::clock::Instant;
use filbertflow::state::decayed_average::DecayedAverage;

const DECAY: Duration = Duration::from_secs(4);

/// Guards against avoiding a backend server because of a single failed request.
#[test]
fn one_sample_weighs_little() {
    let now = Instant::now();
    let mut average = DecayedAverage::new(0.06, DECAY, now);
    average.add(1.0, now);
    assert!(average.get(now) < 0.1);
}

/// Guards against a failure rate that doesn't reflect a backend server refusing half of its
/// requests.
#[test]
fn half_failures_are_reflected() {
    let now = Instant::now();
    let mut average = DecayedAverage::new(0.06, DECAY, now);
    for n in 0..200 {
        average.add(f64::from(n % 2), now);
    }
    let share = average.get(now);
    assert!((0.4..0.6).contains(&share), "{share}");
}

/// Guards against never retrying a backend server that has recovered.
#[test]
fn average_decays() {
    let now = Instant::now();
    let mut average = DecayedAverage::new(0.06, DECAY, now);
    average.set(0.9, now);
    assert!(average.get(now) > 0.8);
    assert!(average.get(now + Duration::from_secs(12)) < 0.1);
}
