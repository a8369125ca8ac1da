//! Retry budget: limits how many requests an entry node may retry.
//!
//! Retries that grow with failures overload a server that is merely slow. The budget is a share of
//! recent successes, plus a small minimum that lets services with little traffic retry at all.

use std::collections::VecDeque;
use std::time;

use crate::state::clock;

/// Sliding window over which successes and retries are counted.
pub const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Retries per window that are allowed without any successes.
pub const MIN_RETRIES: u64 = 10;

/// Length of the buckets of the window.
const BUCKET_LENGTH: time::Duration = time::Duration::from_secs(1);

/// Retry budget of one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u32,
    buckets: VecDeque<Bucket>,
    successes: u64,
    retries: u64,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: clock::Instant,
    successes: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` retries per 100 successes.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        Self {
            percent,
            buckets: VecDeque::new(),
            successes: 0,
            retries: 0,
        }
    }

    /// Sets the number of retries per 100 successes.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Records a success.
    pub fn record_success(&mut self, now: clock::Instant) {
        self.current_bucket(now).successes += 1;
        self.successes += 1;
    }

    /// Takes a retry from the budget; returns whether one was left.
    #[must_use]
    pub fn try_retry(&mut self, now: clock::Instant) -> bool {
        self.expire(now);
        let share = self.successes * u64::from(self.percent) / 100;
        if self.retries >= share + MIN_RETRIES {
            return false;
        }
        self.current_bucket(now).retries += 1;
        self.retries += 1;
        true
    }

    fn current_bucket(&mut self, now: clock::Instant) -> &mut Bucket {
        self.expire(now);
        let is_current = self
            .buckets
            .back()
            .is_some_and(|s| now.since(s.start) < BUCKET_LENGTH);
        if !is_current {
            self.buckets.push_back(Bucket {
                start: now,
                successes: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was added if there was none")
    }

    /// Drops the buckets that have left the window.
    fn expire(&mut self, now: clock::Instant) {
        while let Some(bucket) = self.buckets.front()
            && now.since(bucket.start) > WINDOW
        {
            self.successes -= bucket.successes;
            self.retries -= bucket.retries;
            self.buckets.pop_front();
        }
    }
}
