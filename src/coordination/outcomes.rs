//! Outcome log: what happened to recent requests, kept where they ran.

use crate::protocol::peer;
use crate::state::ids;

/// Recent outcomes of requests that ran here.
#[derive(Debug, Default)]
pub struct Outcomes {}

impl Outcomes {
    /// Returns the finished and unknown non-idempotent requests of a range of hashes.
    #[must_use]
    pub fn collect(
        &self,
        _partition: &ids::PartitionId,
        _from: ids::KeyHash,
        _to: ids::KeyHash,
    ) -> Vec<peer::Finished> {
        Vec::new()
    }

    /// Keeps outcomes that a previous owner handed over.
    pub fn keep(&self, _partition: &ids::PartitionId, _outcomes: Vec<peer::Finished>) {}

    /// Returns the time before which outcomes of a range may have been evicted.
    #[must_use]
    pub fn evicted_before(&self) -> std::time::Duration {
        std::time::Duration::ZERO
    }
}
