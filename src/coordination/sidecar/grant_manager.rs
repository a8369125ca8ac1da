//! Keys of the backend server beside this node: what it is granted, what it has released.
//!
//! The ownership table says what it may hold. Only this node takes its keys away while the node's
//! entry stands: when it has reported their release, when its permission has run out without a
//! heartbeat, or when another life of it has begun.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::local_backend::Backend;
use crate::coordination::sidecar::registration::Registration;
use crate::coordination::sidecar::replication::Replicator;
use crate::coordination::sidecar::tables::Tables;
use crate::protocol::adapter::{GrantSet, Heartbeat, Hold, RangeGrant, Released};
use crate::state::clock::Instant;
use crate::state::keyspace::{AssignmentTable, Holder, Key, Slice};

/// Permission in an answer to a heartbeat; about three heartbeats.
const HOLD: Duration = Duration::from_secs(3);

/// Part of the authority that is granted, since a backend server's clock may run 2% slow.
const CLOCK_SHARE: f64 = 0.97;

/// Factor on a permission after which it has certainly run out on a slow clock.
const SLOW_CLOCK: f64 = 1.03;

/// Time after the end of a permission before it is taken as ended.
const SETTLE: Duration = Duration::from_millis(100);

/// Silence after which a backend server is taken as cut off from its node; above two heartbeats.
const SILENT: Duration = Duration::from_secs(2);

/// Most ranges in an answer to a heartbeat, which may take 4 KiB.
const MOST_RANGES: usize = 90;

/// Ownership of the backend server beside the node.
#[derive(Debug)]
pub struct GrantManager {
    node: String,
    longest: Duration,
    dispatcher: Rc<Dispatcher>,
    tables: Rc<Tables>,
    replicator: Rc<Replicator>,
    registration: Rc<Registration>,
    started: Instant,
    /// Time at which all permissions given so far have ended.
    bound: Cell<Option<Instant>>,
    withheld: RefCell<WithheldRanges>,
    released: RefCell<Vec<Released>>,
    busy: Cell<bool>,
    /// Set while ranges are being taken away; none is granted meanwhile.
    expiring: Cell<bool>,
    /// Table revision on which a change without an answer may still be made; nothing is granted by
    /// it.
    unsettled: RefCell<Option<(String, u64)>>,
}

impl GrantManager {
    /// Creates the owner's side of a node.
    #[must_use]
    pub fn new(
        node: &str,
        longest: Duration,
        dispatcher: Rc<Dispatcher>,
        tables: Rc<Tables>,
        replicator: Rc<Replicator>,
        registration: Rc<Registration>,
    ) -> Rc<Self> {
        let (table, own) = (Rc::clone(&tables), Rc::clone(&registration));
        let (known, beside) = (Rc::clone(&replicator), Rc::downgrade(&dispatcher));
        dispatcher.set_expected_keys(Box::new(move |key| {
            let backend = beside.upgrade().and_then(|dispatcher| dispatcher.backend());
            let Some(backend) = backend else { return false };
            let authority = own.remaining(known.revision(), Instant::now());
            let table = table.get(&backend.service).filter(|_| authority.is_some());
            let slice = table.as_ref().and_then(|t| t.assignments.slice_of(key));
            let mine = |h: &Holder| *h == backend.holder;
            slice.is_some_and(|s| match &s.target {
                Some(target) => mine(target),
                None => s.holder.as_ref().is_some_and(mine),
            })
        }));
        Rc::new(Self {
            node: node.to_owned(),
            longest,
            dispatcher,
            tables,
            replicator,
            registration,
            started: Instant::now(),
            bound: Cell::new(None),
            withheld: RefCell::default(),
            released: RefCell::new(Vec::new()),
            busy: Cell::new(false),
            expiring: Cell::new(false),
            unsettled: RefCell::new(None),
        })
    }

    /// Returns whether no permission that this node or a process before it has given still runs.
    #[must_use]
    pub fn all_expired(&self) -> bool {
        let longest = self.longest.min(HOLD);
        grants_expired(self.bound.get(), self.started, longest, Instant::now())
    }

    /// Takes a heartbeat's ranges over. Returns what to grant, `None` renewing nothing, and the
    /// ranges that the backend server has let go of.
    pub fn heartbeat(&self, beat: &Heartbeat, backend: &Backend) -> (Option<GrantSet>, FreeRanges) {
        self.released
            .borrow_mut()
            .extend(beat.released.iter().cloned());
        let answer = self.answer(beat, backend);
        let (grants, next) = answer.unzip();
        let mut withheld = self.withheld.borrow_mut();
        let free = withheld.update(&backend.holder, &beat.holds, next);
        (grants, free)
    }

