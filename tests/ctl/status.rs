//! Tests of `filbertflow-ctl status`.

use filbertflow::cmd::{progress, status};
use filbertflow::protocol::admin;
use filbertflow::state::{ids, record};

use crate::fake::Fake;
use crate::{fleet, run};

/// Returns a record in which one node owns all slices.
pub fn record(node: ids::NodeRef) -> record::PartitionRecord {
    let mut slices = record::even_slices(64);
    for slice in &mut slices {
        slice.owner = Some(node);
    }
    record::PartitionRecord {
        id: ids::PartitionId::first("walk-listings"),
        epoch: ids::Epoch(1),
        revision: ids::Revision(1),
        coordinator: node,
        standbys: Vec::new(),
        servers: vec![record::Server {
            node,
            domain: "ie-east-a".to_owned(),
            draining: false,
            checks: true,
        }],
        slices,
        intent: None,
        writer: record::Writer { node, number: 1 },
    }
}

/// Guards against a status that omits nodes, partitions or drains.
#[test]
fn status_shows_nodes_partitions_and_drains() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let fleet = fleet::start(&fake, 3);
    let me = fleet.node().me;
    fleet.node().records.offer(record(me));
    let node = me.addr.to_string();
    run::ctl(fake.addr, &["drain", &node]);
    fleet.wait(|n| n.config.revision().0 == 2);
    let run = run::finish(run::start(fake.addr, Some(fleet.admin()), &["status"]));
    assert_eq!(run.code, 0, "{}", run.err);
    let first = format!("revision 2 in force on 3 of 3 nodes, seen by {node}");
    let drain = format!("draining: {node}, 64 slices left");
    let owners = format!("owners: {node}=64");
    for part in [&first, &drain, &owners] {
        assert!(
            run.out.contains(part.as_str()),
            "no {part:?} in {}",
            run.out
        );
    }
    let run = run::finish(run::start(
        fake.addr,
        Some(fleet.admin()),
        &["status", "--json"],
    ));
    let json: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(json["revisions"].as_array().map(Vec::len), Some(3));
    assert_eq!(json["drains"][0]["slices_left"], 64);
}

/// Guards against a large fleet whose status does not fit the screen.
#[test]
fn large_fleet_fits_one_screen() {
    let addr = |i: usize| {
        let [_, _, a, b] = u32::try_from(i).unwrap().to_be_bytes();
        ids::NodeAddr(([100, 100, a, b], 17101).into())
    };
    let owner = |i| admin::Owner {
        address: addr(i),
        failure_domain: "kerala-central-thrissur-a".to_owned(),
        slices: 1000,
        draining: true,
    };
    let partition = |i: u64| admin::Partition {
        partition: format!("service-with-a-long-name-{i}/0"),
        epoch: ids::Epoch(10_000 + i),
        revision: ids::Revision(1_000_000),
        coordinator: addr(60000),
        standbys: vec![addr(1), addr(2)],
        slices: 4096,
        unowned: 100,
        moving: 100,
        owners: (60_000..60_016).map(owner).collect(),
        claimant: None,
    };
    let drain = |i| admin::DrainProgress {
        address: addr(i),
        slices_left: 100,
    };
    let revision = |i| progress::NodeRevision {
        address: addr(i),
        revision: (i % 2 == 0).then_some(ids::DocRevision(1_000_000)),
    };
    let status = admin::Status {
        node: admin::Identity {
            address: addr(60000),
            incarnation: ids::Incarnation(1),
            region: "kerala-central".to_owned(),
            failure_domain: "thrissur-a".to_owned(),
            caller: addr(1).0,
            admin: addr(1).0,
        },
        revision: ids::DocRevision(1_000_000),
        roles: Vec::new(),
        members: Vec::new(),
        partitions: (0..1000).map(partition).collect(),
        drains: (0..100).map(drain).collect(),
    };
    let revisions: Vec<_> = (0..16_000).map(revision).collect();
    let text = status::render(&status, &revisions).unwrap();
    assert!(text.lines().count() <= 24, "{text}");
    for line in text.lines() {
        assert!(line.chars().count() <= 80, "{line}");
    }
    assert!(text.contains("8000 of 16000 nodes"), "{text}");
}

/// Guards against an unavailable node that is reported with another exit code.
#[test]
fn node_that_is_down_is_reported() {
    let run = run::local(&["status", "--admin", "127.0.0.1:1"]);
    assert_eq!(run.code, 4, "{}", run.err);
}
