//! Reads all items below a prefix of the store and then watches it for changes.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;

use crate::coordination::sidecar::backoff::Backoff;
use crate::protocol::adapter::{Event, Item, StoreCall, StoreReply};
use crate::state::clock::Instant;
use crate::transport::sidecar::store::{self, StoreClient};

/// Maximum wait of a watch call, which also bounds a call on a dead connection. A random part is
/// subtracted, so that the calls of several nodes don't end together.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(5);

/// Interval at which a node that doesn't watch checks whether it has become a watcher.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Time after startup in which a node learns of the existing watchers before it starts to watch.
const STARTUP_DELAY: Duration = Duration::from_millis(500);

/// Maximum pause after changes, in which further ones accumulate: a watch call returns with the first
/// change, and the store charges for each call. The pause is random, so that one of the watchers
/// learns of a change soon.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(120);

/// Receiver of the items and changes below a prefix of the store.
pub trait WatchHandler {
    /// Applies all items, which were read at revision `as_of` or later.
    fn apply_snapshot(&self, items: &[Item], as_of: u64);

    /// Applies changes in the order of their revisions.
    fn apply_events(&self, events: &[Event]);

    /// Returns the revision up to which all changes are known, if the handler learns of changes from
    /// other nodes too.
    fn revision(&self) -> Option<u64>;

    /// Returns whether this node is currently a watcher of the store.
    fn is_watcher(&self) -> bool;
}

/// Keeps a handler up to date until the task is dropped; `reread` requests a new read of all items.
pub async fn run(
    store: Rc<StoreClient>,
    prefix: String,
    handler: Rc<dyn WatchHandler>,
    reread: Rc<Notify>,
) {
    let mut backoff = Backoff::default();
    let mut known = false;
    let start = Instant::now();
    loop {
        let (items, mut as_of) = match read(&store, &prefix).await {
            Ok(read) => read,
            Err(e) => {
                tracing::warn!(event = 337, prefix, error = %e, "can't read items from the store");
                backoff.wait(&store).await;
                // Another node may be the watcher by now and forward the changes.
                while known && !handler.is_watcher() {
                    tokio::select! {
                        () = time::sleep(ROLE_POLL_INTERVAL) => {}
                        () = reread.notified() => break,
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
            era = store.era().0,
            items = items.len(),
            "read all items from the store"
        );
        handler.apply_snapshot(&items, as_of);
        loop {
            if !handler.is_watcher() || Instant::now().since(start) < STARTUP_DELAY {
                tokio::select! {
                    () = time::sleep(ROLE_POLL_INTERVAL) => continue,
                    () = reread.notified() => break,
                }
            }
            let call = StoreCall::Watch {
                prefix: prefix.clone(),
                after: handler.revision().unwrap_or(0).max(as_of),
                wait: MAX_WATCH_WAIT.mul_f64(0.6 + 0.4 * rand::random::<f64>()),
            };
            let reply = tokio::select! {
                reply = store.call(&call) => reply,
                () = reread.notified() => break,
            };
            match reply {
                Ok(StoreReply::Events { events, as_of: to }) => {
                    handler.apply_events(&events);
                    as_of = to.max(as_of);
                    if !events.is_empty() {
                        time::sleep(MAX_BATCH_DELAY.mul_f64(rand::random())).await;
                    }
                }
                Ok(_) => {
                    tracing::info!(
                        event = 339,
                        prefix,
                        as_of,
                        era = store.era().0,
                        "the store has compacted the requested history; reading all items again"
                    );
                    break;
                }
                Err(e) => {
                    tracing::info!(event = 326, prefix, as_of, error = %e, "a watch call failed");
                    backoff.wait(&store).await;
                    if handler.is_watcher() {
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
        // The pages are not one snapshot: the watch starts at the revision of the first page, so
        // that no change is missed.
        let start = *first.get_or_insert(as_of);
        let end = items.is_empty() || !more;
        all.extend(items);
        if end {
            return Ok((all, start));
        }
    }
}
