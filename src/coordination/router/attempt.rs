//! Attempts of a request until the caller can be told its outcome.
//!
//! "Not run" is a proof: once an attempt may have run, no later refusal makes the request "not
//! run". For a non-idempotent request with the caller's own identifier, an earlier call may have
//! run it, and only an owner that has looked into its log can say that it did not.

use std::pin::pin;
use std::sync::Arc;
use std::{future, time};

use rand::Rng;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::coordination::node;
use crate::coordination::router::{Accepted, Held, send, spread};
use crate::protocol::peer;
use crate::state::{clock, ids, timing};

/// Requests that wait for an owner at once.
const MAX_HELD: usize = 1024;

/// Share of the remaining time for which a request waits for an owner, in percent. The rest is
/// left to the caller, who is told early and not when its deadline is over.
const HOLD_PERCENT: u32 = 80;

/// First pause before an owner is asked again although no new record has come.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(25);

/// Longest such pause.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Time for which an answer is still awaited after another owner was named. Work at the backend
/// server of the old owner ends with its lease, so that only an answer on its way is missing.
const MOVED_GRACE: time::Duration = time::Duration::from_millis(50);

/// Advice when to retry a request whose slice has no owner; about the time until an owner is
/// found in the common cases.
const OWNER_RETRY: time::Duration = time::Duration::from_millis(500);

