//! Choice of a backend server.

use std::time::Duration;

use filbertflow::coordination::sidecar::load_balancing::{Candidate, pick};
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
};

/// Returns how often the first of two candidates is chosen, of 1000 times.
fn first(a: Candidate, b: Candidate) -> usize {
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
            assert_eq!(first($better, $worse), 1000);
            assert_eq!(first($worse, $better), 0);
        }
    )*};
}

prefers! {
    /// Guards against requests that wait while another backend server has room.
    room: IDLE, Candidate { outstanding: 30, ..IDLE };
    /// Guards against slow backend servers that get as much as fast ones.
    speed: IDLE, Candidate { service_ms: 130.0, ..IDLE };
    /// Pattern: a backend server that refuses half of its requests at once looks fast.
    soundness: Candidate { service_ms: 200.0, ..IDLE }, Candidate { failure_rate: 0.5, ..IDLE };
    /// Pattern: a host with a tenth of a core or a full link takes calls half a second late, and its
    /// backend server, which gets few, looks idle. Guards against more of them.
    delay: Candidate { outstanding: 25, ..IDLE }, Candidate { delay_ms: 500.0, ..IDLE };
    /// Guards against a rush on a backend server that has just started.
    warmth: IDLE, Candidate { warming: true, ..IDLE };
}

/// Guards against bytes between failure domains that serve nobody better.
#[test]
fn near_one_is_preferred_among_equals() {
    assert!(
        first(
            IDLE,
            Candidate {
                same_domain: false,
                ..IDLE
            }
        ) > 500
    );
}

/// Guards against nodes with the same reports that all choose the same backend server.
#[test]
fn equals_share() {
    let n = first(IDLE, IDLE);
    assert!((400..600).contains(&n), "{n}");
}

/// Guards against a choice among nothing.
#[test]
fn none_of_none() {
    assert_eq!(pick(&[], 400.0, &mut StdRng::seed_from_u64(1)), None);
}

/// Pattern: many nodes choose among many backend servers by the same reports, which are as old as
/// the time between two reports. Guards against all of them meeting at the best one.
#[test]
fn many_nodes_spread_over_many() {
    let mut all = vec![IDLE; 28];
    all[3].service_ms = 60.0;
    let mut rng = StdRng::seed_from_u64(7);
    let mut got = vec![0; all.len()];
    for _ in 0..2800 {
        got[pick(&all, 2000.0, &mut rng).unwrap()] += 1;
    }
    assert!(got.iter().all(|&n| (20..1000).contains(&n)), "{got:?}");
}

/// Guards against a backend server without room that is chosen for its nearness.
#[test]
fn nearness_does_not_outweigh_a_full_queue() {
    let near = Candidate {
        outstanding: 40,
        ..IDLE
    };
    assert_eq!(
        first(
            Candidate {
                same_domain: false,
                ..IDLE
            },
            near
        ),
        1000
    );
}

/// Pattern: three of 22 backend servers fail every request within milliseconds while their health
/// check is good, and so seem to have more room than all others. Guards against a rush on them: 95% of
/// the requests are to be served.
#[test]
fn rush_on_failing_ones_is_avoided() {
    const REQUESTS: u64 = 4000;
    let mut rng = StdRng::seed_from_u64(3);
    let start = Instant::now();
    let mut shares = [DecayedAverage::new(0.06, Duration::from_secs(4), start); 22];
    let mut lost = 0;
    for n in 0..REQUESTS {
        let now = start + Duration::from_millis(n);
        let candidate = |i: usize| {
            let fails = i < 3;
            Candidate {
                outstanding: if fails { 0 } else { 10 },
                failure_rate: shares[i].get(now),
                same_domain: i.is_multiple_of(3),
                ..IDLE
            }
        };
        let all: Vec<_> = (0..shares.len()).map(candidate).collect();
        let i = pick(&all, 1200.0, &mut rng).unwrap();
        lost += u64::from(i < 3);
        shares[i].add(f64::from(u8::from(i < 3)), now);
    }
    assert!(lost * 20 <= REQUESTS, "{lost}");
}

/// Pattern: a service that all depend on fails, and each backend server answers with the failure of
/// its calls. Guards against a choice by chance differences.
#[test]
fn failures_that_all_share_change_nothing() {
    let failing = |share| Candidate {
        failure_rate: share,
        ..IDLE
    };
    let slower = |share| Candidate {
        service_ms: 130.0,
        ..failing(share)
    };
    assert_eq!(first(failing(0.7), slower(0.7)), 1000);
    assert_eq!(first(slower(0.7), failing(0.7)), 0);
}
