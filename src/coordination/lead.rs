//! What a coordinator knows about one of its partitions, and what follows from it.
//!
//! Enforces the coordinator's side of these rules:
//! - R1: a promise counts from the moment its request was sent; a lease that was granted counts
//!   from the moment of the answer, plus the drift allowance.
//! - R2: a renewal is answered only while all promises are held ([`Led::authority`]).
//! - R3: a standby is named only once its promise is held, and its promise is needed from then on.
//! - R5: slices leave an owner only after its lease, or on proof that its process has ended.
//! - R6: without contact to the platform's service the authority ends after the hold time.
//! - R10: while a write is unresolved, the standbys of both records must promise, and an owner that
//!   the write takes slices from is granted nothing.
//! - R11: adopting a record that this node did not write restarts the wait for all owners.

mod placing;
mod standbys;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time;

use crate::coordination::store;
use crate::protocol::peer;
use crate::state::{clock, ids, record, timing};

pub use placing::{Edit, Policy};
pub use standbys::Candidate;

/// Age of the last renewal after which an owner is probed; one renewal and some delay.
const QUIET: time::Duration = time::Duration::from_millis(350);

/// Gap between two ticks after which this process counts as paused.
const PAUSED: time::Duration = time::Duration::from_millis(400);

/// State of a partition at its coordinator.
#[derive(Debug)]
pub struct Led {
    me: ids::NodeRef,
    /// Record as last confirmed by the platform's service.
    pub stored: store::Stored,
    /// Write whose result is not known.
    pub pending: Option<Pending>,
    /// Whether the record must be read again soon.
    pub recheck: bool,
    adopted: clock::Instant,
    ticked: clock::Instant,
    contact: Option<clock::Instant>,
    promises: HashMap<ids::NodeRef, clock::Instant>,
    failed: HashMap<ids::NodeRef, clock::Instant>,
    leases: HashMap<ids::NodeRef, clock::Instant>,
    reports: HashMap<ids::NodeRef, Report>,
    gone: BTreeSet<ids::NodeRef>,
    released: BTreeSet<(ids::KeyHash, ids::SliceVersion)>,
    requested: Vec<Edit>,
    moved: Vec<(clock::Instant, ids::KeyHash)>,
}

/// Write whose result is not known.
#[derive(Debug, Clone)]
pub struct Pending {
    /// Write.
    pub write: store::Write,
    /// Whether a sending may have arrived.
    pub ambiguous: bool,
    barred: BTreeSet<ids::NodeRef>,
}

/// Last renewal of a server.
#[derive(Debug, Clone)]
struct Report {
    at: clock::Instant,
    state: peer::BackendState,
    details: Option<peer::Report>,
}

/// What a coordinator takes from the rest of its node.
#[derive(Debug, Clone, Default)]
pub struct Env {
    /// Failure domain of this node.
    pub domain: String,
    /// Nodes to drain.
    pub drain: Vec<ids::NodeAddr>,
    /// Hold time in force; the one stored with the record if there is no document.
    pub hold: Option<time::Duration>,
    /// How the service is balanced.
    pub policy: Option<Policy>,
    /// Nodes that may become standbys.
    pub candidates: Vec<Candidate>,
}

impl Report {
    fn is_recent(&self, now: clock::Instant) -> bool {
        now.since(self.at) < timing::LEASE_DURATION
    }
}

impl Led {
    /// Takes over a partition whose record names this node as coordinator.
    ///
    /// `sent` is the time at which the call was sent that confirmed the record. A record with a
    /// claim intent proves no contact, because the intent may be older than the call (R6).
    #[must_use]
    pub fn new(me: ids::NodeRef, stored: store::Stored, sent: clock::Instant) -> Self {
        let mut led = Self {
            me,
            contact: stored.record.intent.is_none().then_some(sent),
            stored,
            pending: None,
            recheck: false,
            adopted: clock::Instant::now(),
            ticked: clock::Instant::now(),
            promises: HashMap::new(),
            failed: HashMap::new(),
            leases: HashMap::new(),
            reports: HashMap::new(),
            gone: BTreeSet::new(),
            released: BTreeSet::new(),
            requested: Vec::new(),
            moved: Vec::new(),
        };
        led.restart_waits();
        led
    }

