//! Tests of the workload and the results of the load tool.

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

/// Guards against a schedule that can't be reproduced from its seed.
#[test]
fn schedule_follows_from_the_seed() {
    let sampler = workload::KeySampler::new(100, workload::KeyDistribution::Zipf(1.0)).unwrap();
    let plan = |seed| workload::schedule(&sampler, 500.0, ms(2000), 0.2, seed);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
    let count = plan(7).len();
    assert!((850..1150).contains(&count), "{count}");
    assert!(plan(7).is_sorted_by_key(|j| j.due));
}

/// Guards against hot keys or writes that get another share of the requests than configured.
#[test]
fn hot_keys_get_their_share() {
    let distribution = "hot:5:0.6".parse().unwrap();
    let sampler = workload::KeySampler::new(1000, distribution).unwrap();
    let requests = workload::schedule(&sampler, 1000.0, ms(10_000), 0.25, 3);
    let share = |n: usize| n as f64 / requests.len() as f64;
    let hot = share(requests.iter().filter(|r| r.key < 5).count());
    let writes = share(requests.iter().filter(|r| r.write).count());
    assert!((0.57..0.63).contains(&hot), "{hot}");
    assert!((0.22..0.28).contains(&writes), "{writes}");
}

/// Guards against shares that do not add up to one, so that some keys would never be sampled.
#[test]
fn shares_sum_up() {
    for spread in ["uniform", "zipf:0.8", "hot:3:0.5"] {
        let sampler = workload::KeySampler::new(50, spread.parse().unwrap()).unwrap();
        let sum: f64 = (0..50).map(|k| sampler.share(k)).sum();
        assert!((sum - 1.0).abs() < 1e-9, "{spread}: {sum}");
    }
}

/// Guards against invalid options that are accepted.
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

/// Guards against an outage that is measured as too short because its requests fail fast.
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

/// Guards against an outage that is not measured because its requests wait and are answered late.
#[test]
fn held_requests_count_as_unavailable() {
    use results::Outcome::Answered;
    let samples = [sample(1, 0, 5, Answered), sample(1, 100, 1600, Answered)];
    assert!((unavailable(&samples) - 1500.0).abs() < 1e-6);
}

/// Guards against an outage at the end of the run that is not measured because no answer follows it.
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

/// Guards against latencies measured from the actual instead of the scheduled send time.
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
