//! Reads all items below a prefix of the store and then watches it for changes.
//!
//! The history of a watch belongs to one era of the store, so all items are read again in a new one.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;

use crate::coordination::sidecar::backoff::Backoff;
use crate::coordination::sidecar::watchers::Watchers;
use crate::protocol::adapter::{Event, Item, StoreCall, StoreReply};
use crate::state::clock::Instant;
use crate::state::store_revision::{Era, Revision};
use crate::transport::sidecar::store::{self, Answer, StoreClient};

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
    fn apply_snapshot(&self, items: &[Item], as_of: Revision);

    /// Applies changes of an era in the order of their revisions.
    fn apply_events(&self, events: &[Event], era: Era);

    /// Returns the revision up to which all changes are known, if the handler learns of changes from
    /// other nodes too.
    fn revision(&self) -> Option<Revision>;

    /// Returns the watchers of the store, which tell whether this node is one.
    fn watchers(&self) -> &Watchers;
}

/// Keeps a handler up to date until the task is dropped; `reread` requests a new read of all items.
pub async fn run(
    store: Rc<StoreClient>,
    prefix: String,
    handler: Rc<dyn WatchHandler>,
    reread: Rc<Notify>,
) {
    let mut backoff = Backoff::default();
    let mut compactions = Backoff::default();
    let mut known = false;
    let start = Instant::now();
    loop {
        let (items, mut as_of) = match read(&store, &prefix).await {
            Ok(read) => read,
            Err(e) => {
                tracing::warn!(event = 337, prefix, error = %e, "can't read items from the store");
                backoff.wait(&store).await;
                // Another node may be the watcher by now and forward the changes.
                let watchers = handler.watchers();
                while known && !watchers.is_watching() {
                    tokio::select! {
                        () = time::sleep(ROLE_POLL_INTERVAL) => {}
                        () = watchers.taken_over.notified() => {}
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
            as_of = as_of.number,
            era = as_of.era.0,
            items = items.len(),
            "read all items from the store"
        );
        handler.apply_snapshot(&items, as_of);
        let mut current_at = Instant::now();
        loop {
            let watchers = handler.watchers();
            if !watchers.is_watching() || Instant::now().since(start) < STARTUP_DELAY {
                tokio::select! {
                    () = time::sleep(ROLE_POLL_INTERVAL) => continue,
                    () = watchers.taken_over.notified() => continue,
                    () = reread.notified() => break,
                }
            }
            if Instant::now().since(current_at) > MAX_WATCH_WAIT * 2 {
                // The store may have compacted the changes since then.
                break;
            }
            let after = handler.revision().unwrap_or_default().max(as_of);
            if after.era < store.era() {
                break;
            }
            let call = StoreCall::Watch {
                prefix: prefix.clone(),
                after: after.number,
                wait: MAX_WATCH_WAIT.mul_f64(0.6 + 0.4 * rand::random::<f64>()),
            };
            let reply = tokio::select! {
                reply = store.call(&call) => reply,
                () = reread.notified() => break,
                () = store.era_changed.notified() => continue,
            };
            match reply {
                // The events may follow a change of the earlier era that the store has lost.
                Ok(Answer { era, .. }) if era != after.era => break,
                Ok(Answer {
                    reply: StoreReply::Events { events, as_of: to },
                    era,
                }) => {
                    compactions.reset();
                    current_at = Instant::now();
                    handler.apply_events(&events, era);
                    as_of = Revision::new(era, to).max(as_of);
                    if !events.is_empty() {
                        time::sleep(MAX_BATCH_DELAY.mul_f64(rand::random())).await;
                    }
                }
                Ok(_) => {
                    tracing::info!(
                        event = 339,
                        prefix,
                        as_of = after.number,
                        era = after.era.0,
                        "the store has compacted the requested history; reading all items again"
                    );
                    // The history may be gone again at once, if the revisions are not those of the store.
                    compactions.wait(&store).await;
                    break;
                }
                Err(e) => {
                    tracing::info!(event = 326, prefix, as_of = after.number, error = %e, "a watch call failed");
                    backoff.wait(&store).await;
                    if handler.watchers().is_watching() {
                        break;
                    }
                }
            }
        }
    }
}

async fn read(store: &StoreClient, prefix: &str) -> Result<(Vec<Item>, Revision), store::Error> {
    let mut all = Vec::new();
    let mut first = None;
    loop {
        let call = StoreCall::Range {
            prefix: prefix.to_owned(),
            after: all.last().map(|i: &Item| i.key.clone()),
        };
        let answer = store.call(&call).await?;
        let StoreReply::Page { items, more, as_of } = answer.reply else {
            return Err(store::Error::Refused);
        };
        let as_of = Revision::new(answer.era, as_of);
        // The pages are not one snapshot: the watch starts at the revision of the first page, so
        // that no change is missed.
        let start = *first.get_or_insert(as_of);
        if start.era != as_of.era {
            return Err(store::Error::Outdated(start.era));
        }
        let end = items.is_empty() || !more;
        all.extend(items);
        if end {
            return Ok((all, start));
        }
    }
}
