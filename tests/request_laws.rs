//! Properties of admission, retries, outcome logs and server selection.

use std::collections::{HashMap, HashSet};
use std::time;

use filbertflow::coordination::gate::{limit, queue};
use filbertflow::coordination::{backend, outcomes, retry_budget, server_selection};
use filbertflow::protocol::{caller, peer};
use filbertflow::state::{clock, ids};
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};

const fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

quickcheck! {
    /// Guards against a retry time that is rounded down, so that callers retry too early.
    fn retry_after_is_rounded_up(seconds: u32, nanos: u32) -> bool {
        let d = time::Duration::new(u64::from(seconds), nanos % 1_000_000_000);
        let whole = time::Duration::from_secs(caller::whole_seconds(d));
        whole >= d && whole < d + time::Duration::from_secs(1)
    }

    /// Guards against a slow start whose limit exceeds the capacity, decreases, or never reaches the
    /// capacity.
    fn slow_start_grows_to_the_capacity(capacity: u32, a: u16, b: u16, warmup: u16) -> bool {
        let capacity = capacity.max(1);
        let (early, late) = (a.min(b), a.max(b));
        let limit = |age: u16| backend::slow_start(capacity, ms(age.into()), ms(warmup.into()));
        limit(early) >= 1
            && limit(early) <= limit(late)
            && limit(late) <= capacity as usize
            && limit(warmup) == capacity as usize
    }

    /// Guards against a limit outside the range from one to the capacity of the server.
    fn adaptive_limit_stays_within_bounds(capacity: u8, latencies: Vec<u16>) -> bool {
        let capacity = usize::from(capacity).max(1);
        let mut limit = limit::ConcurrencyLimit::default();
        latencies.iter().all(|l| {
            if l % 16 == 0 {
                limit.record_overload(capacity);
            } else {
                limit.record_latency(ms(u64::from(*l)), capacity, capacity);
            }
            (1..=capacity).contains(&limit.allowed(capacity))
        })
    }
}

/// Guards against a limit that does not decrease when latency rises, or does not recover.
#[test]
fn adaptive_limit_follows_latency() {
    let mut limit = limit::ConcurrencyLimit::default();
    for _ in 0..100 {
        limit.record_latency(ms(5), 20, 20);
    }
    assert_eq!(limit.allowed(20), 20);
    for _ in 0..100 {
        limit.record_latency(ms(50), 20, 20);
    }
    assert!(limit.allowed(20) <= 8, "{}", limit.allowed(20));
    for _ in 0..1000 {
        limit.record_latency(ms(5), 20, 20);
    }
    assert_eq!(limit.allowed(20), 20);
}

/// Step of a sequence of successes and retries.
#[derive(Debug, Clone, Copy)]
enum Step {
    Success,
    Retry,
    /// Time passes, in milliseconds.
    Advance(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0 => Self::Advance(u16::arbitrary(g) % 4000),
            1..=4 => Self::Retry,
            _ => Self::Success,
        }
    }
}

quickcheck! {
    /// Guards against more retries than the share of successes plus the floor.
    fn budget_is_never_exceeded(percent: u8, steps: Vec<Step>) -> bool {
        let percent = u32::from(percent) % 101;
        let mut budget = retry_budget::RetryBudget::new(percent);
        let mut now = clock::Instant::now();
        let mut successes: Vec<clock::Instant> = Vec::new();
        let mut retries: Vec<clock::Instant> = Vec::new();
        let recent = |all: &[clock::Instant], now: clock::Instant, window: time::Duration| {
            let count = all.iter().filter(|at| now.since(**at) <= window).count();
            u64::try_from(count).unwrap_or(u64::MAX)
        };
        steps.into_iter().all(|step| match step {
            Step::Success => {
                budget.record_success(now);
                successes.push(now);
                true
            }
            Step::Retry if budget.try_retry(now) => {
                retries.push(now);
                // Retries are counted in buckets of one second, which expire up to a second early.
                let made = recent(&retries, now, retry_budget::WINDOW.saturating_sub(ms(1000)));
                let share = recent(&successes, now, retry_budget::WINDOW) * u64::from(percent) / 100;
                made <= share + retry_budget::MIN_RETRIES
            }
            Step::Retry => true,
            Step::Advance(n) => {
                now = now + ms(u64::from(n));
                true
            }
        })
    }
}

/// Guards against a budget that rejects all retries.
#[test]
fn budget_grants_share_and_floor() {
    let now = clock::Instant::now();
    let mut budget = retry_budget::RetryBudget::new(10);
    for _ in 0..100 {
        budget.record_success(now);
    }
    let granted = (0..100).filter(|_| budget.try_retry(now)).count();
    assert_eq!(granted, 20);
    let later = now + retry_budget::WINDOW + ms(2000);
    let granted = (0..100).filter(|_| budget.try_retry(later)).count();
    assert_eq!(granted, 10);
}

