//! Requests a second for each key, with exponential decay.

use std::time::Duration;

use crate::state::clock::Instant;
use crate::state::keyspace::{KEY_COUNT, Key};

/// Time in which an old rate falls to about a third; shorter than the hot periods of the workloads.
const DECAY: Duration = Duration::from_secs(2);

/// Number of keys in one bucket of a report.
pub const BUCKET_KEYS: usize = 64;

/// Most keys that a report lists singly.
const SINGLES: usize = 24;

/// Rate from which a key is listed singly, in requests a second.
const SINGLE_RATE: f32 = 2.0;

/// Rates of the keys that one backend server serves.
#[derive(Debug)]
pub struct KeyRates {
    rates: Vec<f32>,
    swept: Instant,
}

/// Rates as they are sent to the planner.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KeyRateReport {
    /// Bucket and its rate without the single keys.
    pub buckets: Vec<(u16, f32)>,
    /// Key and its rate.
    pub singles: Vec<(Key, f32)>,
}

impl KeyRates {
    /// Creates rates of zero.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            rates: Vec::new(),
            swept: now,
        }
    }

    /// Counts a request.
    pub fn record(&mut self, key: Key) {
        if self.rates.is_empty() {
            self.rates.resize(KEY_COUNT, 0.0);
        }
        self.rates[usize::from(key)] += 1.0 / DECAY.as_secs_f32();
    }

    /// Lets the rates decay and reports them.
    pub fn report(&mut self, now: Instant) -> KeyRateReport {
        let fade = (-(now.since(self.swept).as_secs_f32() / DECAY.as_secs_f32())).exp();
        self.swept = now;
        let mut report = KeyRateReport::default();
        for (i, bucket) in self.rates.chunks_mut(BUCKET_KEYS).enumerate() {
            let mut sum = 0.0;
            for (j, rate) in bucket.iter_mut().enumerate() {
                if *rate == 0.0 {
                    continue;
                }
                *rate *= fade;
                if *rate < 1e-3 {
                    *rate = 0.0;
                }
                if *rate >= SINGLE_RATE {
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
        for (key, rate) in report.singles.split_off(report.singles.len().min(SINGLES)) {
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
    /// Adds the reported rates to a map of all keys.
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
