//! Replicas of the store's items under late, reordered and outdated updates.

use std::collections::BTreeMap;

use filbertflow::coordination::sidecar::replica::{Change, Replica};
use filbertflow::protocol::adapter::{Event, Item};
use filbertflow::protocol::mesh::Items;
use filbertflow::protocol::ownership;
use filbertflow::state::keyspace::{AssignmentTable, Holder, Key};
use filbertflow::state::store_revision::{Era, Revision};
use quickcheck::{Arbitrary, Gen, TestResult};

/// Number of nodes in a history.
const NODES: usize = 3;

/// Number of generated histories; `SEED=N` generates others.
const HISTORIES: u64 = 500;

/// Number of keys in a history.
const KEYS: u8 = 4;

/// Store with the complete history of its changes, in each era.
#[derive(Debug, Default)]
struct StoreHistory {
    revision: u64,
    events: Vec<Event>,
    /// Histories of the earlier eras.
    lost: Vec<Vec<Event>>,
}

impl StoreHistory {
    fn commit(&mut self, changes: &[(u8, bool)]) {
        self.revision += 1;
        let revision = self.revision;
        for &(key, put) in changes {
            let key = name(key);
            self.events.push(if put {
                let value = value(&key, revision);
                Event::Put(Item {
                    key,
                    value,
                    revision,
                })
            } else {
                Event::Removed { key, revision }
            });
        }
    }

    /// Goes back by some revisions, which are given out again.
    fn restore(&mut self, revisions: u64) {
        self.lost.push(self.events.clone());
        self.revision = self.revision.saturating_sub(revisions).max(1);
        self.events.retain(|e| at(e) <= self.revision);
    }

    fn now(&self) -> Revision {
        Revision::new(Era(self.lost.len() as u64), self.revision)
    }

    fn of_era(&self, era: Era) -> &[Event] {
        let lost = usize::try_from(era.0).ok().and_then(|e| self.lost.get(e));
        lost.unwrap_or(&self.events)
    }

    /// Returns the number of the revision of each item that existed at a revision.
    fn at(&self, revision: Revision) -> BTreeMap<String, u64> {
        let mut all = BTreeMap::new();
        let events = self.of_era(revision.era).iter();
        for event in events.filter(|e| at(e) <= revision.number) {
            match event {
                Event::Put(item) => all.insert(item.key.clone(), item.revision),
                Event::Removed { key, .. } => all.remove(key),
            };
        }
        all
    }

    /// Returns the changes of an era after a revision.
    fn since(&self, revision: Revision) -> Vec<Event> {
        let events = self.of_era(revision.era).iter();
        events
            .filter(|e| at(e) > revision.number)
            .cloned()
            .collect()
    }

    fn items(&self, keys: std::ops::Range<u8>) -> Vec<Item> {
        let now = self.at(self.now());
        let listed = keys.filter_map(|k| Some((name(k), *now.get(&name(k))?)));
        let item = |(key, revision): (String, u64)| Item {
            value: value(&key, revision),
            key,
            revision,
        };
        listed.map(item).collect()
    }
}

fn at(event: &Event) -> u64 {
    let (Event::Put(Item { revision, .. }) | Event::Removed { revision, .. }) = event;
    *revision
}

/// Returns the name of an item; the last one is an assignment table.
fn name(key: u8) -> String {
    match key % KEYS {
        3 => "filbertflow/keys/s".to_owned(),
        n => format!("filbertflow/node/{n}"),
    }
}

/// Returns the value of an item that was written at a revision.
fn value(key: &str, revision: u64) -> Vec<u8> {
    if key.starts_with("filbertflow/node/") {
        return revision.to_string().into_bytes();
    }
    let holder = |n: u64| Holder {
        node: format!("10.0.0.{n}:7600"),
        backend: format!("i-{n}"),
        born: n,
    };
    let mut table = AssignmentTable::default();
    for n in 0..40 {
        let from = Key::try_from(n * 1600).unwrap();
        table.assign(from, from + 1599, &holder(n % 5));
    }
    // A few ranges differ between consecutive revisions.
    for n in [revision % 40, (revision * 7) % 40] {
        let from = Key::try_from(n * 1600 + 100).unwrap();
        table.plan_move(from, from + 300, &holder(n % 5), &holder(6));
        table.release(from, from + 100, &holder(n % 5), "proof");
    }
    ownership::encode_table(&table)
}

