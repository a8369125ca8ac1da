//! Workload and tally of the load tool.

use std::collections::BTreeMap;
use std::time;

use filbertflow::cmd::{results, workload};

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn sample(key: usize, due: u64, done: u64, outcome: results::Outcome) -> results::Sample {
    results::Sample {
        key,
        due: ms(due),
        sent: ms(due),
        done: ms(done),
        outcome,
        reason: "none".to_owned(),
    }
}

fn unavailable(samples: &[results::Sample]) -> f64 {
    results::summarize(samples, 1.0, 1).unavailable.max_ms
}

/// Guards against a seed that does not repeat the workload, so that no failure can be repeated.
#[test]
fn schedule_follows_from_the_seed() {
    let keys = workload::KeySampler::new(100, workload::KeyDistribution::Zipf(1.0)).unwrap();
    let plan = |seed| workload::schedule(&keys, 500.0, ms(2000), 0.2, seed);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
    let count = plan(7).len();
    assert!((850..1150).contains(&count), "{count}");
    assert!(plan(7).is_sorted_by_key(|j| j.due));
}

/// Guards against a hot set that gets another share of the requests than stated.
#[test]
fn hot_keys_get_their_share() {
    let spread = "hot:5:0.6".parse().unwrap();
    let keys = workload::KeySampler::new(1000, spread).unwrap();
    let jobs = workload::schedule(&keys, 1000.0, ms(10_000), 0.25, 3);
    let share = |n: usize| n as f64 / jobs.len() as f64;
    let hot = share(jobs.iter().filter(|j| j.key < 5).count());
    let writes = share(jobs.iter().filter(|j| j.write).count());
    assert!((0.57..0.63).contains(&hot), "{hot}");
    assert!((0.22..0.28).contains(&writes), "{writes}");
}

/// Guards against shares that do not sum up, by which rare keys would never be drawn.
#[test]
fn shares_sum_up() {
    for spread in ["uniform", "zipf:0.8", "hot:3:0.5"] {
        let keys = workload::KeySampler::new(50, spread.parse().unwrap()).unwrap();
        let sum: f64 = (0..50).map(|k| keys.share(k)).sum();
        assert!((sum - 1.0).abs() < 1e-9, "{spread}: {sum}");
    }
}

/// Guards against an invalid option that is taken for a default.
#[test]
fn invalid_spreads_are_refused() {
    for text in [
        "",
        "zipf",
        "zipf:x",
        "zipf:-1",
        "hot:0:0.5",
        "hot:1:1.5",
        "uniform:1",
    ] {
        assert!(text.parse::<workload::KeyDistribution>().is_err(), "{text}");
    }
}

/// Guards against an outage that looks short because its requests failed fast.
#[test]
fn failed_requests_count_as_unavailable_until_the_next_answer() {
    use results::Outcome::{Answered, NotRun};
    let samples = [
        sample(1, 0, 5, Answered),
        sample(1, 100, 101, NotRun),
        sample(1, 900, 901, NotRun),
        sample(1, 1500, 1510, Answered),
        sample(1, 9000, 9005, Answered),
    ];
    assert!((unavailable(&samples) - 1410.0).abs() < 1e-6);
}

/// Guards against an outage that goes unnoticed because its requests were held and then answered.
#[test]
fn held_requests_count_as_unavailable() {
    use results::Outcome::Answered;
    let samples = [sample(1, 0, 5, Answered), sample(1, 100, 1600, Answered)];
    assert!((unavailable(&samples) - 1500.0).abs() < 1e-6);
}

/// Guards against an outage at the end of the run that is not counted for lack of an answer.
#[test]
fn outage_at_the_end_counts() {
    use results::Outcome::{Answered, Unknown};
    let samples = [
        sample(1, 0, 5, Answered),
        sample(1, 1000, 2000, Unknown),
        sample(1, 2500, 3500, Unknown),
    ];
    assert!((unavailable(&samples) - 2500.0).abs() < 1e-6);
}

/// Guards against latencies that start when a late tool got to send the request.
#[test]
fn latency_counts_from_the_due_time() {
    let late = results::Sample {
        sent: ms(800),
        ..sample(1, 100, 900, results::Outcome::Answered)
    };
    let summary = results::summarize(&[late], 1.0, 1);
    assert!((summary.answered_ms.max - 800.0).abs() < 1.0);
    assert!((summary.send_delay_ms.max - 700.0).abs() < 1.0);
    assert_eq!(summary.outcomes, BTreeMap::from([("answered", 1)]));
}
