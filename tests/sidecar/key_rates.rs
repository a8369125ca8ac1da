//! Request rates per key.

use std::time::Duration;

use filbertflow::state::clock::Instant;
use filbertflow::state::key_rates::KeyRates;
use filbertflow::state::keyspace::KEY_COUNT;
use quickcheck::quickcheck;

fn total(rates: &[f32]) -> f64 {
    rates.iter().map(|&r| f64::from(r)).sum()
}

quickcheck! {
    /// Guards against a report whose total differs from the recorded load.
    fn report_keeps_the_load(keys: Vec<u16>) -> bool {
        let now = Instant::now();
        let mut key_rates = KeyRates::new(now);
        for &key in &keys {
            key_rates.record(key);
        }
        let mut rates = vec![0.0; KEY_COUNT];
        key_rates.report(now).add_to(&mut rates);
        (total(&rates) - keys.len() as f64 / 2.0).abs() < 0.01 * keys.len() as f64 + 0.1
    }
}

/// Guards against a hot key that is hidden in its bucket: one key gets a third of all requests,
/// among cold ones.
#[test]
fn hot_key_is_listed_by_itself() {
    let now = Instant::now();
    let mut key_rates = KeyRates::new(now);
    for i in 0..200 {
        key_rates.record(if i % 3 == 0 { 4711 } else { i * 300 });
    }
    let report = key_rates.report(now);
    assert_eq!(report.singles.first().map(|s| s.0), Some(4711));
}

/// Guards against rates that persist long after a hot period.
#[test]
fn rates_decay() {
    let now = Instant::now();
    let mut key_rates = KeyRates::new(now);
    for _ in 0..100 {
        key_rates.record(1);
    }
    let mut rates = vec![0.0; KEY_COUNT];
    key_rates
        .report(now + Duration::from_secs(6))
        .add_to(&mut rates);
    assert!(total(&rates) < 5.0, "{}", total(&rates));
}
