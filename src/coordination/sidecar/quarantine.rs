//! Requests under which backend servers have crashed: what a node knows of them, and when a copy may run.
//!
//! Callers send such a request again, under another identifier and at any node, and each attempt takes a
//! backend server away from all others. So each node keeps, by fingerprint, the lives of backend servers
//! that broke off while they ran a copy, its own and those that other nodes report. Such a request is
//! suspected: one copy at a time may run, with a permit. From `MAX_CRASHES` lives on it is refused as not
//! run, apart from one trial after a delay that grows with each run that broke off under a permit. One
//! answer clears it, since other requests were only running beside the one that crashed the server.
//!
//! This module does no input or output, so that a test can play many nodes. `isolation` connects it to
//! the other nodes; docs/design/crashing-requests.md describes the whole.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::coordination::sidecar::life_reports::LifeReports;
use crate::protocol::mesh::{CrashReport, Finding};
use crate::state::clock::{self, Instant};
use crate::state::crash_evidence::{CrashEvidence, Recordable};
use crate::state::fingerprint::Fingerprint;

/// Number of lives of backend servers under which a request must have broken off to be refused.
pub const MAX_CRASHES: usize = 3;

/// Time for which a quarantined request is remembered since it last broke off; longer than the longest
/// delay of a trial.
const MEMORY: Duration = Duration::from_hours(1);

/// Time for which other requests are remembered since they last broke off.
const SUSPECT_MEMORY: Duration = Duration::from_mins(10);

/// Time for which a request is remembered of which no life is known. The report of the node beside the
/// backend server arrives within it.
const SUSPICION: Duration = Duration::from_secs(10);

/// Time in which evidence that was written to the store may come back from there.
const RESTORE_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 4096;

/// Pause after a run under a permit broke off. A backend server that has restarted tells its new life with
/// its next heartbeat, 870 ms later at most; before that, a second crash would count for the same life.
const CRASH_PAUSE: Duration = Duration::from_secs(1);

/// Pause after the first crash, in which other nodes tell of copies that are already running; a few times
/// the latency of a link.
const SETTLE_PAUSE: Duration = Duration::from_millis(150);

/// Maximum number of copies that run without a permit and are known of one request; the latest count.
const MAX_RUNNING: usize = 32;

/// Delay of the next trial, by the number of runs under a permit that broke off. Without any, the
/// copies may all have run on servers that crashed under something else.
const TRIAL_DELAYS: [Duration; 5] = [
    Duration::from_secs(3),
    Duration::from_secs(15),
    Duration::from_mins(1),
    Duration::from_mins(5),
    Duration::from_mins(10),
];

/// Maximum number of new suspects in the window of [`LifeReports`] that only this node's own retries make, as
/// many as a backend server of the known deployments has slots.
const MAX_SUSPICIONS: usize = 9;

/// Longest wait that is suggested while another copy runs.
const MAX_BUSY_WAIT: Duration = Duration::from_secs(1);

/// Whether a copy of a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It isn't suspected.
    Clear,
    /// With a permit.
    Ready,
    /// Another copy runs, or one has just broken off; not before this time.
    Busy(Duration),
    /// It is quarantined for this time.
    Refused(Duration),
}

/// Copy of a suspected request that may be running.
#[derive(Debug, Clone, Copy)]
struct Run {
    id: u64,
    until: Instant,
}

/// What is known of one request.
#[derive(Debug)]
struct Suspect {
    /// Lives that broke off under it.
    lives: Vec<u64>,
    /// Number of runs under a permit that broke off.
    strikes: u32,
    /// Time of the last crash.
    seen: Instant,
    /// Time before which no copy may start.
    ready_at: Instant,
    /// Whether that time is assumed, because the time of the last crash isn't known.
    is_assumed: bool,
    /// Copy with the permit.
    run: Option<Run>,
    /// Copies that were started before the request was suspected.
    running: Vec<Run>,
}

impl Suspect {
    fn is_current(&self, now: Instant) -> bool {
        let memory = match self.lives.len() {
            0 => SUSPICION,
            1..MAX_CRASHES => SUSPECT_MEMORY,
            _ => MEMORY,
        };
        now.since(self.seen) <= memory
    }

    fn evidence(&self) -> CrashEvidence {
        CrashEvidence {
            lives: self.lives.clone(),
            strikes: self.strikes,
        }
    }

