//! Member table and the gossip messages by which two tables converge.

use std::pin::Pin;

use filbertflow::coordination::membership;
use filbertflow::protocol::peer;
use filbertflow::state::{clock, ids, members, settings};
use tarpc::tokio_serde::{Serializer, formats};

/// Exchanges per node and second: 3 started and, on average, 3 answered per gossip round.
const EXCHANGES_PER_SECOND: usize = 30;

/// Limit on the control traffic of a node, in bytes per second.
const TRAFFIC_LIMIT: usize = 12_000;

fn addr(i: u32) -> ids::NodeAddr {
    let [_, b, c, d] = (i + 1).to_be_bytes();
    ids::NodeAddr(([127, b, c, d], 7000).into())
}

fn entry(i: u32, incarnation: u64, version: u64, left: bool) -> members::Member {
    members::Member {
        node: ids::NodeRef {
            addr: addr(i),
            incarnation: ids::Incarnation(incarnation),
        },
        version,
        region: "ie-east".to_owned(),
        domain: "ie-east-a".to_owned(),
        caller: "127.0.0.1:8000".to_owned(),
        admin: "127.0.0.1:9000".to_owned(),
        service: Some("walk-listings".to_owned()),
        backend: members::ReportedBackend::default(),
        left,
        document: ids::DocRevision(1),
    }
}

fn table() -> members::MemberTable {
    members::MemberTable::new(entry(1000, 1, 1, false))
}

fn node(i: u32) -> membership::Members {
    let me = entry(i, 1, 1, false).node;
    let settings = settings::Settings {
        region: "ie-east".to_owned(),
        domain: "ie-east-a".to_owned(),
        caller: ([127, 0, 0, 1], 8000).into(),
        peer: me.addr,
        peer_listen: None,
        admin: ([127, 0, 0, 1], 9000).into(),
        platform: ([127, 0, 0, 1], 1).into(),
        peers: Vec::new(),
    };
    membership::Members::new(me, &settings)
}

fn fill(node: &membership::Members, range: std::ops::Range<u32>) {
    let mut message = node.summary();
    let entries = range.map(|i| entry(i, 1, 1, false).into());
    message.entries = entries.collect();
    let _ = node.answer(message);
}

fn size(message: &peer::Gossip) -> usize {
    let mut codec = formats::Bincode::<peer::Gossip, peer::Gossip>::default();
    let bytes = Pin::new(&mut codec).serialize(message);
    bytes.expect("gossip can be encoded").len()
}

/// Runs one exchange and returns the total size of its messages, in bytes.
fn exchange(a: &membership::Members, b: &membership::Members) -> usize {
    let mut bytes = 0;
    let mut next = Some(a.summary());
    while let Some(message) = next {
        bytes += size(&message);
        let answer = b.answer(message);
        bytes += size(&answer);
        next = a.resume(answer);
    }
    bytes
}

fn converge(a: &membership::Members, b: &membership::Members) {
    for _ in 0..10 {
        exchange(a, b);
        exchange(b, a);
    }
}

fn hash(node: &membership::Members) -> u64 {
    node.summary().members
}

quickcheck::quickcheck! {
    /// Guards against a table that depends on the order in which entries arrive.
    fn order_of_arrival_does_not_matter(changes: Vec<(u8, u8, u8, bool)>) -> bool {
        let entries: Vec<_> = changes
            .iter()
            .map(|(i, inc, v, left)| entry(u32::from(i % 5), u64::from(inc % 3), u64::from(v % 4), *left))
            .collect();
        let (mut a, mut b) = (table(), table());
        for e in &entries {
            a.merge(e.clone());
        }
        for e in entries.iter().rev() {
            b.merge(e.clone());
        }
        let listed = |t: &members::MemberTable| {
            let mut all: Vec<_> = t.live().cloned().collect();
            all.sort_by_key(|m| m.node);
            all
        };
        a.hash() == b.hash() && a.buckets() == b.buckets() && listed(&a) == listed(&b)
    }

    /// Guards against two tables that don't converge although their nodes exchange messages.
    fn exchanges_make_tables_equal(a: Vec<(u8, u8, u8)>, b: Vec<(u8, u8, u8)>) -> bool {
        let (left, right) = (node(1001), node(1002));
        for (members, changes) in [(&left, &a), (&right, &b)] {
            let mut message = members.summary();
            message.entries = changes
                .iter()
                .map(|(i, inc, v)| entry(u32::from(*i), u64::from(*inc), u64::from(*v), v % 7 == 0).into())
                .collect();
            let _ = members.answer(message);
        }
        converge(&left, &right);
        hash(&left) == hash(&right)
    }
}

