//! Grants of keys to the local backend server, and their release and revocation.
//!
//! The assignment table says which keys the backend server may hold. While the node's entry exists,
//! only this node takes keys away from the backend server: when it has reported their release, when
//! its grant has expired without a heartbeat, or when a new incarnation of it has started. Which of two
//! incarnations is the new one is told by their start: the first heartbeat that reaches a restarted node
//! may be an old one, while the table already has a later incarnation.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::rc::Rc;
use std::time::Duration;

use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::local_backend::Backend;
use crate::coordination::sidecar::registration::Registration;
use crate::coordination::sidecar::reported_holds::{self, ReportedRanges};
use crate::coordination::sidecar::tables::{Table, Tables};
use crate::protocol::adapter::{GrantSet, Heartbeat, Hold, RangeGrant, Released};
use crate::protocol::mesh::Claim;
use crate::state::clock::Instant;
use crate::state::keyspace::{AssignmentTable, Holder, Key, Slice};
use crate::state::store_revision::{Era, Revision};

/// Duration of the grant in a heartbeat's reply; about three heartbeat intervals.
const GRANT_DURATION: Duration = Duration::from_secs(3);

/// Fraction of the remaining lease that is granted, since a backend server's clock may run 2% slow.
const GRANT_FRACTION: f64 = 0.97;

/// Factor on the duration of a grant after which it has expired even on a slow clock.
const SLOW_CLOCK_FACTOR: f64 = 1.03;

/// Safety margin after the expiry of a grant.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// Time without a heartbeat after which a backend server counts as disconnected; above two heartbeat
/// intervals.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of ranges in a heartbeat's reply, which is limited to 4 KiB.
const MAX_RANGES: usize = 90;

/// Manager of the grants to the local backend server.
#[derive(Debug)]
pub struct GrantManager {
    node: String,
    /// Configured maximum duration of a grant.
    max_hold: Duration,
    dispatcher: Rc<Dispatcher>,
    tables: Rc<Tables>,
    registration: Rc<Registration>,
    started: Instant,
    /// Time at which all grants of this process have expired, by holder; the last ones only.
    expiries: RefCell<Vec<(Holder, Instant)>>,
    withheld: RefCell<WithheldRanges>,
    /// Ranges that a holder has reported as released.
    released: RefCell<Vec<(Holder, Released)>>,
    /// Set while a change of a table is in flight.
    updating: Cell<bool>,
    /// Set while ranges are being revoked; none is granted meanwhile.
    revoking: Cell<bool>,
    /// Service and base table revision of a change without a reply, which may still take effect.
    /// Nothing is granted by this table revision.
    unresolved: RefCell<Option<(String, Revision)>>,
    /// Ranges that the last heartbeat has reported as held.
    reported: RefCell<Option<ReportedRanges>>,
}

impl GrantManager {
    /// Creates a manager without grants, and sets the dispatcher's check for expected keys.
    #[must_use]
    pub fn new(
        node: &str,
        max_hold: Duration,
        dispatcher: Rc<Dispatcher>,
        tables: Rc<Tables>,
        registration: Rc<Registration>,
    ) -> Rc<Self> {
        let (table, registered) = (Rc::clone(&tables), Rc::clone(&registration));
        let local = Rc::downgrade(&dispatcher);
        dispatcher.set_expected_keys(Box::new(move |key| {
            let backend = local.upgrade().and_then(|dispatcher| dispatcher.backend());
            let Some(backend) = backend else { return false };
            let lease = registered.remaining(Instant::now());
            let table = table.get(&backend.service).filter(|_| lease.is_some());
            let slice = table.as_ref().and_then(|t| t.assignments.slice_of(key));
            let mine = |h: &Holder| *h == backend.holder;
            slice.is_some_and(|s| match &s.target {
                Some(target) => mine(target),
                None => s.holder.as_ref().is_some_and(mine),
            })
        }));
        Rc::new(Self {
            node: node.to_owned(),
            max_hold,
            dispatcher,
            tables,
            registration,
            started: Instant::now(),
            expiries: RefCell::default(),
            withheld: RefCell::default(),
            released: RefCell::new(Vec::new()),
            updating: Cell::new(false),
            revoking: Cell::new(false),
            unresolved: RefCell::new(None),
            reported: RefCell::new(None),
        })
    }

    /// Returns whether all grants of this process and of earlier processes of the node have expired.
    #[must_use]
    pub fn all_expired(&self) -> bool {
        let expiries = self.expiries.borrow();
        self.is_expired(expiries.iter().map(|(_, expiry)| *expiry).max())
    }

