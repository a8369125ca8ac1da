//! Timing of load reports to other nodes.

use std::time::Duration;

use filbertflow::coordination::sidecar::reports::{is_due, min_interval};
use filbertflow::protocol::mesh::{Health, Load, RateLimit};
use filbertflow::state::clock::Instant;
use filbertflow::state::routes::Version;
use filbertflow::state::store_revision::{Era, Revision};
use filbertflow::transport::sidecar::peer_server::SentLoad;

/// Age of a report that is not due by age.
const YOUNG: Duration = Duration::from_millis(100);

/// Relation of the receiver of a report to its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Receiver {
    SameDomain,
    Active,
    /// In another failure domain, without any call.
    Idle,
    /// In another failure domain, with its last call long ago.
    Inactive,
}

fn due(load: &Load, to: Receiver, is_watcher: bool, nodes: usize, age: Duration) -> bool {
    let now = Instant::now() + Duration::from_mins(1);
    let ago = |s| Some(now - Duration::from_secs(s));
    let last = SentLoad {
        load: Load::default(),
        sent_at: now - age,
        same_domain: to == Receiver::SameDomain,
        last_call: match to {
            Receiver::Active => ago(1),
            Receiver::Inactive => ago(20),
            Receiver::SameDomain | Receiver::Idle => None,
        },
    };
    is_due(load, &last, is_watcher, nodes, now)
}

macro_rules! reports {
    ($($(#[$doc:meta])* $name:ident: $load:expr, $is_watcher:literal => $due:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            for to in [Receiver::SameDomain, Receiver::Active] {
                assert_eq!(due(&$load, to, $is_watcher, 194, YOUNG), $due, "{to:?}");
            }
            assert_eq!(due(&$load, Receiver::Idle, $is_watcher, 10, YOUNG), $due);
        }
    )*};
}

reports! {
    nothing_new: Load::default(), true => false;
    /// Guards against a report per request.
    one_request_more: Load { running: 1, ..Load::default() }, false => false;
    two_requests_more: Load { running: 1, queued: 1, ..Load::default() }, false => true;
    leaving: Load { health: Health::Leaving, ..Load::default() }, false => true;
    /// Guards against a report per failed request.
    one_failure: Load { failing: 0.06, ..Load::default() }, false => false;
    /// Requests come one after the other. Guards against sending them on to a backend server that fails
    /// at once until the next report is due by age.
    two_failures: Load { failing: 0.11, ..Load::default() }, false => true;
    limit: Load { limit: RateLimit::PerSecond(5.0), ..Load::default() }, false => true;
    cold: Load { cold_rate: 11.0, ..Load::default() }, false => true;
    /// Guards against a change of an assignment table that other nodes learn of late.
    table_seen_by_a_watcher: Load { items: Revision::new(Era(0), 7), ..Load::default() }, true => true;
    /// Keys move in a fleet of 83. Guards against reports of all 83 nodes to 82 others for each move.
    table_seen_by_another: Load { items: Revision::new(Era(0), 7), ..Load::default() }, false => false;
}

macro_rules! to_idle {
    ($($(#[$doc:meta])* $name:ident: $load:expr, $is_watcher:literal => $due:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            for to in [Receiver::Idle, Receiver::Inactive] {
                assert_eq!(due(&$load, to, $is_watcher, 194, YOUNG), $due, "{to:?}");
            }
        }
    )*};
}

to_idle! {
    /// 194 hosts, each of which calls a few others. Guards against 193 reports of each host to nodes
    /// that don't call it.
    busier_is_not_due_to_idle: Load { running: 9, ..Load::default() }, false => false;
    /// Guards against reports of each failing backend server to all nodes.
    failures_are_not_due_to_idle: Load { failing: 0.5, ..Load::default() }, false => false;
    /// Guards against calls to a draining backend server or a stopping node.
    leaving_is_due_to_idle: Load { health: Health::Leaving, ..Load::default() }, false => true;
    stopping_is_due_to_idle: Load { stopping: true, ..Load::default() }, false => true;
    /// Configurations in quick succession in a fleet of 194. Guards against 194 reports of each
    /// version to each node.
    version_is_not_due_to_idle: Load { config: Version(7), ..Load::default() }, false => false;
    /// Guards against a failure domain that gets no report of a new configuration.
    version_at_a_watcher_is_due_to_idle: Load { config: Version(7), ..Load::default() }, true => true;
}

/// Guards against an idle node that is taken for a lost one.
#[test]
fn quiet_node_reports() {
    let load = Load::default();
    assert!(due(
        &load,
        Receiver::SameDomain,
        false,
        194,
        Duration::from_secs(1)
    ));
    assert!(due(
        &load,
        Receiver::Idle,
        false,
        10,
        Duration::from_secs(1)
    ));
    assert!(due(
        &load,
        Receiver::Idle,
        false,
        194,
        Duration::from_secs(10)
    ));
}

/// 30 to 300 hosts. Guards against a higher rate of reports per node than in a small fleet, and
/// against reports that are older than a second.
#[test]
fn reports_received_stay_bounded() {
    let in_small = 20.0 / min_interval(20).as_secs_f64();
    for nodes in [30_u32, 58, 83, 100, 200] {
        let received =
            f64::from(nodes) / min_interval(usize::try_from(nodes).unwrap()).as_secs_f64();
        assert!(received <= 1.5 * in_small, "{received} with {nodes} nodes");
    }
    assert_eq!(min_interval(300), Duration::from_secs(1));
}
