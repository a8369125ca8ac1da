//! Permit of a suspected request, and what its end tells the other nodes.

use std::time::Duration;

use tokio::sync::SemaphorePermit;

use crate::coordination::sidecar::isolation::Isolation;
use crate::state::clock::Instant;
use crate::state::fingerprint::Fingerprint;

/// Time for which a run that was cancelled holds its permit, since the backend server may still run it.
const CANCELLED_HOLD: Duration = Duration::from_secs(3);

/// Permit for one run, returned when dropped.
#[derive(Debug)]
pub struct Lease<'a> {
    pub(super) isolation: &'a Isolation,
    pub(super) _lane: SemaphorePermit<'a>,
    pub(super) request: Fingerprint,
    pub(super) run: u64,
    pub(super) stage: Stage,
}

/// Stage of the run of a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// It has not begun, or has ended without a crash or an answer.
    Open,
    /// The backend server may have begun to run it.
    Sent,
    /// The permit was denied, or other nodes know how the run has ended.
    Settled,
}

impl Lease<'_> {
    /// Marks the run as started, unless it may no longer start; returns whether it may.
    #[must_use]
    pub fn start(&mut self) -> bool {
        let quarantine = self.isolation.quarantine.borrow();
        let may_start = quarantine.may_start(self.request, self.run, Instant::now());
        if may_start {
            self.stage = Stage::Sent;
        }
        may_start
    }
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        let (request, run, now) = (self.request, self.run, Instant::now());
        match self.stage {
            Stage::Open => self.isolation.update(|q| q.record_end(request, run, now)),
            Stage::Sent => {
                let hold = CANCELLED_HOLD;
                self.isolation
                    .update(|q| q.record_run(request, run, hold, now));
            }
            Stage::Settled => {}
        }
    }
}
