//! Retry budget.

use std::time::Duration;

use filbertflow::coordination::sidecar::retry_budget::{RetryBudget, RetryLimits};
use filbertflow::state::clock::Instant;
use quickcheck::quickcheck;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    allowance: 60.0,
    window: Duration::from_secs(10),
};

quickcheck! {
    /// Guards against a window in which all nodes together exceed the retry limits.
    fn no_window_exceeds_the_limits(nodes: u8, steps: Vec<(bool, u16)>) -> bool {
        let nodes = usize::from(nodes % 12) + 1;
        let mut budgets: Vec<_> = (0..nodes).map(|_| RetryBudget::new(LIMITS)).collect();
        let start = Instant::now();
        let mut now = start;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (i, (retry, gap)) in steps.iter().enumerate() {
            now = now + Duration::from_millis(u64::from(gap % 500));
            let budget = &mut budgets[i % nodes];
            if *retry {
                if budget.try_retry("s", nodes, now) {
                    retries.push(now);
                }
            } else {
                budget.record_request("s", now);
                requests.push(now);
            }
            let recent = |t: &&Instant| now.since(**t) <= LIMITS.window;
            let allowed = LIMITS.ratio * requests.iter().filter(recent).count() as f64 + LIMITS.allowance;
            if retries.iter().filter(recent).count() as f64 > allowed {
                return false;
            }
        }
        true
    }
}

/// Guards against a budget that is never replenished.
#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut budget = RetryBudget::new(LIMITS);
    let now = Instant::now();
    let taken = (0..100).filter(|_| budget.try_retry("s", 10, now)).count();
    assert_eq!(taken, 3);
    assert!(budget.try_retry("s", 10, now + Duration::from_secs(11)));
}
