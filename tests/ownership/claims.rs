//! Promises and claims of standbys, and claims on abandoned partitions.

use std::sync::Arc;
use std::time::Duration;

use filbertflow::coordination::{standby, store};
use filbertflow::protocol::{peer, platform};
use filbertflow::state::{clock, ids, record, timing};
use filbertflow::transport::platform as client;

use crate::cluster::{self, Bare, Observer, TestNode, partition, wait_for};
use crate::fake::{Fake, Mode};
use crate::lead;

const KEY: &str = "partition/box-office/0";

/// Writes a record that names `standbys` and a coordinator that does not exist.
fn seed(platform: &Fake, bare: &Bare, standbys: Vec<ids::NodeRef>) -> store::Stored {
    let record = record::PartitionRecord {
        standbys,
        ..cluster::owned_by(lead::node(2), lead::node(1))
    };
    let stored = write(platform, bare, record);
    bare.node.records.offer((*stored.record).clone());
    stored
}

fn write(platform: &Fake, bare: &Bare, record: record::PartitionRecord) -> store::Stored {
    let write = store::Write {
        record: Arc::new(record),
        hold: Duration::from_secs(1),
        expect: ids::ModRevision(0),
    };
    let client = client::Client::new(platform.addr);
    let written = bare.runtime.block_on(store::write(&client, &write));
    let Ok(store::Written::Done(stored)) = written else {
        panic!("the record was not written");
    };
    stored
}

fn epoch(platform: &Fake, bare: &Bare) -> ids::Epoch {
    let client = client::Client::new(platform.addr);
    let read = bare.runtime.block_on(store::read(&client, &partition()));
    read.unwrap().unwrap().record.epoch
}

fn ask(bare: &Bare, stored: &store::Stored) -> peer::PromiseReply {
    let req = peer::Promise {
        from: stored.record.coordinator,
        to: bare.node.me.incarnation,
        partition: partition(),
        stamp: stored.record.stamp(),
        record: None,
    };
    bare.runtime.block_on(standby::promise(&bare.node, req))
}

/// R1: guards against a standby that claims before the holder of its promise stops counting on it.
#[test]
fn promise_is_kept_for_its_length_plus_drift() {
    let standby = standby::Standby::default();
    let given = clock::Instant::now();
    assert!(standby.give(&partition()));
    wait_for("the end of the promise", || standby.begin(&partition()));
    let kept = clock::Instant::now().since(given);
    assert!(
        kept >= timing::with_drift(timing::PROMISE_DURATION),
        "{kept:?}"
    );
}

/// R4: guards against a claim while the standby's own promise is in force.
#[test]
fn no_claim_during_a_promise() {
    let platform = Fake::start();
    let bare = cluster::bare(platform.addr);
    let stored = seed(&platform, &bare, vec![bare.node.me]);
    assert!(matches!(
        ask(&bare, &stored),
        peer::PromiseReply::Given { .. }
    ));
    bare.runtime
        .block_on(standby::claim(&bare.node, stored.clone()));
    assert_eq!(epoch(&platform, &bare), ids::Epoch(1));
    wait_for("the claim after the promise", || {
        bare.runtime
            .block_on(standby::claim(&bare.node, stored.clone()));
        epoch(&platform, &bare) == ids::Epoch(2)
    });
}

/// R4: guards against a claim by a restarted standby, which has forgotten what its former process
/// promised.
#[test]
fn restarted_standby_does_not_claim() {
    let platform = Fake::start();
    let bare = cluster::bare(platform.addr);
    let former = ids::NodeRef {
        addr: bare.node.me.addr,
        incarnation: ids::Incarnation(bare.node.me.incarnation.0 - 1),
    };
    let stored = seed(&platform, &bare, vec![former]);
    assert!(matches!(
        ask(&bare, &stored),
        peer::PromiseReply::Given { .. }
    ));
    wait_for("the end of its promise", || {
        bare.node.standby.begin(&partition())
    });
    bare.node.standby.end(&partition());
    bare.runtime.block_on(standby::claim(&bare.node, stored));
    assert_eq!(epoch(&platform, &bare), ids::Epoch(1));
}

/// R4: guards against a promise that was meant for the former process of a restarted standby.
#[test]
fn promise_names_the_incarnation() {
    let platform = Fake::start();
    let bare = cluster::bare(platform.addr);
    let stored = seed(&platform, &bare, vec![bare.node.me]);
    let req = peer::Promise {
        from: stored.record.coordinator,
        to: ids::Incarnation(1),
        partition: partition(),
        stamp: stored.record.stamp(),
        record: None,
    };
    let reply = bare.runtime.block_on(standby::promise(&bare.node, req));
    assert!(matches!(reply, peer::PromiseReply::Incarnation(_)));
}

