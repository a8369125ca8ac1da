//! Copies of the store's items whose sources are late, out of order or out of date.

use std::collections::BTreeMap;

use filbertflow::coordination::sidecar::replica::{Change, Replica};
use filbertflow::protocol::adapter::{Event, Item};
use filbertflow::protocol::mesh::Items;
use filbertflow::protocol::ownership;
use filbertflow::state::keyspace::{AssignmentTable, Holder, Key};
use quickcheck::{Arbitrary, Gen, TestResult};

/// Nodes of a history.
const NODES: usize = 3;

/// Histories that are played; `SEED=N` plays others.
const HISTORIES: u64 = 500;

/// Keys of a history.
const KEYS: u8 = 4;

/// Store that remembers every change.
#[derive(Debug, Default)]
struct Past {
    revision: u64,
    events: Vec<Event>,
}

impl Past {
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

    /// Revision of each item that existed at a revision.
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

/// Name of an item; the last one is an ownership table.
fn name(key: u8) -> String {
    match key % KEYS {
        3 => "filbertflow/keys/s".to_owned(),
        n => format!("filbertflow/node/{n}"),
    }
}

/// Value of an item since a revision.
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
    // A few ranges differ from one revision to the next.
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
    Read(usize),
    /// It reads the second page and takes both over.
    ReadOn(usize),
    /// A node's watch looks for changes.
    Watch(usize),
    /// The changes that it saw arrive.
    Told(usize),
    /// A node asks another one, which answers at once.
    Ask(usize, usize),
    /// The answer arrives.
    Answered(usize),
    /// A node starts again and knows nothing.
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
            4 => Self::Read(node),
            5 => Self::ReadOn(node),
            6 => Self::Watch(node),
            7 => Self::Told(node),
            8 | 9 => Self::Ask(node, usize::arbitrary(g) % NODES),
            10 => Self::Answered(node),
            _ if u8::arbitrary(g) < 40 => Self::Restart(node),
            _ => Self::Answered(node),
        }
    }
}

#[derive(Debug, Default)]
struct Node {
    replica: Replica,
    page: Option<(Vec<Item>, u64)>,
    told: Vec<Event>,
    /// Revision from which its watch goes on.
    from: u64,
    answers: Vec<Items>,
}

impl Node {
    /// Returns a key that the copy shows wrongly. Its content is that of the store at its revision, but
    /// for items that have changed since: whatever takes it further tells their change.
    fn wrong(&self, past: &Past) -> Option<(String, Option<u64>, Option<u64>)> {
        let newest = self.replica.revision();
        let then = past.at(newest);
        for item in self.replica.changes_since(0).items {
            let right = value(&item.key, item.revision);
            if item.value.as_ref() != Some(&right) {
                return Some((item.key, Some(item.revision), None));
            }
        }
        (0..KEYS).map(name).find_map(|key| {
            let shown = self.replica.item_revision(&key);
            let right = then.get(&key).copied();
            let later = past.since(newest).into_iter().any(|e| match e {
                Event::Put(item) => item.key == key,
                Event::Removed { key: k, .. } => k == key,
            });
            let known = shown.is_none_or(|r| r <= newest);
            (newest > 0 && !(known && later) && shown != right).then_some((key, shown, right))
        })
    }
}

fn play(steps: &[Step]) -> Result<(), String> {
    let mut past = Past::default();
    past.commit(&[(0, true), (1, true)]);
    let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::default()).collect();
    for (i, step) in steps.iter().enumerate() {
        match step {
            Step::Commit(changes) => past.commit(changes),
            Step::Read(n) => {
                nodes[*n].page = Some((past.items(0..KEYS / 2), past.revision));
            }
            Step::ReadOn(n) => {
                let node = &mut nodes[*n];
                if let Some((mut items, as_of)) = node.page.take() {
                    items.extend(past.items(KEYS / 2..KEYS));
                    node.replica.apply_snapshot(&items, as_of);
                    node.from = as_of;
                }
            }
            Step::Watch(n) => {
                let node = &mut nodes[*n];
                let from = node.from.max(node.replica.revision());
                if node.from > 0 {
                    node.told = past.since(from);
                }
            }
            Step::Told(n) => {
                let node = &mut nodes[*n];
                let told = std::mem::take(&mut node.told);
                node.replica.apply_events(&told);
            }
            Step::Ask(n, other) => {
                let answer = nodes[*other]
                    .replica
                    .changes_since(nodes[*n].replica.revision());
                nodes[*n].answers.push(answer);
            }
            Step::Answered(n) => {
                let node = &mut nodes[*n];
                // Any of them: answers of several nodes overtake each other.
                if !node.answers.is_empty() {
                    let answer = node.answers.remove(i % node.answers.len());
                    node.replica.apply_remote(answer);
                }
            }
            Step::Restart(n) => nodes[*n] = Node::default(),
        }
        for (n, node) in nodes.iter().enumerate() {
            if let Some((key, shown, right)) = node.wrong(&past) {
                let newest = node.replica.revision();
                return Err(format!(
                    "after step {i}, node {n} at {newest} shows {key} of {shown:?} and not of {right:?}"
                ));
            }
        }
    }
    Ok(())
}

