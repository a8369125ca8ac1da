//! Way of an accepted document to all nodes.

use std::time::{Duration, Instant};

use filbertflow::coordination::config;

use crate::fake::Fake;
use crate::{fleet, run};

/// Time within which an accepted document is in force everywhere.
const BOUND: Duration = Duration::from_secs(5);

/// Guards against an accepted document that some node gets late or never.
#[test]
fn document_is_in_force_everywhere_within_the_bound() {
    let fake = Fake::start();
    fake.put(&run::example());
    let fleet = fleet::start(&fake, 24);
    fleet.wait(|n| n.config.revision().0 == 1);
    for revision in 2..=4 {
        let start = Instant::now();
        fake.put(&run::changed(revision));
        fleet.wait(|n| n.config.revision().0 == u64::from(revision));
        let took = start.elapsed();
        assert!(took < BOUND, "revision {revision} took {took:?}");
    }
}

/// Guards against watches from every node, which the platform's service could not serve.
#[test]
fn two_nodes_of_each_domain_watch_the_service() {
    let fake = Fake::start();
    fake.put(&run::example());
    let fleet = fleet::start(&fake, 12);
    fleet.wait(|n| n.config.revision().0 == 1);
    let watching = |n: &&std::sync::Arc<filbertflow::coordination::node::Node>| {
        config::is_watcher(n.me, &n.settings.domain, &n.members.live())
    };
    assert_eq!(fleet.nodes().iter().filter(watching).count(), 4);
}

/// Guards against a node that has no document because it starts while the service is down.
#[test]
fn node_that_starts_in_an_outage_takes_the_document_of_its_peers() {
    let fake = Fake::start();
    fake.put(&run::example());
    fake.put(&run::changed(128));
    let mut fleet = fleet::start(&fake, 3);
    fleet.wait(|n| n.config.revision().0 == 2);
    fake.down();
    fleet.add(&fake);
    fleet.wait(|n| n.config.revision().0 == 2);
}

/// Guards against an accepted document that is reverted because the service shows an older one.
#[test]
fn older_document_of_the_service_is_not_taken() {
    let fake = Fake::start();
    fake.put(&run::example());
    let fleet = fleet::start(&fake, 3);
    for slices in 2..=3 {
        fake.put(&run::changed(slices));
    }
    fleet.wait(|n| n.config.revision().0 == 3);
    fake.roll_back(1);
    let reads = fake.reads();
    // Each watcher has seen the older document after two more reads of its own.
    while fake.reads() < reads + 6 {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(fleet.revisions(), [3; 3]);
}

/// Guards against an invalid document in the service, written past the commands, that stops nodes
/// or the documents after it.
#[test]
fn invalid_document_of_the_service_is_skipped() {
    let fake = Fake::start();
    fake.put(&run::example());
    let fleet = fleet::start(&fake, 3);
    fleet.wait(|n| n.config.revision().0 == 1);
    fake.put("{ \"services\": 5 }");
    fake.put(&run::changed(8));
    fleet.wait(|n| n.config.revision().0 == 3);
}