    fn is_quarantined(&self) -> bool {
        self.lives.len() >= MAX_CRASHES
    }

    /// Counts a life; returns whether it is new.
    fn add_life(&mut self, life: u64) -> bool {
        let new = !self.is_quarantined() && !self.lives.contains(&life);
        if new {
            self.lives.push(life);
        }
        new
    }

    /// Moves the next start after a crash.
    fn delay(&mut self, alone: bool, now: Instant) {
        self.seen = now;
        let step = usize::try_from(self.strikes).unwrap_or(usize::MAX);
        let delay = match (self.is_quarantined(), alone) {
            (true, _) => TRIAL_DELAYS[step.min(TRIAL_DELAYS.len() - 1)],
            (false, true) => CRASH_PAUSE,
            (false, false) => SETTLE_PAUSE,
        };
        self.ready_at = self.ready_at.max(now + delay);
        self.is_assumed = false;
    }

    fn verdict(&self, now: Instant) -> Verdict {
        let runs = self.running.iter().chain(&self.run);
        let busy = runs.map(|run| run.until.since(now)).max();
        let busy = busy.unwrap_or_default();
        let wait = busy.min(MAX_BUSY_WAIT).max(self.ready_at.since(now));
        match wait {
            Duration::ZERO => Verdict::Ready,
            _ if self.is_quarantined() => Verdict::Refused(wait),
            _ => Verdict::Busy(wait),
        }
    }
}

/// Requests under which backend servers have broken off.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// What this node itself has seen last, in order, for the nodes that don't know it yet.
    reports: VecDeque<CrashReport>,
    /// Number of earlier reports, which are no longer kept.
    dropped: usize,
    /// Latest reports of the local backend server.
    life_reports: Option<LifeReports>,
    /// Latest suspicions because of own retries.
    suspicions: Option<LifeReports>,
    /// Requests that were answered a short time ago.
    cleared: HashMap<Fingerprint, Instant>,
}

impl Quarantine {
    /// Returns whether no request is suspected, so that none needs a fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a request is suspected.
    #[must_use]
    pub fn contains(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// Returns whether a copy of a request may run.
    #[must_use]
    pub fn check(&self, request: Fingerprint, now: Instant) -> Verdict {
        let suspect = self.suspects.get(&request);
        let suspect = suspect.filter(|s| s.is_current(now));
        suspect.map_or(Verdict::Clear, |s| s.verdict(now))
    }

    /// Decides as the arbiter whether a copy may run for a time, and registers it if so.
    pub fn grant(
        &mut self,
        request: Fingerprint,
        run: u64,
        left: Duration,
        now: Instant,
    ) -> Verdict {
        let verdict = self.check(request, now);
        if verdict == Verdict::Ready
            && let Some(suspect) = self.suspects.get_mut(&request)
        {
            let until = now + left;
            suspect.run = Some(Run { id: run, until });
        }
        verdict
    }

    /// Returns whether a copy that got a permit may still start.
    #[must_use]
    pub fn may_start(&self, request: Fingerprint, run: u64, now: Instant) -> bool {
        self.suspects.get(&request).is_none_or(|suspect| {
            let current = suspect.run.filter(|r| r.id == run && r.until > now);
            let alone = suspect.running.iter().all(|r| r.until <= now);
            current.is_some() && alone && suspect.ready_at <= now
        })
    }

    /// Records that the local backend server broke off while it ran a request, under a permit if `alone`.
    /// Returns the number of lives that did so; 0 if this one has broken off under too many requests in a
    /// short time to be counted. No more than `slots` can have run when it crashed.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        life: u64,
        alone: bool,
        slots: usize,
        now: Instant,
    ) -> usize {
        let is_new = !self.suspects.contains_key(&request);
        if is_new && !LifeReports::add(&mut self.life_reports, life, slots, now) {
            return 0;
        }
        let known = |s: &Suspect| s.is_quarantined() || s.lives.contains(&life);
        let finding = if alone {
            Finding::CrashedAlone(life)
        } else {
            Finding::Crashed(life)
        };
        let report = CrashReport { request, finding };
        // Another copy that ran in a life that is known tells nothing new.
        if alone || !self.suspects.get(&request).is_some_and(known) {
            self.report(report);
            self.apply(report, now);
        }
        self.suspects.get(&request).map_or(0, |s| s.lives.len())
    }

