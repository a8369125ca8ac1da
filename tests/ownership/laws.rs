//! Laws of records and tokens.

use filbertflow::state::{ids, record};
use quickcheck::quickcheck;

use crate::cluster;
use crate::lead;

/// Every hash has the owner and at least the version that it had before.
fn covers(before: &record::PartitionRecord, after: &record::PartitionRecord, hash: u64) -> bool {
    let at = |r: &record::PartitionRecord| *r.slice_at(ids::KeyHash(hash)).unwrap();
    let (old, new) = (at(before), at(after));
    old.owner == new.owner && old.version <= new.version
}

quickcheck! {
    /// Guards against hashes that lose their owner, or whose version decreases, in splits and
    /// merges.
    fn splits_and_merges_keep_coverage(cuts: Vec<u64>, joins: Vec<u8>, owners: Vec<bool>, hashes: Vec<u64>) -> bool {
        let mut record = cluster::owned_by(lead::node(1), lead::node(9));
        let mut second = record.servers[0].clone();
        second.node = lead::node(2);
        record.servers.push(second);
        for cut in &cuts {
            record.split(ids::KeyHash(*cut));
        }
        for (i, owned) in owners.iter().enumerate().take(record.slices.len()) {
            record.assign(i, lead::node(if *owned { 1 } else { 2 }));
        }
        let before = record.clone();
        for join in joins {
            record.merge(usize::from(join) % record.slices.len());
        }
        for cut in &cuts {
            record.split(ids::KeyHash(*cut));
        }
        record.check().is_ok()
            && hashes.iter().chain(&cuts).all(|h| covers(&before, &record, *h))
    }

    /// Guards against gaps between the ends and starts of slices.
    fn slices_adjoin(cuts: Vec<u64>) -> bool {
        let mut record = cluster::owned_by(lead::node(1), lead::node(9));
        for cut in cuts {
            record.split(ids::KeyHash(cut));
        }
        let last = record.slices.len() - 1;
        let adjoin = (0..last).all(|i| record.slice_end(i).0 + 1 == record.slices[i + 1].start.0);
        adjoin && record.slice_end(last).0 == u64::MAX
    }

    /// Guards against a fencing order that puts the version before the epoch.
    fn tokens_are_ordered_by_epoch_first(a: (u64, u64), b: (u64, u64)) -> bool {
        let token = |(epoch, version)| ids::Token {
            epoch: ids::Epoch(epoch),
            version: ids::SliceVersion(version),
        };
        token(a).cmp(&token(b)) == a.cmp(&b)
    }
}
