//! Heavy hitters and decay of the load sketch.

use std::time;

use filbertflow::state::{clock, ids, sketch};

const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

fn at(start: clock::Instant, ms: u64) -> clock::Instant {
    start + time::Duration::from_millis(ms)
}

quickcheck::quickcheck! {
    /// Guards against overestimated rates, which would isolate a key that is not hot.
    fn reported_rate_never_exceeds_the_true_one(keys: Vec<u8>) -> bool {
        let start = clock::Instant::now();
        let mut small = sketch::Sketch::new(4, HALF_LIFE, start);
        let mut exact = sketch::Sketch::new(256, HALF_LIFE, start);
        for (i, key) in (0_u64..).zip(&keys) {
            let now = at(start, i);
            small.add(ids::KeyHash(u64::from(*key)), now);
            exact.add(ids::KeyHash(u64::from(*key)), now);
        }
        let now = at(start, 300);
        let exact = exact.top(256, now);
        small.top(4, now).iter().all(|(key, rate)| {
            exact.iter().any(|(k, truth)| k == key && *rate <= truth + 1e-9)
        })
    }
}

/// Guards against missing a hot key among many cold ones.
#[test]
fn hot_key_is_found_among_many() {
    let start = clock::Instant::now();
    let mut sketch = sketch::Sketch::new(64, HALF_LIFE, start);
    for i in 0..20_000 {
        let key = if i % 5 == 0 { 7 } else { 1000 + i };
        sketch.add(ids::KeyHash(key), at(start, i));
    }
    let top = sketch.top(1, at(start, 20_000));
    assert_eq!(top[0].0, ids::KeyHash(7));
    assert!((150.0..250.0).contains(&top[0].1), "{}", top[0].1);
}

/// Guards against rates that drift from the true rate over time.
#[test]
fn steady_rate_is_measured_over_a_long_time() {
    let start = clock::Instant::now();
    let mut sketch = sketch::Sketch::new(4, HALF_LIFE, start);
    for i in 0..100_000 {
        sketch.add(ids::KeyHash(1), at(start, i * 10));
    }
    let rate = sketch.rate(at(start, 1_000_000));
    assert!((95.0..105.0).contains(&rate), "{rate}");
}

/// Guards against treating a key as hot long after its last request.
#[test]
fn rate_halves_in_a_half_life() {
    let start = clock::Instant::now();
    let mut sketch = sketch::Sketch::new(4, HALF_LIFE, start);
    for i in 0..100 {
        sketch.add(ids::KeyHash(1), at(start, i));
    }
    let (early, late) = (sketch.rate(at(start, 100)), sketch.rate(at(start, 1100)));
    assert!((late * 2.0 - early).abs() < 1e-6, "{early} {late}");
}
