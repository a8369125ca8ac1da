//! Replicas of the store's items under late, reordered and outdated updates.

use std::collections::BTreeMap;

use filbertflow::coordination::sidecar::replica::{Change, Replica};
use filbertflow::protocol::adapter::{Event, Item};
use filbertflow::protocol::mesh::Items;
use filbertflow::protocol::ownership;
use filbertflow::state::keyspace::{AssignmentTable, Holder, Key};
use quickcheck::{Arbitrary, Gen, TestResult};

/// Number of nodes in a history.
const NODES: usize = 3;

/// Number of generated histories; `SEED=N` generates others.
const HISTORIES: u64 = 500;

/// Number of keys in a history.
const KEYS: u8 = 4;

/// Store with the complete history of its changes.
#[derive(Debug, Default)]
struct StoreHistory {
    revision: u64,
    events: Vec<Event>,
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

    /// Returns the revision of each item that existed at a revision.
    fn at(&self, revision: u64) -> BTreeMap<String, u64> {
        let mut all = BTreeMap::new();
        for event in self.since(0).iter().filter(|e| at(e) <= revision) {
            match event {
                Event::Put(item) => all.insert(item.key.clone(), item.revision),
                Event::Removed { key, .. } => all.remove(key),
            };
        }
        all
    }

    fn since(&self, revision: u64) -> Vec<Event> {
        let later = self.events.iter().filter(|e| at(e) > revision);
        later.cloned().collect()
    }

    fn items(&self, keys: std::ops::Range<u8>) -> Vec<Item> {
        let now = self.at(self.revision);
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
            _ => Self::ResponseDelivered(node),
        }
    }
}

#[derive(Debug, Default)]
struct Node {
    replica: Replica,
    page: Option<(Vec<Item>, u64)>,
    delivered: Vec<Event>,
    /// Revision from which its watch continues.
    from: u64,
    responses: Vec<Items>,
}

impl Node {
    /// Returns a key whose item is wrong, with the shown and the right revision. The replica has the
    /// content of the store at its revision, except for items that have changed since: the next update
    /// brings their change.
    fn wrong_item(&self, history: &StoreHistory) -> Option<(String, Option<u64>, Option<u64>)> {
        let newest = self.replica.revision();
        let then = history.at(newest);
        for item in self.replica.changes_since(0).items {
            let right = value(&item.key, item.revision);
            if item.value.as_ref() != Some(&right) {
                return Some((item.key, Some(item.revision), None));
            }
        }
        (0..KEYS).map(name).find_map(|key| {
            let shown = self.replica.item_revision(&key);
            let right = then.get(&key).copied();
            let later = history.since(newest).into_iter().any(|e| match e {
                Event::Put(item) => item.key == key,
                Event::Removed { key: k, .. } => k == key,
            });
            let known = shown.is_none_or(|r| r <= newest);
            (newest > 0 && !(known && later) && shown != right).then_some((key, shown, right))
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
                nodes[*n].page = Some((history.items(0..KEYS / 2), history.revision));
            }
            Step::ReadSecond(n) => {
                let node = &mut nodes[*n];
                if let Some((mut items, as_of)) = node.page.take() {
                    items.extend(history.items(KEYS / 2..KEYS));
                    node.replica.apply_snapshot(&items, as_of);
                    node.from = as_of;
                }
            }
            Step::Watch(n) => {
                let node = &mut nodes[*n];
                let from = node.from.max(node.replica.revision());
                if node.from > 0 {
                    node.delivered = history.since(from);
                }
            }
            Step::WatchDelivered(n) => {
                let node = &mut nodes[*n];
                let delivered = std::mem::take(&mut node.delivered);
                node.replica.apply_events(&delivered);
            }
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
    other.apply_snapshot(&[item(0, 4), item(1, 5)], 5);
    let mut node = Replica::default();
    let late = other.changes_since(node.revision());
    node.apply_snapshot(&[item(0, 4), item(1, 5)], 5);
    let removed = Event::Removed {
        key: name(1),
        revision: 6,
    };
    assert_eq!(node.apply_events(&[removed]), [Change::Removed(name(1))]);
    assert_eq!(node.apply_remote(late), []);
    assert_eq!(node.item_revision(&name(1)), None);
}

/// Pages that were read before a removal are applied after it. Guards against an entry that stays,
/// since the watch continues after the removal and doesn't report it again.
#[test]
fn late_pages_do_not_restore_an_entry() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4), item(1, 5)], 5);
    let removed = Event::Removed {
        key: name(1),
        revision: 6,
    };
    node.apply_events(&[removed]);
    assert_eq!(node.apply_snapshot(&[item(0, 4), item(1, 5)], 5), []);
    assert_eq!(node.item_revision(&name(1)), None);
}

/// A watcher restarts after a node has left, so that it never had the node's entry. Guards against
/// the entry staying at nodes that request changes from the watcher.
#[test]
fn restarted_watcher_reports_a_removal_that_it_has_not_seen() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4), item(1, 5)], 5);
    let mut reader = Replica::default();
    reader.apply_snapshot(&[item(0, 4), item(2, 7)], 7);
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
    node.apply_snapshot(&[table(5)], 5);
    let mut other = Replica::default();
    other.apply_snapshot(&[table(5)], 5);
    node.apply_events(&[Event::Put(table(6))]);
    let response = node.changes_since(5);
    let bytes = response.items[0].value.as_ref().unwrap().len();
    assert!(bytes * 4 < table(6).value.len(), "{bytes} bytes");
    assert_eq!(other.apply_remote(response), [Change::Put(table(6))]);
}

/// Guards against a delta that is applied to a table other than its base, and against requests that
/// return it over and over.
#[test]
fn delta_without_its_base_requests_all_items() {
    let mut node = Replica::default();
    node.apply_snapshot(&[table(5)], 5);
    node.apply_events(&[Event::Put(table(6))]);
    let mut other = Replica::default();
    other.apply_snapshot(&[table(4)], 5);
    assert_eq!(other.apply_remote(node.changes_since(5)), []);
    assert_eq!(other.request_revision(), 0);
    assert_eq!(
        other.apply_remote(node.changes_since(other.request_revision())),
        [Change::Put(table(6))]
    );
    assert_eq!(other.request_revision(), 6);
}

/// Guards against the second change of a commit that is ignored as an old one.
#[test]
fn all_changes_of_one_commit_are_applied() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4)], 4);
    let changes = node.apply_events(&[Event::Put(item(1, 5)), Event::Put(item(2, 5))]);
    assert_eq!(changes.len(), 2);
}

/// Guards against endless requests after a read without changes: the revision stays the same.
#[test]
fn read_without_changes_keeps_the_revision() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4)], 5);
    node.apply_snapshot(&[item(0, 4)], 9);
    assert_eq!(node.revision(), 5);
}
