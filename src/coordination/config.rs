//! Configuration document in force, and its way to all nodes.
//!
//! Two nodes of each failure domain watch the document in the platform's service. A node that
//! takes a newer revision pushes it to a few others, which do the same; gossip of the revision
//! reaches those that the pushes missed. Nodes move to higher revisions only, so a late or repeated
//! push has no effect.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time;

use rand::seq::{IndexedRandom, SliceRandom};
use tokio::sync::watch;
use xxhash_rust::xxh3;

use crate::coordination::{error, node};
use crate::protocol::{config as wire, peer, platform, source};
use crate::state::{document, error as state, ids};

/// Watching nodes in each failure domain; the second covers the time until the loss of the first
/// is known.
const WATCHERS: usize = 2;

/// Nodes that a new revision is pushed to by each node that takes it.
const FANOUT: usize = 3;

/// Time for which one watch waits; short, because a connection that went silent delays a change by
/// as much.
const WATCH: time::Duration = time::Duration::from_secs(2);

/// Interval at which a node determines again whether it watches, for which it goes through the
/// whole member table.
const ROLE_CHECK: time::Duration = time::Duration::from_secs(5);

/// Pause after a failed call, to which a random part of the same length is added.
const RETRY: time::Duration = time::Duration::from_millis(500);

/// Time for one push.
const PUSH_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Document in force on this node.
#[derive(Debug)]
pub struct Config {
    current: RwLock<Option<Arc<Current>>>,
    changes: watch::Sender<ids::DocRevision>,
}

/// Document with its revision.
#[derive(Debug)]
pub struct Current {
    /// Revision.
    pub revision: ids::DocRevision,
    /// Text as submitted.
    pub text: String,
    /// Content.
    pub document: document::Document,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            current: RwLock::default(),
            changes: watch::Sender::new(ids::DocRevision(0)),
        }
    }
}

impl Config {
    /// Returns the document in force.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Current>> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Returns the revision in force, 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> ids::DocRevision {
        *self.changes.borrow()
    }

    /// Returns a receiver of the revision in force.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<ids::DocRevision> {
        self.changes.subscribe()
    }

    /// Takes a document if its revision is higher than the one in force, and returns whether it was.
    ///
    /// # Errors
    ///
    /// Returns all problems of a document that this version does not accept; the one in force
    /// stays.
    pub fn offer(&self, revision: ids::DocRevision, text: &str) -> Result<bool, state::Error> {
        if revision <= self.revision() {
            return Ok(false);
        }
        let document = source::parse_document(wire::KEY, text)?;
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|c| c.revision >= revision) {
            return Ok(false);
        }
        *current = Some(Arc::new(Current {
            revision,
            text: text.to_owned(),
            document,
        }));
        // Sent under the lock, so that receivers see revisions in the order of the documents.
        self.changes.send_replace(revision);
        Ok(true)
    }
}

/// Returns whether a node is one of the watchers of its failure domain.
///
/// The rank is that of a hash, so that all nodes agree without a message; nodes with different
/// member tables may disagree for a while, which costs a few watches more or fewer.
#[must_use]
pub fn is_watcher(me: ids::NodeRef, domain: &str, live: &[peer::Member]) -> bool {
    let mine = rank(me);
    let ahead = live
        .iter()
        .filter(|m| m.domain == domain && m.node != me && rank(m.node) < mine);
    ahead.count() < WATCHERS
}

fn rank(node: ids::NodeRef) -> (u64, ids::NodeRef) {
    (xxh3::xxh3_64(node.to_string().as_bytes()), node)
}

/// Takes a document that a peer offers.
pub async fn document(node: &Arc<node::Node>, push: peer::Document) {
    take(node, push.revision, &push.text, "peer");
}

/// Keeps the document up to date.
pub async fn run(node: Arc<node::Node>) {
    let mut after = ids::ModRevision(0);
    let mut started = false;
    loop {
        let wait = if is_watcher(node.me, &node.settings.domain, &node.members.live()) {
            WATCH
        } else if !started && node.config.current().is_none() {
            time::Duration::ZERO
        } else {
            tokio::time::sleep(ROLE_CHECK).await;
            continue;
        };
        match read(&node, after, wait).await {
            Ok(revision) => {
                after = revision;
                started = true;
            }
            Err(e) => {
                tracing::warn!(event = 343, error = %e, "can't read the document from the platform's service");
                tokio::time::sleep(RETRY + RETRY.mul_f64(rand::random())).await;
            }
        }
    }
}

async fn read(
    node: &Arc<node::Node>,
    after: ids::ModRevision,
    wait: time::Duration,
) -> Result<ids::ModRevision, error::Error> {
    let listing = node.platform.watch(wire::PREFIX, after, wait).await?;
    take_listed(node, &listing)?;
    Ok(listing.revision)
}

fn take_listed(node: &Arc<node::Node>, listing: &platform::Listing) -> Result<(), error::Error> {
    let Some(entry) = listing.entries.iter().find(|e| e.key == wire::KEY) else {
        return Ok(());
    };
    let stored = wire::StoredDocument::parse(&entry.value)?;
    let known = node.config.revision();
    if stored.revision < known {
        tracing::error!(event = 344, revision = %stored.revision, in_force = %known, "platform's service holds an older document, keeping the newer one");
    }
    take(node, stored.revision, &stored.text, "platform");
    Ok(())
}

/// Puts a newer document into force and passes it on.
fn take(node: &Arc<node::Node>, revision: ids::DocRevision, text: &str, from: &str) {
    match node.config.offer(revision, text) {
        Ok(true) => {
            tracing::info!(event = 341, revision = %revision, from, "document is in force");
            spread(node);
        }
        Ok(false) => {}
        Err(e) => {
            tracing::error!(event = 342, revision = %revision, from, error = %e, "document is invalid, keeping the one in force");
        }
    }
}

/// Pushes the document in force to a few other nodes, one of which is in each of several failure
/// domains where possible.
fn spread(node: &Arc<node::Node>) {
    let Some(current) = node.config.current() else {
        return;
    };
    for to in targets(node.me, &node.members.live()) {
        let node = Arc::clone(node);
        let current = Arc::clone(&current);
        tokio::spawn(async move { push(&node, to, &current).await });
    }
}

fn targets(me: ids::NodeRef, live: &[peer::Member]) -> Vec<ids::NodeAddr> {
    let mut rng = rand::rng();
    let mut domains: BTreeMap<&str, Vec<ids::NodeAddr>> = BTreeMap::new();
    for member in live.iter().filter(|m| m.node.addr != me.addr) {
        let nodes = domains.entry(&member.domain).or_default();
        nodes.push(member.node.addr);
    }
    let mut first: Vec<_> = domains
        .values()
        .filter_map(|nodes| nodes.choose(&mut rng).copied())
        .collect();
    first.shuffle(&mut rng);
    let mut others: Vec<_> = domains.into_values().flatten().collect();
    others.shuffle(&mut rng);
    others.retain(|addr| !first.contains(addr));
    first.into_iter().chain(others).take(FANOUT).collect()
}

async fn push(node: &Arc<node::Node>, to: ids::NodeAddr, current: &Current) {
    let document = peer::Document {
        revision: current.revision,
        text: current.text.clone(),
    };
    let call = node
        .peers
        .call(to, PUSH_TIMEOUT, |client, context| async move {
            client.document(context, document).await
        });
    if let Err(e) = call.await {
        // Gossip of the revision repairs a lost push.
        tracing::debug!(event = 345, peer = %to, error = %e, "can't push the document");
    }
}
