//! Queue of a backend server, replayed with the loads that it answers.

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

/// Kind of request of a replayed load.
#[derive(Debug, Clone, Copy)]
struct Kind {
    priority: u8,
    objective: u64,
    limit: u64,
    work: u64,
    /// Time between two arrivals.
    every: u64,
}

/// What became of the requests of one kind.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Tally {
    timely: usize,
    late: usize,
    /// Ended by the backend server at the caller's limit.
    lost: usize,
    refused: usize,
    expired: usize,
    /// Longest time for which one was held that was not run.
    held: u64,
}

impl Tally {
    fn all(&self) -> usize {
        self.timely + self.late + self.lost + self.refused + self.expired
    }

    fn timely_share(&self) -> f64 {
        self.timely as f64 / self.all().max(1) as f64
    }
}

/// Plays arrivals of several kinds against a queue, in steps of a millisecond.
fn replay(slots: usize, kinds: &[Kind], length: u64) -> Vec<Tally> {
    replay_cold(slots, kinds, length, 0)
}

/// Plays arrivals against a backend server that takes twice as long for the first `cold` milliseconds.
fn replay_cold(slots: usize, kinds: &[Kind], length: u64, cold: u64) -> Vec<Tally> {
    let start = Instant::now();
    let mut queue = AdmissionQueue::new(slots);
    let mut tallies = vec![Tally::default(); kinds.len()];
    let mut waiting: HashMap<AdmissionId, (usize, u64)> = HashMap::new();
    let mut ends: BTreeMap<u64, Vec<(usize, u64, u64)>> = BTreeMap::new();
    for now in 0..length {
        let at = start + ms(now);
        let mut begun = Vec::new();
        for (kind, arrived, began) in ends.remove(&now).unwrap_or_default() {
            let k = kinds[kind];
            let lost = now - arrived >= k.limit;
            let timely = now - arrived <= k.objective;
            tallies[kind].lost += usize::from(lost);
            tallies[kind].timely += usize::from(timely);
            tallies[kind].late += usize::from(!timely && !lost);
            let end = if lost {
                Completion::Interrupted
            } else {
                Completion::Answered
            };
            let turn = queue.finish(u32::try_from(kind).unwrap(), start + ms(began), end, at);
            for id in turn.expired {
                let (kind, arrived) = waiting.remove(&id).unwrap();
                tallies[kind].expired += 1;
                tallies[kind].held = tallies[kind].held.max(now - arrived);
            }
            begun.extend(turn.started.iter().map(|id| waiting.remove(id).unwrap()));
        }
        for (kind, k) in kinds.iter().enumerate() {
            if now % k.every != 0 {
                continue;
            }
            let ticket = AdmissionRequest {
                rank: Rank::new(k.priority, ms(k.objective)),
                kind: u32::try_from(kind).unwrap(),
                soft_deadline: at + ms(k.objective),
                deadline: at + ms(k.limit),
            };
            match queue.admit(ticket, at) {
                AdmissionDecision::Admit => begun.push((kind, now)),
                AdmissionDecision::Enqueue(id) => {
                    waiting.insert(id, (kind, now));
                }
                AdmissionDecision::Reject(_) => tallies[kind].refused += 1,
            }
        }
        assert!(queue.running() <= slots);
        for (kind, arrived) in begun {
            let k = kinds[kind];
            let work = if now < cold { 2 * k.work } else { k.work };
            let end = (now + work).min(arrived + k.limit);
            ends.entry(end).or_default().push((kind, arrived, now));
        }
    }
    tallies
}

/// Pattern: purchases and the short calls of other services on one backend server that has too
/// little room, as when one of three is gone. The work that has begun elsewhere must not be lost.
#[test]
fn short_calls_are_served_at_overload() {
    let purchase = Kind {
        priority: 1,
        objective: 500,
        limit: 1200,
        work: 160,
        every: 8,
    };
    let call = Kind {
        priority: 1,
        objective: 120,
        limit: 400,
        work: 30,
        every: 6,
    };
    let tallies = replay(18, &[purchase, call], 20_000);
    assert!(tallies[1].timely_share() > 0.99, "{tallies:?}");
    assert!(tallies[0].timely_share() > 0.5, "{tallies:?}");
}

/// Pattern: half more requests than room, for long. Those that are served must be in time.
#[test]
fn overload_serves_in_time_and_refuses_early() {
    let read = Kind {
        priority: 2,
        objective: 400,
        limit: 1000,
        work: 120,
        every: 4,
    };
    let [tally] = replay(18, &[read], 20_000)[..] else {
        panic!("one kind");
    };
    // Capacity is 18 / 0.12 s = 150 a second, of 250 that come: 0.6.
    assert!(tally.timely_share() > 0.55, "{tally:?}");
    assert!(tally.late + tally.expired < tally.all() / 20, "{tally:?}");
}

