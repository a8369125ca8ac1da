//! Evidence that a request crashes the backend servers that run it.

use std::time::Duration;

use crate::state::fingerprint::Fingerprint;

/// Crashes of backend servers under one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Lives of backend servers that broke off under it.
    pub lives: Vec<u64>,
    /// Number of runs under a permit that broke off.
    pub strikes: u32,
}

impl CrashEvidence {
    /// Returns whether this evidence includes all of another one.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        self.strikes >= other.strikes && other.lives.iter().all(|l| self.lives.contains(l))
    }
}

/// Request with evidence, which may be recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recordable {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Crashes under it.
    pub evidence: CrashEvidence,
    /// Time since the last crash.
    pub age: Duration,
}
