//! Failure rates of backend servers, from their responses.
//!
//! Health checks and heartbeats can succeed while every request fails, so the failure rate decides
//! where requests go. A backend server also fails requests when a service that it depends on fails.
//! That affects all backend servers of its service alike, so only the excess over the baseline of
//! the service counts against one.

use crate::coordination::sidecar::service_times::Completion;
use crate::protocol::mesh::{Cause, Response};
use crate::transport::sidecar::backend::SendError;

/// Status of a request whose deadline passed at the backend server; it indicates load rather than
/// failure.
const DEADLINE_STATUS: u16 = 504;

/// The baseline is the rate that one in this many backend servers of a service stays below.
const BASELINE_DIVISOR: usize = 4;

/// Returns whether a response with this status counts as a failure of its backend server.
#[must_use]
pub fn is_failure(status: u16) -> bool {
    status >= 500 && status != DEADLINE_STATUS
}

/// Classifies a result for the measurement of service times.
#[must_use]
pub fn completion(result: &Result<Response, SendError>) -> Completion {
    match result {
        Ok(r) if r.status < 500 => Completion::Answered,
        // Failures are often immediate and would make a failing backend server look fast.
        Ok(r) if is_failure(r.status) => Completion::Failed,
        // Deadline passed, here or at the backend server.
        Ok(_) | Err(SendError::Unknown(Cause::Timeout | Cause::Endless)) => Completion::Interrupted,
        Err(_) => Completion::Failed,
    }
}

/// Returns the baseline failure rate of the backend servers of one service.
#[must_use]
pub fn baseline(rates: impl IntoIterator<Item = f64>) -> f64 {
    let mut rates: Vec<f64> = rates.into_iter().collect();
    rates.sort_by(f64::total_cmp);
    let index = rates.len().saturating_sub(1) / BASELINE_DIVISOR;
    rates.get(index).copied().unwrap_or(0.0)
}

/// Returns the failure rate of one backend server in excess of the baseline.
#[must_use]
pub fn excess(rate: f64, baseline: f64) -> f64 {
    (rate - baseline).max(0.0)
}