    /// Suspects a request that this node sends again after a backend server broke off under it. The report
    /// of the node beside that server may reach the next one later than the request. It isn't reported.
    pub fn suspect_retry(&mut self, request: Fingerprint, now: Instant) {
        let is_new = !self.suspects.contains_key(&request);
        if is_new && LifeReports::add(&mut self.suspicions, 0, MAX_SUSPICIONS, now) {
            let finding = Finding::Suspected;
            self.apply(CrashReport { request, finding }, now);
        }
    }

    /// Records that a request was answered, which clears it. Returns whether it was suspected.
    pub fn record_answer(&mut self, request: Fingerprint, now: Instant) -> bool {
        let suspected = self.suspects.contains_key(&request);
        if suspected {
            self.record(request, Finding::Answered, now);
        }
        suspected
    }

    /// Records that a copy runs here for at most a time.
    pub fn record_run(&mut self, request: Fingerprint, run: u64, left: Duration, now: Instant) {
        let left_ms = clock::millis(left);
        self.record(request, Finding::Started { run, left_ms }, now);
    }

    /// Records that a copy which was started before the request was suspected runs here.
    pub fn record_running(&mut self, request: Fingerprint, run: u64, left: Duration, now: Instant) {
        let left_ms = clock::millis(left);
        self.record(request, Finding::Running { run, left_ms }, now);
    }

    /// Records that a copy doesn't run here any more, without an answer or a crash.
    pub fn record_end(&mut self, request: Fingerprint, run: u64, now: Instant) {
        self.record(request, Finding::Ended(run), now);
    }

    fn record(&mut self, request: Fingerprint, finding: Finding, now: Instant) {
        let report = CrashReport { request, finding };
        self.report(report);
        self.apply(report, now);
    }

    fn report(&mut self, report: CrashReport) {
        self.reports.push_back(report);
        if self.reports.len() > MAX_REQUESTS {
            self.reports.pop_front();
            self.dropped += 1;
        }
    }

    /// Applies a report of this node or of another one.
    pub fn apply(&mut self, report: CrashReport, now: Instant) {
        let request = report.request;
        match report.finding {
            Finding::Answered => {
                if self.suspects.remove(&request).is_some() {
                    self.cleared.insert(request, now);
                }
            }
            Finding::Crashed(life) => {
                let suspect = self.suspect(request, now);
                if suspect.add_life(life) {
                    suspect.delay(false, now);
                }
            }
            Finding::CrashedAlone(life) => {
                let suspect = self.suspect(request, now);
                suspect.add_life(life);
                suspect.strikes = suspect.strikes.saturating_add(1);
                suspect.run = None;
                suspect.delay(true, now);
            }
            Finding::State { strikes, wait_ms } => {
                if let Some(suspect) = self.suspects.get_mut(&request) {
                    let ready_at = now + Duration::from_millis(wait_ms.into());
                    suspect.strikes = suspect.strikes.max(strikes);
                    suspect.ready_at = if suspect.is_assumed {
                        ready_at
                    } else {
                        suspect.ready_at.max(ready_at)
                    };
                    suspect.is_assumed = false;
                }
            }
            Finding::Started { run, left_ms } => {
                if let Some(suspect) = self.suspects.get_mut(&request) {
                    let until = now + Duration::from_millis(left_ms.into());
                    // If two arbiters have granted runs, all nodes keep the same one.
                    let other = suspect.run.filter(|r| r.until > now && r.id < run);
                    suspect.run = other.or(Some(Run { id: run, until }));
                }
            }
            Finding::Ended(run) => {
                if let Some(suspect) = self.suspects.get_mut(&request) {
                    suspect.run = suspect.run.filter(|r| r.id != run);
                    suspect.running.retain(|r| r.id != run);
                }
            }
            Finding::Running { run, left_ms } => {
                let until = now + Duration::from_millis(left_ms.into());
                // It may overtake the report of the crash, which comes from another node.
                let running = &mut self.suspect(request, now).running;
                running.retain(|r| r.until > now && r.id != run);
                running.push(Run { id: run, until });
                let extra = running.len().saturating_sub(MAX_RUNNING);
                running.drain(..extra);
            }
            Finding::Suspected => {
                self.suspect(request, now);
            }
        }
    }