/// Queued request.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    priority: u8,
    deadline: u16,
}

impl Arbitrary for Waiting {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            priority: u8::arbitrary(g) % 4,
            deadline: u16::arbitrary(g) % 1000,
        }
    }
}

quickcheck! {
    /// Guards against requests that wait behind less urgent ones, or behind ones of the same priority
    /// with a later deadline.
    fn queue_serves_by_priority_then_deadline(requests: Vec<Waiting>) -> TestResult {
        let bounds = queue::QueueLimits { capacity: 1, queue: requests.len() };
        let queue = queue::Queue::default();
        let now = clock::Instant::now();
        // Deadlines are an hour away, so that none is rejected.
        let deadline = |w: &Waiting| now + time::Duration::from_hours(1) + ms(u64::from(w.deadline));
        let Ok(first) = queue.enqueue(0, now + time::Duration::from_hours(1), bounds) else {
            return TestResult::error("the empty queue rejected a request");
        };
        let mut slot = futures::executor::block_on(first.wait_for_slot()).ok();
        let mut waiting_requests = Vec::new();
        for w in &requests {
            match queue.enqueue(w.priority, deadline(w), bounds) {
                Ok(request) => waiting_requests.push((*w, Box::pin(request.wait_for_slot()))),
                Err(e) => return TestResult::error(format!("rejected: {e:?}")),
            }
        }
        let mut served = Vec::new();
        while !waiting_requests.is_empty() {
            drop(slot.take());
            let ready = waiting_requests.iter_mut().enumerate().find_map(|(i, (_, request))| {
                futures::FutureExt::now_or_never(request.as_mut()).map(|granted| (i, granted))
            });
            let Some((i, granted)) = ready else {
                return TestResult::error("no request got the free slot");
            };
            slot = granted.ok();
            served.push(waiting_requests.remove(i).0);
        }
        let ordered = served
            .is_sorted_by_key(|w| (w.priority, w.deadline));
        TestResult::from_bool(ordered)
    }

    /// Guards against slots that are lost or granted twice when waiting requests are cancelled.
    fn queue_never_exceeds_its_slots(capacity: u8, cancelled: Vec<bool>) -> bool {
        let capacity = usize::from(capacity % 8) + 1;
        let bounds = queue::QueueLimits { capacity, queue: cancelled.len() + capacity };
        let queue = queue::Queue::default();
        let deadline = clock::Instant::now() + time::Duration::from_hours(1);
        let mut waiting_requests: Vec<_> = (0..cancelled.len() + capacity)
            .filter_map(|_| queue.enqueue(0, deadline, bounds).ok())
            .map(|request| Box::pin(request.wait_for_slot()))
            .collect();
        let mut held = Vec::new();
        let mut cancelled = cancelled.into_iter();
        while !waiting_requests.is_empty() {
            let mut ready = Vec::new();
            waiting_requests.retain_mut(|request| match futures::FutureExt::now_or_never(request.as_mut()) {
                Some(granted) => {
                    ready.extend(granted.ok());
                    false
                }
                None => true,
            });
            held.append(&mut ready);
            if held.len() > capacity {
                return false;
            }
            match cancelled.next() {
                Some(true) => drop(waiting_requests.pop()),
                _ => drop(held.pop()),
            }
        }
        drop(held);
        queue.in_flight() == 0
    }
}

/// Guards against queueing a request that can't finish before its deadline.
#[test]
fn queue_refuses_what_cannot_finish() {
    let queue = queue::Queue::default();
    let bounds = queue::QueueLimits {
        capacity: 1,
        queue: 100,
    };
    let far = clock::Instant::now() + time::Duration::from_hours(1);
    let running = queue.enqueue(0, far, bounds);
    assert!(running.is_ok());
    for _ in 0..100 {
        queue.record_latency(ms(1000));
    }
    // With a service time of about one second, the tenth request would take ten seconds.
    let waiting: Vec<_> = (0..9).map(|_| queue.enqueue(0, far, bounds)).collect();
    assert!(waiting.iter().all(Result::is_ok));
    let soon = clock::Instant::now() + time::Duration::from_secs(5);
    let refusal = queue.enqueue(1, soon, bounds).err();
    let refusal = refusal.map(|r| (r.reason, r.retry_after >= time::Duration::from_secs(5)));
    assert_eq!(refusal, Some((peer::NotRunReason::Overloaded, true)));
    // At priority 0 it is served before the others, whose deadlines are later.
    assert!(queue.enqueue(0, soon, bounds).is_ok());
}

