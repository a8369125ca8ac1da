//! Admission queue of a backend server, under simulated loads.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use filbertflow::coordination::sidecar::admission::{
    AdmissionDecision, AdmissionId, AdmissionQueue, AdmissionRequest, Rank,
};
use filbertflow::coordination::sidecar::service_times::Completion;
use filbertflow::state::clock::Instant;
use quickcheck::quickcheck;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Kind of request of a simulated load, with times in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Kind {
    priority: u8,
    objective: u64,
    limit: u64,
    work: u64,
    /// Time between two arrivals.
    interval: u64,
}

/// Numbers of requests of one kind, by outcome.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Tally {
    in_time: usize,
    late: usize,
    /// Interrupted by the backend server at the deadline.
    interrupted: usize,
    rejected: usize,
    expired: usize,
    /// Longest wait of a request that expired in the queue.
    longest_wait: u64,
}

impl Tally {
    fn all(&self) -> usize {
        self.in_time + self.late + self.interrupted + self.rejected + self.expired
    }

    fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.all().max(1) as f64
    }
}

/// Simulates arrivals of several kinds at a queue, in steps of a millisecond.
fn simulate(slots: usize, kinds: &[Kind], length: u64) -> Vec<Tally> {
    simulate_cold(slots, kinds, length, 0)
}

/// Simulates arrivals at a backend server whose service times are doubled for the first `cold`
/// milliseconds.
fn simulate_cold(slots: usize, kinds: &[Kind], length: u64, cold: u64) -> Vec<Tally> {
    let start = Instant::now();
    let mut queue = AdmissionQueue::new(slots);
    let mut tallies = vec![Tally::default(); kinds.len()];
    let mut waiting: HashMap<AdmissionId, (usize, u64)> = HashMap::new();
    let mut ends: BTreeMap<u64, Vec<(usize, u64, u64)>> = BTreeMap::new();
    for now in 0..length {
        let at = start + ms(now);
        let mut started = Vec::new();
        for (kind, arrived, started_at) in ends.remove(&now).unwrap_or_default() {
            let k = kinds[kind];
            let interrupted = now - arrived >= k.limit;
            let in_time = now - arrived <= k.objective;
            tallies[kind].interrupted += usize::from(interrupted);
            tallies[kind].in_time += usize::from(in_time);
            tallies[kind].late += usize::from(!in_time && !interrupted);
            let end = if interrupted {
                Completion::Interrupted
            } else {
                Completion::Answered
            };
            let dequeued = queue.finish(
                u32::try_from(kind).unwrap(),
                start + ms(started_at),
                end,
                at,
            );
            for id in dequeued.expired {
                let (kind, arrived) = waiting.remove(&id).unwrap();
                tallies[kind].expired += 1;
                tallies[kind].longest_wait = tallies[kind].longest_wait.max(now - arrived);
            }
            started.extend(
                dequeued
                    .started
                    .iter()
                    .map(|id| waiting.remove(id).unwrap()),
            );
        }
        for (kind, k) in kinds.iter().enumerate() {
            if now % k.interval != 0 {
                continue;
            }
            let request = AdmissionRequest {
                rank: Rank::new(k.priority, ms(k.objective)),
                kind: u32::try_from(kind).unwrap(),
                soft_deadline: at + ms(k.objective),
                deadline: at + ms(k.limit),
                nested: false,
            };
            match queue.admit(request, at) {
                AdmissionDecision::Admit => started.push((kind, now)),
                AdmissionDecision::Enqueue(id) => {
                    waiting.insert(id, (kind, now));
                }
                AdmissionDecision::Reject(_) | AdmissionDecision::Throttle(_) => {
                    tallies[kind].rejected += 1;
                }
            }
        }
        assert!(queue.running() <= slots);
        for (kind, arrived) in started {
            let k = kinds[kind];
            let work = if now < cold { 2 * k.work } else { k.work };
            let end = (now + work).min(arrived + k.limit);
            ends.entry(end).or_default().push((kind, arrived, now));
        }
    }
    tallies
}

/// Guards against short calls that fail at overload, which wastes the work already done by the
/// requests that make them. Purchases and the calls of other services exceed the capacity of one
/// backend server, as after the loss of one of three.
#[test]
fn short_calls_are_served_at_overload() {
    let purchase = Kind {
        priority: 1,
        objective: 500,
        limit: 1200,
        work: 160,
        interval: 8,
    };
    let call = Kind {
        priority: 1,
        objective: 120,
        limit: 400,
        work: 30,
        interval: 6,
    };
    let tallies = simulate(18, &[purchase, call], 20_000);
    assert!(tallies[1].in_time_share() > 0.99, "{tallies:?}");
    assert!(tallies[0].in_time_share() > 0.5, "{tallies:?}");
}

/// Guards against late responses under a sustained load of about 1.7 times the capacity.
#[test]
fn overload_serves_in_time_and_rejects_early() {
    let read = Kind {
        priority: 2,
        objective: 400,
        limit: 1000,
        work: 120,
        interval: 4,
    };
    let [tally] = simulate(18, &[read], 20_000)[..] else {
        panic!("expected one kind");
    };
    // The capacity is 18 / 0.12 s = 150 requests per second, 0.6 of the 250 that arrive.
    assert!(tally.in_time_share() > 0.55, "{tally:?}");
    assert!(tally.late + tally.expired < tally.all() / 20, "{tally:?}");
}

