//! When a node tells the others its load.

use std::time::Duration;

use filbertflow::coordination::sidecar::reports::{is_due, min_interval};
use filbertflow::protocol::mesh::{Health, Load};
use filbertflow::state::clock::Instant;
use filbertflow::state::routes::Version;
use filbertflow::transport::sidecar::peer_server::SentLoad;

const YOUNG: Duration = Duration::from_millis(100);

/// Relation of the node that is told to the one that tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum To {
    Near,
    Working,
    /// In another failure domain, and has sent nothing.
    Idle,
    /// Sent its last call long ago.
    Resting,
}

fn due(load: &Load, to: To, watches: bool, nodes: usize, age: Duration) -> bool {
    let now = Instant::now() + Duration::from_mins(1);
    let ago = |s| Some(now - Duration::from_secs(s));
    let told = SentLoad {
        load: Load::default(),
        sent_at: now - age,
        same_domain: to == To::Near,
        last_call: match to {
            To::Working => ago(1),
            To::Resting => ago(20),
            To::Near | To::Idle => None,
        },
    };
    is_due(load, &told, watches, nodes, now)
}

macro_rules! reports {
    ($($(#[$doc:meta])* $name:ident: $load:expr, $watches:literal => $due:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            for to in [To::Near, To::Working] {
                assert_eq!(due(&$load, to, $watches, 194, YOUNG), $due, "{to:?}");
            }
            assert_eq!(due(&$load, To::Idle, $watches, 10, YOUNG), $due);
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

macro_rules! to_idle {
    ($($(#[$doc:meta])* $name:ident: $load:expr, $watches:literal => $due:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            for to in [To::Idle, To::Resting] {
                assert_eq!(due(&$load, to, $watches, 194, YOUNG), $due, "{to:?}");
            }
        }
    )*};
}

to_idle! {
    /// Pattern: 194 hosts, each of which sends work to a few. Guards against 193 reports of each to
    /// nodes that send it nothing.
    busier_is_no_news_elsewhere: Load { running: 9, ..Load::default() }, false => false;
    /// Guards against work for a backend server that leaves or a node that stops.
    leaving_is_news_everywhere: Load { health: Health::Leaving, ..Load::default() }, false => true;
    stopping_is_news_everywhere: Load { stopping: true, ..Load::default() }, false => true;
    /// Pattern: configurations in quick succession in a fleet of 194. Guards against 194 reports of
    /// each version to each node.
    version_is_no_news_elsewhere: Load { config: Version(7), ..Load::default() }, false => false;
    /// Guards against a failure domain that nobody tells of a new configuration.
    version_at_a_watcher_is_news: Load { config: Version(7), ..Load::default() }, true => true;
}

/// Guards against a node that looks dead because it has nothing to do.
#[test]
fn quiet_node_reports() {
    let load = Load::default();
    assert!(due(&load, To::Near, false, 194, Duration::from_secs(1)));
    assert!(due(&load, To::Idle, false, 10, Duration::from_secs(1)));
    assert!(due(&load, To::Idle, false, 194, Duration::from_secs(10)));
}

/// Pattern: 10 to 300 hosts. Guards against reports that cost each node more than a small fleet's,
/// and against estimates that are older than a second.
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