/// Step of a history.
#[derive(Debug, Clone)]
enum Step {
    /// Changes of one commit.
    Commit(Vec<(u8, bool)>),
    /// A node reads the first page.
    ReadFirst(usize),
    /// It reads the second page and applies both.
    ReadSecond(usize),
    /// A node's watch returns changes.
    Watch(usize),
    /// The changes of the watch arrive at the node.
    WatchDelivered(usize),
    /// A node sends a request to another one, which responds at once.
    Request(usize, usize),
    /// The response arrives.
    ResponseDelivered(usize),
    /// A node restarts without state.
    Restart(usize),
    /// The store is restored to some revisions before.
    Restore(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES;
        match u8::arbitrary(g) % 12 {
            0..4 => Self::Commit(
                Vec::<(u8, bool)>::arbitrary(g)
                    .into_iter()
                    .take(2)
                    .collect(),
            ),
            4 => Self::ReadFirst(node),
            5 => Self::ReadSecond(node),
            6 => Self::Watch(node),
            7 => Self::WatchDelivered(node),
            8 | 9 => Self::Request(node, usize::arbitrary(g) % NODES),
            10 => Self::ResponseDelivered(node),
            _ if u8::arbitrary(g) < 40 => Self::Restart(node),
            _ if u8::arbitrary(g) < 40 => Self::Restore(u64::from(u8::arbitrary(g) % 8)),
            _ => Self::ResponseDelivered(node),
        }
    }
}

#[derive(Debug, Default)]
struct Node {
    replica: Replica,
    page: Option<(Vec<Item>, Revision)>,
    delivered: (Vec<Event>, Era),
    /// Revision from which its watch continues.
    from: Revision,
    responses: Vec<Items>,
}

impl Node {
    /// Returns a key whose item is wrong, with the shown and the right revision. The replica has the
    /// content of the store at its revision, except for items that have changed since: the next update
    /// brings their change.
    fn wrong_item(&self, history: &StoreHistory) -> Option<(String, Option<u64>, Option<u64>)> {
        let newest = self.replica.revision();
        let then = history.at(newest);
        for item in self.replica.changes_since(Revision::default()).items {
            let right = value(&item.key, item.revision);
            if item.value.as_ref() != Some(&right) {
                return Some((item.key, Some(item.revision), None));
            }
        }
        (0..KEYS).map(name).find_map(|key| {
            let shown = self.replica.item_revision(&key).map(|r| r.number);
            let right = then.get(&key).copied();
            let later = history.since(newest).into_iter().any(|e| match e {
                Event::Put(item) => item.key == key,
                Event::Removed { key: k, .. } => k == key,
            });
            let known = shown.is_none_or(|r| r <= newest.number);
            (newest.number > 0 && !(known && later) && shown != right)
                .then_some((key, shown, right))
        })
    }
}

