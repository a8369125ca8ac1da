//! Known nodes, spread by gossip.
//!
//! A round with a peer begins with the hashes of both tables and the entries that changed lately;
//! if the tables still differ, the peer answers with its bucket hashes, and the differing buckets
//! are repaired in both directions. Partition records and the document are repaired along the way:
//! whoever sees an older stamp pushes its own copy.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use rand::seq::IndexedRandom;

use crate::coordination::{discovery, node};
use crate::protocol::{peer, record};
use crate::state::{clock, ids, members, settings, timing};
use crate::transport::error;

/// Peers contacted in each round. Push and pull with one peer reaches 16,000 nodes in about 14
/// rounds or 2.8 s; each further peer costs a node about 2.2 KB/s with headers.
const FANOUT: usize = 1;

/// Peers told when this node leaves, since nobody repeats what is lost.
const FAREWELLS: usize = 6;

/// Time for one exchange with a peer.
const CALL_LIMIT: time::Duration = time::Duration::from_millis(500);

/// Recently changed entries in one message.
const MAX_RECENT: usize = 64;

/// Buckets repaired in one exchange; bounds the message to a new node of a large fleet.
const MAX_REPAIRED: usize = 8;

/// Record stamps in one message.
const MAX_STAMPS: usize = 64;

/// Rounds between contacts to an address that is not in the table, by which the two sides of a
/// long network failure find each other again.
const SEED_ROUNDS: u64 = 16;

/// Time for which a process must refuse connections before its entry is marked as ended.
///
/// One refusal proves the end of the incarnation. The wait gives a restarted process the time to
/// announce its new one, which saves the fleet a change.
const REFUSED_FOR: time::Duration = time::Duration::from_secs(5);

/// Interval at which refusing peers are contacted again.
const RECHECK: time::Duration = time::Duration::from_secs(1);

/// Bytes per second that reports of new document revisions may cost each node.
///
/// Each document changes every entry of the table; at 16,000 nodes and 12,000 documents a day,
/// immediate reports alone would cost about 230 KB/s per node.
const REPORT_BYTES_PER_SECOND: usize = 4096;

/// Size of a member entry on the wire, to space the reports.
const ENTRY_BYTES: usize = 128;

/// Messages that one exchange takes at most: summary, repair of buckets, entries the peer lacks.
const MAX_STEPS: usize = 3;

/// Partition and the stamp of a copy of its record.
type Stamp = (ids::PartitionId, (ids::Epoch, ids::Revision));

/// Known nodes.
#[derive(Debug)]
pub struct Members {
    table: Mutex<members::MemberTable>,
    refused: Mutex<HashMap<ids::NodeRef, clock::Instant>>,
    seeds: Mutex<HashSet<ids::NodeAddr>>,
}

impl Members {
    /// Creates a table that holds only this node.
    #[must_use]
    pub fn new(me: ids::NodeRef, settings: &settings::Settings) -> Self {
        let entry = members::Member {
            node: me,
            version: 1,
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            caller: settings.caller.to_string(),
            admin: settings.admin.to_string(),
            service: None,
            backend: members::ReportedBackend::default(),
            left: false,
            document: ids::DocRevision(0),
        };
        let peers = settings.peers.iter().copied().filter(|a| *a != me.addr);
        Self {
            table: Mutex::new(members::MemberTable::new(entry)),
            refused: Mutex::default(),
            seeds: Mutex::new(peers.collect()),
        }
    }

    /// Returns the entries of all nodes that have not left, this one included.
    #[must_use]
    pub fn live(&self) -> Vec<peer::Member> {
        let table = self.lock();
        table.live().cloned().map(peer::Member::from).collect()
    }

    /// Returns the live entries whose backend server has announced itself for a service.
    #[must_use]
    pub fn serving(&self, service: &str) -> Vec<peer::Member> {
        let table = self.lock();
        let live = table.live();
        live.filter(|m| m.service.as_deref() == Some(service))
            .cloned()
            .map(peer::Member::from)
            .collect()
    }

