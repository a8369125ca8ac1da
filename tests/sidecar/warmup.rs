//! Requests to a backend server that is cold, or becomes cold unnoticed.
//!
//! Unless a test says otherwise: warm-up rate 11/s, ratio 1.5 and slack 8, so that the bound is 24.5 in
//! any second; 9 slots, 100 ms for a request.

use std::collections::HashSet;
use std::time::Duration;

use filbertflow::coordination::sidecar::admission::{
    AdmissionDecision, AdmissionId, AdmissionQueue, AdmissionRequest, Rank,
};
use filbertflow::coordination::sidecar::service_times::Completion;
use filbertflow::coordination::sidecar::warmup::{Check, Warmup, WarmupLimits};
use filbertflow::state::clock::Instant;
use filbertflow::state::sidecar_settings::WarmupExcess;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const RATE: f64 = 11.0;
const BOUND: f64 = 24.5;
const EXCESS: WarmupExcess = WarmupExcess {
    ratio: 1.5,
    slack: 8.0,
};
const SLOTS: usize = 9;
const WORK_MS: u64 = 100;
const HEARTBEAT_MS: u64 = 870;

/// Load and faults of a simulation; times in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Play {
    /// Time between two groups of arrivals.
    interval: u64,
    /// Requests that arrive at once.
    group: u64,
    /// From and until when the backend server is cold.
    cold: (u64, u64),
    /// Time for the answer to a health check; `None` if each one is refused.
    check: Option<u64>,
    /// Delay of heartbeats.
    late: u64,
    /// Time at which the process is restarted.
    restart: Option<u64>,
    /// From and until when the port of the backend server is closed.
    down: (u64, u64),
    /// Limit that the backend server names.
    named: Option<f64>,
}

const USUAL: Play = Play {
    interval: 33,
    group: 1,
    // Just after a heartbeat.
    cold: (6100, 9100),
    check: Some(3),
    late: 5,
    restart: None,
    down: (0, 0),
    named: None,
};

#[derive(Debug, Default)]
struct Seen {
    starts: Vec<u64>,
    checks: Vec<u64>,
    refused: usize,
}

impl Seen {
    /// Returns the largest number of starts in any second that begins at or after `from` and ends at
    /// `until`.
    fn busiest(&self, (from, until): (u64, u64)) -> usize {
        let starts: Vec<_> = self
            .starts
            .iter()
            .filter(|s| (from..until).contains(*s))
            .collect();
        let count = |(n, at): (usize, &&u64)| starts.partition_point(|s| **s < **at + 1000) - n;
        starts.iter().enumerate().map(count).max().unwrap_or(0)
    }

    fn rate(&self, from: u64, until: u64) -> f64 {
        let count = self.starts.iter().filter(|s| (from..until).contains(*s));
        count.count() as f64 * 1000.0 / (until - from) as f64
    }
}

const LENGTH_MS: u64 = 14_000;

