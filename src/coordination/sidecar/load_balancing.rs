//! Load balancing of requests that any backend server of a service may execute.
//!
//! Each candidate is scored by the expected time to a response there: queueing delay, service time
//! and the cost of a possible failure. A candidate that has named a limit is as far away as its next
//! token. The load that a node reported is corrected by the requests
//! that this node has sent there since.

use rand::Rng;
use rand::seq::SliceRandom;

use crate::coordination::sidecar::failure_rate;
use crate::coordination::sidecar::rate_limiter;
use crate::coordination::sidecar::service_times;

/// Penalty for a candidate in another failure domain, as a share of the latency objective; traffic
/// between failure domains has a price, and a little latency within the objective has none.
const CROSS_DOMAIN_PENALTY: f64 = 0.05;

/// Largest number of candidates compared; half of them in the same failure domain if there are
/// enough. Reports are up to some hundred milliseconds old, and if every node chose the best of
/// many candidates, all would choose the same one.
const SAMPLE_SIZE: usize = 6;

/// Slowdown of a fully occupied backend server relative to its mean service time.
const SATURATION_SLOWDOWN: f64 = 0.5;

/// Largest relative random increase of a score; keeps nodes with the same reports from making the
/// same choice.
const JITTER: f64 = 0.1;

/// Cap on the failure rate in a score, which would be infinite at 1.
const MAX_FAILURE_RATE: f64 = 0.9;

/// Age of a report, in milliseconds, above which it says nothing of the requests that arrive.
const MAX_REPORT_AGE_MS: f64 = 1000.0;

/// Expected time above the longest present one, in milliseconds, within which all arrivals find room.
const MAX_LEVEL_MS: f64 = 10_000.0;

/// Bisections of the expected time; the last interval is below 3 ms.
const SHARE_ITERATIONS: usize = 12;

/// Backend server that may execute a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests that it executes concurrently.
    pub slots: u16,
    /// Running and queued requests: as reported, plus those sent there since.
    pub outstanding: u16,
    /// Mean service time in milliseconds, 0 if it isn't known.
    pub service_ms: f64,
    /// Share of failed requests, 0 to 1.
    pub failure_rate: f64,
    /// Delay of calls in transit to it, in milliseconds.
    pub delay_ms: f64,
    /// Whether it is still warming up.
    pub warming: bool,
    /// Whether it is in the failure domain of this node.
    pub same_domain: bool,
    /// Limit that it has named, if any.
    pub limit: Option<Limit>,
}

/// Limit of a candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub rate: f64,
    /// Requests that it has room for at once; negative if some wait for it.
    pub room: f64,
}

impl Limit {
    /// Returns the time until one more request can start, in milliseconds.
    fn wait_ms(self) -> f64 {
        (1.0 - self.room).max(0.0) * 1000.0 / self.rate.max(rate_limiter::MIN_RATE)
    }
}

impl Candidate {
    /// Returns the expected service time, in milliseconds.
    fn current_service_ms(&self, objective_ms: f64) -> f64 {
        let ms = match self.service_ms {
            ms if ms > 0.0 => ms,
            _ => service_times::INITIAL_SHARE * objective_ms,
        };
        if self.warming {
            ms * service_times::WARMUP_FACTOR
        } else {
            ms
        }
    }

    /// Returns the expected time to a response, in milliseconds, including the penalty for another
    /// failure domain.
    #[must_use]
    pub fn expected_ms(&self, objective_ms: f64) -> f64 {
        let curve = WaitCurve::new(self, 0.0, objective_ms);
        curve.time_ms(curve.outstanding)
    }
}

/// Returns the index of the candidate with the shortest expected time, within a sample if there are
/// many.
pub fn pick(candidates: &[Candidate], objective_ms: f64, rng: &mut impl Rng) -> Option<usize> {
    let sample = sample(candidates, rng);
    let baseline = failure_rate::baseline(candidates.iter().map(|c| c.failure_rate));
    let mut best: Option<(usize, f64)> = None;
    for i in sample {
        let jitter = 1.0 + JITTER * rng.random::<f64>();
        let adjusted = Candidate {
            failure_rate: failure_rate::excess(candidates[i].failure_rate, baseline),
            ..candidates[i]
        };
        let ms = adjusted.expected_ms(objective_ms) * jitter;
        if best.is_none_or(|(_, least)| ms < least) {
            best = Some((i, ms));
        }
    }
    best.map(|(i, _)| i)
}

