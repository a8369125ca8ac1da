//! Load balancing among backend servers.

use std::time::Duration;

use filbertflow::coordination::sidecar::load_balancing::{Candidate, Limit, pick, pick_share};
use filbertflow::state::clock::Instant;
use filbertflow::state::decayed_average::DecayedAverage;
use rand::SeedableRng;
use rand::rngs::StdRng;

const IDLE: Candidate = Candidate {
    slots: 18,
    outstanding: 0,
    service_ms: 100.0,
    failure_rate: 0.0,
    delay_ms: 0.0,
    warming: false,
    same_domain: true,
    limit: None,
};

/// Returns how often the first of two candidates is picked, in 1000 times.
fn picks_of_first(a: Candidate, b: Candidate) -> usize {
    let mut rng = StdRng::seed_from_u64(7);
    (0..1000)
        .filter(|_| pick(&[a, b], 400.0, &mut rng) == Some(0))
        .count()
}

macro_rules! prefers {
    ($($(#[$doc:meta])* $name:ident: $better:expr, $worse:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(picks_of_first($better, $worse), 1000);
            assert_eq!(picks_of_first($worse, $better), 0);
        }
    )*};
}

prefers! {
    /// Guards against requests that queue while another backend server has free slots.
    free_slots: IDLE, Candidate { outstanding: 30, ..IDLE };
    /// Guards against slow backend servers that get as many requests as fast ones.
    shorter_service_time: IDLE, Candidate { service_ms: 130.0, ..IDLE };
    /// Guards against preferring a backend server that looks fast because it fails half of its
    /// requests immediately.
    lower_failure_rate: Candidate { service_ms: 200.0, ..IDLE }, Candidate { failure_rate: 0.5, ..IDLE };
    /// Guards against preferring a backend server that looks idle because its host, with a tenth of
    /// a core or a saturated link, receives calls half a second late.
    lower_delay: Candidate { outstanding: 25, ..IDLE }, Candidate { delay_ms: 500.0, ..IDLE };
    /// Guards against requests for an idle backend server whose limit has no room, while a busy one
    /// would serve them sooner.
    unlimited: Candidate { outstanding: 25, ..IDLE }, Candidate { limit: Some(Limit { rate: 10.0, room: -1.0 }), ..IDLE };
    /// Guards against leaving unused what a limit has room for.
    limit_with_room: Candidate { limit: Some(Limit { rate: 10.0, room: 1.5 }), ..IDLE }, Candidate { outstanding: 25, ..IDLE };
    /// Guards against overloading a backend server that is still warming up.
    warmed_up: IDLE, Candidate { warming: true, ..IDLE };
}

/// Guards against traffic between failure domains that doesn't improve latency.
#[test]
fn same_domain_is_preferred_among_equals() {
    assert!(
        picks_of_first(
            IDLE,
            Candidate {
                same_domain: false,
                ..IDLE
            }
        ) > 500
    );
}

/// Guards against nodes with the same reports that all pick the same backend server.
#[test]
fn equal_candidates_share_the_load() {
    let n = picks_of_first(IDLE, IDLE);
    assert!((400..600).contains(&n), "{n}");
}

/// Guards against a panic without candidates.
#[test]
fn nothing_is_picked_without_candidates() {
    assert_eq!(pick(&[], 400.0, &mut StdRng::seed_from_u64(1)), None);
}

/// Guards against many nodes that all pick the best of many backend servers, because they use the
/// same reports, which are up to one report interval old.
#[test]
fn many_nodes_spread_over_many() {
    let mut all = vec![IDLE; 28];
    all[3].service_ms = 60.0;
    let mut rng = StdRng::seed_from_u64(7);
    let mut picks = vec![0; all.len()];
    for _ in 0..2800 {
        picks[pick(&all, 2000.0, &mut rng).unwrap()] += 1;
    }
    assert!(picks.iter().all(|&n| (20..1000).contains(&n)), "{picks:?}");
}

/// Guards against a backend server without free slots that is picked because it is in the same
/// failure domain.
#[test]
fn same_domain_does_not_outweigh_a_full_queue() {
    let same_domain = Candidate {
        outstanding: 40,
        ..IDLE
    };
    assert_eq!(
        picks_of_first(
            Candidate {
                same_domain: false,
                ..IDLE
            },
            same_domain
        ),
        1000
    );
}

