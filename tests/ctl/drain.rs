//! Tests of `filbertflow-ctl drain`.

use filbertflow::transport::admin_client;

use crate::fake::{Fake, Fault};
use crate::{fleet, run, status};

const NODE: &str = "127.0.1.1:7101";

fn drain_line(fake: &Fake) -> String {
    let text = fake.stored().unwrap().text;
    let line = text.lines().find(|l| l.contains("\"drain\""));
    line.unwrap().trim().to_owned()
}

/// Guards against a drain that changes other parts of the document, such as its comments.
#[test]
fn drain_and_undo_keep_all_else() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let run = run::ctl(fake.addr, &["drain", NODE]);
    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "accepted as revision 2\n"),
        "{}",
        run.err
    );
    assert_eq!(drain_line(&fake), "\"drain\": [\"127.0.1.1:7101\"],");
    let run = run::ctl(fake.addr, &["drain", NODE, "--undo"]);
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(fake.stored().unwrap().text, run::example());
}

macro_rules! unchanged {
    ($($name:ident: $first:expr, $then:expr => $text:literal;)*) => {$(
        /// Guards against a repeated command that fails or creates a needless revision.
        #[test]
        fn $name() {
            let fake = Fake::start();
            fake.submit(&run::example());
            run::ctl(fake.addr, &$first);
            let before = fake.writes();
            let run = run::ctl(fake.addr, &$then);
            assert_eq!((run.code, fake.writes()), (0, before), "{}", run.err);
            assert!(run.out.contains($text), "{}", run.out);
        }
    )*};
}

unchanged! {
    second_drain_changes_nothing: ["drain", NODE], ["drain", NODE] => "already on";
    second_undo_changes_nothing:
        ["drain", NODE, "--undo"], ["drain", NODE, "--undo"] => "not on";
}

/// Guards against a drain that fails, or that reverts another change, when another document is
/// accepted between its read and its write.
#[test]
fn drain_follows_another_submission() {
    let fake = Fake::start();
    fake.submit(&run::changed(128));
    fake.inject_faults(&[Fault::Preceded(1)]);
    let run = run::ctl(fake.addr, &["drain", NODE]);
    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "accepted as revision 3\n"),
        "{}",
        run.err
    );
    assert!(fake.stored().unwrap().text.contains("\"slices\": 128"));
}

/// Guards against concurrent drains of several operators that revert each other.
#[test]
fn racing_drains_are_all_kept() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let nodes: Vec<_> = (1..=4).map(|n| format!("127.0.1.{n}:7101")).collect();
    let start = |n: &String| run::start(fake.addr, None, &["drain", n]);
    let children: Vec<_> = nodes.iter().map(start).collect();
    let runs: Vec<_> = children.into_iter().map(run::finish).collect();
    let text = drain_line(&fake);
    for (node, run) in nodes.iter().zip(&runs) {
        assert_eq!(run.code, 0, "{}", run.err);
        assert!(text.contains(node.as_str()), "{text}");
    }
}

/// Guards against a failure if the document has no drain list yet.
#[test]
fn document_without_a_list_gets_one() {
    let fake = Fake::start();
    fake.submit(&run::example().replace("\"drain\": [],", ""));
    let run = run::ctl(fake.addr, &["drain", NODE]);
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(fake.stored().unwrap().text.contains(NODE));
}

/// Guards against a drain that creates a document where none was submitted.
#[test]
fn drain_needs_a_document() {
    let fake = Fake::start();
    let run = run::ctl(fake.addr, &["drain", NODE]);
    assert_eq!((run.code, fake.writes()), (2, 0), "{}", run.err);
}

/// Guards against a wait that ends while the drained node still owns keys. The queried node may lack
/// the record that shows them.
#[test]
fn wait_asks_the_drained_node() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let fleet = fleet::start(&fake, 2);
    let node = &fleet.nodes()[1];
    node.records.offer(status::record(node.me));
    let name = node.me.addr.to_string();
    let args = ["drain", name.as_str(), "--wait"];
    let mut child = run::start(fake.addr, Some(fleet.admin()), &args);
    fleet.wait(|n| n.config.revision().0 == 2);
    // Takes far longer than a command that does not wait, so that an early exit is noticed.
    for _ in 0..200 {
        admin_client::status(fleet.admin()).unwrap();
    }
    assert!(
        child.try_wait().unwrap().is_none(),
        "the command exited before the node was drained"
    );
    let mut moved = status::record(fleet.node().me);
    moved.revision = filbertflow::state::ids::Revision(2);
    node.records.offer(moved);
    let run = run::finish(child);
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(
        run.out.ends_with(&format!("{name} owns no keys\n")),
        "{}",
        run.out
    );
}

/// Guards against a mistyped address that is reported like a drained node.
#[test]
fn wait_for_an_unknown_node_says_so() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let fleet = fleet::start(&fake, 1);
    let args = ["drain", NODE, "--wait"];
    let run = run::finish(run::start(fake.addr, Some(fleet.admin()), &args));
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.contains("does not answer itself"), "{}", run.out);
}
