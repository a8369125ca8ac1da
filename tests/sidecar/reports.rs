//! When a node tells the others its load.

use std::time::Duration;

use filbertflow::coordination::sidecar::reports::{interval, is_due};
use filbertflow::protocol::mesh::{Health, Load};

const YOUNG: Duration = Duration::from_millis(100);

macro_rules! reports {
    ($($(#[$doc:meta])* $name:ident: $load:expr, $watches:literal => $due:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(is_due(&$load, &Load::default(), $watches, YOUNG), $due);
        }
    )*};
}

reports! {
    nothing_new: Load::default(), true => false;
    /// Guards against a report for each request.
    one_request_more: Load { running: 1, ..Load::default() }, false => false;
    two_requests_more: Load { running: 1, queued: 1, ..Load::default() }, false => true;
    leaving: Load { health: Health::Leaving, ..Load::default() }, false => true;
    /// Guards against a change of ownership that others learn late.
    table_seen_by_a_watcher: Load { items: 7, ..Load::default() }, true => true;
    /// Pattern: keys move in a fleet of 83. Guards against 83 reports to 82 nodes for each move.
    table_seen_by_another: Load { items: 7, ..Load::default() }, false => false;
}

/// Guards against a node that looks dead because it has nothing to do.
#[test]
fn quiet_node_reports() {
    let (load, last) = (Load::default(), Load::default());
    assert!(is_due(&load, &last, false, Duration::from_secs(1)));
}

/// Pattern: 10 to 300 hosts. Guards against reports that cost each node more than a small fleet's,
/// and against estimates that are older than a second.
#[test]
fn reports_received_stay_bounded() {
    let in_small = 20.0 / interval(20).as_secs_f64();
    for nodes in [30_u32, 58, 83, 100, 200] {
        let received = f64::from(nodes) / interval(usize::try_from(nodes).unwrap()).as_secs_f64();
        assert!(received <= 1.5 * in_small, "{received} with {nodes} nodes");
    }
    assert_eq!(interval(300), Duration::from_secs(1));
}
