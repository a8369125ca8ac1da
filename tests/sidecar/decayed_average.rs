//! Mean of the last samples.

use std::time::Duration;

use filbertflow::state::clock::Instant;
use filbertflow::state::decayed_average::DecayedAverage;

const FADE: Duration = Duration::from_secs(4);

/// Guards against a backend server that is given up for one failed request.
#[test]
fn one_sample_weighs_little() {
    let now = Instant::now();
    let mut mean = DecayedAverage::new(0.06, FADE, now);
    mean.add(1.0, now);
    assert!(mean.get(now) < 0.1);
}

/// Pattern: a backend server refuses half of its requests. Guards against a share that does not
/// show it.
#[test]
fn half_shows() {
    let now = Instant::now();
    let mut mean = DecayedAverage::new(0.06, FADE, now);
    for n in 0..200 {
        mean.add(f64::from(n % 2), now);
    }
    let share = mean.get(now);
    assert!((0.4..0.6).contains(&share), "{share}");
}

/// Guards against a backend server that recovers and is never tried again.
#[test]
fn mean_fades() {
    let now = Instant::now();
    let mut mean = DecayedAverage::new(0.06, FADE, now);
    mean.set(0.9, now);
    assert!(mean.get(now) > 0.8);
    assert!(mean.get(now + Duration::from_secs(12)) < 0.1);
}