fn simulate(play: Play) -> Seen {
    let start = Instant::now();
    let limits = WarmupLimits::new(Some(RATE), EXCESS);
    let new_queue = |now: u64| {
        let mut queue = AdmissionQueue::new(SLOTS);
        queue.set_warmup(Some(Warmup::new(limits)), start + ms(now));
        queue.set_rate_limit(play.named, start + ms(now));
        queue
    };
    let left = |now: u64| match now {
        now if now >= play.cold.0 => play.cold.1.saturating_sub(now),
        _ => 0,
    };
    let mut queue = new_queue(0);
    let mut seen = Seen::default();
    let mut waiting: HashSet<AdmissionId> = HashSet::new();
    let mut running: Vec<u64> = Vec::new();
    // Time of the answer, and what it states.
    let mut check: Option<(u64, Check)> = None;
    for now in 0..LENGTH_MS {
        let at = start + ms(now);
        if play.restart == Some(now) {
            queue = new_queue(now);
            (waiting, running, check) = (HashSet::new(), Vec::new(), None);
        }
        if now >= play.late && (now - play.late).is_multiple_of(HEARTBEAT_MS) {
            let end = at + ms(left(now - play.late));
            queue.change_warmup(at, |w| w.record_heartbeat(end, at));
        }
        if let Some((_, result)) = check.take_if(|(due, _)| *due == now) {
            queue.change_warmup(at, |w| w.record_result(result, at));
        }
        if queue.warmup().unwrap().next_check(at) == Some(Duration::ZERO) {
            queue.change_warmup(at, |w| w.record_check(at));
            seen.checks.push(now);
            check = Some(match play.check {
                _ if (play.down.0..play.down.1).contains(&now) => (now + 1, Check::Unreachable),
                Some(delay) => (now + delay, Check::Answered(ms(left(now)))),
                None => (now + 1, Check::Failed),
            });
        }
        let mut started = queue.dequeue(at).started;
        for began in running
            .extract_if(.., |began| now >= *began + WORK_MS)
            .collect::<Vec<_>>()
        {
            let ended = queue.finish(0, start + ms(began), Completion::Answered, at);
            started.extend(ended.started);
        }
        let expired = queue.expire(at).len();
        seen.refused += expired;
        if now.is_multiple_of(play.interval) {
            for _ in 0..play.group {
                let request = AdmissionRequest {
                    rank: Rank::new(1, ms(400)),
                    kind: 0,
                    soft_deadline: at + ms(400),
                    deadline: at + ms(1000),
                    nested: false,
                };
                match queue.admit(request, at) {
                    AdmissionDecision::Admit => {
                        running.push(now);
                        seen.starts.push(now);
                    }
                    AdmissionDecision::Enqueue(id) => {
                        waiting.insert(id);
                    }
                    AdmissionDecision::Reject(_) | AdmissionDecision::Throttle(_) => {
                        seen.refused += 1;
                    }
                }
            }
        }
        for id in started {
            assert!(waiting.remove(&id));
            running.push(now);
            seen.starts.push(now);
        }
    }
    seen
}

/// Defines a test that no second of the cold time has more requests than the bound.
macro_rules! bound_holds {
    ($($(#[$doc:meta])* $name:ident: $play:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let play: Play = $play;
            let seen = simulate(play);
            let busiest = seen.busiest(play.cold);
            assert!((busiest as f64) < BOUND, "{busiest} requests in a second");
        }
    )*};
}

bound_holds! {
    /// Pattern: 30 requests/s, and the backend server becomes cold between two heartbeats. Guards against
    /// the usual rate until the next heartbeat.
    cold_in_its_usual_load: USUAL;
    /// Pattern: as before, with groups of nine requests at once.
    cold_in_a_load_of_groups: Play { interval: 300, group: 9, ..USUAL };
    /// Pattern: three times the usual rate. Guards against a rate at which the shortest interval between
    /// checks is too long.
    cold_in_a_high_load: Play { interval: 11, ..USUAL };
    /// Pattern: checks take 350 ms. Guards against the usual rate until the answer.
    cold_with_slow_checks: Play { check: Some(350), ..USUAL };
    /// Pattern: heartbeats are 2 s late. Guards against taking one for the present state.
    cold_with_late_heartbeats: Play { late: 2000, ..USUAL };
    /// Pattern: the process is restarted beside a cold backend server whose heartbeats are late. Guards
    /// against the usual rate of a process that doesn't know.
    restarted_beside_a_cold_server: Play { late: 2000, restart: Some(7000), ..USUAL };
    /// Pattern: three times the usual rate; the backend server ends and starts again under the same
    /// identifier, and its heartbeats are late. Guards against the state of the previous incarnation.
    restarted_server: Play { interval: 11, late: 2000, down: (6100, 6900), cold: (6900, 9900), ..USUAL };
    /// Pattern: the process is restarted 0.3 s after its backend server became cold unnoticed. Guards
    /// against a second budget within the same second.
    restarted_soon_after: Play { interval: 11, restart: Some(6300), ..USUAL };
}

/// Guards against limits that hold up a warm backend server, before its warm-up and after it.
#[test]
fn warm_server_gets_its_usual_rate() {
    let seen = simulate(USUAL);
    for (from, until) in [(1000, 6000), (9500, LENGTH_MS)] {
        let rate = seen.rate(from, until);
        assert!(rate > 29.0, "{rate} requests/s");
    }
}

/// Guards against a cold backend server that gets much less than its rate, and against requests that
/// wait in vain.
#[test]
fn cold_server_gets_its_rate() {
    let seen = simulate(USUAL);
    let rate = seen.rate(7000, 9000);
    assert!((9.5..=12.0).contains(&rate), "{rate} requests/s");
    // Two thirds of about 90 requests can't be served.
    assert!((30..=75).contains(&seen.refused), "{}", seen.refused);
}

