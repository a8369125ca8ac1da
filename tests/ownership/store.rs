//! Writes of a record whose answers are lost or which arrive late.

use std::sync::Arc;
use std::time::Duration;

use filbertflow::coordination::store;
use filbertflow::state::{ids, record};
use filbertflow::transport::platform as client;

use crate::cluster;
use crate::fake::{Fake, Mode};
use crate::lead;

fn write(port: u16, expect: u64) -> store::Write {
    let node = lead::node(port);
    store::Write {
        record: Arc::new(record::PartitionRecord {
            writer: store::writer(node),
            ..cluster::owned_by(node, node)
        }),
        hold: Duration::from_secs(1),
        expect: ids::ModRevision(expect),
    }
}

/// Sends a write once.
async fn send(platform: &Fake, write: &store::Write) -> store::Written {
    let client = client::Client::new(platform.addr);
    store::write(&client, write).await.unwrap()
}

/// R12: guards against two writers that both believe that their write took effect.
#[tokio::test]
async fn one_of_two_writes_on_the_same_revision_takes_effect() {
    let platform = Fake::start();
    let (first, second) = (write(1, 0), write(2, 0));
    assert!(matches!(
        send(&platform, &first).await,
        store::Written::Done(_)
    ));
    let store::Written::Lost(Some(current)) = send(&platform, &second).await else {
        panic!("the second write did not lose");
    };
    assert_eq!(current.record, first.record);
    assert_eq!(platform.writes(), 1);
}

/// R12: guards against a write that took effect and is taken for a lost one, or sent twice.
#[tokio::test]
async fn write_whose_answer_was_lost_is_recognised() {
    let platform = Fake::start();
    let write = write(1, 0);
    platform.set(Mode::LoseAnswers);
    assert!(matches!(
        send(&platform, &write).await,
        store::Written::Unresolved
    ));
    platform.set(Mode::Normal);
    let store::Written::Done(stored) = send(&platform, &write).await else {
        panic!("the write was not recognised");
    };
    assert_eq!(stored.record, write.record);
    assert_eq!(platform.writes(), 1);
}

/// R12: guards against an unanswered write that counts as failed because the entry still has its
/// old revision: it may arrive later.
#[tokio::test]
async fn write_that_may_still_arrive_is_unresolved() {
    let platform = Fake::start();
    let write = write(1, 0);
    platform.set(Mode::Delay);
    assert!(matches!(
        send(&platform, &write).await,
        store::Written::Unresolved
    ));
    platform.deliver();
    platform.set(Mode::Normal);
    assert!(matches!(
        send(&platform, &write).await,
        store::Written::Done(_)
    ));
    assert_eq!(platform.writes(), 1);
}