    /// Returns the newest known incarnation at an address.
    #[must_use]
    pub fn incarnation(&self, addr: ids::NodeAddr) -> Option<ids::Incarnation> {
        self.lock().incarnation(addr)
    }

    /// Returns the number of known nodes that have not left.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().live().count()
    }

    /// Begins an exchange with the hashes and the entries that changed lately.
    #[must_use]
    pub fn summary(&self) -> peer::Gossip {
        let mut table = self.lock();
        let recent = table.next_updates(MAX_RECENT);
        let mut message = empty(&table);
        message.entries = wire(recent);
        message
    }

    /// Answers one message of an exchange.
    #[must_use]
    pub fn answer(&self, message: peer::Gossip) -> peer::Gossip {
        let mut table = self.lock();
        take(&mut table, message.entries);
        let repairs = !message.covered.is_empty();
        let recent = if repairs {
            Vec::new()
        } else {
            table.next_updates(MAX_RECENT)
        };
        let mut answer = empty(&table);
        answer.entries = wire(recent);
        if repairs {
            answer.entries = wire(table.newer_entries(&message.covered, &message.digest));
            answer.wanted = table.outdated(&message.digest);
        } else if message.members != answer.members && !message.last {
            answer.buckets = table.buckets();
        }
        answer
    }

    /// Takes an answer and returns the next message, if the exchange goes on.
    #[must_use]
    pub fn resume(&self, answer: peer::Gossip) -> Option<peer::Gossip> {
        let mut table = self.lock();
        take(&mut table, answer.entries);
        let mut next = empty(&table);
        if !answer.wanted.is_empty() {
            let known = answer.wanted.iter().filter_map(|addr| table.get(*addr));
            next.entries = wire(known.cloned().collect());
            next.last = true;
            return Some(next);
        }
        if answer.buckets.is_empty() || answer.members == table.hash() {
            return None;
        }
        let differing = table.differing_buckets(&answer.buckets);
        next.covered = draw(&differing, MAX_REPAIRED);
        next.digest = table.digest(&next.covered);
        (!next.covered.is_empty()).then_some(next)
    }

    /// Ends an exchange in which only records are left to repair.
    fn last(&self) -> peer::Gossip {
        let mut message = empty(&self.lock());
        message.last = true;
        message
    }

    /// Adds addresses of nodes that may run.
    pub fn add_seeds(&self, addrs: impl IntoIterator<Item = ids::NodeAddr>) {
        let me = self.lock().local().node.addr;
        let mut seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        seeds.extend(addrs.into_iter().filter(|addr| *addr != me));
    }

    /// Returns the seeds at which no live node is known.
    fn unknown_seeds(&self) -> Vec<ids::NodeAddr> {
        let table = self.lock();
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        let unknown = seeds
            .iter()
            .filter(|addr| table.get(**addr).is_none_or(|m| m.left));
        unknown.copied().collect()
    }

    fn end(&self, peer: ids::NodeRef) -> bool {
        self.lock().mark_left(peer)
    }

    fn entry(&self, addr: ids::NodeAddr) -> Option<ids::NodeRef> {
        self.lock().get(addr).map(|m| m.node)
    }

    fn lock(&self) -> MutexGuard<'_, members::MemberTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refused(&self) -> MutexGuard<'_, HashMap<ids::NodeRef, clock::Instant>> {
        self.refused.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn empty(table: &members::MemberTable) -> peer::Gossip {
    peer::Gossip {
        from: table.local().node,
        document: ids::DocRevision(0),
        members: table.hash(),
        stamps: 0,
        buckets: Vec::new(),
        covered: Vec::new(),
        digest: Vec::new(),
        wanted: Vec::new(),
        last: false,
        entries: Vec::new(),
        records: Vec::new(),
    }
}

fn wire(entries: Vec<members::Member>) -> Vec<peer::Member> {
    entries.into_iter().map(peer::Member::from).collect()
}

fn take(table: &mut members::MemberTable, entries: Vec<peer::Member>) {
    for entry in entries {
        table.merge(members::Member::from(entry));
    }
}

fn draw<T: Copy>(items: &[T], max: usize) -> Vec<T> {
    items
        .choose_multiple(&mut rand::rng(), max)
        .copied()
        .collect()
}

/// Answers a message of gossip.
pub async fn gossip(node: &Arc<node::Node>, message: peer::Gossip) -> peer::Gossip {
    let from = message.from.addr;
    let document = message.document;
    let stamps = message.stamps;
    push_records(node, from, &message.records);
    push_document(node, from, document);
    let mut answer = node.members.answer(message);
    stamp(node, &mut answer);
    if answer.stamps != stamps {
        answer.records = some_stamps(node);
    }
    answer
}

/// Gossips with other nodes.
pub async fn run(node: Arc<node::Node>) {
    tokio::spawn(discovery::run(Arc::clone(&node)));
    tokio::spawn(recheck(Arc::clone(&node)));
    let mut tick = tokio::time::interval(timing::GOSSIP_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut reported = clock::Instant::now();
    for round in 0.. {
        tick.tick().await;
        refresh(&node, &mut reported);
        node.members.lock().expire(clock::Instant::now());
        for addr in targets(&node, round) {
            tokio::spawn(exchange(Arc::clone(&node), addr));
        }
    }
}

/// Marks this node as leaving and tells a few peers, before the process ends.
pub async fn leave(node: &Arc<node::Node>) {
    let targets = {
        let mut table = node.members.lock();
        table.update(|me| me.left = true);
        table.sample(FAREWELLS)
    };
    let calls = targets
        .into_iter()
        .map(|addr| exchange(Arc::clone(node), addr));
    futures::future::join_all(calls).await;
}

/// Updates this node's own entry.
fn refresh(node: &node::Node, reported: &mut clock::Instant) {
    let state = node.backend.state();
    let revision = node.config.revision();
    let mut table = node.members.lock();
    let now = clock::Instant::now();
    let due = now.since(*reported) >= report_interval(table.len());
    let document = if due {
        revision
    } else {
        table.local().document
    };
    if document != table.local().document {
        *reported = now;
    }
    table.update(|me| {
        me.document = document;
        if let Some((service, backend)) = state {
            me.service = Some(service);
            me.backend = backend.into();
        } else {
            me.backend.up = false;
        }
    });
}

fn report_interval(members: usize) -> time::Duration {
    let bytes = members * ENTRY_BYTES;
    time::Duration::from_secs((bytes / REPORT_BYTES_PER_SECOND) as u64)
}

fn targets(node: &node::Node, round: u64) -> Vec<ids::NodeAddr> {
    let mut targets = node.members.lock().sample(FANOUT);
    if targets.len() < FANOUT || round.is_multiple_of(SEED_ROUNDS) {
        let seeds = node.members.unknown_seeds();
        let missing = FANOUT.saturating_sub(targets.len()).max(1);
        targets.extend(draw(&seeds, missing));
    }
    targets
}

/// Runs one exchange with a peer.
async fn exchange(node: Arc<node::Node>, addr: ids::NodeAddr) {
    let known = node.members.entry(addr);
    let mut message = node.members.summary();
    for step in 0..MAX_STEPS {
        stamp(&node, &mut message);
        let sent = message;
        let call = node
            .peers
            .call(addr, CALL_LIMIT, |peer, context| async move {
                peer.gossip(context, sent).await
            });
        let answer = match call.await {
            Ok(answer) => answer,
            Err(e) => {
                note_failure(&node, addr, known, &e);
                return;
            }
        };
        if let Some(known) = known {
            node.members.refused().remove(&known);
        }
        push_records(&node, addr, &answer.records);
        push_document(&node, addr, answer.document);
        let missing = if step == 0 {
            missing_stamps(&node, &answer.records)
        } else {
            Vec::new()
        };
        message = match node.members.resume(answer) {
            Some(next) => next,
            None if missing.is_empty() => return,
            None => node.members.last(),
        };
        message.records = missing;
    }
}

fn note_failure(
    node: &node::Node,
    addr: ids::NodeAddr,
    known: Option<ids::NodeRef>,
    e: &error::Error,
) {
    tracing::debug!(event = 353, peer = %addr, error = %e, "gossip not answered");
    if let (error::Error::Refused, Some(known)) = (e, known) {
        let mut refused = node.members.refused();
        refused.entry(known).or_insert_with(clock::Instant::now);
    }
}

/// Contacts peers that refused a connection again, and marks those that keep refusing.
async fn recheck(node: Arc<node::Node>) {
    let mut tick = tokio::time::interval(RECHECK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let refused: Vec<_> = {
            let table = node.members.refused();
            table.iter().map(|(n, since)| (*n, *since)).collect()
        };
        for (peer, since) in refused {
            recheck_one(&node, peer, since).await;
        }
    }
}

async fn recheck_one(node: &Arc<node::Node>, peer: ids::NodeRef, since: clock::Instant) {
    let refuses = matches!(
        node.peers.connect(peer.addr).await,
        Err(error::Error::Refused)
    );
    let waited = clock::Instant::now().since(since) >= REFUSED_FOR;
    if refuses && !waited {
        return;
    }
    node.members.refused().remove(&peer);
    if refuses && node.members.end(peer) {
        tracing::info!(event = 354, peer = %peer, "process has ended, removing its entry");
    }
}

/// Adds the revisions of this node to a message.
fn stamp(node: &node::Node, message: &mut peer::Gossip) {
    message.document = node.config.revision();
    message.stamps = node
        .records
        .all()
        .iter()
        .map(|r| {
            let text = format!("{} {} {}", r.id, r.epoch, r.revision);
            ids::KeyHash::of(&text).0
        })
        .fold(0, |all, hash| all ^ hash);
}

fn some_stamps(node: &node::Node) -> Vec<Stamp> {
    let stamps: Vec<_> = node
        .records
        .all()
        .iter()
        .map(|r| (r.id.clone(), r.stamp()))
        .collect();
    stamps
        .choose_multiple(&mut rand::rng(), MAX_STAMPS)
        .cloned()
        .collect()
}

/// Lists this node's stamps of the records of which a peer has a newer copy.
fn missing_stamps(node: &node::Node, theirs: &[Stamp]) -> Vec<Stamp> {
    theirs
        .iter()
        .filter_map(|(id, stamp)| {
            let mine = node.records.get(id).map(|r| r.stamp()).unwrap_or_default();
            (mine < *stamp).then(|| (id.clone(), mine))
        })
        .collect()
}

/// Pushes the records of which a peer has an older copy.
fn push_records(node: &Arc<node::Node>, addr: ids::NodeAddr, theirs: &[Stamp]) {
    for (id, stamp) in theirs {
        let Some(newer) = node.records.get(id).filter(|r| r.stamp() > *stamp) else {
            continue;
        };
        let push = Box::new(record::Record::from(newer.as_ref()));
        let node = Arc::clone(node);
        tokio::spawn(async move {
            let call = node
                .peers
                .call(addr, CALL_LIMIT, |peer, context| async move {
                    peer.record(context, push).await
                });
            if let Err(e) = call.await {
                tracing::debug!(event = 355, peer = %addr, error = %e, "record not pushed");
            }
        });
    }
}

/// Pushes the document if a peer has an older one.
fn push_document(node: &Arc<node::Node>, addr: ids::NodeAddr, theirs: ids::DocRevision) {
    let Some(newer) = node.config.current().filter(|c| c.revision > theirs) else {
        return;
    };
    let push = peer::Document {
        revision: newer.revision,
        text: newer.text.clone(),
    };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let call = node
            .peers
            .call(addr, CALL_LIMIT, |peer, context| async move {
                peer.document(context, push).await
            });
        if let Err(e) = call.await {
            tracing::debug!(event = 356, peer = %addr, error = %e, "document not pushed");
        }
    });
}