    /// Returns what to grant and the ranges that are left out because they are on the move.
    fn answer(&self, beat: &Heartbeat, backend: &Backend) -> Option<(GrantSet, Vec<(Key, Key)>)> {
        let now = Instant::now();
        let table = self.tables.get(&backend.service)?;
        let authority = self
            .registration
            .remaining(self.replicator.revision(), now)?;
        let unsettled = self.unsettled.borrow().clone();
        let settled = is_write_resolved(unsettled.as_ref(), &backend.service, table.revision);
        if self.expiring.get() || !settled {
            tracing::warn!(event = 455, backend = %backend.holder.backend, revision = table.revision, "nothing is granted while ranges are taken away");
            return None;
        }
        let grants = GrantSet {
            ranges: grants(&table.assignments, &backend.holder, &beat.holds),
            valid_for: HOLD.min(self.longest).min(authority).mul_f64(CLOCK_SHARE),
        };
        let end = now + grants.valid_for.mul_f64(SLOW_CLOCK) + SETTLE;
        self.bound.set(self.bound.get().max(Some(end)));
        let mine = table.assignments.held_by(&backend.holder);
        let moving = mine.filter(|s| s.target.is_some());
        let moving = moving.map(|s| (s.from, s.to)).collect();
        let mut granted_ranges = self.dispatcher.granted_ranges.borrow_mut();
        granted_ranges.renew(&grants, now);
        drop(granted_ranges);
        self.dispatcher.ranges_changed.notify_waiters();
        Some((grants, moving))
    }

    /// Records in the table what the backend server has let go of.
    pub async fn record_release(&self, free: FreeRanges, backend: &Backend) {
        if free.is_empty() || self.busy.replace(true) {
            return;
        }
        let proofs = self.released.borrow().clone();
        let holder = backend.holder.clone();
        let done = self
            .tables
            .update(&backend.service, &[], |keys| {
                release(keys, &holder, &free, &proofs)
            })
            .await;
        self.busy.set(false);
        match done {
            Ok(true) => {
                tracing::info!(event = 451, backend = %holder.backend, ranges = ?free, "released ranges are passed on");
                self.released.borrow_mut().clear();
            }
            Ok(false) => {}
            Err(e) => {
                tracing::warn!(event = 452, backend = %holder.backend, error = %e, "the release of ranges is not recorded yet");
            }
        }
    }

    /// Takes away what earlier lives held, and what a silent backend server holds no longer.
    pub async fn tick(&self) {
        if self.busy.get() {
            return;
        }
        let now = Instant::now();
        if self
            .registration
            .remaining(self.replicator.revision(), now)
            .is_none()
        {
            return;
        }
        self.supersede().await;
        let current = self.dispatcher.backend();
        let ended = self.all_expired();
        for service in self.tables.services() {
            let Some(table) = self.tables.get(&service) else {
                continue;
            };
            let holders = table.assignments.holders();
            let mine = holders.into_iter().filter(|h| h.node == self.node);
            for holder in mine {
                let live = current.as_ref().filter(|b| b.holder == *holder);
                let stage = match (&current, live) {
                    (_, Some(_)) => Incarnation::Current,
                    (Some(_), None) => Incarnation::Previous,
                    (None, None) => Incarnation::Unknown,
                };
                let silence = live.map_or(Duration::MAX, |b| now.since(b.last_heartbeat));
                let over = should_revoke(stage, ended, silence);
                if over {
                    let next = current.as_ref().filter(|b| {
                        b.service == service && b.draining_since.is_none() && live.is_none()
                    });
                    self.expire(&service, holder, next.map(|b| &b.holder)).await;
                }
            }
        }
    }

    /// Writes a table again on which a change without an answer may still be made, so that its
    /// condition can hold no longer.
    async fn supersede(&self) {
        let Some((service, revision)) = self.unsettled.borrow().clone() else {
            return;
        };
        if self
            .tables
            .get(&service)
            .is_none_or(|t| t.revision != revision)
        {
            *self.unsettled.borrow_mut() = None;
            return;
        }
        self.busy.set(true);
        let done = self
            .tables
            .update(&service, &[], |keys| Some(keys.clone()))
            .await;
        self.busy.set(false);
        match done {
            // The same content may be seen without a new revision; it is written again then.
            Ok(_) => {
                let moved = self
                    .tables
                    .get(&service)
                    .is_some_and(|t| t.revision != revision);
                if moved {
                    *self.unsettled.borrow_mut() = None;
                }
            }
            Err(e) => {
                tracing::warn!(event = 456, service, revision, error = %e, "a change without an answer is not superseded yet");
            }
        }
    }

