//! Backend servers that state how fast they work at present, or are slower than others.

use std::time::Duration;

use filbertflow::coordination::sidecar::load_balancing::{self, Candidate};
use filbertflow::coordination::sidecar::planner;
use filbertflow::coordination::sidecar::service_times::{Completion, ServiceTimes};
use filbertflow::coordination::sidecar::speed::SpeedTracker;
use filbertflow::protocol::mesh::{Health, Load};
use filbertflow::state::clock::Instant;
use filbertflow::state::keyspace::Holder;
use rand::SeedableRng;
use rand::rngs::StdRng;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const OBJECTIVE: Duration = ms(400);

/// Runs 40 requests one after the other, each of 100 ms at normal speed, while the backend server states
/// a slowdown if there is one; returns the estimators and the time of the last end.
fn measured(slowdown: f64, stated: bool) -> (ServiceTimes, Instant) {
    let mut times = ServiceTimes::default();
    let mut now = Instant::now();
    for _ in 0..40 {
        times.record_start(1, OBJECTIVE, now);
        let begun = now;
        now = now + ms(100).mul_f64(slowdown);
        if stated {
            times.speed.record(slowdown, now);
        }
        times.record_end(1, begun, Completion::Answered, now);
    }
    (times, now)
}

fn assert_close(duration: Duration, expected_ms: f64) {
    let got = duration.as_secs_f64() * 1000.0;
    assert!(
        (got / expected_ms - 1.0).abs() < 0.1,
        "{got} ms instead of {expected_ms}"
    );
}

/// The backend server worked at half its speed and is now at normal speed, or the reverse. Guards against
/// estimates that follow only after many requests.
#[test]
fn estimates_follow_the_present_speed() {
    for (before, present) in [(2.0, 1.0), (1.0, 3.0), (2.0, 0.5)] {
        let (mut times, end) = measured(before, true);
        times.speed.record(present, end);
        assert_close(times.estimate(1, OBJECTIVE, end), 100.0 * present);
        assert_close(times.mean(end).unwrap(), 100.0 * present);
    }
}

/// Guards against a value that stays in use after the backend server has become silent.
#[test]
fn old_values_are_not_used() {
    let (times, end) = measured(3.0, true);
    assert_close(times.estimate(1, OBJECTIVE, end + ms(1000)), 300.0);
    assert_close(times.estimate(1, OBJECTIVE, end + ms(1001)), 100.0);
}

/// Guards against changes for backend servers that state nothing.
#[test]
fn without_a_stated_speed_the_measured_time_counts() {
    let (times, end) = measured(2.0, false);
    assert_close(times.estimate(1, OBJECTIVE, end), 200.0);
    assert_eq!(times.steady_mean(end), None);
    let estimate = ServiceTimes::default().estimate(1, OBJECTIVE, end);
    assert_eq!(estimate, ms(140));
}

/// Speed alternates between normal and a fifth of it every 0.1 s. Guards against an average that is as
/// restless.
#[test]
fn average_is_steady() {
    let start = Instant::now();
    let mut speed = SpeedTracker::default();
    let mut averages = Vec::new();
    for n in 0..200 {
        let slowdown = if n % 2 == 0 { 1.0 } else { 5.0 };
        speed.record(slowdown, start + ms(n * 100));
        if n >= 150 {
            averages.push(speed.average().unwrap());
        }
    }
    assert!(
        averages.iter().all(|a| (2.7..3.3).contains(a)),
        "{averages:?}"
    );
}

fn member(n: u8, load: Load) -> (Option<Holder>, Load) {
    let holder = Holder {
        node: format!("10.0.0.{n}:1"),
        backend: format!("b{n}"),
        born: 1,
    };
    (Some(holder), load)
}

fn ready() -> Load {
    Load {
        health: Health::Ready,
        slots: 9,
        service_ms: 100.0,
        ..Load::default()
    }
}

/// Guards against equal shares of keys for backend servers of different speed, against shares that follow
/// each change of speed, and against the full capacity of a cold one.
#[test]
fn planner_counts_what_a_server_can_do() {
    let slow = Load {
        service_ms: 200.0,
        ..ready()
    };
    let slow_now = Load {
        service_ms: 500.0,
        slowdown: 5.0,
        steady_ms: 100.0,
        ..ready()
    };
    let cold = Load {
        cold_rate: 11.0,
        ..ready()
    };
    let loads = [ready(), slow, slow_now, cold];
    let all: Vec<_> = (0..).zip(loads).map(|(n, load)| member(n, load)).collect();
    let members = planner::members(&all);
    let capacities: Vec<_> = members.iter().map(|m| m.capacity.round()).collect();
    assert_eq!(capacities, [90.0, 45.0, 90.0, 11.0]);
    assert!(members.iter().all(|m| !m.limited), "{members:?}");
}

/// Pattern: 90% of the capacity of four servers that take 50, 80, 100 and 140 ms, with reports that are
/// 100 ms old. Guards against a slow server that gets more than its capacity, or nothing.
#[test]
fn slow_server_gets_its_share() {
    const LENGTH_MS: u64 = 30_000;
    let work = [50_u64, 80, 100, 140];
    let capacities = work.map(|w| 9.0 * 1000.0 / w as f64);
    let rate = 0.9 * capacities.iter().sum::<f64>();
    let mut rng = StdRng::seed_from_u64(11);
    // End times of the running requests, and number of waiting ones.
    let mut running: [Vec<u64>; 4] = Default::default();
    let (mut waiting, mut served, mut longest) = ([0_usize; 4], [0_usize; 4], 0);
    let (mut reported, mut sent, mut due) = ([0_usize; 4], [0_usize; 4], 0.0);
    for now in 0..LENGTH_MS {
        for n in 0..4 {
            running[n].retain(|end| *end > now);
            while running[n].len() < 9 && waiting[n] > 0 {
                running[n].push(now + work[n]);
                waiting[n] -= 1;
            }
        }
        if now.is_multiple_of(100) {
            reported = [0, 1, 2, 3].map(|n: usize| running[n].len() + waiting[n]);
            sent = [0; 4];
        }
        due += rate / 1000.0;
        while due >= 1.0 {
            due -= 1.0;
            let candidates = [0, 1, 2, 3].map(|n: usize| Candidate {
                slots: 9,
                outstanding: u16::try_from(reported[n] + sent[n]).unwrap(),
                service_ms: work[n] as f64,
                failure_rate: 0.0,
                delay_ms: 0.0,
                warming: false,
                same_domain: true,
                limit: None,
            });
            let n = load_balancing::pick(&candidates, 400.0, &mut rng).unwrap();
            waiting[n] += 1;
            sent[n] += 1;
            served[n] += 1;
            longest = longest.max(waiting[n]);
        }
    }
    // The requests that run and wait at the end are counted too.
    for (count, capacity) in served.iter().zip(capacities) {
        let used = *count as f64 * 1000.0 / LENGTH_MS as f64 / capacity;
        assert!((0.6..=1.01).contains(&used), "{served:?} of {capacities:?}");
    }
    assert!(longest <= 18, "{longest} requests waited at one server");
}
