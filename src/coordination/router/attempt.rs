//! Repeated attempts of a request until its outcome is final.
//!
//! "Not run" is a guarantee: once an attempt may have run, no later refusal makes the request "not
//! run". A non-idempotent request with an identifier of the caller may have run in an earlier call,
//! and only an owner that has checked its outcome log can rule that out.

use std::pin::pin;
use std::sync::Arc;
use std::{future, time};

use rand::Rng;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::coordination::node;
use crate::coordination::router::{HeldGuard, ValidRequest, send, spread};
use crate::protocol::peer;
use crate::state::{clock, ids, timing};

/// Maximum number of requests that wait for an owner.
const MAX_HELD: usize = 1024;

/// Percentage of the remaining time that a request may wait for an owner, so that the caller is
/// refused before its deadline and has time to react.
const HOLD_PERCENT: u32 = 80;

/// First delay before an owner is retried without a new record.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(25);

/// Longest delay before an owner is retried without a new record.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// Time to wait for an answer after the slice has moved to another owner. The backend server of the
/// old owner stops work with its lease, so only an answer in transit can still arrive.
const MOVED_GRACE: time::Duration = time::Duration::from_millis(50);

/// Retry delay for a request whose slice has no owner; about the usual time until one is assigned.
const OWNER_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Routes a request until its outcome is final.
pub async fn route(
    node: &Arc<node::Node>,
    req: ValidRequest,
    cancel: &CancellationToken,
) -> peer::Outcome {
    if !req.deadline.is_ahead() {
        let expired = refusal(peer::NotRunReason::Expired, time::Duration::ZERO);
        return final_outcome(&req, None, expired);
    }
    let outcome = match req.hash {
        Some(hash) => OwnedRequest::new(node, &req, hash, cancel).run().await,
        None => spread::run(node, &req, cancel).await,
    };
    if matches!(outcome, peer::Outcome::Answered(_)) {
        node.router.record_success(&req.service, req.retry_percent);
    }
    outcome
}

/// Builds a refusal.
pub const fn refusal(reason: peer::NotRunReason, retry_after: time::Duration) -> peer::NotRun {
    peer::NotRun {
        reason,
        retry_after,
    }
}

/// Returns the final outcome after a last refusal, given whether an attempt may have run.
pub fn final_outcome(
    req: &ValidRequest,
    maybe_ran: Option<peer::UnknownReason>,
    refusal: peer::NotRun,
) -> peer::Outcome {
    if let Some(reason) = maybe_ran {
        return peer::Outcome::Unknown(reason);
    }
    let cannot_have_run = req.fresh || req.idempotent;
    if cannot_have_run || implies_log_check(refusal.reason) {
        peer::Outcome::NotRun(refusal)
    } else {
        peer::Outcome::Unknown(peer::UnknownReason::OwnerLost)
    }
}

/// Returns whether an owner gives this reason only after it has checked its outcome log.
const fn implies_log_check(reason: peer::NotRunReason) -> bool {
    match reason {
        peer::NotRunReason::Overloaded
        | peer::NotRunReason::Shed
        | peer::NotRunReason::Draining
        | peer::NotRunReason::Cold
        | peer::NotRunReason::Fenced
        | peer::NotRunReason::Cancelled => true,
        peer::NotRunReason::NotOwner
        | peer::NotRunReason::Moving
        | peer::NotRunReason::NoOwner
        | peer::NotRunReason::Unreachable
        | peer::NotRunReason::Expired
        | peer::NotRunReason::Barred
        | peer::NotRunReason::RetryBudget
        | peer::NotRunReason::Incarnation => false,
    }
}

/// Returns whether a retry may succeed once the slice has another owner or its owner is ready.
const fn is_transient(reason: peer::NotRunReason) -> bool {
    match reason {
        peer::NotRunReason::NotOwner
        | peer::NotRunReason::Moving
        | peer::NotRunReason::NoOwner
        | peer::NotRunReason::Draining
        | peer::NotRunReason::Cold
        | peer::NotRunReason::Unreachable
        | peer::NotRunReason::Fenced
        | peer::NotRunReason::Barred
        | peer::NotRunReason::Incarnation => true,
        peer::NotRunReason::Overloaded
        | peer::NotRunReason::Shed
        | peer::NotRunReason::Expired
        | peer::NotRunReason::Cancelled
        | peer::NotRunReason::RetryBudget => false,
    }
}

/// Routing state of a request that only the owner of its slice may run.
struct OwnedRequest<'a> {
    node: &'a Arc<node::Node>,
    req: &'a ValidRequest,
    hash: ids::KeyHash,
    cancel: &'a CancellationToken,
    changes: watch::Receiver<u64>,
    wait_deadline: clock::Instant,
    backoff: time::Duration,
    held: Option<HeldGuard<'a>>,
    maybe_ran: Option<peer::UnknownReason>,
}

/// Next step after an attempt.
enum NextStep {
    Done(peer::Outcome),
    Retry(peer::NotRun),
}

impl<'a> OwnedRequest<'a> {
    fn new(
        node: &'a Arc<node::Node>,
        req: &'a ValidRequest,
        hash: ids::KeyHash,
        cancel: &'a CancellationToken,
    ) -> Self {
        let max_wait = (req.deadline.left() * HOLD_PERCENT / 100).min(timing::OWNER_WAIT);
        Self {
            node,
            req,
            hash,
            cancel,
            changes: node.records.changes(),
            wait_deadline: clock::Instant::now() + max_wait,
            backoff: INITIAL_BACKOFF,
            held: None,
            maybe_ran: None,
        }
    }