/// Guards against a removed entry that reappears because an outdated node still sends it.
#[test]
fn removed_entry_stays_removed() {
    let mut table = table();
    table.merge(entry(1, 5, 1, false));
    assert!(table.mark_left(entry(1, 5, 1, false).node));
    table.expire(clock::Instant::now() + members::ENDED_RETENTION);
    assert_eq!(table.len(), 1);
    assert!(!table.merge(entry(1, 5, 9, false)));
    assert_eq!(table.incarnation(addr(1)), Some(ids::Incarnation(5)));
    assert!(table.merge(entry(1, 6, 1, false)));
}

/// Guards against a running node that stays marked as left after it was marked wrongly.
#[test]
fn wrongly_ended_node_takes_the_mark_back() {
    let (mut other, mut me) = (table(), members::MemberTable::new(entry(1, 5, 1, false)));
    other.merge(me.local().clone());
    other.mark_left(me.local().node);
    let mark = other.get(addr(1)).cloned().unwrap();
    assert!(mark.left);
    assert!(me.merge(mark));
    assert!(other.merge(me.local().clone()));
    assert!(!other.get(addr(1)).unwrap().left);
}

/// Guards against calls addressed to an earlier incarnation of a restarted node.
#[test]
fn newer_incarnation_replaces_the_older_one() {
    let mut table = table();
    table.merge(entry(1, 5, 9, false));
    assert!(table.merge(entry(1, 6, 1, false)));
    assert!(!table.merge(entry(1, 5, 10, true)));
    assert!(!table.mark_left(entry(1, 5, 9, false).node));
    assert_eq!(table.live().count(), 2);
    assert_eq!(table.incarnation(addr(1)), Some(ids::Incarnation(6)));
}

/// Guards against a version that increases without a change, which would prevent convergence.
#[test]
fn unchanged_content_keeps_its_version() {
    let mut table = table();
    table.update(|me| me.backend.up = false);
    assert_eq!(table.local().version, 1);
    table.update(|me| me.backend.up = true);
    assert_eq!(table.local().version, 2);
}

/// Guards against gossip traffic that grows with the fleet: with 16,000 members, exchanges between
/// equal tables must stay far below the traffic limit.
#[test]
fn gossip_of_equal_tables_fits_the_traffic_limit() {
    let (a, b) = (node(20_000), node(20_001));
    for members in [&a, &b] {
        fill(members, 0..16_000);
    }
    for _ in 0..10_000 {
        if exchange(&a, &b) < 200 {
            break;
        }
    }
    assert_eq!(hash(&a), hash(&b));
    let bytes = exchange(&a, &b);
    let per_second = bytes * EXCHANGES_PER_SECOND;
    println!("{bytes} bytes per exchange, {per_second} bytes/s");
    assert!(per_second < TRAFFIC_LIMIT / 2, "{per_second} bytes/s");
}

/// Guards against a repair that transfers the whole table for a single difference.
#[test]
fn repair_of_one_entry_is_small() {
    let (a, b) = (node(20_000), node(20_001));
    fill(&a, 0..16_000);
    fill(&b, 0..15_999);
    // Uses up the sends of all entries, so that only the repair can transfer the missing one.
    while !a.summary().entries.is_empty() {}
    while !b.summary().entries.is_empty() {}
    let mut bytes = 0;
    for _ in 0..4 {
        bytes += exchange(&a, &b) + exchange(&b, &a);
    }
    println!("{bytes} bytes");
    assert_eq!(hash(&a), hash(&b));
    assert!(bytes < 64_000, "{bytes} bytes");
}

/// Guards against a change that takes more than a logarithmic number of rounds to spread.
#[test]
fn change_reaches_all_nodes_in_logarithmic_rounds() {
    const NODES: u32 = 256;
    let nodes: Vec<_> = (0..NODES).map(node).collect();
    for n in &nodes {
        fill(n, 0..NODES);
        while !n.summary().entries.is_empty() {}
    }
    fill(&nodes[0], 5000..5001);
    let mut rounds = 0;
    while nodes.iter().any(|n| n.incarnation(addr(5000)).is_none()) {
        rounds += 1;
        assert!(rounds <= 12, "not everywhere after 12 rounds");
        for (i, n) in nodes.iter().enumerate() {
            for step in 1..=3 {
                let other = rand::random_range(1..nodes.len());
                let other = (i + step * other) % nodes.len();
                if other != i {
                    exchange(n, &nodes[other]);
                }
            }
        }
    }
    println!("{rounds} rounds");
}