/// R10: guards against a promise by a standby whose claim may still take effect.
#[test]
fn standby_with_an_unresolved_claim_gives_no_promise() {
    let platform = Fake::start();
    let bare = cluster::bare(platform.addr);
    let stored = seed(&platform, &bare, vec![bare.node.me]);
    assert!(matches!(
        ask(&bare, &stored),
        peer::PromiseReply::Given { .. }
    ));
    wait_for("the end of the promise", || {
        bare.node.standby.begin(&partition())
    });
    bare.node.standby.end(&partition());
    platform.set(Mode::KeepBack);
    let node = Arc::clone(&bare.node);
    let claimed = stored.clone();
    bare.runtime
        .spawn(async move { standby::claim(&node, claimed).await });
    wait_for("the claim to be sent", || platform.kept() > 0);
    assert!(matches!(
        ask(&bare, &stored),
        peer::PromiseReply::Unresolved
    ));
    platform.deliver();
    assert!(matches!(
        ask(&bare, &stored),
        peer::PromiseReply::Unresolved
    ));
    platform.set(Mode::Normal);
    wait_for("the claim to be resolved", || {
        bare.node.coordinator.leads(&partition()).is_some()
    });
    assert!(matches!(
        ask(&bare, &stored),
        peer::PromiseReply::Superseded(_)
    ));
}

/// Guards against a partition that stays without a coordinator, because it was lost before its new
/// standby learned that the record names it.
#[test]
fn standby_that_was_not_told_claims() {
    let platform = Fake::start();
    let bare = cluster::bare(platform.addr);
    let untold = cluster::owned_by(lead::node(2), lead::node(1));
    bare.node.records.offer(untold.clone());
    let req = peer::Promise {
        from: untold.coordinator,
        to: bare.node.me.incarnation,
        partition: partition(),
        stamp: untold.stamp(),
        record: None,
    };
    let named = record::PartitionRecord {
        revision: untold.revision.next(),
        standbys: vec![bare.node.me],
        ..untold
    };
    write(&platform, &bare, named);
    bare.runtime.spawn(standby::run(Arc::clone(&bare.node)));
    let reply = bare.runtime.block_on(standby::promise(&bare.node, req));
    assert!(matches!(reply, peer::PromiseReply::Given { .. }));
    wait_for("the claim", || epoch(&platform, &bare) == ids::Epoch(2));
}

/// Guards against a node that reads the record again and again because it once promised.
#[test]
fn candidate_that_was_not_named_forgets_its_promise() {
    let platform = Fake::start();
    let bare = cluster::bare(platform.addr);
    let stored = seed(&platform, &bare, Vec::new());
    bare.runtime.spawn(standby::run(Arc::clone(&bare.node)));
    assert!(matches!(
        ask(&bare, &stored),
        peer::PromiseReply::Given { .. }
    ));
    wait_for("the first read", || platform.reads() > 0);
    let before = platform.reads();
    let start = clock::Instant::now();
    wait_for("three promises", || {
        clock::Instant::now().since(start) > timing::PROMISE_DURATION * 3
    });
    assert_eq!(platform.reads(), before);
}

/// Changes the hold time that is stored with the record.
fn set_hold(platform: &Fake, runtime: &tokio::runtime::Runtime, hold: Duration) {
    let client = client::Client::new(platform.addr);
    wait_for("the new hold time", || {
        let entry: platform::Entry = runtime.block_on(client.get(KEY)).unwrap().unwrap();
        let mut value: serde_json::Value = serde_json::from_str(&entry.value).unwrap();
        value["hold_ms"] = u64::try_from(hold.as_millis()).unwrap().into();
        let swap = client.compare_and_swap(KEY, value.to_string(), entry.revision);
        matches!(runtime.block_on(swap), Ok(client::SwapResult::Done(_)))
    });
}

/// Starts four nodes, stops those that are coordinator or standby, and returns the fourth.
fn abandon(platform: &Fake, stop: fn(&mut TestNode)) -> (Vec<TestNode>, usize, Observer) {
    let domains = ["ie-east-a", "ie-east-b", "ie-east-c", "ie-east-a"];
    let mut nodes = cluster::cluster(platform, &domains);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    set_hold(platform, &runtime, Duration::from_secs(1));
    let record = nodes[0].record().unwrap();
    let observer = Observer::watch(&nodes);
    let role = |n: &TestNode| record.coordinator == n.me() || record.standbys.contains(&n.me());
    let rest = nodes.iter().position(|n| !role(n)).unwrap();
    for node in nodes.iter_mut().filter(|n| role(n)) {
        stop(node);
    }
    (nodes, rest, observer)
}