/// Event for a request identifier at its owner.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// An attempt arrives.
    Arrive { id: u8, attempt: u8 },
    /// The running attempt ends: not run if `how` is 0, else unknown or answered.
    End { id: u8, how: u8 },
    /// The node that accepted the request queries the outcome of an attempt.
    Query { id: u8, attempt: u8 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = u8::arbitrary(g) % 6;
        let attempt = u8::arbitrary(g) % 4;
        match u8::arbitrary(g) % 3 {
            0 => Self::Arrive { id, attempt },
            1 => Self::End { id, how: attempt },
            _ => Self::Query { id, attempt },
        }
    }
}

quickcheck! {
    /// Guards against running an identifier twice, and against reporting "not run" for an attempt
    /// that ran or runs later, for any order of repeats, queries and evictions.
    fn log_never_runs_an_id_twice(entries: u8, bytes: u8, events: Vec<Event>) -> bool {
        let log = outcomes::OutcomeLog::new(outcomes::LogLimits {
            time: time::Duration::from_hours(1),
            entries: usize::from(entries % 4),
            bytes: usize::from(bytes),
        });
        let known: Vec<_> = (0..6).map(|_| ids::RequestId::create()).collect();
        let mut running = HashMap::new();
        let mut ran: HashSet<u8> = HashSet::new();
        let mut attempts_run: HashSet<(u8, u8)> = HashSet::new();
        let mut denied: HashSet<(u8, u8)> = HashSet::new();
        events.into_iter().all(|event| match event {
            Event::Arrive { id, attempt } => {
                match log.begin(start(known[usize::from(id)], attempt)) {
                    outcomes::StartDecision::Run(guard) => {
                        let repeated = ran.contains(&id) || running.contains_key(&id);
                        running.insert(id, (attempt, guard));
                        !repeated && !denied.contains(&(id, attempt))
                    }
                    _ => true,
                }
            }
            Event::End { id, how } => {
                if let Some((attempt, guard)) = running.remove(&id) {
                    if how == 0 {
                        guard.finish(peer::Outcome::NotRun(refusal()));
                        denied.insert((id, attempt));
                    } else {
                        ran.insert(id);
                        attempts_run.insert((id, attempt));
                        finish(guard, how);
                    }
                }
                true
            }
            Event::Query { id, attempt } => {
                let queried = ids::AttemptId(u64::from(attempt));
                match log.resolve(known[usize::from(id)], queried) {
                    outcomes::StartDecision::Done(peer::Outcome::NotRun(_)) => {
                        denied.insert((id, attempt));
                        !attempts_run.contains(&(id, attempt))
                    }
                    _ => true,
                }
            }
        })
    }

    /// Guards against a log that exceeds its limits on entries or bytes.
    fn log_stays_within_its_bounds(entries: u8, bytes: u16, sizes: Vec<u8>) -> bool {
        let (entries, bytes) = (usize::from(entries % 32), usize::from(bytes));
        let log = outcomes::OutcomeLog::new(outcomes::LogLimits {
            time: time::Duration::from_hours(1),
            entries,
            bytes,
        });
        sizes.into_iter().all(|size| {
            if let outcomes::StartDecision::Run(guard) = log.begin(start(ids::RequestId::create(), 0)) {
                guard.finish(peer::Outcome::Answered(peer::BackendResponse {
                    status: 200,
                    content_type: None,
                    body: vec![0; usize::from(size)],
                }));
            }
            let (kept, held) = log.size();
            kept <= entries && held <= bytes
        })
    }
}

fn start(id: ids::RequestId, attempt: u8) -> outcomes::Start {
    outcomes::Start {
        partition: ids::PartitionId::first("walks"),
        hash: ids::KeyHash(7),
        id,
        attempt: ids::AttemptId(u64::from(attempt)),
        horizon: time::Duration::ZERO,
    }
}

const fn refusal() -> peer::NotRun {
    peer::NotRun {
        reason: peer::NotRunReason::Shed,
        retry_after: time::Duration::ZERO,
    }
}

fn finish(guard: outcomes::Running, how: u8) {
    match how {
        1 => guard.finish(peer::Outcome::Unknown(peer::UnknownReason::Timeout)),
        // The task ended without an outcome.
        2 => drop(guard),
        _ => guard.finish(peer::Outcome::Answered(peer::BackendResponse {
            status: 200,
            content_type: None,
            body: vec![1; 100],
        })),
    }
}

/// Guards against callers that wait forever for a request whose task ended without an outcome.
#[test]
fn request_of_an_ended_task_is_unknown() {
    let log = outcomes::OutcomeLog::default();
    let id = ids::RequestId::create();
    drop(log.begin(start(id, 0)));
    assert!(matches!(
        log.begin(start(id, 1)),
        outcomes::StartDecision::Done(peer::Outcome::Unknown(_))
    ));
}

