//! Confirmation of an assignment table in a new era of the store.

use filbertflow::coordination::sidecar::confirmation::is_missing;
use filbertflow::protocol::mesh::Claim;
use filbertflow::state::keyspace::{AssignmentTable, ClaimedSlices, Holder, Key, Slice};
use filbertflow::state::store_revision::{Era, Revision};

const ERA: Era = Era(2);

fn holder(name: &str) -> Holder {
    Holder {
        node: format!("{name}:1"),
        backend: format!("i-{name}"),
        born: 1,
    }
}

fn slice(from: Key, to: Key, token: u64, name: &str) -> Slice {
    Slice {
        from,
        to,
        token,
        holder: Some(holder(name)),
        target: None,
        handover: String::new(),
    }
}

/// Returns a table in which `a` holds the lower half of the keys and `b` the upper one.
fn halves() -> AssignmentTable {
    let mut table = AssignmentTable::default();
    table.assign(0, 0x7fff, &holder("a"));
    table.assign(0x8000, Key::MAX, &holder("b"));
    table
}

fn confirm(base: &AssignmentTable, claims: &[(&[Slice], bool)]) -> AssignmentTable {
    let claims = claims
        .iter()
        .map(|&(slices, is_newest)| ClaimedSlices { slices, is_newest });
    let table = base.confirm(ERA, &claims.collect::<Vec<_>>());
    table.check().unwrap();
    assert_eq!(table.era, ERA);
    table
}

/// Guards against keys that move, or whose tokens change, although the store has lost nothing.
#[test]
fn unchanged_table_is_confirmed_as_it_is() {
    let base = halves();
    let claims = base.slices.clone();
    let table = confirm(&base, &[(&claims[..1], true), (&claims[1..], true)]);
    assert_eq!(table.slices, base.slices);
}

/// Guards against a restored table that goes before what a living node holds.
#[test]
fn claim_goes_before_the_restored_table() {
    let moved = [slice(0x8000, 0x8fff, 9, "a")];
    let table = confirm(&halves(), &[(&moved, true)]);
    let s = table.slice_of(0x8000).unwrap();
    assert_eq!((s.holder.as_ref(), s.token), (Some(&holder("a")), 9));
}

/// Guards against a token that is issued again: a lost table may have given the key to another holder.
#[test]
fn uncertain_claim_gets_an_unused_token() {
    let reported = [slice(0, 0x0fff, 9, "c")];
    let table = confirm(&halves(), &[(&reported, false)]);
    let s = table.slice_of(0).unwrap();
    assert_eq!(s.holder, Some(holder("c")));
    assert!(s.token > 9 + 1000, "{}", s.token);
}

/// Guards against keys that stay with a holder that no longer holds them.
#[test]
fn unclaimed_keys_have_no_holder() {
    let base = halves();
    let table = confirm(&base, &[(&base.slices[..1], true)]);
    assert_eq!(table.slice_of(0x8000).unwrap().holder, None);
    assert!(table.next_token > base.next_token);
}

/// Two nodes claim a key. Guards against the one that has released it since.
#[test]
fn highest_token_wins() {
    let (old, new) = ([slice(0, 99, 5, "a")], [slice(0, 99, 8, "b")]);
    for claims in [
        [(&old[..], true), (&new[..], true)],
        [(&new[..], true), (&old[..], true)],
    ] {
        let table = confirm(&AssignmentTable::default(), &claims);
        assert_eq!(table.slice_of(7).unwrap().holder, Some(holder("b")));
    }
}

/// A service without a table yet, or whose table is lost together with all processes. Guards against
/// tokens that were issued in an earlier era.
#[test]
fn tokens_of_a_new_era_are_above_all_earlier_ones() {
    let first = AssignmentTable::default().confirm(Era(1), &[]);
    let second = AssignmentTable::default().confirm(Era(2), &[]);
    assert!(second.next_token > first.next_token + 1_000_000);
    assert_eq!(
        AssignmentTable::default().confirm(Era(0), &[]).next_token,
        2
    );
}

fn claim(era: Era, entry: u64) -> Claim {
    Claim {
        era,
        service: "walks".to_owned(),
        node: "a:1".to_owned(),
        entry,
        table: Revision::default(),
        slices: Vec::new(),
    }
}

macro_rules! missing {
    ($($(#[$doc:meta])* $name:ident: $claim:expr, $entry:expr, $settled:literal => $missing:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let entry: Option<u64> = $entry;
            let entry = entry.map(|number| Revision::new(ERA, number));
            let claim: Option<Claim> = $claim;
            assert_eq!(is_missing(claim.as_ref(), entry, ERA, $settled), $missing);
        }
    )*};
}

missing! {
    /// The node has told what it holds.
    heard: Some(claim(ERA, 7)), Some(7), false => false;
    /// Guards against a claim of a process that was restarted since.
    claim_of_an_earlier_process: Some(claim(ERA, 6)), Some(7), true => true;
    /// Guards against a claim that was made by a table which has changed since, before the last restore.
    claim_of_an_earlier_era: Some(claim(Era(1), 7)), Some(7), true => true;
    /// Guards against a living node that can't reach this one, but the store.
    unheard_with_an_entry: None, Some(7), true => true;
    /// Guards against a node that has not registered again yet.
    unheard_without_an_entry: None, None, false => true;
    /// All leases of the earlier era have ended.
    lost_host: None, None, true => false;
    /// Guards against a claim whose entry this node doesn't see yet: its absence proves nothing later.
    entry_not_replicated: Some(claim(ERA, 7)), None, false => true;
}
