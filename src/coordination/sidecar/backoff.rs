//! Pauses between failed calls to the store.
//!
//! All calls are priced, refused ones too, and an outage meets all nodes at once. So pauses grow
//! while calls fail, and end early when another call of the node has been answered. The renewal of
//! the node's lease is cheap and keeps its own short interval: it finds out that the store is back.

use std::time::Duration;

use crate::transport::sidecar::store::StoreClient;

/// First pause after a failed call; doubles up to the longest one.
const FIRST: Duration = Duration::from_millis(150);

/// Longest pause; a node that can't renew a lease has no other way to find the store back.
const LONGEST: Duration = Duration::from_millis(1200);

/// Longest wait after the store's return before the next call, so that nodes don't call all at once.
const SPREAD: Duration = Duration::from_millis(150);

/// Pauses after calls that failed one after another.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Forgets the failures, after a call that was answered.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the pause after one more failed call; `luck`, from 0 to 1, spreads the nodes.
    pub fn next_delay(&mut self, luck: f64) -> Duration {
        let pause = FIRST.saturating_mul(1 << self.failures.min(8)).min(LONGEST);
        self.failures += 1;
        pause.mul_f64(0.7 + 0.3 * luck)
    }

    /// Sleeps after a failed call, until the store answers again at most.
    pub async fn wait(&mut self, store: &StoreClient) {
        let pause = self.next_delay(rand::random());
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = store.recovered.notified() => {
                tokio::time::sleep(SPREAD.mul_f64(rand::random())).await;
            }
        }
    }
}