    async fn run(mut self) -> peer::Outcome {
        loop {
            self.changes.mark_unchanged();
            let refusal = match self.owner() {
                Some(owner) => match self.attempt(owner).await {
                    NextStep::Done(outcome) => return outcome,
                    NextStep::Retry(refusal) => refusal,
                },
                None => refusal(peer::NotRunReason::NoOwner, OWNER_RETRY_DELAY),
            };
            if !self.wait_for_retry().await {
                if self.cancel.is_cancelled() {
                    return self.cancelled_outcome(send::cancelled_before_send(self.req));
                }
                return final_outcome(self.req, self.maybe_ran, refusal);
            }
        }
    }

    fn owner(&self) -> Option<ids::NodeRef> {
        let partition = ids::PartitionId::first(&self.req.service);
        let record = self.node.records.get(&partition)?;
        record.slice_at(self.hash)?.owner
    }

    async fn attempt(&mut self, owner: ids::NodeRef) -> NextStep {
        let attempt = ids::AttemptId::create();
        let sent = {
            let mut exchange = pin!(self.send_and_recover(owner, attempt));
            tokio::select! {
                sent = &mut exchange => sent,
                () = self.owner_changed(owner) => tokio::time::timeout(MOVED_GRACE, exchange)
                    .await
                    .unwrap_or(send::SendResult::Lost),
            }
        };
        match sent {
            send::SendResult::Outcome(outcome, _) => self.evaluate(outcome),
            send::SendResult::Unsent => {
                NextStep::Retry(refusal(peer::NotRunReason::Unreachable, OWNER_RETRY_DELAY))
            }
            send::SendResult::Cancelled(outcome) => NextStep::Done(self.cancelled_outcome(outcome)),
            send::SendResult::Lost if self.req.idempotent => {
                self.retry_if_allowed(self.lost_reason())
            }
            send::SendResult::Lost => NextStep::Done(peer::Outcome::Unknown(self.lost_reason())),
        }
    }

    /// Sends an attempt, and queries the outcome of a non-idempotent one that is not answered.
    async fn send_and_recover(
        &self,
        owner: ids::NodeRef,
        attempt: ids::AttemptId,
    ) -> send::SendResult {
        let sent = send::send(self.node, owner, self.req, attempt, self.cancel).await;
        if self.req.idempotent || !matches!(sent, send::SendResult::Lost) {
            return sent;
        }
        let outcome = self.recover(owner, attempt).await;
        outcome.map_or(send::SendResult::Lost, |o| {
            send::SendResult::Outcome(o, None)
        })
    }

    /// Waits until the newest record names another owner. An owner finishes its requests before it
    /// releases a slice, so if the slice moves during a request, the owner has lost its lease.
    async fn owner_changed(&self, owner: ids::NodeRef) {
        let mut changes = self.node.records.changes();
        while self.owner().is_none_or(|o| o == owner) {
            if changes.changed().await.is_err() {
                return future::pending().await;
            }
        }
    }

    async fn recover(&self, owner: ids::NodeRef, attempt: ids::AttemptId) -> Option<peer::Outcome> {
        let recovery = send::recover(self.node, owner, self.req, attempt);
        tokio::select! {
            outcome = recovery => outcome,
            () = self.cancel.cancelled() => None,
        }
    }

    fn lost_reason(&self) -> peer::UnknownReason {
        if self.req.deadline.is_ahead() {
            peer::UnknownReason::OwnerLost
        } else {
            peer::UnknownReason::Timeout
        }
    }

    fn cancelled_outcome(&self, outcome: peer::Outcome) -> peer::Outcome {
        match outcome {
            peer::Outcome::NotRun(refusal) => final_outcome(self.req, self.maybe_ran, refusal),
            other => other,
        }
    }

    fn evaluate(&mut self, outcome: peer::Outcome) -> NextStep {
        match outcome {
            peer::Outcome::NotRun(refusal) if is_transient(refusal.reason) => {
                NextStep::Retry(refusal)
            }
            peer::Outcome::NotRun(refusal) => {
                NextStep::Done(final_outcome(self.req, self.maybe_ran, refusal))
            }
            peer::Outcome::Unknown(reason) if self.req.idempotent => self.retry_if_allowed(reason),
            peer::Outcome::Answered(_) | peer::Outcome::Unknown(_) => NextStep::Done(outcome),
        }
    }

    /// Retries an idempotent request that may have run, if the retry budget allows it.
    fn retry_if_allowed(&mut self, reason: peer::UnknownReason) -> NextStep {
        self.maybe_ran = Some(reason);
        let router = &self.node.router;
        if self.req.deadline.is_ahead()
            && router.try_retry(&self.req.service, self.req.retry_percent)
        {
            return NextStep::Retry(refusal(peer::NotRunReason::NoOwner, OWNER_RETRY_DELAY));
        }
        NextStep::Done(peer::Outcome::Unknown(reason))
    }

    /// Waits until the next attempt is due; returns `false` if there should be none.
    async fn wait_for_retry(&mut self) -> bool {
        if !self.wait_deadline.is_ahead() {
            return false;
        }
        if self.held.is_none() {
            self.held = self.node.router.hold(MAX_HELD);
        }
        if self.held.is_none() {
            return false;
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        let delay = self.backoff.mul_f64(jitter).min(self.wait_deadline.left());
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        tokio::select! {
            changed = self.changes.changed() => {
                if changed.is_err() {
                    return false;
                }
            }
            () = tokio::time::sleep(delay) => {}
            () = self.cancel.cancelled() => return false,
        }
        self.wait_deadline.is_ahead()
    }
}