fn run_history(steps: &[Step]) -> Result<(), String> {
    let mut history = StoreHistory::default();
    history.commit(&[(0, true), (1, true)]);
    let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::default()).collect();
    for (i, step) in steps.iter().enumerate() {
        match step {
            Step::Commit(changes) => history.commit(changes),
            Step::ReadFirst(n) => {
                nodes[*n].page = Some((history.items(0..KEYS / 2), history.now()));
            }
            Step::ReadSecond(n) => {
                let node = &mut nodes[*n];
                // Pages of two eras are read again.
                let page = node.page.take();
                if let Some((mut items, as_of)) = page.filter(|p| p.1.era == history.now().era) {
                    items.extend(history.items(KEYS / 2..KEYS));
                    node.replica.apply_snapshot(&items, as_of);
                    node.from = as_of;
                }
            }
            Step::Watch(n) => {
                let node = &mut nodes[*n];
                let from = node.from.max(node.replica.revision());
                // A watch from an earlier era ends; one from a later revision gets 410.
                if !node.from.is_none() && from.era == history.now().era {
                    node.delivered = (history.since(from), from.era);
                }
            }
            Step::WatchDelivered(n) => {
                let node = &mut nodes[*n];
                let delivered = std::mem::take(&mut node.delivered);
                node.replica.apply_events(&delivered.0, delivered.1);
            }
            Step::Restore(revisions) => history.restore(*revisions),
            Step::Request(n, other) => {
                let response = nodes[*other]
                    .replica
                    .changes_since(nodes[*n].replica.revision());
                nodes[*n].responses.push(response);
            }
            Step::ResponseDelivered(n) => {
                let node = &mut nodes[*n];
                // Any of them, since responses of several nodes arrive out of order.
                if !node.responses.is_empty() {
                    let response = node.responses.remove(i % node.responses.len());
                    node.replica.apply_remote(response);
                }
            }
            Step::Restart(n) => nodes[*n] = Node::default(),
        }
        for (n, node) in nodes.iter().enumerate() {
            if let Some((key, shown, right)) = node.wrong_item(&history) {
                let newest = node.replica.revision();
                return Err(format!(
                    "after step {i}, node {n} at {newest} shows {key} of {shown:?} and not of {right:?}"
                ));
            }
        }
    }
    Ok(())
}

/// Late and reordered updates, with restarts of nodes. Guards against a removed entry that comes back
/// and against a lost change.
#[test]
fn replica_is_the_content_at_its_revision() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes generated values"
    )]
    fn property(steps: Vec<Step>) -> TestResult {
        match run_history(&steps) {
            Ok(()) => TestResult::passed(),
            Err(e) => TestResult::error(e),
        }
    }
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    quickcheck::QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, seed.unwrap_or(1)))
        .tests(HISTORIES)
        .quickcheck(property as fn(Vec<Step>) -> TestResult);
}

/// Returns a revision of the first era.
fn rev(number: u64) -> Revision {
    Revision::new(Era(0), number)
}

fn item(key: u8, revision: u64) -> Item {
    Item {
        key: name(key),
        value: Vec::new(),
        revision,
    }
}

/// A response of a node without the removal arrives after the removal. Guards against a departed node
/// that gets calls again.
#[test]
fn late_response_does_not_restore_an_entry() {
    let mut other = Replica::default();
    other.apply_snapshot(&[item(0, 4), item(1, 5)], rev(5));
    let mut node = Replica::default();
    let late = other.changes_since(node.revision());
    node.apply_snapshot(&[item(0, 4), item(1, 5)], rev(5));
    let removed = Event::Removed {
        key: name(1),
        revision: 6,
    };
    assert_eq!(
        node.apply_events(&[removed], Era(0)),
        [Change::Removed(name(1))]
    );
    assert_eq!(node.apply_remote(late), []);
    assert_eq!(node.item_revision(&name(1)), None);
}

/// Pages that were read before a removal are applied after it. Guards against an entry that stays,
/// since the watch continues after the removal and doesn't report it again.
#[test]
fn late_pages_do_not_restore_an_entry() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4), item(1, 5)], rev(5));
    let removed = Event::Removed {
        key: name(1),
        revision: 6,
    };
    node.apply_events(&[removed], Era(0));
    assert_eq!(node.apply_snapshot(&[item(0, 4), item(1, 5)], rev(5)), []);
    assert_eq!(node.item_revision(&name(1)), None);
}

/// A watcher restarts after a node has left, so that it never had the node's entry. Guards against
/// the entry staying at nodes that request changes from the watcher.
#[test]
fn restarted_watcher_reports_a_removal_that_it_has_not_seen() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4), item(1, 5)], rev(5));
    let mut reader = Replica::default();
    reader.apply_snapshot(&[item(0, 4), item(2, 7)], rev(7));
    let changes = node.apply_remote(reader.changes_since(node.revision()));
    assert!(changes.contains(&Change::Removed(name(1))), "{changes:?}");
}