    /// Adds evidence of earlier processes. The next trial waits for its whole delay, until a node that knows
    /// the time of the last crash tells the rest of it. Evidence against a request that has just been answered
    /// is from before the answer.
    pub fn restore(&mut self, request: Fingerprint, evidence: &CrashEvidence, now: Instant) {
        let is_late = |at: &Instant| now.since(*at) < RESTORE_DELAY;
        if self.cleared.get(&request).is_some_and(is_late) {
            return;
        }
        let suspect = self.suspect(request, now);
        let known = suspect.evidence();
        for life in &evidence.lives {
            suspect.add_life(*life);
        }
        suspect.strikes = suspect.strikes.max(evidence.strikes);
        if suspect.evidence() != known {
            suspect.delay(true, now);
            suspect.is_assumed = true;
        }
    }

    /// Returns the suspects of which a life is known.
    #[must_use]
    pub fn recordable(&self, now: Instant) -> Vec<Recordable> {
        let current = self.suspects.iter().filter(|(_, s)| s.is_current(now));
        let with_life = current.filter(|(_, s)| !s.lives.is_empty());
        let recordable = with_life.map(|(&request, s)| Recordable {
            request,
            evidence: s.evidence(),
            age: now.since(s.seen),
        });
        recordable.collect()
    }

    fn suspect(&mut self, request: Fingerprint, now: Instant) -> &mut Suspect {
        if !self.suspects.contains_key(&request) {
            self.make_room(now);
        }
        self.suspects.entry(request).or_insert_with(|| Suspect {
            lives: Vec::new(),
            strikes: 0,
            seen: now,
            ready_at: now + SETTLE_PAUSE,
            is_assumed: false,
            run: None,
            running: Vec::new(),
        })
    }

    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        self.prune(now);
        let oldest = self.suspects.iter().min_by_key(|(_, s)| s.seen);
        if let Some(request) = oldest.map(|(request, _)| *request)
            && self.suspects.len() >= MAX_REQUESTS
        {
            self.suspects.remove(&request);
        }
    }

    /// Forgets requests that haven't crashed a backend server for long.
    pub fn prune(&mut self, now: Instant) {
        self.suspects.retain(|_, s| s.is_current(now));
        self.cleared.retain(|_, at| now.since(*at) < RESTORE_DELAY);
    }

    /// Returns the number of reports of this node so far.
    #[must_use]
    pub fn report_count(&self) -> usize {
        self.dropped + self.reports.len()
    }

    /// Returns the reports of this node after the first `count`.
    #[must_use]
    pub fn reports_after(&self, count: usize) -> Vec<CrashReport> {
        let known = count.saturating_sub(self.dropped);
        self.reports.iter().skip(known).copied().collect()
    }

    /// Returns what is known of a request, apart from its run, which may have ended before the report
    /// arrives.
    #[must_use]
    pub fn reports_of(&self, request: Fingerprint, now: Instant) -> Vec<CrashReport> {
        let suspect = self.suspects.get(&request);
        let Some(suspect) = suspect.filter(|s| s.is_current(now)) else {
            return Vec::new();
        };
        let lives = suspect.lives.iter().map(|life| Finding::Crashed(*life));
        let suspicion = suspect.lives.is_empty().then_some(Finding::Suspected);
        let state = Finding::State {
            strikes: suspect.strikes,
            wait_ms: clock::millis(suspect.ready_at.since(now)),
        };
        let state = (!suspect.is_assumed).then_some(state);
        let findings = suspicion.into_iter().chain(lives).chain(state);
        let reports = findings.map(|finding| CrashReport { request, finding });
        reports.collect()
    }

    /// Returns all that is known, for a node that has started.
    #[must_use]
    pub fn all_reports(&self, now: Instant) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (&request, suspect) in &self.suspects {
            reports.extend(self.reports_of(request, now));
            let started = suspect.run.iter().map(|r| (r, true));
            let running = suspect.running.iter().map(|r| (r, false));
            for (r, permitted) in started.chain(running).filter(|(r, _)| r.until > now) {
                let (run, left_ms) = (r.id, clock::millis(r.until.since(now)));
                let finding = if permitted {
                    Finding::Started { run, left_ms }
                } else {
                    Finding::Running { run, left_ms }
                };
                reports.push(CrashReport { request, finding });
            }
        }
        reports
    }
}