/// Returns the index of a candidate for a service that many nodes send requests to.
///
/// Between two reports of a candidate, the other nodes see the same load as this one. If all chose the
/// candidate with the shortest expected time, it would get all requests of that interval. So the
/// requests that arrive at the whole service within the age of the reports are distributed over the
/// candidates as if they were sent one after the other, each to the shortest expected time, and each
/// candidate is picked with the probability of its share (Dahlin, "Interpreting Stale Load
/// Information", 1999). `ages` are the ages of the candidates' reports, in milliseconds.
pub fn pick_share(
    candidates: &[Candidate],
    ages: &[f64],
    objective_ms: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let baseline = failure_rate::baseline(candidates.iter().map(|c| c.failure_rate));
    let curves: Vec<_> = candidates
        .iter()
        .map(|c| WaitCurve::new(c, baseline, objective_ms))
        .collect();
    let arrivals: f64 = candidates
        .iter()
        .zip(&curves)
        .zip(ages)
        .map(|((c, curve), age)| {
            let running = f64::from(c.outstanding.min(c.slots));
            running * age.min(MAX_REPORT_AGE_MS) / curve.service_ms
        })
        .sum();
    let shares = shares(&curves, arrivals.max(1.0));
    let mut left = rng.random::<f64>() * shares.iter().sum::<f64>();
    let picked = shares.iter().position(|share| {
        left -= share;
        left < 0.0
    });
    picked.or_else(|| candidates.len().checked_sub(1))
}

/// Returns how many of `arrivals` requests each candidate gets if all end up with the same expected
/// time.
fn shares(curves: &[WaitCurve], arrivals: f64) -> Vec<f64> {
    let base = |c: &WaitCurve| c.time_ms(c.outstanding);
    let mut low = curves.iter().map(base).fold(f64::INFINITY, f64::min);
    let mut high = curves.iter().map(base).fold(0.0, f64::max) + MAX_LEVEL_MS;
    let at = |level: f64| curves.iter().map(move |c| c.room(level));
    for _ in 0..SHARE_ITERATIONS {
        let level = f64::midpoint(low, high);
        if at(level).sum::<f64>() < arrivals {
            low = level;
        } else {
            high = level;
        }
    }
    at(high).collect()
}

/// Expected time to a response at one candidate, by the number of its requests.
#[derive(Debug, Clone, Copy)]
struct WaitCurve {
    slots: f64,
    service_ms: f64,
    outstanding: f64,
    /// Time besides queueing and slowdown.
    fixed_ms: f64,
    /// Factor on the time for possible failures.
    failure_factor: f64,
    limit: Option<Limit>,
}

impl WaitCurve {
    fn new(candidate: &Candidate, baseline: f64, objective_ms: f64) -> Self {
        let penalty = if candidate.same_domain {
            0.0
        } else {
            CROSS_DOMAIN_PENALTY * objective_ms
        };
        let excess = failure_rate::excess(candidate.failure_rate, baseline);
        let success = 1.0 - excess.min(MAX_FAILURE_RATE);
        let service_ms = candidate.current_service_ms(objective_ms);
        Self {
            slots: f64::from(candidate.slots.max(1)),
            service_ms,
            outstanding: f64::from(candidate.outstanding),
            fixed_ms: service_ms + penalty + candidate.delay_ms,
            failure_factor: success.powi(-3),
            limit: candidate.limit,
        }
    }

    /// Returns the expected time of one more request after `requests`.
    fn time_ms(&self, requests: f64) -> f64 {
        let occupancy = (requests / self.slots).min(1.0);
        let slowdown = SATURATION_SLOWDOWN * self.service_ms * occupancy.powi(3);
        let slot_wait = (requests + 1.0 - self.slots).max(0.0) * self.service_ms / self.slots;
        let limit_wait = self.limit.map_or(0.0, |limit| {
            let room = limit.room - (requests - self.outstanding);
            Limit { room, ..limit }.wait_ms()
        });
        let wait = slot_wait.max(limit_wait);
        (self.fixed_ms + slowdown + wait) * self.failure_factor
    }

    /// Returns the number of requests beyond the present ones after which the expected time reaches a
    /// level.
    fn room(&self, level_ms: f64) -> f64 {
        let spare = level_ms / self.failure_factor - self.fixed_ms;
        if spare <= 0.0 {
            return 0.0;
        }
        let slowdown = SATURATION_SLOWDOWN * self.service_ms;
        let total = if spare < slowdown {
            self.slots * (spare / slowdown).cbrt()
        } else {
            self.slots + (spare - slowdown) * self.slots / self.service_ms
        };
        let room = (total - self.outstanding).max(0.0);
        match self.limit {
            None => room,
            Some(limit) => room.min((limit.room + spare * limit.rate / 1000.0).max(0.0)),
        }
    }
}

fn sample(candidates: &[Candidate], rng: &mut impl Rng) -> Vec<usize> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    if all.len() <= SAMPLE_SIZE {
        return all;
    }
    let (mut same_domain, mut other_domains): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|&i| candidates[i].same_domain);
    same_domain.shuffle(rng);
    other_domains.shuffle(rng);
    let same_count = same_domain
        .len()
        .min((SAMPLE_SIZE / 2).max(SAMPLE_SIZE.saturating_sub(other_domains.len())));
    same_domain.truncate(same_count);
    other_domains.truncate(SAMPLE_SIZE - same_count);
    same_domain.extend(other_domains);
    same_domain
}