/// Guards against less urgent requests that take slots from urgent ones.
#[test]
fn urgent_requests_go_first() {
    let urgent = Kind {
        priority: 1,
        objective: 500,
        limit: 1200,
        work: 160,
        interval: 10,
    };
    let other = Kind {
        priority: 2,
        objective: 400,
        limit: 1000,
        work: 120,
        interval: 5,
    };
    let tallies = simulate(18, &[urgent, other], 20_000);
    assert!(tallies[0].in_time_share() > 0.99, "{tallies:?}");
}

/// Guards against a queue that rejects or delays requests while slots are free.
#[test]
fn light_load_never_waits() {
    let read = Kind {
        priority: 2,
        objective: 400,
        limit: 1000,
        work: 120,
        interval: 10,
    };
    let [tally] = simulate(18, &[read], 5_000)[..] else {
        panic!("expected one kind");
    };
    assert_eq!(tally.in_time, tally.all());
}

/// Guards against requests that are interrupted at their deadline and requests that expire in the
/// queue after a cold start; both take capacity from requests that could be served. A service
/// restarts after the loss of all its hosts: it is warming up, no service times are known, and
/// requests arrive at the usual rate.
#[test]
fn cold_start_admits_what_it_can_execute() {
    let read = Kind {
        priority: 2,
        objective: 1000,
        limit: 2500,
        work: 640,
        interval: 25,
    };
    let [tally] = simulate_cold(18, &[read], 5_000, 4_000)[..] else {
        panic!("expected one kind");
    };
    // 18 slots execute 14 of the 40 requests per second during the warm-up.
    assert!(
        tally.interrupted + tally.expired <= tally.all() / 20,
        "{tally:?}"
    );
    assert!(tally.in_time + tally.late >= 50, "{tally:?}");
}

/// Guards against queueing a request that can't complete before its deadline.
#[test]
fn infeasible_request_is_rejected_on_arrival() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(1);
    let request = |limit| AdmissionRequest {
        rank: Rank::new(1, ms(500)),
        kind: 1,
        soft_deadline: now + ms(500),
        deadline: now + ms(limit),
        nested: false,
    };
    assert_eq!(queue.admit(request(1000), now), AdmissionDecision::Admit);
    let later = now + ms(300);
    queue.finish(1, now, Completion::Answered, later);
    let infeasible = AdmissionRequest {
        deadline: later + ms(100),
        nested: false,
        ..request(0)
    };
    assert!(matches!(
        queue.admit(infeasible, later),
        AdmissionDecision::Reject(_)
    ));
}

/// Guards against a leaked queue position when a caller disconnects while its request is queued.
#[test]
fn cancelled_request_frees_its_position() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(1);
    let request = AdmissionRequest {
        rank: Rank::new(1, ms(500)),
        kind: 1,
        soft_deadline: now + ms(500),
        deadline: now + ms(2000),
        nested: false,
    };
    assert_eq!(queue.admit(request, now), AdmissionDecision::Admit);
    let AdmissionDecision::Enqueue(first) = queue.admit(request, now) else {
        panic!("the only slot is taken");
    };
    let AdmissionDecision::Enqueue(second) = queue.admit(request, now) else {
        panic!("the only slot is taken");
    };
    assert!(queue.cancel(first));
    assert!(!queue.cancel(first));
    assert_eq!(
        queue.finish(1, now, Completion::Interrupted, now).started,
        [second]
    );
    assert_eq!((queue.running(), queue.waiting()), (1, 0));
}

quickcheck! {
    /// Guards against more running requests than slots, and against requests that the queue loses.
    fn every_request_is_accounted_for(slots: u8, arrivals: Vec<(u8, u8, u16)>) -> bool {
        let slots = usize::from(slots % 8) + 1;
        let start = Instant::now();
        let mut queue = AdmissionQueue::new(slots);
        let (mut started, mut waiting, mut rejected, mut expired, mut ended) = (0, 0, 0, 0, 0);
        for (i, (priority, gap, limit)) in arrivals.iter().enumerate() {
            let now = start + ms(i as u64 * u64::from(*gap));
            let request = AdmissionRequest {
                rank: Rank::new(priority % 3, ms(200)),
                kind: u32::from(priority % 3),
                soft_deadline: now + ms(200),
                deadline: now + ms(u64::from(*limit)),
                nested: false,
            };
            match queue.admit(request, now) {
                AdmissionDecision::Admit => started += 1,
                AdmissionDecision::Enqueue(_) => waiting += 1,
                AdmissionDecision::Reject(_) | AdmissionDecision::Throttle(_) => rejected += 1,
            }
            if gap % 2 == 0 && queue.running() > 0 {
                ended += 1;
                let dequeued = queue.finish(request.kind, now, Completion::Answered, now);
                started += dequeued.started.len();
                expired += dequeued.expired.len();
                waiting -= dequeued.started.len() + dequeued.expired.len();
            }
            if queue.running() > slots {
                return false;
            }
        }
        queue.running() == started - ended
            && queue.waiting() == waiting
            && arrivals.len() == started + waiting + rejected + expired
    }
}