/// Guards against losing recorded outcomes when a slice moves.
#[test]
fn outcomes_move_with_their_slice() {
    let (old, new) = (
        outcomes::OutcomeLog::default(),
        outcomes::OutcomeLog::default(),
    );
    let partition = ids::PartitionId::first("walks");
    let id = ids::RequestId::create();
    if let outcomes::StartDecision::Run(guard) = old.begin(start(id, 0)) {
        finish(guard, 3);
    }
    let elsewhere = old.export(&partition, ids::KeyHash(8), ids::KeyHash(u64::MAX));
    assert!(elsewhere.is_empty());
    let moved = old.export(&partition, ids::KeyHash(0), ids::KeyHash(7));
    new.import(&partition, moved);
    let known = new.begin(start(id, 1));
    assert!(matches!(
        known,
        outcomes::StartDecision::Done(peer::Outcome::Answered(_))
    ));
}

quickcheck! {
    /// Guards against ejecting all servers when a fault affects all of them.
    fn at_most_half_of_the_servers_are_ejected(count: u8, failures: Vec<u8>) -> bool {
        let now = clock::Instant::now();
        let offered: Vec<_> = (0..=u64::from(count % 8)).map(server).collect();
        let selector = server_selection::ServerSelector::default();
        failures.into_iter().enumerate().all(|(i, f)| {
            let at = now + ms(u64::try_from(i).unwrap_or_default());
            let Some(picked) = selector.select(&offered, at) else {
                return false;
            };
            let verdict = if f % 8 == 0 {
                server_selection::RequestResult::Answered
            } else {
                server_selection::RequestResult::Failed
            };
            selector.record_result(picked, verdict, ms(5), Some(1), &offered, at);
            let ejected = selector.ejected(&offered, at);
            ejected * 2 <= offered.len() && ejected < offered.len()
        })
    }
}

fn server(n: u64) -> ids::NodeRef {
    ids::NodeRef {
        addr: ids::NodeAddr(std::net::SocketAddr::from(([127, 0, 0, 1], 4000))),
        incarnation: ids::Incarnation(n),
    }
}

/// Guards against a failing server that keeps its share of requests, and against ejecting it forever.
#[test]
fn failing_server_is_left_out_for_a_time() {
    let now = clock::Instant::now();
    let offered: Vec<_> = (0..4).map(server).collect();
    let selector = server_selection::ServerSelector::default();
    let is_failing = |n: ids::NodeRef| n == offered[0];
    let send = |at: clock::Instant| {
        let Some(chosen) = selector.select(&offered, at) else {
            return false;
        };
        let verdict = if is_failing(chosen) {
            server_selection::RequestResult::Failed
        } else {
            server_selection::RequestResult::Answered
        };
        // Equals the initial latency estimate, so that all servers have the same weight.
        selector.record_result(chosen, verdict, ms(10), None, &offered, at);
        is_failing(chosen)
    };
    let early = (0..1000).filter(|_| send(now)).count();
    assert_eq!(early, 3);
    let later = now + time::Duration::from_secs(2);
    let retried = (0..1000).filter(|_| send(later)).count();
    assert_eq!(retried, 1);
}

/// Guards against a server that was slow once and is never tried again.
#[test]
fn slow_server_is_tried_again() {
    let now = clock::Instant::now();
    let offered: Vec<_> = (0..2).map(server).collect();
    let selector = server_selection::ServerSelector::default();
    let mut tried = 0;
    for second in 0..60 {
        let at = now + time::Duration::from_secs(second);
        let Some(chosen) = selector.select(&offered, at) else {
            continue;
        };
        let slow = chosen == offered[0];
        let latency = if slow { ms(400) } else { ms(5) };
        selector.record_result(
            chosen,
            server_selection::RequestResult::Answered,
            latency,
            None,
            &offered,
            at,
        );
        tried += u32::from(slow);
    }
    assert!((2..30).contains(&tried), "tried {tried} times");
}

/// Guards against sending all requests to one of two servers.
#[test]
fn less_loaded_server_gets_more() {
    let now = clock::Instant::now();
    let offered: Vec<_> = (0..2).map(server).collect();
    let selector = server_selection::ServerSelector::default();
    let mut shares = [0_u32; 2];
    for _ in 0..100 {
        // Requests stay in flight, so that each pick increases the load of its server.
        let n = selector.select(&offered, now);
        let index = offered.iter().position(|o| Some(*o) == n);
        if let Some(i) = index {
            shares[i] += 1;
        }
    }
    assert_eq!(shares, [50, 50]);
}