/// Pattern: a less urgent kind takes what the urgent one leaves, and never its room.
#[test]
fn urgent_requests_go_first() {
    let urgent = Kind {
        priority: 1,
        objective: 500,
        limit: 1200,
        work: 160,
        every: 10,
    };
    let other = Kind {
        priority: 2,
        objective: 400,
        limit: 1000,
        work: 120,
        every: 5,
    };
    let tallies = replay(18, &[urgent, other], 20_000);
    assert!(tallies[0].timely_share() > 0.99, "{tallies:?}");
}

/// Guards against a queue that refuses although slots are free.
#[test]
fn light_load_never_waits() {
    let read = Kind {
        priority: 2,
        objective: 400,
        limit: 1000,
        work: 120,
        every: 10,
    };
    let [tally] = replay(18, &[read], 5_000)[..] else {
        panic!("one kind");
    };
    assert_eq!(tally.timely, tally.all());
}

/// Pattern: a service comes back after the loss of all its hosts. It is cold, no run times are known,
/// and callers press at its usual capacity. Guards against runs that end at their callers' limit, and
/// against requests that are held to be refused: both take the room of those that could be served.
#[test]
fn cold_start_takes_on_what_it_can_run() {
    let read = Kind {
        priority: 2,
        objective: 1000,
        limit: 2500,
        work: 640,
        every: 25,
    };
    let [tally] = replay_cold(18, &[read], 5_000, 4_000)[..] else {
        panic!("one kind");
    };
    // 18 slots run 14 of the 40 requests a second while they are cold.
    assert!(tally.lost + tally.expired <= tally.all() / 20, "{tally:?}");
    assert!(tally.timely + tally.late >= 50, "{tally:?}");
}

/// Guards against a request that is held although it can't end before its caller gives up.
#[test]
fn hopeless_request_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(1);
    let ticket = |limit| AdmissionRequest {
        rank: Rank::new(1, ms(500)),
        kind: 1,
        soft_deadline: now + ms(500),
        deadline: now + ms(limit),
    };
    assert_eq!(queue.admit(ticket(1000), now), AdmissionDecision::Admit);
    let ended = now + ms(300);
    queue.finish(1, now, Completion::Answered, ended);
    let hopeless = AdmissionRequest {
        deadline: ended + ms(100),
        ..ticket(0)
    };
    assert!(matches!(
        queue.admit(hopeless, ended),
        AdmissionDecision::Reject(_)
    ));
}

/// Guards against a place that is lost when a caller leaves while it waits.
#[test]
fn withdrawn_request_gives_its_place_back() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(1);
    let ticket = AdmissionRequest {
        rank: Rank::new(1, ms(500)),
        kind: 1,
        soft_deadline: now + ms(500),
        deadline: now + ms(2000),
    };
    assert_eq!(queue.admit(ticket, now), AdmissionDecision::Admit);
    let AdmissionDecision::Enqueue(first) = queue.admit(ticket, now) else {
        panic!("one slot");
    };
    let AdmissionDecision::Enqueue(second) = queue.admit(ticket, now) else {
        panic!("one slot");
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
    /// Guards against more running requests than slots, and requests that are lost in the queue.
    fn every_request_is_accounted_for(slots: u8, arrivals: Vec<(u8, u8, u16)>) -> bool {
        let slots = usize::from(slots % 8) + 1;
        let start = Instant::now();
        let mut queue = AdmissionQueue::new(slots);
        let (mut begun, mut waiting, mut refused, mut expired, mut ended) = (0, 0, 0, 0, 0);
        for (i, (priority, gap, limit)) in arrivals.iter().enumerate() {
            let now = start + ms(i as u64 * u64::from(*gap));
            let ticket = AdmissionRequest {
                rank: Rank::new(priority % 3, ms(200)),
                kind: u32::from(priority % 3),
                soft_deadline: now + ms(200),
                deadline: now + ms(u64::from(*limit)),
            };
            match queue.admit(ticket, now) {
                AdmissionDecision::Admit => begun += 1,
                AdmissionDecision::Enqueue(_) => waiting += 1,
                AdmissionDecision::Reject(_) => refused += 1,
            }
            if gap % 2 == 0 && queue.running() > 0 {
                ended += 1;
                let turn = queue.finish(ticket.kind, now, Completion::Answered, now);
                begun += turn.started.len();
                expired += turn.expired.len();
                waiting -= turn.started.len() + turn.expired.len();
            }
            if queue.running() > slots {
                return false;
            }
        }
        queue.running() == begun - ended
            && queue.waiting() == waiting
            && arrivals.len() == begun + waiting + refused + expired
    }
}
