//! Run times of requests on one backend server, by kind.
//!
//! The expected run time is the mean of those that ended, beginning with a guess, and of those that run
//! if they have lasted longer already. The mean of the ended ones alone is that of the shortest at first:
//! after a start it promises a tenth of the real time, the queue takes on far more than can be run, and
//! what it starts ends at its caller's deadline.
//!
//! Nothing here does input or output.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::clock::Instant;

/// Requests that the mean reaches back.
const MOST_WEIGHT: f64 = 33.0;

/// Ended requests that the first guess counts for.
const GUESS_WEIGHT: f64 = 4.0;

/// Part of the latency objective that a run is taken to last before any has ended. Objectives are
/// commonly set at about three times the mean run time.
pub const INITIAL_SHARE: f64 = 0.35;

/// Factor on the run times of a backend server that has just started.
pub const WARMUP_FACTOR: f64 = 2.0;

/// Requests after which the mean run time is worth telling.
const ENOUGH: u32 = 8;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// With an answer.
    Answered,
    /// At its caller's limit or because its caller has left; it would have lasted longer.
    Interrupted,
    /// Without an answer, which says nothing about the time of others.
    Failed,
}

/// Run times of one kind of request, or of all.
#[derive(Debug, Clone, Copy)]
struct Spent {
    running: usize,
    /// Sum of the times at which those that run began, in seconds since `zero`.
    begun: f64,
    zero: Instant,
    /// Mean time of the requests that ended, in seconds.
    mean: f64,
    /// Weight of the mean, in requests.
    weight: f64,
    /// Requests that ended since the start.
    count: u32,
}

impl Spent {
    fn new(guess: Duration, now: Instant) -> Self {
        Self {
            running: 0,
            begun: 0.0,
            zero: now,
            mean: guess.as_secs_f64(),
            weight: GUESS_WEIGHT,
            count: 0,
        }
    }

    fn offset(&self, at: Instant) -> f64 {
        at.since(self.zero).as_secs_f64()
    }

    fn start(&mut self, now: Instant) {
        self.running += 1;
        self.begun += self.offset(now);
    }

    fn end(&mut self, begun: Instant, end: Completion, now: Instant) {
        if begun < self.zero {
            // It belongs to a life of the backend server before this one.
            return;
        }
        let took = now.since(begun).as_secs_f64();
        if self.running > 0 {
            self.running -= 1;
            self.begun -= self.offset(begun);
        }
        let sample = match end {
            Completion::Answered => took,
            Completion::Interrupted => took.max(self.mean),
            Completion::Failed => return,
        };
        self.weight = (self.weight + 1.0).min(MOST_WEIGHT);
        self.mean += (sample - self.mean) / self.weight;
        self.count = self.count.saturating_add(1);
    }

    fn mean(&self, now: Instant) -> Duration {
        let n = self.running as f64;
        let age = self.offset(now) - self.begun / n.max(1.0);
        let mean = if n > 0.0 && age > self.mean {
            // They will last longer than that, so each counts as a run of this time at least.
            (self.mean * self.weight + age * n) / (self.weight + n)
        } else {
            self.mean
        };
        Duration::from_secs_f64(mean)
    }
}

/// Run times on one backend server.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    kinds: HashMap<u32, Spent>,
    all: Option<Spent>,
    warming: bool,
}

impl ServiceTimes {
    /// Forgets everything, when another life of the backend server begins.
    pub fn reset(&mut self) {
        self.kinds.clear();
        self.all = None;
    }

    /// Sets whether the backend server has just started and is slow.
    pub fn set_warming(&mut self, warming: bool) {
        self.warming = warming;
    }

    fn guess(&self, objective: Duration) -> Duration {
        let factor = if self.warming { WARMUP_FACTOR } else { 1.0 };
        objective.mul_f64(INITIAL_SHARE * factor)
    }

    /// Notes that a request of a kind starts, whose latency objective gives the first guess.
    pub fn record_start(&mut self, kind: u32, objective: Duration, now: Instant) {
        let guess = self.guess(objective);
        let first = || Spent::new(guess, now);
        self.kinds.entry(kind).or_insert_with(first).start(now);
        self.all.get_or_insert_with(first).start(now);
    }

    /// Notes that a request of a kind, which began at `begun`, has ended.
    pub fn record_end(&mut self, kind: u32, begun: Instant, end: Completion, now: Instant) {
        let kind = self.kinds.get_mut(&kind);
        for spent in kind.into_iter().chain(&mut self.all) {
            spent.end(begun, end, now);
        }
    }

    /// Returns the expected run time of a kind of request.
    #[must_use]
    pub fn estimate(&self, kind: u32, objective: Duration, now: Instant) -> Duration {
        let known = self.kinds.get(&kind);
        known.map_or_else(|| self.guess(objective), |spent| spent.mean(now))
    }

    /// Returns the mean run time of all requests, once enough have ended.
    #[must_use]
    pub fn mean(&self, now: Instant) -> Option<Duration> {
        let all = self.all.as_ref().filter(|s| s.count >= ENOUGH)?;
        Some(all.mean(now))
    }
}
