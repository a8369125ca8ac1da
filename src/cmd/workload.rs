//! Workloads: which key is requested when.

use std::{str, time};

use rand::{Rng, SeedableRng, rngs};

/// Keys of one workload at most; bounds the memory of a distribution.
const MAX_KEYS: usize = 1 << 22;

/// How requests spread over keys.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum KeyDistribution {
    /// All keys alike.
    Uniform,
    /// Frequency of the key at rank r in proportion to r to the power of minus this.
    Zipf(f64),
    /// The first keys get a share of all requests, the others the rest.
    Hot {
        /// Number of hot keys.
        keys: usize,
        /// Share of requests, from 0 to 1.
        share: f64,
    },
}

impl str::FromStr for KeyDistribution {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let usage = || format!("expected uniform, zipf:EXPONENT or hot:KEYS:SHARE, found {s}");
        let mut parts = s.split(':');
        let spread = match (parts.next(), parts.next(), parts.next(), parts.next()) {
            (Some("uniform"), None, None, None) => Self::Uniform,
            (Some("zipf"), Some(e), None, None) => Self::Zipf(e.parse().map_err(|_| usage())?),
            (Some("hot"), Some(keys), Some(share), None) => Self::Hot {
                keys: keys.parse().map_err(|_| usage())?,
                share: share.parse().map_err(|_| usage())?,
            },
            _ => return Err(usage()),
        };
        let valid = match spread {
            Self::Uniform => true,
            Self::Zipf(e) => (0.0..=10.0).contains(&e),
            Self::Hot { keys, share } => keys > 0 && (0.0..=1.0).contains(&share),
        };
        valid.then_some(spread).ok_or_else(usage)
    }
}

/// Draws keys.
#[derive(Debug, Clone)]
pub struct KeySampler {
    /// Cumulative weight up to each key.
    sums: Vec<f64>,
}

impl KeySampler {
    /// Prepares a distribution over `count` keys.
    ///
    /// # Errors
    ///
    /// Returns a message if there are no keys or too many.
    pub fn new(count: usize, spread: KeyDistribution) -> Result<Self, String> {
        if !(1..=MAX_KEYS).contains(&count) {
            return Err(format!("expected 1 to {MAX_KEYS} keys, found {count}"));
        }
        let weight = |i: usize| match spread {
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

    /// Draws the number of a key.
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

/// One planned request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedRequest {
    /// When it is due, from the start of the run.
    pub due: time::Duration,
    /// Number of its key.
    pub key: usize,
    /// Whether it must not run twice.
    pub write: bool,
}

/// Plans requests with exponentially distributed gaps, as from many independent callers.
#[must_use]
pub fn schedule(
    keys: &KeySampler,
    rate: f64,
    length: time::Duration,
    writes: f64,
    seed: u64,
) -> Vec<PlannedRequest> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at -= uniform.ln() / rate;
        if at >= length.as_secs_f64() {
            return jobs;
        }
        jobs.push(PlannedRequest {
            due: time::Duration::from_secs_f64(at),
            key: keys.sample(&mut rng),
            write: rng.random_bool(writes),
        });
    }
}