    /// Returns the record in force.
    #[must_use]
    pub fn record(&self) -> &Arc<record::PartitionRecord> {
        &self.stored.record
    }

    /// Takes a record that the platform's service has confirmed.
    pub fn adopt(&mut self, stored: store::Stored, sent: clock::Instant) {
        let own = self
            .pending
            .take()
            .is_some_and(|p| p.write.record.writer == stored.record.writer);
        if stored.record.intent.is_none() {
            self.contact = self.contact.max(Some(sent));
        }
        self.note_moves(&stored.record);
        self.stored = stored;
        if !own {
            self.restart_waits();
        }
    }

    /// Notes that the platform's service still holds the record as it was at `sent`.
    pub fn confirm(&mut self, sent: clock::Instant) {
        if self.record().intent.is_none() {
            self.contact = self.contact.max(Some(sent));
        }
        self.recheck = false;
    }

    /// Notes that this process runs. After a pause the waits restart, because servers and standbys
    /// could not reach this node meanwhile.
    pub fn tick(&mut self, now: clock::Instant) {
        if self.was_paused(now) {
            self.restart_waits();
        }
        self.ticked = now;
    }

    fn was_paused(&self, now: clock::Instant) -> bool {
        now.since(self.ticked) > PAUSED
    }

    /// Waits for every server as if it had just been granted a lease.
    fn restart_waits(&mut self) {
        self.adopted = clock::Instant::now();
        let until = self.adopted + timing::with_drift(timing::LEASE_DURATION);
        for server in &self.stored.record.servers {
            let lease = self.leases.entry(server.node).or_insert(until);
            *lease = until.max(*lease);
        }
    }

    /// Returns whether this node may grant leases now.
    #[must_use]
    pub fn authority(&self, now: clock::Instant) -> bool {
        let hold = match &self.pending {
            Some(p) => p.write.hold.min(self.stored.hold),
            None => self.stored.hold,
        };
        let contact = self.contact.is_some_and(|at| at + hold > now);
        contact && self.needed().iter().all(|s| self.promised(*s, now))
    }

    /// Returns the standbys whose promises are needed.
    #[must_use]
    pub fn needed(&self) -> BTreeSet<ids::NodeRef> {
        let pending = self.pending.iter().flat_map(|p| &p.write.record.standbys);
        let current = self.record().standbys.iter();
        current.chain(pending).copied().collect()
    }

    /// Notes a promise whose request was sent at `sent`.
    pub fn promise(&mut self, standby: ids::NodeRef, sent: clock::Instant) {
        let until = sent + timing::PROMISE_DURATION;
        let known = self.promises.entry(standby).or_insert(until);
        *known = until.max(*known);
        self.failed.remove(&standby);
    }

    /// Notes that a node did not promise.
    pub fn refuse(&mut self, standby: ids::NodeRef) {
        self.failed.insert(standby, clock::Instant::now());
    }

    /// Notes proof that a process has ended.
    pub fn ended(&mut self, node: ids::NodeRef) -> bool {
        self.gone.insert(node)
    }

    /// Notes the report of a server.
    pub fn report(&mut self, req: &peer::Renew) {
        let report = self.reports.entry(req.from).or_insert_with(|| Report {
            at: clock::Instant::now(),
            state: req.backend,
            details: None,
        });
        report.at = clock::Instant::now();
        report.state = req.backend;
        if req.report.is_some() {
            report.details.clone_from(&req.report);
        }
        let older = self
            .record()
            .servers
            .iter()
            .map(|s| s.node)
            .filter(|n| n.addr == req.from.addr && n.incarnation < req.from.incarnation);
        let older: Vec<_> = older.collect();
        self.gone.extend(older);
    }

