//! Tests of error budget burn rates from counter snapshots.

use std::time;

use filbertflow::cmd::{burn, snapshot};
use filbertflow::protocol::{exposition, source};
use filbertflow::state::{document, ids};

const SERVICE: &str = "walk-listings";
/// Milliseconds per minute.
const MINUTE_MS: u64 = 60_000;

/// Time of minute 0, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_700_000_000_000;

fn document() -> document::Document {
    let text = include_str!("../examples/consortium.jsonc");
    source::parse_document("consortium.jsonc", text).expect("the example is valid")
}

fn count(class: &str, outcome: &str, reason: &str, n: f64) -> snapshot::RequestCount {
    snapshot::RequestCount {
        service: SERVICE.to_owned(),
        class: class.to_owned(),
        outcome: outcome.to_owned(),
        reason: reason.to_owned(),
        count: n,
    }
}

/// Creates the counters of a node that started at the given minute: fast answers, late answers and
/// rejected requests, besides 1000 cancelled requests.
fn node(start: u64, fast: f64, late: f64, rejected: f64) -> snapshot::NodeCounters {
    snapshot::NodeCounters {
        incarnation: ids::Incarnation((START_MS + start * MINUTE_MS) * 1000),
        requests: vec![
            count("tourist", "answered", "", fast + late),
            count("tourist", "not-run", "no-owner", rejected),
            count("tourist", "not-run", "cancelled", 1000.0),
        ],
        latency: vec![snapshot::LatencyHistogram {
            service: SERVICE.to_owned(),
            class: "tourist".to_owned(),
            count: fast + late,
            buckets: vec![(0.1, fast), (0.25, fast), (0.5, fast + late)],
        }],
    }
}

/// Creates a snapshot taken at the given minute.
fn at(minute: u64, nodes: Vec<snapshot::NodeCounters>) -> snapshot::Snapshot {
    let nodes = nodes.into_iter().enumerate();
    snapshot::Snapshot {
        at_ms: START_MS + minute * MINUTE_MS,
        nodes: nodes.map(|(i, n)| (format!("127.0.0.{i}:1"), n)).collect(),
    }
}

fn class(snapshots: &[snapshot::Snapshot], name: &str) -> burn::ClassBurn {
    let windows = burn::Windows {
        short: time::Duration::from_mins(5),
        long: time::Duration::from_hours(1),
    };
    let services = burn::compute(&document(), snapshots, windows);
    let service = services.into_iter().find(|s| s.service == SERVICE);
    let classes = service.expect("the service is in the document").classes;
    let class = classes.into_iter().find(|c| c.class == name);
    class.expect("the class is in the document")
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6 * b.abs().max(1.0)
}

/// Guards against counting requests since the start of the process instead of those in the window.
#[test]
fn burn_counts_the_window_only() {
    let snapshots = [
        at(0, vec![node(0, 0.0, 0.0, 0.0)]),
        at(60, vec![node(0, 5000.0, 0.0, 5000.0)]),
        at(65, vec![node(0, 5990.0, 5.0, 5005.0)]),
    ];
    let tourist = class(&snapshots, "tourist");
    assert!(close(tourist.short.requests, 1000.0), "{tourist:?}");
    assert!(close(tourist.short.bad, 10.0), "{tourist:?}");
    assert!(close(tourist.short.rate, 10.0), "{tourist:?}");
    assert!(close(tourist.long.requests, 11_000.0), "{tourist:?}");
}

/// Guards against a restart whose requests are not counted, or that counts earlier requests twice.
#[test]
fn restarted_process_counts_from_zero() {
    let snapshots = [
        at(60, vec![node(0, 1000.0, 0.0, 0.0)]),
        at(62, vec![node(0, 1500.0, 0.0, 0.0)]),
        at(64, vec![node(63, 90.0, 0.0, 10.0)]),
    ];
    let tourist = class(&snapshots, "tourist");
    assert!(close(tourist.short.requests, 600.0), "{tourist:?}");
    assert!(close(tourist.short.bad, 10.0), "{tourist:?}");
}

