//! Back-off between failed calls to the store.
//!
//! Every call has a cost, rejected ones included, and an outage affects all nodes at once. So
//! delays grow while calls fail, and end early when another call of the node has been answered.
//! Renewing the node's lease is cheap and keeps its own short interval, so it detects the store's
//! recovery.

use std::time::Duration;

use crate::transport::sidecar::store::StoreClient;

/// Delay after the first failed call; it doubles up to `MAX_DELAY`.
const INITIAL_DELAY: Duration = Duration::from_millis(150);

/// Longest delay; a node that can't renew a lease detects the store's recovery by these calls only.
const MAX_DELAY: Duration = Duration::from_millis(1200);

/// Longest random delay between the store's recovery and the next call, so that nodes don't call
/// all at once.
const RECOVERY_JITTER: Duration = Duration::from_millis(150);

/// Exponential back-off with jitter, by the number of consecutive failures.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Resets the delay after a call that was answered.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call and returns the delay after it; `jitter` is a random number from 0 to
    /// 1.
    pub fn next_delay(&mut self, jitter: f64) -> Duration {
        let delay = INITIAL_DELAY
            .saturating_mul(1 << self.failures.min(8))
            .min(MAX_DELAY);
        self.failures += 1;
        delay.mul_f64(0.7 + 0.3 * jitter)
    }

    /// Sleeps after a failed call, for the delay or until the store has recovered.
    pub async fn wait(&mut self, store: &StoreClient) {
        let delay = self.next_delay(rand::random());
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = store.recovered.notified() => {
                tokio::time::sleep(RECOVERY_JITTER.mul_f64(rand::random())).await;
            }
        }
    }
}