/// The backend server names a limit above or below the warm-up rate. Guards against the higher of the
/// two while it is cold, and against the warm-up rate as the only limit.
#[test]
fn lower_of_limit_and_warmup_rate_applies() {
    let rates = [20.0, 5.0].map(|named| {
        let seen = simulate(Play {
            named: Some(named),
            ..USUAL
        });
        [
            seen.rate(2000, 6000),
            seen.rate(7000, 9000),
            seen.rate(10_000, LENGTH_MS),
        ]
    });
    let expected = [[20.0, 11.0, 20.0], [5.0, 5.0, 5.0]];
    for (rate, expected) in rates.as_flattened().iter().zip(expected.as_flattened()) {
        assert!((0.85..1.15).contains(&(rate / expected)), "{rates:?}");
    }
}

/// Guards against health checks when there is hardly any traffic, and against more than ten a second.
#[test]
fn health_checks_follow_the_traffic() {
    let rare = simulate(Play {
        interval: 500,
        ..USUAL
    });
    // One at the start and one at the end of the warm-up.
    assert!(rare.checks.len() <= 3, "{:?}", rare.checks);
    let high = simulate(Play {
        interval: 11,
        ..USUAL
    });
    let shortest = high.checks.windows(2).map(|w| w[1] - w[0]).min();
    assert!(shortest >= Some(100), "{shortest:?}");
    let usual = simulate(USUAL).checks.len();
    assert!(usual <= 90, "{usual} checks in {LENGTH_MS} ms");
}

/// Health checks are refused. Guards against a backend server without them that stays at its warm-up
/// rate, and against forgetting what heartbeats say.
#[test]
fn heartbeats_count_when_checks_fail() {
    let play = Play {
        check: None,
        ..USUAL
    };
    let seen = simulate(play);
    let warm = seen.rate(1000, 6000);
    assert!(warm > 29.0, "{warm} requests/s");
    let cold = seen.rate(7000, 9000);
    assert!(cold <= 12.0, "{cold} requests/s");
}

/// Guards against the answer of an earlier incarnation that is taken for one of the present one.
#[test]
fn answer_of_an_earlier_incarnation_counts_for_nothing() {
    let start = Instant::now();
    let mut warmup = Warmup::new(WarmupLimits::new(Some(RATE), EXCESS));
    warmup.record_check(start);
    warmup.reset(start + ms(1));
    warmup.record_result(Check::Answered(Duration::ZERO), start + ms(2));
    assert!(warmup.is_cold());
}

/// Guards against limits that can't keep a bound without slack, or that hold up everything.
#[test]
fn limits_follow_the_settings() {
    let limits = WarmupLimits::new(Some(RATE), EXCESS);
    assert!(limits.rate + 2.75 + limits.budget <= BOUND, "{limits:?}");
    let tight = WarmupLimits::new(
        Some(10.0),
        WarmupExcess {
            ratio: 1.0,
            slack: 0.0,
        },
    );
    assert!(
        (tight.rate - 8.0).abs() < 1e-9 && tight.budget >= 1.0,
        "{tight:?}"
    );
    let unknown = WarmupLimits::new(None, EXCESS);
    assert!(unknown.rate <= EXCESS.slack, "{unknown:?}");
}

/// A backend server's port is closed, and the health check after it is answered without the warm-up time,
/// since the server is still starting. Guards against the usual rate for a server that is cold.
#[test]
fn failed_check_says_nothing_of_a_server_that_was_down() {
    let start = Instant::now();
    let mut warmup = Warmup::new(WarmupLimits::new(Some(RATE), EXCESS));
    let check = |warmup: &mut Warmup, result, at| {
        warmup.record_check(start + ms(at));
        warmup.record_result(result, start + ms(at + 3));
    };
    warmup.record_heartbeat(start, start);
    check(&mut warmup, Check::Answered(Duration::ZERO), 100);
    assert!(!warmup.is_cold());
    check(&mut warmup, Check::Unreachable, 600);
    check(&mut warmup, Check::Failed, 1100);
    assert!(warmup.is_cold());
    // A heartbeat shows that it is up; the next answer tells the rest.
    warmup.record_heartbeat(start + ms(1300), start + ms(1300));
    check(&mut warmup, Check::Answered(Duration::ZERO), 1400);
    assert!(!warmup.is_cold());
}