/// Guards against sending most requests to backend servers that fail them. Three of 22 fail every
/// request within milliseconds while their health checks succeed, and so seem to have the most free
/// slots; 95% of the requests must be served.
#[test]
fn failing_backend_servers_are_avoided() {
    const REQUESTS: u64 = 4000;
    let mut rng = StdRng::seed_from_u64(3);
    let start = Instant::now();
    let mut failure_rates = [DecayedAverage::new(0.06, Duration::from_secs(4), start); 22];
    let mut failed = 0;
    for n in 0..REQUESTS {
        let now = start + Duration::from_millis(n);
        let candidate = |i: usize| {
            let fails = i < 3;
            Candidate {
                outstanding: if fails { 0 } else { 10 },
                failure_rate: failure_rates[i].get(now),
                same_domain: i.is_multiple_of(3),
                ..IDLE
            }
        };
        let all: Vec<_> = (0..failure_rates.len()).map(candidate).collect();
        let i = pick(&all, 1200.0, &mut rng).unwrap();
        failed += u64::from(i < 3);
        failure_rates[i].add(f64::from(u8::from(i < 3)), now);
    }
    assert!(failed * 20 <= REQUESTS, "{failed}");
}

/// Guards against picking by random differences in failure rates when a service that all backend
/// servers depend on fails.
#[test]
fn failures_of_a_shared_dependency_change_nothing() {
    let failing = |rate| Candidate {
        failure_rate: rate,
        ..IDLE
    };
    let slower = |rate| Candidate {
        service_ms: 130.0,
        ..failing(rate)
    };
    assert_eq!(picks_of_first(failing(0.7), slower(0.7)), 1000);
    assert_eq!(picks_of_first(slower(0.7), failing(0.7)), 0);
}

/// Returns the requests that each candidate gets between two reports if `arrivals` requests of many
/// nodes are sent by the same reports.
fn arrivals_of_many_nodes(candidates: &[Candidate], age_ms: f64, arrivals: usize) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(11);
    let ages = vec![age_ms; candidates.len()];
    let mut counts = vec![0; candidates.len()];
    for _ in 0..arrivals {
        let picked = pick_share(candidates, &ages, 600.0, &mut rng).unwrap();
        counts[picked] += 1;
    }
    counts
}

/// Load: 88 nodes send 830 requests per second of 60 ms to nine backend servers, by reports that are
/// 200 ms old. Guards against all nodes choosing the backend server that was idle in the last reports:
/// it would get most of 166 requests at once, and refuse them while others are idle.
#[test]
fn idle_server_is_not_chosen_by_all_nodes() {
    let busy = Candidate {
        slots: 9,
        outstanding: 7,
        service_ms: 60.0,
        ..IDLE
    };
    let mut candidates = vec![busy; 9];
    candidates[4].outstanding = 2;
    let counts = arrivals_of_many_nodes(&candidates, 200.0, 166);
    assert!(counts[4] > counts.iter().sum::<usize>() / 9, "{counts:?}");
    assert!(counts.iter().all(|&n| (6..=40).contains(&n)), "{counts:?}");
}

/// Load: backend servers of different speed at three quarters of their capacity. Guards against a slow
/// one that gets as many requests as a fast one.
#[test]
fn arrivals_follow_the_speed_of_servers() {
    let at = |service_ms| Candidate {
        slots: 9,
        outstanding: 7,
        service_ms,
        ..IDLE
    };
    let counts = arrivals_of_many_nodes(&[at(100.0), at(200.0)], 500.0, 600);
    let ratio = counts[0] as f64 / counts[1] as f64;
    // Their capacities are as two to one; the time to a response is shorter at the fast one too.
    assert!((2.0..4.0).contains(&ratio), "{counts:?}");
}

/// Guards against a few requests that are spread over busy backend servers while one is idle.
#[test]
fn fresh_reports_are_followed() {
    let mut candidates = vec![
        Candidate {
            outstanding: 30,
            ..IDLE
        };
        4
    ];
    candidates[2] = IDLE;
    let counts = arrivals_of_many_nodes(&candidates, 1.0, 100);
    assert_eq!(counts[2], 100);
}

/// Guards against requests beyond what a limit has room for, while others are free.
#[test]
fn limited_server_gets_its_share() {
    let limited = Candidate {
        limit: Some(Limit {
            rate: 10.0,
            room: 1.0,
        }),
        outstanding: 3,
        ..IDLE
    };
    let free = Candidate {
        outstanding: 9,
        ..IDLE
    };
    let counts = arrivals_of_many_nodes(&[limited, free], 200.0, 200);
    assert!(counts[0] < 40, "{counts:?}");
}