/// Returns the assignment table that was written at a revision.
fn table(revision: u64) -> Item {
    Item {
        key: name(3),
        value: value(&name(3), revision),
        revision,
    }
}

/// Keys move in a table of 77 holders, and 194 nodes get the change. Guards against sending the whole
/// table on each of their connections.
#[test]
fn change_of_a_table_is_sent_as_a_delta() {
    let mut node = Replica::default();
    node.apply_snapshot(&[table(5)], rev(5));
    let mut other = Replica::default();
    other.apply_snapshot(&[table(5)], rev(5));
    node.apply_events(&[Event::Put(table(6))], Era(0));
    let response = node.changes_since(rev(5));
    let bytes = response.items[0].value.as_ref().unwrap().len();
    assert!(bytes * 4 < table(6).value.len(), "{bytes} bytes");
    assert_eq!(other.apply_remote(response), [Change::Put(table(6))]);
}

/// Guards against a delta that is applied to a table other than its base, and against requests that
/// return it over and over.
#[test]
fn delta_without_its_base_requests_all_items() {
    let mut node = Replica::default();
    node.apply_snapshot(&[table(5)], rev(5));
    node.apply_events(&[Event::Put(table(6))], Era(0));
    let mut other = Replica::default();
    other.apply_snapshot(&[table(4)], rev(5));
    assert_eq!(other.apply_remote(node.changes_since(rev(5))), []);
    assert!(other.request_revision().is_none());
    assert_eq!(
        other.apply_remote(node.changes_since(other.request_revision())),
        [Change::Put(table(6))]
    );
    assert_eq!(other.request_revision(), rev(6));
}

/// Guards against the second change of a commit that is ignored as an old one.
#[test]
fn all_changes_of_one_commit_are_applied() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4)], rev(4));
    let changes = node.apply_events(&[Event::Put(item(1, 5)), Event::Put(item(2, 5))], Era(0));
    assert_eq!(changes.len(), 2);
}

/// Guards against endless requests after a read without changes: the revision stays the same.
#[test]
fn read_without_changes_keeps_the_revision() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4)], rev(5));
    node.apply_snapshot(&[item(0, 4)], rev(9));
    assert_eq!(node.revision(), rev(5));
}

/// Guards against items of the restored store that count as late ones because their revisions are lower,
/// and against an item that stays although the store has lost it.
#[test]
fn new_era_replaces_all_items() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4), item(1, 9)], rev(9));
    let restored = Revision::new(Era(1), 5);
    let changes = node.apply_snapshot(&[item(0, 4)], restored);
    assert!(changes.contains(&Change::Removed(name(1))), "{changes:?}");
    assert!(changes.contains(&Change::Put(item(0, 4))), "{changes:?}");
    assert_eq!(node.revision(), restored);
}

/// A node that has read the restored store and one that hasn't exchange items. Guards against a delta or
/// a part of the items across eras, and against going back to the lost content.
#[test]
fn nodes_of_two_eras_exchange_all_items() {
    let mut old = Replica::default();
    old.apply_snapshot(&[item(0, 4), item(1, 9)], rev(9));
    let mut new = Replica::default();
    new.apply_snapshot(&[item(0, 4)], Revision::new(Era(1), 5));
    assert_eq!(new.apply_remote(old.changes_since(new.revision())), []);
    let response = new.changes_since(old.revision());
    assert!(response.whole);
    old.apply_remote(response);
    assert_eq!(old.revision(), new.revision());
    assert_eq!(old.item_revision(&name(1)), None);
}

/// Guards against changes of a watch that began in another era than the replica's.
#[test]
fn events_of_another_era_are_ignored() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4)], Revision::new(Era(1), 5));
    assert_eq!(node.apply_events(&[Event::Put(item(1, 9))], Era(0)), []);
    assert_eq!(node.apply_events(&[Event::Put(item(1, 9))], Era(2)), []);
}