/// Guards against counting all earlier requests of a node in the window in which it is first queried.
#[test]
fn node_that_appears_late_gives_a_base_only() {
    let old = || node(0, 1_000_000.0, 0.0, 500_000.0);
    let snapshots = [
        at(60, vec![node(0, 1000.0, 0.0, 0.0)]),
        at(64, vec![node(0, 1100.0, 0.0, 0.0), old()]),
    ];
    let tourist = class(&snapshots, "tourist");
    assert!(close(tourist.short.requests, 100.0), "{tourist:?}");
    assert!(close(tourist.short.bad, 0.0), "{tourist:?}");
}

/// Guards against losing the first minutes of a new fleet because no earlier snapshot exists.
#[test]
fn fleet_that_started_in_the_window_counts_from_its_start() {
    let snapshots = [at(63, vec![node(60, 990.0, 0.0, 10.0)])];
    let tourist = class(&snapshots, "tourist");
    assert!(close(tourist.short.requests, 1000.0), "{tourist:?}");
    assert!(close(tourist.short.covered_seconds, 180.0), "{tourist:?}");
}

/// Guards against a wrong remaining budget if the snapshots cover only a part of its window: too high if
/// the requests are compared with the whole window, too low if the part counts as the whole.
#[test]
fn budget_is_spent_in_proportion_to_the_covered_time() {
    let day = 24 * 60;
    let snapshots = [
        at(0, vec![node(0, 0.0, 0.0, 0.0)]),
        at(3 * day, vec![node(0, 9950.0, 0.0, 50.0)]),
    ];
    let all = class(&snapshots, "all");
    assert!(close(all.budget_left_percent, 50.0), "{all:?}");
}

/// Guards against counting cancelled requests as failures of the service.
#[test]
fn cancelled_requests_are_left_out() {
    let snapshots = [at(63, vec![node(60, 10.0, 0.0, 0.0)])];
    let all = class(&snapshots, "all");
    assert!(close(all.short.requests, 10.0), "{all:?}");
}

/// Guards against parsing label values with quotes, commas or braces incorrectly.
#[test]
fn samples_with_escaped_labels_are_read() {
    let text = "# HELP x y\nx{a=\"q\\\"},{\",b=\"\\\\n\"} 4.5 1700000000000\ny 1\n";
    let samples = exposition::parse(text).unwrap();
    assert_eq!(samples.len(), 2);
    assert_eq!(samples[0].label("a"), "q\"},{");
    assert_eq!(samples[0].label("b"), "\\n");
    assert!(close(samples[0].value, 4.5));
    for broken in ["x{a=\"1\" 4", "x{a=1} 4", "x{a=\"1\"}", "x y"] {
        assert!(exposition::parse(broken).is_err(), "{broken}");
    }
}

/// Guards against metric or label names that differ from those the node exports.
#[test]
fn counters_of_a_real_registry_are_read() {
    let metrics = filbertflow::metrics::Metrics::default();
    let labels = [SERVICE, "tourist", "answered"];
    metrics
        .requests
        .with_label_values(&[SERVICE, "tourist", "answered", ""])
        .inc();
    metrics.latency.with_label_values(&labels).observe(0.2);
    let samples = exposition::parse(&metrics.encode()).unwrap();
    let node = snapshot::from_samples(ids::Incarnation(1), &samples);
    assert_eq!(node.requests, [count("tourist", "answered", "", 1.0)]);
    assert!(close(node.latency[0].count, 1.0));
    assert!(node.latency[0].buckets.contains(&(0.1, 0.0)));
    assert!(node.latency[0].buckets.contains(&(0.25, 1.0)));
}

/// Guards against a history file that loses snapshots or grows without bound.
#[test]
fn history_keeps_a_bounded_number_of_snapshots() {
    let file = std::env::temp_dir().join(format!("filbertflow-burn-{}", std::process::id()));
    let file = file.to_str().unwrap();
    let snapshots: Vec<_> = (0..2000)
        .map(|i| at(i, vec![node(0, 1.0, 0.0, 0.0)]))
        .collect();
    snapshot::save(file, &snapshots, time::Duration::from_hours(365 * 24)).unwrap();
    let kept = snapshot::load(file).unwrap();
    std::fs::remove_file(file).unwrap();
    assert!((200..=400).contains(&kept.len()), "{}", kept.len());
    assert_eq!(kept.first(), snapshots.first());
    assert_eq!(kept.last(), snapshots.last());
    assert!(snapshot::load(file).unwrap().is_empty());
}
