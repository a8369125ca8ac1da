//! Quarantine of requests that crash the backend servers that run them.
//!
//! Callers send such a request again, under another identifier and at any node, and each attempt takes a
//! backend server away from all others. So each node counts, by fingerprint, the lives of backend servers
//! that broke off while they ran the request, its own and those that other nodes report. From
//! `MAX_CRASHES` on the request is refused as not run. Requests that only ran beside it are counted too,
//! until one of them is answered.
//!
//! This module does no input or output, so that a test can play many nodes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::protocol::mesh::CrashReport;
use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;

/// Number of lives of backend servers under which a request must have broken off to be refused.
pub const MAX_CRASHES: usize = 3;

/// Time for which a request is remembered since it last broke off or was refused.
const MEMORY: Duration = Duration::from_mins(10);

/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 4096;

/// What is known of one request.
#[derive(Debug)]
struct Suspect {
    /// Lives that broke off under it.
    lives: Vec<u64>,
    seen: Instant,
}

/// Requests under which backend servers have broken off.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// What this node itself has seen last, in order, for the nodes that don't know it yet.
    reports: VecDeque<CrashReport>,
    /// Number of earlier reports, which are no longer kept.
    dropped: usize,
}

impl Quarantine {
    /// Returns whether no request is suspected, so that none needs a fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a request is to be refused, and remembers it for longer if so.
    pub fn refuses(&mut self, request: Fingerprint, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        if now.since(suspect.seen) > MEMORY {
            self.suspects.remove(&request);
            return false;
        }
        let refused = suspect.lives.len() >= MAX_CRASHES;
        if refused {
            suspect.seen = now;
        }
        refused
    }

    /// Records that the local backend server broke off while it ran a request. Returns the number of lives
    /// that did so.
    pub fn record_crash(&mut self, request: Fingerprint, life: u64, now: Instant) -> usize {
        let report = CrashReport {
            request,
            life: Some(life),
        };
        self.report(report);
        self.apply(report, now);
        self.suspects.get(&request).map_or(0, |s| s.lives.len())
    }

    /// Records that a request was answered, which clears it. Returns whether it was suspected.
    pub fn record_answer(&mut self, request: Fingerprint, now: Instant) -> bool {
        if !self.suspects.contains_key(&request) {
            return false;
        }
        let report = CrashReport {
            request,
            life: None,
        };
        self.report(report);
        self.apply(report, now);
        true
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
        let Some(life) = report.life else {
            self.suspects.remove(&report.request);
            return;
        };
        self.make_room(now);
        let suspect = self
            .suspects
            .entry(report.request)
            .or_insert_with(|| Suspect {
                lives: Vec::new(),
                seen: now,
            });
        suspect.seen = now;
        if suspect.lives.len() < MAX_CRASHES && !suspect.lives.contains(&life) {
            suspect.lives.push(life);
        }
    }

    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < MAX_REQUESTS {
            return;
        }
        self.suspects.retain(|_, s| now.since(s.seen) <= MEMORY);
        let oldest = self.suspects.iter().min_by_key(|(_, s)| s.seen);
        if let Some(request) = oldest.map(|(request, _)| *request)
            && self.suspects.len() >= MAX_REQUESTS
        {
            self.suspects.remove(&request);
        }
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

    /// Returns all that is known, for a node that has started.
    #[must_use]
    pub fn all_reports(&self) -> Vec<CrashReport> {
        let suspects = self.suspects.iter();
        let reports = suspects.flat_map(|(request, suspect)| {
            suspect.lives.iter().map(|life| CrashReport {
                request: *request,
                life: Some(*life),
            })
        });
        reports.collect()
    }
}
