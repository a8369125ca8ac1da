//! Synthetic workloads: key distributions and request schedules.

use std::{str, time};

use rand::{Rng, SeedableRng, rngs};

/// Maximum number of keys in a workload; limits the memory of a sampler.
const MAX_KEYS: usize = 1 << 22;

/// Distribution of requests over keys.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum KeyDistribution {
    /// All keys are equally likely.
    Uniform,
    /// Zipf distribution: the frequency of the key at rank r is proportional to r^-e, where e is this
    /// exponent.
    Zipf(f64),
    /// The first keys get a fixed share of all requests, and the other keys get the rest.
    Hot {
        /// Number of hot keys.
        keys: usize,
        /// Share of requests for the hot keys, from 0 to 1.
        share: f64,
    },
}

impl str::FromStr for KeyDistribution {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let usage = || format!("expected uniform, zipf:EXPONENT or hot:KEYS:SHARE, found {s}");
        let mut parts = s.split(':');
        let distribution = match (parts.next(), parts.next(), parts.next(), parts.next()) {
            (Some("uniform"), None, None, None) => Self::Uniform,
            (Some("zipf"), Some(e), None, None) => Self::Zipf(e.parse().map_err(|_| usage())?),
            (Some("hot"), Some(keys), Some(share), None) => Self::Hot {
                keys: keys.parse().map_err(|_| usage())?,
                share: share.parse().map_err(|_| usage())?,
            },
            _ => return Err(usage()),
        };
        let valid = match distribution {
            Self::Uniform => true,
            Self::Zipf(e) => (0.0..=10.0).contains(&e),
            Self::Hot { keys, share } => keys > 0 && (0.0..=1.0).contains(&share),
        };
        valid.then_some(distribution).ok_or_else(usage)
    }
}

/// Samples keys from a distribution.
#[derive(Debug, Clone)]
pub struct KeySampler {
    /// Cumulative weight up to and including each key.
    sums: Vec<f64>,
}

impl KeySampler {
    /// Creates a sampler over `count` keys.
    ///
    /// # Errors
    ///
    /// Returns a message if there are no keys or too many.
    pub fn new(count: usize, distribution: KeyDistribution) -> Result<Self, String> {
        if !(1..=MAX_KEYS).contains(&count) {
            return Err(format!("expected 1 to {MAX_KEYS} keys, found {count}"));
        }
        let weight = |i: usize| match distribution {
            KeyDistribution::Uniform => 1.0,
            KeyDistribution::Zipf(e) => ((i + 1) as f64).powf(-e),
            KeyDistribution::Hot { keys, share } => {
                let hot = keys.min(count);
                if i < hot {
                    share / hot as f64
                } else {
                    (1.0 - share) / (count - hot) as f64
                }
            }
        };
        let mut sum = 0.0;
        let sums = (0..count).map(|i| {
            sum += weight(i);
            sum
        });
        Ok(Self {
            sums: sums.collect(),
        })
    }

    /// Samples the index of a key.
    pub fn sample(&self, rng: &mut rngs::StdRng) -> usize {
        let total = self.sums.last().copied().unwrap_or_default();
        let point = rng.random_range(0.0..total);
        let last = self.sums.len() - 1;
        self.sums.partition_point(|s| *s <= point).min(last)
    }

    /// Returns the share of requests that a key gets.
    #[must_use]
    pub fn share(&self, key: usize) -> f64 {
        let total = self.sums.last().copied().unwrap_or_default();
        let before = key.checked_sub(1).map_or(0.0, |i| self.sums[i]);
        (self.sums[key] - before) / total
    }
}

/// Scheduled request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedRequest {
    /// Scheduled time, relative to the start of the run.
    pub due: time::Duration,
    /// Index of its key.
    pub key: usize,
    /// Whether it is a write, which must not run twice.
    pub write: bool,
}

/// Generates a schedule of Poisson arrivals, which models many independent callers.
#[must_use]
pub fn schedule(
    sampler: &KeySampler,
    rate: f64,
    length: time::Duration,
    write_share: f64,
    seed: u64,
) -> Vec<PlannedRequest> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at -= uniform.ln() / rate;
        if at >= length.as_secs_f64() {
            return requests;
        }
        requests.push(PlannedRequest {
            due: time::Duration::from_secs_f64(at),
            key: sampler.sample(&mut rng),
            write: rng.random_bool(write_share),
        });
    }
}
