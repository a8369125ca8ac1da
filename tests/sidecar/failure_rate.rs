//! Failure rates of backend servers.

use filbertflow::coordination::sidecar::failure_rate::{baseline, excess, is_failure};

macro_rules! statuses {
    ($($name:ident: $status:literal => $failure:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(is_failure($status), $failure);
        }
    )*};
}

statuses! {
    success: 200 => false;
    not_found: 404 => false;
    internal_error: 500 => true;
    unavailable: 503 => true;
    deadline_exceeded: 504 => false;
}

/// Guards against counting failures that all backend servers share, and against ignoring those of
/// one in three.
#[test]
fn only_the_excess_over_the_baseline_counts() {
    let rates = [0.0, 0.0, 0.9];
    assert!(excess(0.9, baseline(rates)) > 0.8);
    let rates = [0.5, 0.52, 0.55, 0.5, 0.9];
    assert!(excess(0.52, baseline(rates)) < 0.05);
    assert!(excess(0.9, baseline(rates)) > 0.3);
    assert!(baseline([]).abs() < f64::EPSILON);
}