    /// Grants a lease to a server, if it may get one now.
    pub fn grant(&mut self, server: ids::NodeRef) -> bool {
        let now = clock::Instant::now();
        let up = self.reports.get(&server).is_some_and(|r| r.state.up);
        let barred = self
            .pending
            .as_ref()
            .is_some_and(|p| p.barred.contains(&server));
        if !up || barred || self.gone.contains(&server) || !self.authority(now) {
            return false;
        }
        self.leases
            .insert(server, now + timing::with_drift(timing::LEASE_DURATION));
        true
    }

    /// Notes that an owner has stopped serving a slice.
    pub fn release(&mut self, from: ids::NodeRef, start: ids::KeyHash, version: ids::SliceVersion) {
        if self.moving(from, start, version) {
            self.released.insert((start, version));
        }
    }

    /// Returns whether a slice is being moved away from a server under this version.
    #[must_use]
    pub fn moving(
        &self,
        from: ids::NodeRef,
        start: ids::KeyHash,
        version: ids::SliceVersion,
    ) -> bool {
        let slice = self.record().slice_at(start);
        slice.is_some_and(|s| {
            s.start == start && s.version == version && s.owner == Some(from) && s.target.is_some()
        })
    }

    /// Returns the servers that have not renewed for some time and may have ended.
    #[must_use]
    pub fn quiet(&self, now: clock::Instant) -> Vec<ids::NodeRef> {
        let servers = self.record().servers.iter().map(|s| s.node);
        servers
            .filter(|n| *n != self.me && !self.gone.contains(n))
            .filter(|n| self.reports.get(n).is_none_or(|r| now.since(r.at) > QUIET))
            .collect()
    }

    /// Decides on the next write, and bars the owners that it takes slices from.
    pub fn plan(&mut self, env: &Env) -> Option<&Pending> {
        let now = clock::Instant::now();
        if self.was_paused(now) {
            return None;
        }
        let old = Arc::clone(self.record());
        let lost = self.lost(now);
        let mut new = (*old).clone();
        new.intent = None;
        self.place(&mut new, env, &lost, now);
        new.standbys = self.standbys(env, now);
        let hold = env.hold.unwrap_or(self.stored.hold);
        if new == *old && hold == self.stored.hold {
            return None;
        }
        new.revision = old.revision.next();
        new.writer = store::writer(self.me);
        let taken = old.owners().intersection(&lost).copied().collect();
        let write = store::Write {
            record: Arc::new(new),
            hold,
            expect: self.stored.at,
        };
        self.pending = Some(Pending {
            write,
            ambiguous: false,
            barred: taken,
        });
        self.pending.as_ref()
    }

    /// Returns the servers that report a backend server that is up.
    fn live(&self, now: clock::Instant) -> BTreeSet<ids::NodeRef> {
        self.reports
            .iter()
            .filter(|(n, r)| r.state.up && r.is_recent(now) && !self.gone.contains(n))
            .map(|(n, _)| *n)
            .collect()
    }

    /// Returns the servers whose slices may be reassigned (R5).
    fn lost(&self, now: clock::Instant) -> BTreeSet<ids::NodeRef> {
        let servers = self.record().servers.iter();
        servers
            .filter(|s| self.gone.contains(&s.node) || self.is_over(s, now))
            .map(|s| s.node)
            .collect()
    }

    fn is_over(&self, server: &record::Server, now: clock::Instant) -> bool {
        let report = self.reports.get(&server.node);
        if report.is_some_and(|r| r.state.up && r.is_recent(now)) {
            // It asks for renewals, which this node had to refuse.
            return false;
        }
        let margin = if server.checks {
            time::Duration::ZERO
        } else {
            timing::UNCHECKED_MARGIN
        };
        let lease = self.leases.get(&server.node);
        lease.is_none_or(|until| *until + margin <= now)
    }

    fn promised(&self, standby: ids::NodeRef, now: clock::Instant) -> bool {
        self.promises
            .get(&standby)
            .is_some_and(|until| *until > now)
    }
}
