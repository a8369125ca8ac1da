//! What answers say about a backend server.

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
    missing: 404 => false;
    own_failure: 500 => true;
    unavailable: 503 => true;
    out_of_time: 504 => false;
}

/// Guards against blame for failures that all share, and against none for those of one in three.
#[test]
fn only_what_is_beyond_the_usual_counts() {
    let shares = [0.0, 0.0, 0.9];
    assert!(excess(0.9, baseline(shares)) > 0.8);
    let shares = [0.5, 0.52, 0.55, 0.5, 0.9];
    assert!(excess(0.52, baseline(shares)) < 0.05);
    assert!(excess(0.9, baseline(shares)) > 0.3);
    assert!(baseline([]).abs() < f64::EPSILON);
}