/// Routes a request until its outcome is final.
pub async fn route(
    node: &Arc<node::Node>,
    req: Accepted,
    cancel: &CancellationToken,
) -> peer::Outcome {
    if !req.deadline.is_ahead() {
        let expired = refusal(peer::NotRunReason::Expired, time::Duration::ZERO);
        return conclude(&req, None, expired);
    }
    let outcome = match req.hash {
        Some(hash) => Owned::new(node, &req, hash, cancel).run().await,
        None => spread::run(node, &req, cancel).await,
    };
    if matches!(outcome, peer::Outcome::Answered(_)) {
        node.router.record_success(&req.service, req.percent);
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

/// Turns the last refusal into the final outcome, given whether an attempt may have run.
pub fn conclude(
    req: &Accepted,
    maybe_ran: Option<peer::UnknownReason>,
    refusal: peer::NotRun,
) -> peer::Outcome {
    if let Some(reason) = maybe_ran {
        return peer::Outcome::Unknown(reason);
    }
    let first = req.fresh || req.idempotent;
    if first || knows_log(refusal.reason) {
        peer::Outcome::NotRun(refusal)
    } else {
        peer::Outcome::Unknown(peer::UnknownReason::OwnerLost)
    }
}

/// Returns whether an owner refuses for this reason only after it has looked into its log.
const fn knows_log(reason: peer::NotRunReason) -> bool {
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

/// Returns whether the request may succeed once its slice has another owner or the owner is ready.
const fn is_passing(reason: peer::NotRunReason) -> bool {
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

/// Request that only the owner of its slice may run.
struct Owned<'a> {
    node: &'a Arc<node::Node>,
    req: &'a Accepted,
    hash: ids::KeyHash,
    cancel: &'a CancellationToken,
    changes: watch::Receiver<u64>,
    give_up: clock::Instant,
    pause: time::Duration,
    held: Option<Held<'a>>,
    maybe_ran: Option<peer::UnknownReason>,
}

/// What follows after an attempt.
enum Next {
    Done(peer::Outcome),
    Again(peer::NotRun),
}

impl<'a> Owned<'a> {
    fn new(
        node: &'a Arc<node::Node>,
        req: &'a Accepted,
        hash: ids::KeyHash,
        cancel: &'a CancellationToken,
    ) -> Self {
        let patience = (req.deadline.left() * HOLD_PERCENT / 100).min(timing::OWNER_WAIT);
        Self {
            node,
            req,
            hash,
            cancel,
            changes: node.records.changes(),
            give_up: clock::Instant::now() + patience,
            pause: FIRST_PAUSE,
            held: None,
            maybe_ran: None,
        }
    }

    async fn run(mut self) -> peer::Outcome {
        loop {
            self.changes.mark_unchanged();
            let refusal = match self.owner() {
                Some(owner) => match self.attempt(owner).await {
                    Next::Done(outcome) => return outcome,
                    Next::Again(refusal) => refusal,
                },
                None => refusal(peer::NotRunReason::NoOwner, OWNER_RETRY),
            };
            if !self.wait().await {
                if self.cancel.is_cancelled() {
                    return self.cancelled(send::withdrawn(self.req));
                }
                return conclude(self.req, self.maybe_ran, refusal);
            }
        }
    }

    fn owner(&self) -> Option<ids::NodeRef> {
        let partition = ids::PartitionId::first(&self.req.service);
        let record = self.node.records.get(&partition)?;
        record.slice_at(self.hash)?.owner
    }

    async fn attempt(&mut self, owner: ids::NodeRef) -> Next {
        let attempt = ids::AttemptId::create();
        let sent = {
            let mut exchange = pin!(self.exchange(owner, attempt));
            tokio::select! {
                sent = &mut exchange => sent,
                () = self.moved(owner) => tokio::time::timeout(MOVED_GRACE, exchange)
                    .await
                    .unwrap_or(send::Sent::Lost),
            }
        };
        match sent {
            send::Sent::Outcome(outcome, _) => self.judge(outcome),
            send::Sent::Unsent => {
                Next::Again(refusal(peer::NotRunReason::Unreachable, OWNER_RETRY))
            }
            send::Sent::Cancelled(outcome) => Next::Done(self.cancelled(outcome)),
            send::Sent::Lost if self.req.idempotent => self.repeat(self.lost()),
            send::Sent::Lost => Next::Done(peer::Outcome::Unknown(self.lost())),
        }
    }

    /// Sends an attempt, and recovers the outcome of a non-idempotent one if no answer comes.
    async fn exchange(&self, owner: ids::NodeRef, attempt: ids::AttemptId) -> send::Sent {
        let sent = send::send(self.node, owner, self.req, attempt, self.cancel).await;
        if self.req.idempotent || !matches!(sent, send::Sent::Lost) {
            return sent;
        }
        let outcome = self.recover(owner, attempt).await;
        outcome.map_or(send::Sent::Lost, |o| send::Sent::Outcome(o, None))
    }

    /// Waits until the newest record names another owner. An owner that releases a slice finishes
    /// its requests first, so that one whose slice has moved under a request has lost its lease.
    async fn moved(&self, owner: ids::NodeRef) {
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

    fn lost(&self) -> peer::UnknownReason {
        if self.req.deadline.is_ahead() {
            peer::UnknownReason::OwnerLost
        } else {
            peer::UnknownReason::Timeout
        }
    }

    fn cancelled(&self, outcome: peer::Outcome) -> peer::Outcome {
        match outcome {
            peer::Outcome::NotRun(refusal) => conclude(self.req, self.maybe_ran, refusal),
            other => other,
        }
    }

    fn judge(&mut self, outcome: peer::Outcome) -> Next {
        match outcome {
            peer::Outcome::NotRun(refusal) if is_passing(refusal.reason) => Next::Again(refusal),
            peer::Outcome::NotRun(refusal) => {
                Next::Done(conclude(self.req, self.maybe_ran, refusal))
            }
            peer::Outcome::Unknown(reason) if self.req.idempotent => self.repeat(reason),
            peer::Outcome::Answered(_) | peer::Outcome::Unknown(_) => Next::Done(outcome),
        }
    }

    /// Repeats an idempotent request that may have run, if the budget allows it.
    fn repeat(&mut self, reason: peer::UnknownReason) -> Next {
        self.maybe_ran = Some(reason);
        let budget = &self.node.router;
        if self.req.deadline.is_ahead() && budget.try_retry(&self.req.service, self.req.percent) {
            return Next::Again(refusal(peer::NotRunReason::NoOwner, OWNER_RETRY));
        }
        Next::Done(peer::Outcome::Unknown(reason))
    }

    /// Waits until another attempt makes sense; returns `false` if none does.
    async fn wait(&mut self) -> bool {
        if !self.give_up.is_ahead() {
            return false;
        }
        if self.held.is_none() {
            self.held = self.node.router.hold(MAX_HELD);
        }
        if self.held.is_none() {
            return false;
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        let pause = self.pause.mul_f64(jitter).min(self.give_up.left());
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        tokio::select! {
            changed = self.changes.changed() => {
                if changed.is_err() {
                    return false;
                }
            }
            () = tokio::time::sleep(pause) => {}
            () = self.cancel.cancelled() => return false,
        }
        self.give_up.is_ahead()
    }
}
