//! Exponentially decayed request rates per key.

use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::keyspace::{KEY_COUNT, Key};

/// Time constant of the decay; shorter than the hot periods of the workloads.
const DECAY: Duration = Duration::from_secs(2);

/// Number of keys per bucket of a report.
pub const BUCKET_KEYS: usize = 64;

/// Maximum number of keys that a report lists individually.
const MAX_SINGLES: usize = 24;

/// Rate from which a key is listed individually, in requests per second.
const MIN_SINGLE_RATE: f32 = 2.0;

/// Rates of the keys that one backend server serves; allocated with the first request.
#[derive(Debug)]
pub struct KeyRates {
    rates: Vec<f32>,
    decayed_at: Instant,
}

/// Report of key rates for the planner.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KeyRateReport {
    /// Buckets and their rates, without the keys listed individually.
    pub buckets: Vec<(u16, f32)>,
    /// Individual keys and their rates.
    pub singles: Vec<(Key, f32)>,
}

impl KeyRates {
    /// Creates an instance with all rates at zero.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            rates: Vec::new(),
            decayed_at: now,
        }
    }

    /// Records a request.
    pub fn record(&mut self, key: Key) {
        if self.rates.is_empty() {
            self.rates.resize(KEY_COUNT, 0.0);
        }
        self.rates[usize::from(key)] += 1.0 / DECAY.as_secs_f32();
    }

    /// Applies the decay since the last report and reports the rates.
    pub fn report(&mut self, now: Instant) -> KeyRateReport {
        let factor = (-(now.since(self.decayed_at).as_secs_f32() / DECAY.as_secs_f32())).exp();
        self.decayed_at = now;
        let mut report = KeyRateReport::default();
        for (i, bucket) in self.rates.chunks_mut(BUCKET_KEYS).enumerate() {
            let mut sum = 0.0;
            for (j, rate) in bucket.iter_mut().enumerate() {
                if *rate == 0.0 {
                    continue;
                }
                *rate *= factor;
                if *rate < 1e-3 {
                    *rate = 0.0;
                }
                if *rate >= MIN_SINGLE_RATE {
                    let key = Key::try_from(i * BUCKET_KEYS + j).unwrap_or(Key::MAX);
                    report.singles.push((key, *rate));
                } else {
                    sum += *rate;
                }
            }
            if sum > 0.01 {
                report
                    .buckets
                    .push((u16::try_from(i).unwrap_or(u16::MAX), sum));
            }
        }
        report.singles.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (key, rate) in report
            .singles
            .split_off(report.singles.len().min(MAX_SINGLES))
        {
            let bucket = key / u16::try_from(BUCKET_KEYS).unwrap_or(1);
            match report.buckets.iter_mut().find(|b| b.0 == bucket) {
                Some(b) => b.1 += rate,
                None => report.buckets.push((bucket, rate)),
            }
        }
        report
    }
}

impl KeyRateReport {
    /// Adds the reported rates to a vector with one rate per key; a bucket's rate is spread evenly.
    pub fn add_to(&self, rates: &mut [f32]) {
        for &(bucket, rate) in &self.buckets {
            let from = usize::from(bucket) * BUCKET_KEYS;
            let share = rate / BUCKET_KEYS as f32;
            for r in rates.iter_mut().skip(from).take(BUCKET_KEYS) {
                *r += share;
            }
        }
        for &(key, rate) in &self.singles {
            if let Some(r) = rates.get_mut(usize::from(key)) {
                *r += rate;
            }
        }
    }
}