/// Pattern: sources that are late, in any order, with restarts between. Guards against an entry that
/// was removed and is in use again, and against a change that is lost.
#[test]
fn copy_is_the_content_at_its_revision() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes generated values"
    )]
    fn law(steps: Vec<Step>) -> TestResult {
        match play(&steps) {
            Ok(()) => TestResult::passed(),
            Err(e) => TestResult::error(e),
        }
    }
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    quickcheck::QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, seed.unwrap_or(1)))
        .tests(HISTORIES)
        .quickcheck(law as fn(Vec<Step>) -> TestResult);
}

fn item(key: u8, revision: u64) -> Item {
    Item {
        key: name(key),
        value: Vec::new(),
        revision,
    }
}

/// Guards against a server that has left and is in use again: the answer of a node that did not know
/// of the removal yet arrives after it.
#[test]
fn late_answer_does_not_bring_an_entry_back() {
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

/// Guards against pages that were read before a removal and are taken over after it; the watch goes
/// on after the removal and would never tell it again.
#[test]
fn late_pages_do_not_bring_an_entry_back() {
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

/// Pattern: a node that reads the store starts again after a server has left. Guards against the
/// server's entry at the nodes that ask it for changes: it has never known that entry.
#[test]
fn restarted_reader_tells_a_removal_that_it_has_not_seen() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4), item(1, 5)], 5);
    let mut reader = Replica::default();
    reader.apply_snapshot(&[item(0, 4), item(2, 7)], 7);
    let changes = node.apply_remote(reader.changes_since(node.revision()));
    assert!(changes.contains(&Change::Removed(name(1))), "{changes:?}");
}

/// Ownership table as it is since a revision.
fn table(revision: u64) -> Item {
    Item {
        key: name(3),
        value: value(&name(3), revision),
        revision,
    }
}

/// Pattern: several keys move in a table of 77 holders, and 194 nodes hear of it. Guards against the
/// whole table on each of their connections.
#[test]
fn change_of_a_table_is_told_as_a_difference() {
    let mut node = Replica::default();
    node.apply_snapshot(&[table(5)], 5);
    let mut other = Replica::default();
    other.apply_snapshot(&[table(5)], 5);
    node.apply_events(&[Event::Put(table(6))]);
    let told = node.changes_since(5);
    let bytes = told.items[0].value.as_ref().unwrap().len();
    assert!(bytes * 4 < table(6).value.len(), "{bytes} bytes");
    assert_eq!(other.apply_remote(told), [Change::Put(table(6))]);
}

/// Guards against a difference that is laid over another table than its own, and against questions
/// that get it again and again.
#[test]
fn difference_that_does_not_fit_asks_for_everything() {
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

/// Guards against the second change of a commit that is taken for an old one.
#[test]
fn all_changes_of_one_commit_are_taken() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4)], 4);
    let changes = node.apply_events(&[Event::Put(item(1, 5)), Event::Put(item(2, 5))]);
    assert_eq!(changes.len(), 2);
}

/// Guards against questions without end after a reading that brought nothing new.
#[test]
fn reading_without_news_is_no_news() {
    let mut node = Replica::default();
    node.apply_snapshot(&[item(0, 4)], 5);
    node.apply_snapshot(&[item(0, 4)], 9);
    assert_eq!(node.revision(), 5);
}