    /// Returns whether the grants of one holder have expired.
    fn has_expired(&self, holder: &Holder) -> bool {
        let expiries = self.expiries.borrow();
        let own = expiries.iter().find(|(h, _)| h == holder);
        self.is_expired(own.map(|(_, expiry)| *expiry))
    }

    fn is_expired(&self, last_expiry: Option<Instant>) -> bool {
        let max_grant = self.max_hold.min(GRANT_DURATION);
        grants_expired(last_expiry, self.started, max_grant, Instant::now())
    }

    fn record_expiry(&self, holder: &Holder, expiry: Instant) {
        let mut expiries = self.expiries.borrow_mut();
        expiries.retain(|(h, e)| h != holder && e.is_ahead());
        expiries.push((holder.clone(), expiry));
    }

    /// Processes the ranges of a heartbeat. Returns the grants of the reply, or `None` to renew nothing,
    /// and the ranges that the backend server has freed.
    pub fn heartbeat(
        &self,
        heartbeat: &Heartbeat,
        backend: &Backend,
    ) -> (Option<GrantSet>, FreeRanges) {
        let released = heartbeat.released.iter().cloned();
        self.released
            .borrow_mut()
            .extend(released.map(|r| (backend.holder.clone(), r)));
        *self.reported.borrow_mut() = Some(ReportedRanges {
            service: backend.service.clone(),
            ranges: (backend.holder.clone(), heartbeat.holds.clone()),
        });
        let reply = self.reply(heartbeat, backend);
        let (grants, next) = reply.unzip();
        let mut withheld = self.withheld.borrow_mut();
        let free = withheld.update(&backend.holder, &heartbeat.holds, next);
        (grants, free)
    }

    /// Returns the grants and the ranges that are withheld because they are being moved.
    fn reply(
        &self,
        heartbeat: &Heartbeat,
        backend: &Backend,
    ) -> Option<(GrantSet, Vec<(Key, Key)>)> {
        let now = Instant::now();
        let table = self.tables.get(&backend.service)?;
        let lease = self.registration.remaining_in(table.revision.era, now)?;
        let unresolved = self.unresolved.borrow().clone();
        let resolved = is_write_resolved(unresolved.as_ref(), &backend.service, table.revision);
        if self.revoking.get() || !resolved {
            tracing::warn!(event = 455, backend = %backend.holder.backend, revision = %table.revision, "nothing is granted while a revocation is pending");
            return None;
        }
        let grants = GrantSet {
            ranges: grants(&table.assignments, &backend.holder, &heartbeat.holds),
            valid_for: GRANT_DURATION
                .min(self.max_hold)
                .min(lease)
                .mul_f64(GRANT_FRACTION),
        };
        let expiry = now + grants.valid_for.mul_f64(SLOW_CLOCK_FACTOR) + EXPIRY_MARGIN;
        self.record_expiry(&backend.holder, expiry);
        let mine = table.assignments.held_by(&backend.holder);
        let moving = mine.filter(|s| s.target.is_some());
        let moving = moving.map(|s| (s.from, s.to)).collect();
        let mut granted_ranges = self.dispatcher.granted_ranges.borrow_mut();
        granted_ranges.renew(&grants, now);
        drop(granted_ranges);
        self.dispatcher.ranges_changed.notify_waiters();
        Some((grants, moving))
    }

    /// Returns what the backend server may hold in a new era of the store. Returns `None` if the node has
    /// no entry there yet, or doesn't know what an earlier process has granted.
    ///
    /// From then on nothing else is granted before the table is confirmed: no table of an earlier era is
    /// applied any more, and none is changed.
    #[must_use]
    pub fn claim(&self, service: &str, era: Era) -> Option<Claim> {
        let now = Instant::now();
        let entry = self.registration.entry_number()?;
        let leased = |t: &Table| {
            let remaining = self.registration.remaining_in(t.revision.era, now);
            remaining.is_some()
        };
        let table = self.tables.get(service).filter(leased);
        let slices = if let Some(table) = &table {
            let local = |s: &&Slice| s.holder.as_ref().is_some_and(|h| h.node == self.node);
            let slices = table.assignments.slices.iter().filter(local);
            slices.cloned().collect()
        } else {
            let reported = self.reported.borrow();
            let of_service = reported.as_ref().filter(|r| r.service == service);
            let ranges = of_service.map(|r| &r.ranges);
            reported_holds::claimed_slices(ranges, self.is_expired(None))?
        };
        Some(Claim {
            era,
            service: service.to_owned(),
            node: self.node.clone(),
            entry,
            table: table.map_or(Revision::default(), |t| t.revision),
            slices,
        })
    }

