//! Service times of requests on one backend server, by kind.
//!
//! The estimate is the mean over completed requests, starting from an initial estimate, and over
//! running requests that have already taken longer. The mean over completed requests alone is
//! biased towards the shortest at first: after a start it is a tenth of the real time, so the queue
//! admits far more than the backend server can execute, and admitted requests run into their
//! callers' deadlines.
//!
//! A backend server may state how much longer work takes at present. Means are kept as they would be at its
//! normal speed, and multiplied by the present slowdown when they are read.
//!
//! Nothing here does input or output.

use std::collections::HashMap;
use std::time::Duration;

use crate::coordination::sidecar::speed::SpeedTracker;
use crate::state::clock::Instant;

/// Largest weight of the mean, in requests; a new sample gets at least the inverse.
const MAX_WEIGHT: f64 = 33.0;

/// Weight of the initial estimate, in requests.
const INITIAL_WEIGHT: f64 = 4.0;

/// Initial estimate of a service time, as a share of the latency objective. Objectives are commonly
/// set at about three times the mean service time.
pub const INITIAL_SHARE: f64 = 0.35;

/// Factor on the service times of a backend server that is still warming up.
pub const WARMUP_FACTOR: f64 = 2.0;

/// Completed requests from which the mean service time is reported.
const MIN_SAMPLES: u32 = 8;

/// How the execution of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// With a response.
    Answered,
    /// At its deadline or because its caller disconnected; it would have taken longer.
    Interrupted,
    /// With a failure or without a response; its duration is no sample of the service time.
    Failed,
}

/// Estimator of the mean service time of one kind of request, or of all.
#[derive(Debug, Clone, Copy)]
struct Estimator {
    running: usize,
    /// Sum of the start times of running requests, in seconds since `epoch`.
    start_sum: f64,
    epoch: Instant,
    /// Mean service time of completed requests at normal speed, in seconds.
    mean: f64,
    /// Weight of the mean, in requests.
    weight: f64,
    /// Number of samples so far.
    count: u32,
}

impl Estimator {
    fn new(initial: Duration, now: Instant) -> Self {
        Self {
            running: 0,
            start_sum: 0.0,
            epoch: now,
            mean: initial.as_secs_f64(),
            weight: INITIAL_WEIGHT,
            count: 0,
        }
    }

    fn offset(&self, at: Instant) -> f64 {
        at.since(self.epoch).as_secs_f64()
    }

    fn record_start(&mut self, now: Instant) {
        self.running += 1;
        self.start_sum += self.offset(now);
    }

    fn record_end(
        &mut self,
        started: Instant,
        completion: Completion,
        slowdown: f64,
        now: Instant,
    ) {
        if started < self.epoch {
            // It ran on a previous incarnation of the backend server.
            return;
        }
        let took = now.since(started).as_secs_f64() / slowdown;
        if self.running > 0 {
            self.running -= 1;
            self.start_sum -= self.offset(started);
        }
        let sample = match completion {
            Completion::Answered => took,
            Completion::Interrupted => took.max(self.mean),
            Completion::Failed => return,
        };
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        self.mean += (sample - self.mean) / self.weight;
        self.count = self.count.saturating_add(1);
    }

    /// Returns the mean at a present slowdown.
    fn mean(&self, slowdown: f64, now: Instant) -> Duration {
        let n = self.running as f64;
        let age = (self.offset(now) - self.start_sum / n.max(1.0)) / slowdown;
        let mean = if n > 0.0 && age > self.mean {
            // Running requests will take at least their mean age, so each counts as a sample of it.
            (self.mean * self.weight + age * n) / (self.weight + n)
        } else {
            self.mean
        };
        Duration::from_secs_f64(mean * slowdown)
    }
}

/// Service times on one backend server.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    kinds: HashMap<u32, Estimator>,
    all: Option<Estimator>,
    warming: bool,
    /// Speed of the backend server.
    pub speed: SpeedTracker,
}

impl ServiceTimes {
    /// Discards all samples when a new incarnation of the backend server starts.
    pub fn reset(&mut self) {
        self.kinds.clear();
        self.all = None;
        self.speed = SpeedTracker::default();
    }

    /// Sets whether the backend server is still warming up.
    pub fn set_warming(&mut self, warming: bool) {
        self.warming = warming;
    }

    fn initial_estimate(&self, objective: Duration) -> Duration {
        let factor = if self.warming { WARMUP_FACTOR } else { 1.0 };
        objective.mul_f64(INITIAL_SHARE * factor)
    }

    /// Records the start of a request; its latency objective gives the initial estimate of its
    /// kind.
    pub fn record_start(&mut self, kind: u32, objective: Duration, now: Instant) {
        let initial = self.initial_estimate(objective);
        let new = || Estimator::new(initial, now);
        self.kinds.entry(kind).or_insert_with(new).record_start(now);
        self.all.get_or_insert_with(new).record_start(now);
    }

    /// Records the end of a request that started at `started`.
    pub fn record_end(
        &mut self,
        kind: u32,
        started: Instant,
        completion: Completion,
        now: Instant,
    ) {
        let slowdown = self.speed.slowdown(now);
        let kind = self.kinds.get_mut(&kind);
        for estimator in kind.into_iter().chain(&mut self.all) {
            estimator.record_end(started, completion, slowdown, now);
        }
    }

    /// Returns the estimated service time of a kind of request.
    #[must_use]
    pub fn estimate(&self, kind: u32, objective: Duration, now: Instant) -> Duration {
        let slowdown = self.speed.slowdown(now);
        let known = self.kinds.get(&kind);
        known.map_or_else(
            || self.initial_estimate(objective).mul_f64(slowdown),
            |estimator| estimator.mean(slowdown, now),
        )
    }

    /// Returns the mean service time of all requests, once enough have completed.
    #[must_use]
    pub fn mean(&self, now: Instant) -> Option<Duration> {
        self.mean_at(self.speed.slowdown(now), now)
    }

    /// Returns that mean at the average speed of the last seconds; `None` if the backend server states no
    /// speed.
    #[must_use]
    pub fn steady_mean(&self, now: Instant) -> Option<Duration> {
        self.mean_at(self.speed.average()?, now)
    }

    fn mean_at(&self, slowdown: f64, now: Instant) -> Option<Duration> {
        let all = self.all.as_ref().filter(|e| e.count >= MIN_SAMPLES)?;
        Some(all.mean(slowdown, now))
    }
}
