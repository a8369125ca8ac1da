//! Tests of the distribution of an accepted document to all nodes.

use std::time::{Duration, Instant};

use filbertflow::coordination::config;

use crate::fake::Fake;
use crate::{fleet, run};

/// Maximum time until an accepted document is in force on all nodes.
const BOUND: Duration = Duration::from_secs(5);

/// Guards against nodes that receive an accepted document late or never.
#[test]
fn document_is_in_force_everywhere_within_the_bound() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let fleet = fleet::start(&fake, 24);
    fleet.wait(|n| n.config.revision().0 == 1);
    for revision in 2..=4 {
        let start = Instant::now();
        fake.submit(&run::changed(revision));
        fleet.wait(|n| n.config.revision().0 == u64::from(revision));
        let took = start.elapsed();
        assert!(took < BOUND, "revision {revision} took {took:?}");
    }
}

/// Guards against a watch from every node, which would overload the platform's service.
#[test]
fn two_nodes_of_each_domain_watch_the_service() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let fleet = fleet::start(&fake, 12);
    fleet.wait(|n| n.config.revision().0 == 1);
    let watching = |n: &&std::sync::Arc<filbertflow::coordination::node::Node>| {
        config::is_watcher(n.me, &n.settings.domain, &n.members.live())
    };
    assert_eq!(fleet.nodes().iter().filter(watching).count(), 4);
}

/// Guards against a node that stays without a document because the service is down when it starts.
#[test]
fn node_that_starts_in_an_outage_takes_the_document_of_its_peers() {
    let fake = Fake::start();
    fake.submit(&run::example());
    fake.submit(&run::changed(128));
    let mut fleet = fleet::start(&fake, 3);
    fleet.wait(|n| n.config.revision().0 == 2);
    fake.shut_down();
    fleet.add(&fake);
    fleet.wait(|n| n.config.revision().0 == 2);
}

/// Guards against nodes that revert to an older document after the service was restored from a backup.
#[test]
fn older_document_of_the_service_is_not_taken() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let fleet = fleet::start(&fake, 3);
    for slices in 2..=3 {
        fake.submit(&run::changed(slices));
    }
    fleet.wait(|n| n.config.revision().0 == 3);
    fake.roll_back(1);
    let responses = fake.watch_responses();
    // After two more watch responses, each watcher has received the older document.
    while fake.watch_responses() < responses + 6 {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(fleet.revisions(), [3; 3]);
}

/// Guards against an invalid document that stops nodes or blocks later documents. It can get into the
/// service if it is written without `filbertflow-ctl`.
#[test]
fn invalid_document_of_the_service_is_skipped() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let fleet = fleet::start(&fake, 3);
    fleet.wait(|n| n.config.revision().0 == 1);
    fake.submit("{ \"services\": 5 }");
    fake.submit(&run::changed(8));
    fleet.wait(|n| n.config.revision().0 == 3);
}