    async fn expire(&self, service: &str, holder: &Holder, next: Option<&Holder>) {
        self.busy.set(true);
        self.expiring.set(true);
        let done = self
            .tables
            .update(service, &[], |keys| {
                let mut after = keys.clone();
                for s in keys.held_by(holder).filter(|_| next.is_some()) {
                    if let Some(next) = next {
                        after.plan_move(s.from, s.to, holder, next);
                    }
                }
                after.expire(holder);
                (after != *keys).then_some(after)
            })
            .await;
        self.busy.set(false);
        self.expiring.set(false);
        *self.unsettled.borrow_mut() = match &done {
            Err(e) if !e.is_refused() => {
                let table = self.tables.get(service);
                table.map(|t| (service.to_owned(), t.revision))
            }
            _ => None,
        };
        match done {
            Ok(changed) => {
                tracing::info!(event = 453, backend = %holder.backend, born = holder.born, changed, "a backend server's permission has ended");
            }
            Err(e) => {
                tracing::warn!(event = 454, backend = %holder.backend, error = %e, "the end of a permission is not recorded yet");
            }
        }
    }
}

/// Ranges that a backend server has let go of.
pub type FreeRanges = Vec<(Key, Key)>;

/// Ranges that the last answer to a heartbeat left out because they are on the move.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WithheldRanges {
    holder: Option<Holder>,
    ranges: Vec<(Key, Key)>,
}

impl WithheldRanges {
    /// Returns the ranges that a heartbeat holds no longer after the answer before it left them out,
    /// and remembers `next`, which its own answer leaves out; `None` if the answer renews nothing.
    ///
    /// What its own answer is the first to leave out isn't free yet, even if it isn't held: an answer
    /// before may still be on its way and grant it.
    pub fn update(
        &mut self,
        holder: &Holder,
        holds: &[Hold],
        next: Option<Vec<(Key, Key)>>,
    ) -> FreeRanges {
        let held = |from: Key, to: Key| holds.iter().any(|h| h.from <= to && from <= h.to);
        let same = self.holder.as_ref() == Some(holder);
        let ranges = self.ranges.iter().copied().filter(|_| same);
        let free = ranges.filter(|&(from, to)| !held(from, to)).collect();
        if let Some(next) = next {
            self.holder = Some(holder.clone());
            self.ranges = next;
        }
        free
    }
}

/// Life of a holder beside this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incarnation {
    /// The one that sends heartbeats.
    Current,
    /// One before it, which has ended.
    Previous,
    /// No heartbeat has been seen since this node's start.
    Unknown,
}

/// Returns whether a holder's ranges are taken away. One that still sends heartbeats keeps them,
/// also after an outage in which nothing could be granted: its next heartbeat renews them.
#[must_use]
pub fn should_revoke(life: Incarnation, ended: bool, silence: Duration) -> bool {
    match life {
        Incarnation::Previous => true,
        Incarnation::Unknown => ended,
        Incarnation::Current => ended && silence > SILENT,
    }
}

/// Returns whether a table of a service can't be changed any more by a call without an answer.
#[must_use]
pub fn is_write_resolved(unsettled: Option<&(String, u64)>, service: &str, revision: u64) -> bool {
    unsettled.is_none_or(|(name, at)| name != service || *at != revision)
}

/// Returns whether all permissions have ended: those that end by `bound`, and those of a process
/// before the one that started at `started`, which may have given them for `longest`.
#[must_use]
pub fn grants_expired(
    bound: Option<Instant>,
    started: Instant,
    longest: Duration,
    now: Instant,
) -> bool {
    let first = started + longest.mul_f64(SLOW_CLOCK) + SETTLE;
    now > bound.unwrap_or(first).max(first)
}

/// Returns the ranges that a backend server is to hold.
fn grants(keys: &AssignmentTable, holder: &Holder, holds: &[Hold]) -> Vec<RangeGrant> {
    let has = |s: &Slice| {
        let same = |h: &&Hold| h.token == s.token && h.from <= s.from && s.to <= h.to;
        holds.iter().find(same).is_some()
    };
    let mine = keys.held_by(holder).filter(|s| s.target.is_none());
    let grant = |s: &Slice| RangeGrant {
        from: s.from,
        to: s.to,
        token: s.token,
        handover: if has(s) {
            String::new()
        } else {
            s.handover.clone()
        },
    };
    mine.take(MOST_RANGES).map(grant).collect()
}

/// Returns the table after a release of ranges that are on the move.
fn release(
    keys: &AssignmentTable,
    holder: &Holder,
    free: &[(Key, Key)],
    proofs: &[Released],
) -> Option<AssignmentTable> {
    let mut after = keys.clone();
    let moving = keys.held_by(holder).filter(|s| s.target.is_some());
    let freed = moving.filter(|s| free.iter().any(|&(from, to)| from <= s.from && s.to <= to));
    for s in freed {
        for p in proofs.iter().filter(|p| s.overlaps(p.from, p.to)) {
            after.release(s.from.max(p.from), s.to.min(p.to), holder, &p.handover);
        }
        after.release(s.from, s.to, holder, "");
    }
    (after != *keys).then_some(after)
}
