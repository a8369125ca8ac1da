//! Choice of a backend server for a request that any of a service may run.
//!
//! Each candidate gets the time that the request is expected to take there: its wait, its run time
//! and what a failure would cost. The load that a node reported is corrected by what this node has
//! sent there since.

use rand::Rng;
use rand::seq::SliceRandom;

use crate::coordination::sidecar::failure_rate;
use crate::coordination::sidecar::service_times;

/// Extra time for a candidate in another failure domain, as a share of the latency objective;
/// traffic between failure domains is paid for, and a bit of latency within the objective is not.
const CROSSING: f64 = 0.05;

/// Candidates that are compared, at most; half of them near ones if there are enough. Reports are
/// up to some hundred milliseconds old, and nodes that all chose the best of many would meet there.
const COMPARED: usize = 6;

/// Weight of a nearly full backend server, which is slower than its mean run time says.
const CROWDING: f64 = 0.5;

/// Largest random factor on an estimate; keeps nodes with the same reports from choosing alike.
const SPREAD: f64 = 0.1;

/// Share of failures above which a candidate counts as failing all the time.
const WORST_SHARE: f64 = 0.9;

/// Backend server that may run a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// Requests that it runs or that wait for it: as reported, and sent there since.
    pub outstanding: u16,
    /// Mean run time in milliseconds, 0 if it isn't known.
    pub service_ms: f64,
    /// Share of failed requests, 0 to 1.
    pub failure_rate: f64,
    /// Delay of calls on their way there, in milliseconds.
    pub delay_ms: f64,
    /// Whether it has just started.
    pub warming: bool,
    /// Whether it is in the failure domain of this node.
    pub same_domain: bool,
}

impl Candidate {
    /// Returns the expected time until the answer, in milliseconds, with the extra time for one in
    /// another failure domain.
    #[must_use]
    pub fn expected_ms(&self, objective_ms: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let mut run = match self.service_ms {
            ms if ms > 0.0 => ms,
            _ => service_times::INITIAL_SHARE * objective_ms,
        };
        if self.warming {
            run *= service_times::WARMUP_FACTOR;
        }
        let ahead = f64::from(self.outstanding);
        let full = (ahead / slots).min(1.0);
        let wait = (ahead + 1.0 - slots).max(0.0) * run / slots;
        let crossing = if self.same_domain {
            0.0
        } else {
            CROSSING * objective_ms
        };
        let once = run * (1.0 + CROWDING * full.powi(3)) + wait + crossing + self.delay_ms;
        let success = 1.0 - self.failure_rate.min(WORST_SHARE);
        once / (success * success * success)
    }
}

/// Returns the index of the candidate with the shortest expected time, among a sample if there are
/// many.
pub fn pick(candidates: &[Candidate], objective_ms: f64, rng: &mut impl Rng) -> Option<usize> {
    let sample = sample(candidates, rng);
    let usual = failure_rate::baseline(candidates.iter().map(|c| c.failure_rate));
    let mut best: Option<(usize, f64)> = None;
    for i in sample {
        let spread = 1.0 + SPREAD * rng.random::<f64>();
        let blamed = Candidate {
            failure_rate: failure_rate::excess(candidates[i].failure_rate, usual),
            ..candidates[i]
        };
        let ms = blamed.expected_ms(objective_ms) * spread;
        if best.is_none_or(|(_, least)| ms < least) {
            best = Some((i, ms));
        }
    }
    best.map(|(i, _)| i)
}

fn sample(candidates: &[Candidate], rng: &mut impl Rng) -> Vec<usize> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    if all.len() <= COMPARED {
        return all;
    }
    let (mut near, mut far): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|&i| candidates[i].same_domain);
    near.shuffle(rng);
    far.shuffle(rng);
    let close = near
        .len()
        .min((COMPARED / 2).max(COMPARED.saturating_sub(far.len())));
    near.truncate(close);
    far.truncate(COMPARED - close);
    near.extend(far);
    near
}
