//! Follows what lies below a prefix of the store, by reading it once and watching it then.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;

use crate::coordination::sidecar::backoff::Backoff;
use crate::protocol::adapter::{Event, Item, StoreCall, StoreReply};
use crate::state::clock::Instant;
use crate::transport::sidecar::store::{self, StoreClient};

/// Longest wait of a watch. One that a connection has forgotten ends soon after it. A random part
/// is taken off, so that those of several nodes don't end together.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Interval at which a node that does not watch looks whether it has to.
const ROLE_POLL: Duration = Duration::from_millis(300);

/// Time after the start in which a node gets to know those that watch already, before it watches.
const FIRST_ROLE: Duration = Duration::from_millis(500);

/// Longest pause after changes, in which further ones gather: a watch ends with the first, and each
/// call is priced. Each watching node draws its own, so that one of them hears soon.
const GATHER: Duration = Duration::from_millis(120);

/// Receiver of what lies below a prefix of the store.
pub trait WatchHandler {
    /// Takes all items over, which were read at revision `as_of` or later.
    fn apply_snapshot(&self, items: &[Item], as_of: u64);

    /// Takes changes over, in their order.
    fn apply(&self, events: &[Event]);

    /// Returns the revision up to which everything is known, if it is learnt by other ways too.
    fn revision(&self) -> Option<u64>;

    /// Returns whether this node watches the store at present.
    fn is_watcher(&self) -> bool;
}

/// Keeps a follower up to date until the task is dropped; `again` asks for a new reading.
pub async fn run(
    store: Rc<StoreClient>,
    prefix: String,
    follower: Rc<dyn WatchHandler>,
    again: Rc<Notify>,
) {
    let mut backoff = Backoff::default();
    let mut known = false;
    let start = Instant::now();
    loop {
        let (items, mut as_of) = match read(&store, &prefix).await {
            Ok(read) => read,
            Err(e) => {
                tracing::warn!(event = 337, prefix, error = %e, "can't read from the store");
                backoff.wait(&store).await;
                // Another node may read in its place by now, and passes on what has changed.
                while known && !follower.is_watcher() {
                    tokio::select! {
                        () = time::sleep(ROLE_POLL) => {}
                        () = again.notified() => break,
                    }
                }
                continue;
            }
        };
        backoff.reset();
        known = true;
        tracing::info!(
            event = 338,
            prefix,
            as_of,
            items = items.len(),
            "read from the store"
        );
        follower.apply_snapshot(&items, as_of);
        loop {
            if !follower.is_watcher() || Instant::now().since(start) < FIRST_ROLE {
                tokio::select! {
                    () = time::sleep(ROLE_POLL) => continue,
                    () = again.notified() => break,
                }
            }
            let call = StoreCall::Watch {
                prefix: prefix.clone(),
                after: follower.revision().unwrap_or(0).max(as_of),
                wait: WATCH_WAIT.mul_f64(0.6 + 0.4 * rand::random::<f64>()),
            };
            let reply = tokio::select! {
                reply = store.call(&call) => reply,
                () = again.notified() => break,
            };
            match reply {
                Ok(StoreReply::Events { events, as_of: to }) => {
                    follower.apply(&events);
                    as_of = to.max(as_of);
                    if !events.is_empty() {
                        time::sleep(GATHER.mul_f64(rand::random())).await;
                    }
                }
                Ok(_) => {
                    tracing::info!(
                        event = 339,
                        prefix,
                        as_of,
                        "the store has dropped its history"
                    );
                    break;
                }
                Err(e) => {
                    tracing::info!(event = 326, prefix, as_of, error = %e, "a watch ended early");
                    backoff.wait(&store).await;
                    if follower.is_watcher() {
                        break;
                    }
                }
            }
        }
    }
}

async fn read(store: &StoreClient, prefix: &str) -> Result<(Vec<Item>, u64), store::Error> {
    let mut all = Vec::new();
    let mut first = None;
    loop {
        let call = StoreCall::Range {
            prefix: prefix.to_owned(),
            after: all.last().map(|i: &Item| i.key.clone()),
        };
        let StoreReply::Page { items, more, as_of } = store.call(&call).await? else {
            return Err(store::Error::Refused);
        };
        // Pages are not a snapshot: changes from the first one on are seen by the watch.
        let start = *first.get_or_insert(as_of);
        let end = items.is_empty() || !more;
        all.extend(items);
        if end {
            return Ok((all, start));
        }
    }
}
