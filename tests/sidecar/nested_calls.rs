//! Calls that a backend server makes for the requests that it runs.

use std::time::Duration;

use filbertflow::coordination::sidecar::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, Rank,
};
use filbertflow::coordination::sidecar::nested_calls::RunningDeadlines;
use filbertflow::state::clock::Instant;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against calls that are treated like new requests, and against requests that are taken for
/// calls after the request with their deadline has ended.
#[test]
fn call_has_the_deadline_of_a_running_request() {
    let running = RunningDeadlines::default();
    let deadline = Instant::now() + ms(1500);
    assert!(!running.contains(deadline));
    let first = running.add(deadline);
    let second = running.add(deadline + ms(400));
    assert!(running.contains(deadline + ms(10)));
    assert!(!running.contains(deadline + ms(200)));
    assert!(!running.contains(deadline - ms(10)));
    drop(first);
    assert!(!running.contains(deadline));
    assert!(running.contains(deadline + ms(400)));
    drop(second);
    assert!(!running.contains(deadline + ms(400)));
}

/// Load: a queue that is too long for the objective of 150 ms, but not for the 1.5 s that are left.
/// Guards against refused calls that fail requests whose work is done for the most part.
#[test]
fn nested_call_waits_beyond_its_objective() {
    let now = Instant::now();
    let request = |nested| AdmissionRequest {
        rank: Rank::new(1, ms(150)),
        kind: 1,
        soft_deadline: now + ms(150),
        deadline: now + ms(1500),
        nested,
    };
    let mut queue = AdmissionQueue::new(2);
    let decisions: Vec<_> = (0..12).map(|_| queue.admit(request(false), now)).collect();
    assert!(matches!(
        decisions.last(),
        Some(AdmissionDecision::Reject(_))
    ));
    let nested = queue.admit(request(true), now);
    assert!(
        matches!(nested, AdmissionDecision::Enqueue(_)),
        "{nested:?}"
    );
}

/// Guards against calls that wait although they can't end before the request that needs them.
#[test]
fn nested_call_that_ends_too_late_is_refused() {
    let now = Instant::now();
    let request = AdmissionRequest {
        rank: Rank::new(1, ms(150)),
        kind: 1,
        soft_deadline: now + ms(150),
        deadline: now + ms(300),
        nested: true,
    };
    let mut queue = AdmissionQueue::new(1);
    let decisions: Vec<_> = (0..30).map(|_| queue.admit(request, now)).collect();
    assert!(matches!(
        decisions.last(),
        Some(AdmissionDecision::Reject(_))
    ));
}