    /// Records the ranges that the backend server has freed in the table.
    pub async fn record_release(&self, free: FreeRanges, backend: &Backend) {
        if free.is_empty() || self.updating.replace(true) {
            return;
        }
        let holder = backend.holder.clone();
        let releases = reported_holds::released_by(&self.released.borrow(), &holder);
        let done = self
            .tables
            .update(&backend.service, &[], |table| {
                release(table, &holder, &free, &releases)
            })
            .await;
        self.updating.set(false);
        match done {
            Ok(true) => {
                tracing::info!(event = 451, backend = %holder.backend, ranges = ?free, "passed released ranges on to their next holders");
                let recorded = |(h, r): &(Holder, Released)| *h == holder && releases.contains(r);
                self.released.borrow_mut().retain(|r| !recorded(r));
            }
            Ok(false) => {}
            Err(e) => {
                tracing::warn!(event = 452, backend = %holder.backend, error = %e, "can't record the release of ranges; retrying with a later heartbeat");
            }
        }
    }

    /// Revokes the ranges of earlier incarnations, and those of a silent backend server whose grants
    /// have expired.
    pub async fn tick(&self) {
        if self.updating.get() {
            return;
        }
        let now = Instant::now();
        if self.registration.remaining(now).is_none() {
            return;
        }
        self.resolve_change().await;
        let current = self.dispatcher.backend();
        for service in self.tables.services() {
            let Some(table) = self.tables.confirmed(&service) else {
                continue;
            };
            let holders = table.assignments.holders();
            let mine = holders.into_iter().filter(|h| h.node == self.node);
            for holder in mine {
                let live = current.as_ref().filter(|b| b.holder == *holder);
                let incarnation = Incarnation::of(holder, current.as_ref().map(|b| &b.holder));
                let silence = live.map_or(Duration::MAX, |b| now.since(b.last_heartbeat));
                if should_revoke(incarnation, self.has_expired(holder), silence) {
                    let next = current.as_ref().filter(|b| {
                        b.service == service && b.draining_since.is_none() && live.is_none()
                    });
                    self.revoke(&service, holder, next.map(|b| &b.holder)).await;
                }
            }
        }
    }

    /// Writes the table of an unresolved change again. The new revision makes the condition of the
    /// pending change fail, so that it can't take effect any more.
    async fn resolve_change(&self) {
        let Some((service, revision)) = self.unresolved.borrow().clone() else {
            return;
        };
        if self
            .tables
            .get(&service)
            .is_none_or(|t| t.revision != revision)
        {
            *self.unresolved.borrow_mut() = None;
            return;
        }
        self.updating.set(true);
        let done = self
            .tables
            .update(&service, &[], |table| Some(table.clone()))
            .await;
        self.updating.set(false);
        match done {
            // An unchanged table may have been read without a new revision; the write is retried then.
            Ok(_) => {
                let superseded = self
                    .tables
                    .get(&service)
                    .is_some_and(|t| t.revision != revision);
                if superseded {
                    *self.unresolved.borrow_mut() = None;
                }
            }
            Err(e) => {
                tracing::warn!(event = 456, service, revision = %revision, error = %e, "can't supersede a change without a reply yet");
            }
        }
    }

    async fn revoke(&self, service: &str, holder: &Holder, next: Option<&Holder>) {
        self.updating.set(true);
        self.revoking.set(true);
        let done = self
            .tables
            .update(service, &[], |table| {
                let mut after = table.clone();
                for s in table.held_by(holder).filter(|_| next.is_some()) {
                    if let Some(next) = next {
                        after.plan_move(s.from, s.to, holder, next);
                    }
                }
                after.expire(holder);
                (after != *table).then_some(after)
            })
            .await;
        self.updating.set(false);
        self.revoking.set(false);
        *self.unresolved.borrow_mut() = match &done {
            Err(e) if !e.is_refused() => {
                let table = self.tables.get(service);
                table.map(|t| (service.to_owned(), t.revision))
            }
            _ => None,
        };
        match done {
            Ok(changed) => {
                tracing::info!(event = 453, backend = %holder.backend, born = holder.born, changed, "revoked the ranges of a backend server");
            }
            Err(e) => {
                tracing::warn!(event = 454, backend = %holder.backend, error = %e, "can't revoke the ranges of a backend server yet");
            }
        }
    }
}

