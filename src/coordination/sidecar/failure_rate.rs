//! What the answers of backend servers say about them.
//!
//! Health checks and heartbeats can be good while every request fails, so the share of failed answers
//! decides where work goes. A backend server also answers with a failure when a call that it needs
//! fails elsewhere. That concerns all of its service alike, so only what is beyond the usual share
//! counts against one.

use crate::coordination::sidecar::service_times::Completion;
use crate::protocol::mesh::{Cause, Response};
use crate::transport::sidecar::backend::SendError;

/// Status of a backend server that ran out of the request's time, which says more about its load.
const OUT_OF_TIME: u16 = 504;

/// One in so many backend servers of a service may do better than what is taken as usual.
const BETTER: usize = 4;

/// Returns whether an answer with this status counts as a failure of its backend server.
#[must_use]
pub fn is_failure(status: u16) -> bool {
    status >= 500 && status != OUT_OF_TIME
}

/// Returns what a result says about the time that a run takes.
#[must_use]
pub fn completion(done: &Result<Response, SendError>) -> Completion {
    match done {
        Ok(r) if r.status < 500 => Completion::Answered,
        // Failures often come at once and would make a failing backend server look fast.
        Ok(r) if is_failure(r.status) => Completion::Failed,
        // Out of time, here or at the backend server.
        Ok(_) | Err(SendError::Unknown(Cause::Timeout | Cause::Endless)) => Completion::Interrupted,
        Err(_) => Completion::Failed,
    }
}

/// Returns the share of failures that is usual among backend servers of one service.
#[must_use]
pub fn baseline(shares: impl IntoIterator<Item = f64>) -> f64 {
    let mut shares: Vec<f64> = shares.into_iter().collect();
    shares.sort_by(f64::total_cmp);
    let at = shares.len().saturating_sub(1) / BETTER;
    shares.get(at).copied().unwrap_or(0.0)
}

/// Returns the share of failures that one backend server is to be blamed for.
#[must_use]
pub fn excess(share: f64, usual: f64) -> f64 {
    (share - usual).max(0.0)
}
