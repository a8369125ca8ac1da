//! Memory of the member table and of the route table by number of entries.

use std::sync::Arc;

use filbertflow::coordination::records;
use filbertflow::state::{ids, members, record};

use crate::{slopes, table};

/// Numbers of member entries to measure.
const MEMBER_COUNTS: [u32; 4] = [2_000, 4_000, 8_000, 16_000];

/// Numbers of partition records to measure; each has [`SLICES_PER_RECORD`] slices and
/// [`SERVERS_PER_RECORD`] servers.
const RECORD_COUNTS: [u16; 4] = [125, 250, 500, 1_000];

/// Slices of a record, which makes a million slices in 1,000 records.
const SLICES_PER_RECORD: u64 = 1_000;

/// Servers of a record.
const SERVERS_PER_RECORD: u32 = 16;

/// Runs the benchmark.
pub fn run() {
    table::header(&["state", "entries", "memory MB", "bytes per entry"]);
    let id = std::process::id();
    for count in MEMBER_COUNTS {
        let before = slopes::resident_mb(id);
        let mut known = members::MemberTable::new(member(0));
        for i in 1..count {
            known.merge(member(i));
        }
        report(
            "member entries",
            known.len() as u64,
            slopes::resident_mb(id) - before,
        );
        // Not freed, because the next round would reuse the pages without a growth of resident memory.
        std::mem::forget(known);
    }
    for count in RECORD_COUNTS {
        let before = slopes::resident_mb(id);
        let known = Arc::new(records::Records::default());
        for i in 0..count {
            known.offer(partition(i));
        }
        report(
            "slices",
            u64::from(count) * SLICES_PER_RECORD,
            slopes::resident_mb(id) - before,
        );
        std::mem::forget(known);
    }
}

fn report(state: &str, entries: u64, mb: f64) {
    table::row(&[
        state.to_owned(),
        entries.to_string(),
        format!("{mb:.1}"),
        format!("{:.0}", mb * 1024.0 * 1024.0 / entries as f64),
    ]);
}

fn node(i: u32) -> ids::NodeRef {
    let [_, b, c, d] = (i + 1).to_be_bytes();
    ids::NodeRef {
        addr: ids::NodeAddr(([10, b, c, d], 7000).into()),
        incarnation: ids::Incarnation(1),
    }
}

fn member(i: u32) -> members::Member {
    members::Member {
        node: node(i),
        version: 1,
        region: "region-1".to_owned(),
        domain: "region-1-a".to_owned(),
        caller: "10.0.0.1:8000".to_owned(),
        admin: "10.0.0.1:9000".to_owned(),
        service: Some("walk-listings".to_owned()),
        backend: members::ReportedBackend::default(),
        left: false,
        document: ids::DocRevision(1),
    }
}

fn partition(index: u16) -> record::PartitionRecord {
    let servers: Vec<_> = (0..SERVERS_PER_RECORD)
        .map(|i| record::Server {
            node: node(u32::from(index) * SERVERS_PER_RECORD + i),
            domain: "region-1-a".to_owned(),
            draining: false,
            checks: true,
        })
        .collect();
    let owners = servers.iter().map(|s| s.node).cycle();
    let mut slices = record::even_slices(SLICES_PER_RECORD);
    for (slice, owner) in slices.iter_mut().zip(owners) {
        slice.owner = Some(owner);
    }
    record::PartitionRecord {
        id: ids::PartitionId {
            service: "walk-listings".to_owned(),
            index,
        },
        epoch: ids::Epoch(1),
        revision: ids::Revision(1),
        coordinator: servers[0].node,
        standbys: vec![servers[1].node, servers[2].node],
        intent: None,
        writer: record::Writer {
            node: servers[0].node,
            number: 1,
        },
        servers,
        slices,
    }
}