/// Ranges that a backend server has freed.
pub type FreeRanges = Vec<(Key, Key)>;

/// Ranges that the last reply to a heartbeat withheld because they are being moved.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WithheldRanges {
    holder: Option<Holder>,
    ranges: Vec<(Key, Key)>,
}

impl WithheldRanges {
    /// Returns the ranges that the previous reply withheld and the heartbeat no longer holds, and stores
    /// `next`, the ranges that its own reply withholds; `None` if the reply renews nothing.
    ///
    /// A range that its own reply is the first to withhold isn't free yet, even if the heartbeat doesn't
    /// hold it: an earlier reply that grants it may still be in flight.
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

/// Incarnation of a holder on this node, relative to the current backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incarnation {
    /// The one that sends heartbeats.
    Current,
    /// An earlier one, which has ended.
    Previous,
    /// No heartbeat has arrived since this process started, or it isn't known to have started before the
    /// one that sends them: the heartbeats may be late ones, and this one may be up.
    Unknown,
}

impl Incarnation {
    /// Returns how a holder on this node relates to the backend server that has registered, if any has.
    #[must_use]
    pub fn of(holder: &Holder, current: Option<&Holder>) -> Self {
        match current.and_then(|c| holder.start_order(c)) {
            Some(Ordering::Equal) => Self::Current,
            Some(Ordering::Less) => Self::Previous,
            Some(Ordering::Greater) | None => Self::Unknown,
        }
    }
}

/// Returns whether a holder's ranges are to be revoked. One that still sends heartbeats keeps them,
/// also after an outage in which nothing could be granted, since its next heartbeat renews them.
#[must_use]
pub fn should_revoke(incarnation: Incarnation, expired: bool, silence: Duration) -> bool {
    match incarnation {
        Incarnation::Previous => true,
        Incarnation::Unknown => expired,
        Incarnation::Current => expired && silence > HEARTBEAT_TIMEOUT,
    }
}

/// Returns whether a service's table at `revision` can no longer be replaced by a write without a
/// reply. `unresolved` is the service of such a write and the table revision that it is based on.
#[must_use]
pub fn is_write_resolved(
    unresolved: Option<&(String, Revision)>,
    service: &str,
    revision: Revision,
) -> bool {
    unresolved.is_none_or(|(name, at)| name != service || *at != revision)
}

/// Returns whether all grants have expired: those of this process, by `last_expiry`, and those of an
/// earlier process, which ended before `started` and granted for `max_grant` at most.
#[must_use]
pub fn grants_expired(
    last_expiry: Option<Instant>,
    started: Instant,
    max_grant: Duration,
    now: Instant,
) -> bool {
    let earlier = started + max_grant.mul_f64(SLOW_CLOCK_FACTOR) + EXPIRY_MARGIN;
    now > last_expiry.unwrap_or(earlier).max(earlier)
}

/// Returns the ranges to grant to a backend server: all that it holds, except those being moved.
fn grants(table: &AssignmentTable, holder: &Holder, holds: &[Hold]) -> Vec<RangeGrant> {
    let already_holds = |s: &Slice| {
        let same = |h: &&Hold| h.token == s.token && h.from <= s.from && s.to <= h.to;
        holds.iter().find(same).is_some()
    };
    let mine = table.held_by(holder).filter(|s| s.target.is_none());
    let grant = |s: &Slice| RangeGrant {
        from: s.from,
        to: s.to,
        token: s.token,
        handover: if already_holds(s) {
            String::new()
        } else {
            s.handover.clone()
        },
    };
    mine.take(MAX_RANGES).map(grant).collect()
}

/// Returns the table after the release of ranges that are being moved.
fn release(
    table: &AssignmentTable,
    holder: &Holder,
    free: &[(Key, Key)],
    releases: &[Released],
) -> Option<AssignmentTable> {
    let mut after = table.clone();
    let moving = table.held_by(holder).filter(|s| s.target.is_some());
    let freed = moving.filter(|s| free.iter().any(|&(from, to)| from <= s.from && s.to <= to));
    for s in freed {
        for r in releases.iter().filter(|r| s.overlaps(r.from, r.to)) {
            after.release(s.from.max(r.from), s.to.min(r.to), holder, &r.handover);
        }
        after.release(s.from, s.to, holder, "");
    }
    (after != *table).then_some(after)
}
