//! Tests of the load meter of a slice owner.

use std::time;

use filbertflow::coordination::load;
use filbertflow::state::{clock, ids, record};

fn at(start: clock::Instant, ms: u64) -> clock::Instant {
    start + time::Duration::from_millis(ms)
}

fn node() -> ids::NodeRef {
    ids::NodeRef {
        addr: ids::NodeAddr(([127, 0, 0, 1], 7000).into()),
        incarnation: ids::Incarnation(1),
    }
}

fn record(slices: u64) -> record::PartitionRecord {
    record::PartitionRecord {
        id: ids::PartitionId::first("walk-listings"),
        epoch: ids::Epoch(1),
        revision: ids::Revision(1),
        coordinator: node(),
        standbys: Vec::new(),
        servers: Vec::new(),
        slices: record::even_slices(slices),
        intent: None,
        writer: record::Writer {
            node: node(),
            number: 1,
        },
    }
}

/// Counts 100 requests per second for the first slice during a range of milliseconds.
fn count_requests(meter: &load::Meter, start: clock::Instant, range: std::ops::Range<u64>) {
    for ms in range.step_by(10) {
        meter.record(ids::KeyHash(0), ids::KeyHash(7), at(start, ms));
    }
}

/// Guards against rates measured over a single report interval. They vary so much that balancing would
/// move slices needlessly.
#[test]
fn rates_cover_ten_seconds() {
    let start = clock::Instant::now();
    let meter = load::Meter::new(start);
    let record = record(4);
    drop(meter.report(&record, start));
    count_requests(&meter, start, 0..60_000);
    let load = meter.report(&record, at(start, 60_000));
    assert!((10.0..=11.1).contains(&load.seconds), "{}", load.seconds);
    assert!((99.0..=101.0).contains(&load.rate), "{}", load.rate);
    assert_eq!(load.slices.len(), 1);
    assert_eq!(load.hot[0].0, ids::KeyHash(7));
}

/// Guards against load that is still reported long after the last request.
#[test]
fn rates_fall_to_zero_without_requests() {
    let start = clock::Instant::now();
    let meter = load::Meter::new(start);
    let record = record(4);
    drop(meter.report(&record, start));
    count_requests(&meter, start, 0..5_000);
    let mut load = meter.report(&record, at(start, 5_000));
    for second in 6..20 {
        load = meter.report(&record, at(start, second * 1000));
    }
    assert!(load.rate.abs() < 1e-9, "{}", load.rate);
    assert!(load.seconds >= 9.9, "{}", load.seconds);
}

/// Guards against counts from before a split that make the remaining slice look hot.
#[test]
fn a_split_starts_the_measurement_anew() {
    let start = clock::Instant::now();
    let meter = load::Meter::new(start);
    drop(meter.report(&record(4), start));
    count_requests(&meter, start, 0..10_000);
    let load = meter.report(&record(8), at(start, 10_000));
    assert!(
        load.slices.is_empty() && load.seconds.abs() < 1e-9,
        "{load:?}"
    );
    count_requests(&meter, start, 10_000..12_000);
    let load = meter.report(&record(8), at(start, 12_000));
    assert!((1.9..=2.1).contains(&load.seconds), "{}", load.seconds);
    assert!((95.0..=105.0).contains(&load.rate), "{}", load.rate);
}