/// R6: guards against a claim before the hold time while a role may still run, and against a
/// partition that nobody claims.
#[test]
fn silent_partition_is_claimed_after_the_hold_time() {
    let platform = Fake::start();
    let (mut nodes, rest, observer) = abandon(&platform, TestNode::pause);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let client = client::Client::new(platform.addr);
    let read = || {
        let read = runtime.block_on(store::read(&client, &partition()));
        read.unwrap().unwrap().record
    };
    wait_for("the claim to be announced", || read().intent.is_some());
    let announced = clock::Instant::now();
    wait_for("the claim", || read().epoch > ids::Epoch(1));
    let waited = clock::Instant::now().since(announced);
    // The announcement was written before it was seen here.
    assert!(waited > Duration::from_millis(500), "{waited:?}");
    wait_for("all keys to be served again", || {
        cluster::all_served(&[&nodes[rest]])
    });
    nodes.iter_mut().for_each(TestNode::resume);
    wait_for("one coordinator", || {
        nodes.iter().filter(|n| n.leads()).count() == 1
    });
    observer.finish();
}

/// R6: guards against a wait for the hold time although coordinator and standbys have ended, as
/// after a restart of all nodes.
#[test]
fn partition_of_ended_processes_is_claimed_at_once() {
    let platform = Fake::start();
    let (nodes, rest, observer) = abandon(&platform, TestNode::kill);
    wait_for("all keys to be served again", || {
        let record = nodes[rest].record().unwrap();
        assert_eq!(record.intent, None, "the claim was announced");
        cluster::all_served(&[&nodes[rest]])
    });
    assert_eq!(nodes[rest].record().unwrap().epoch, ids::Epoch(2));
    observer.finish();
}

/// R6: guards against a claim that takes effect although the coordinator has contact.
#[test]
fn coordinator_cancels_a_claim_intent() {
    let platform = Fake::start();
    let nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let client = client::Client::new(platform.addr);
    let mut intended = None;
    wait_for("the intent to be written", || {
        let stored = runtime.block_on(store::read(&client, &partition()));
        let stored = stored.unwrap().unwrap();
        let mut record = (*stored.record).clone();
        record.revision = record.revision.next();
        record.writer = store::writer(lead::node(9));
        record.intent = Some(record::Intent {
            node: lead::node(9),
            revision: record.revision,
        });
        let write = store::Write {
            record: Arc::new(record),
            hold: stored.hold,
            expect: stored.at,
        };
        let written = runtime.block_on(store::write(&client, &write));
        if let Ok(store::Written::Done(stored)) = written {
            intended = Some(stored);
        }
        intended.is_some()
    });
    let intended = intended.unwrap();
    wait_for("the intent to be cancelled", || {
        let read = runtime.block_on(store::read(&client, &partition()));
        read.unwrap().unwrap().record.intent.is_none()
    });
    let claim = store::Write {
        record: Arc::new(standby::succeed(lead::node(9), &intended.record)),
        hold: intended.hold,
        expect: intended.at,
    };
    let written = runtime.block_on(store::write(&client, &claim));
    assert!(matches!(written, Ok(store::Written::Lost(_))));
    assert!(nodes.iter().any(TestNode::leads));
}

/// R6: guards against a coordinator that grants for longer than the hold time without contact to
/// the platform's service.
#[test]
fn coordinator_without_contact_stops_after_the_hold_time() {
    let platform = Fake::start();
    let nodes = cluster::cluster(&platform, &["ie-east-a", "ie-east-b", "ie-east-c"]);
    let runtime = tokio::runtime::Runtime::new().unwrap();
    set_hold(&platform, &runtime, Duration::from_secs(1));
    let leader = nodes.iter().find(|n| n.leads()).unwrap();
    let hold = || {
        leader
            .node
            .coordinator
            .with(&partition(), |l| l.stored.hold)
    };
    wait_for("the coordinator to see the hold time", || {
        hold() == Some(Duration::from_secs(1))
    });
    let observer = Observer::watch(&nodes);
    platform.set(Mode::Down);
    wait_for("the authority to end", || {
        !leader.node.coordinator.has_authority(&partition())
    });
    wait_for("the leases to end", || {
        let all = cluster::probes();
        all.into_iter().all(|h| nodes.iter().all(|n| !n.admits(h)))
    });
    platform.set(Mode::Normal);
    let refs: Vec<_> = nodes.iter().collect();
    wait_for("all keys to be served again", || cluster::all_served(&refs));
    observer.finish();
}
