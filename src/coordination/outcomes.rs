//! Outcome log: what happened to recent non-idempotent requests, kept where they ran.
//!
//! The log answers a repeated identifier without running it again, and an entry that lost its
//! connection. It is bounded by time, by the number of entries and by the bytes of their answers.
//! An answer over the bound is dropped first, the entry stays, so that the request can't run again;
//! when an entry itself is evicted, every older identifier counts as possibly run.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use tokio::sync::watch;

use crate::protocol::peer;
use crate::state::{clock, ids, timing};

/// Entries and tombstones kept, each.
const MAX_ENTRIES: usize = 65_536;

/// Bytes of answers kept.
const MAX_BYTES: usize = 32 << 20;

/// Bytes of answers in a handover, which must fit one frame.
const MAX_HANDOVER: usize = 2 << 20;

/// Recent outcomes of requests that ran here.
#[derive(Debug)]
pub struct OutcomeLog {
    log: Arc<Mutex<Log>>,
}

/// LogLimits of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Time for which an outcome is kept.
    pub time: time::Duration,
    /// Entries kept.
    pub entries: usize,
    /// Bytes of answers kept.
    pub bytes: usize,
}

#[derive(Debug)]
struct Log {
    limits: LogLimits,
    entries: HashMap<ids::RequestId, Entry>,
    finished: VecDeque<(clock::Instant, ids::RequestId)>,
    answers: VecDeque<ids::RequestId>,
    bytes: usize,
    barred: HashMap<(ids::RequestId, ids::AttemptId), peer::NotRun>,
    bars: VecDeque<(clock::Instant, ids::RequestId, ids::AttemptId)>,
    evicted_before: time::Duration,
}

#[derive(Debug)]
struct Entry {
    partition: ids::PartitionId,
    hash: ids::KeyHash,
    state: State,
}

#[derive(Debug)]
enum State {
    Running(watch::Sender<Option<peer::Outcome>>),
    Finished(peer::Outcome),
}

/// Request about to run.
#[derive(Debug, Clone)]
pub struct Start {
    /// Partition of the slice.
    pub partition: ids::PartitionId,
    /// Hash by which it was placed.
    pub hash: ids::KeyHash,
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Identifier of the attempt.
    pub attempt: ids::AttemptId,
    /// Identifiers created before this time may have run under an earlier owner; zero for an
    /// identifier that can't have been used before.
    pub horizon: time::Duration,
}

/// What the log knows about a request that wants to run.
#[derive(Debug)]
pub enum StartDecision {
    /// It has not run; it counts as running until the guard is finished or dropped.
    Run(Running),
    /// It is running; the receiver gets its outcome.
    Wait(watch::Receiver<Option<peer::Outcome>>),
    /// It has an outcome.
    Done(peer::Outcome),
}

/// Entry of a running request.
#[derive(Debug)]
pub struct Running {
    log: Arc<Mutex<Log>>,
    id: ids::RequestId,
    attempt: ids::AttemptId,
    finished: bool,
}

impl Default for OutcomeLog {
    fn default() -> Self {
        Self::new(LogLimits {
            time: timing::OUTCOME_RETENTION,
            entries: MAX_ENTRIES,
            bytes: MAX_BYTES,
        })
    }
}

impl OutcomeLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new(limits: LogLimits) -> Self {
        Self {
            log: Arc::new(Mutex::new(Log {
                limits,
                entries: HashMap::new(),
                finished: VecDeque::new(),
                answers: VecDeque::new(),
                bytes: 0,
                barred: HashMap::new(),
                bars: VecDeque::new(),
                evicted_before: time::Duration::ZERO,
            })),
        }
    }

    /// Registers a request that wants to run.
    #[must_use]
    pub fn begin(&self, start: Start) -> StartDecision {
        let mut log = self.lock();
        log.expire(clock::Instant::now());
        if let Some(refusal) = log.barred.get(&(start.id, start.attempt)) {
            return StartDecision::Done(peer::Outcome::NotRun(*refusal));
        }
        match log.entries.get(&start.id).map(|e| &e.state) {
            Some(State::Running(sender)) => return StartDecision::Wait(sender.subscribe()),
            Some(State::Finished(outcome)) => return StartDecision::Done(outcome.clone()),
            None => {}
        }
        if start.id.time() < start.horizon.max(log.evicted_before) {
            let unknown = peer::Outcome::Unknown(peer::UnknownReason::Horizon);
            return StartDecision::Done(unknown);
        }
        let entry = Entry {
            partition: start.partition,
            hash: start.hash,
            state: State::Running(watch::Sender::new(None)),
        };
        log.entries.insert(start.id, entry);
        StartDecision::Run(Running {
            log: Arc::clone(&self.log),
            id: start.id,
            attempt: start.attempt,
            finished: false,
        })
    }

    /// Settles an attempt whose entry got no answer. An attempt that never arrived is barred, so
    /// that it can't run if it arrives later.
    #[must_use]
    pub fn resolve(&self, id: ids::RequestId, attempt: ids::AttemptId) -> StartDecision {
        let mut log = self.lock();
        let now = clock::Instant::now();
        log.expire(now);
        if let Some(refusal) = log.barred.get(&(id, attempt)) {
            return StartDecision::Done(peer::Outcome::NotRun(*refusal));
        }
        match log.entries.get(&id).map(|e| &e.state) {
            Some(State::Running(sender)) => return StartDecision::Wait(sender.subscribe()),
            Some(State::Finished(outcome)) => return StartDecision::Done(outcome.clone()),
            None => {}
        }
        if id.time() < log.evicted_before {
            let unknown = peer::Outcome::Unknown(peer::UnknownReason::Horizon);
            return StartDecision::Done(unknown);
        }
        let refusal = peer::NotRun {
            reason: peer::NotRunReason::Barred,
            retry_after: time::Duration::ZERO,
        };
        log.bar(id, attempt, refusal, now);
        StartDecision::Done(peer::Outcome::NotRun(refusal))
    }

    /// Returns the finished and unknown non-idempotent requests of a range of hashes, newest
    /// answers first; answers that don't fit a handover are replaced by a note that they ran.
    #[must_use]
    pub fn export(
        &self,
        partition: &ids::PartitionId,
        from: ids::KeyHash,
        to: ids::KeyHash,
    ) -> Vec<peer::FinishedRequest> {
        let log = self.lock();
        let mut bytes = 0;
        let mut collected = Vec::new();
        for (_, id) in log.finished.iter().rev() {
            let Some(entry) = log.entries.get(id) else {
                continue;
            };
            let State::Finished(outcome) = &entry.state else {
                continue;
            };
            if entry.partition != *partition || entry.hash < from || entry.hash > to {
                continue;
            }
            bytes += size(outcome);
            let outcome = if bytes > MAX_HANDOVER {
                peer::Outcome::Unknown(peer::UnknownReason::Horizon)
            } else {
                outcome.clone()
            };
            collected.push(peer::FinishedRequest {
                id: *id,
                hash: entry.hash,
                outcome,
            });
        }
        collected
    }

    /// Keeps outcomes that a previous owner handed over.
    pub fn import(&self, partition: &ids::PartitionId, outcomes: Vec<peer::FinishedRequest>) {
        let now = clock::Instant::now();
        let mut log = self.lock();
        // The oldest comes last and has to be evicted first.
        for finished in outcomes.into_iter().rev() {
            if log.entries.contains_key(&finished.id) {
                continue;
            }
            let entry = Entry {
                partition: partition.clone(),
                hash: finished.hash,
                state: State::Running(watch::Sender::new(None)),
            };
            log.entries.insert(finished.id, entry);
            log.finish(finished.id, finished.outcome, now);
        }
        log.expire(now);
    }

    /// Returns the time before which outcomes of a range may have been evicted.
    #[must_use]
    pub fn evicted_before(&self) -> time::Duration {
        self.lock().evicted_before
    }

    /// Returns the number of entries and the bytes of their answers.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        let log = self.lock();
        (log.entries.len(), log.bytes)
    }

    fn lock(&self) -> MutexGuard<'_, Log> {
        lock(&self.log)
    }
}

fn lock(log: &Mutex<Log>) -> MutexGuard<'_, Log> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

const fn size(outcome: &peer::Outcome) -> usize {
    match outcome {
        peer::Outcome::Answered(answer) => answer.body.len(),
        peer::Outcome::NotRun(_) | peer::Outcome::Unknown(_) => 0,
    }
}

impl Running {
    /// Records the outcome. A request that did not run may run again in another attempt.
    pub fn finish(mut self, outcome: peer::Outcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: peer::Outcome) {
        self.finished = true;
        let now = clock::Instant::now();
        let mut log = lock(&self.log);
        if let peer::Outcome::NotRun(refusal) = outcome {
            log.bar(self.id, self.attempt, refusal, now);
            if let Some(entry) = log.entries.remove(&self.id) {
                entry.notify(peer::Outcome::NotRun(refusal));
            }
        } else {
            log.finish(self.id, outcome, now);
        }
        log.expire(now);
    }
}

impl Drop for Running {
    /// Records a request whose task ended early as unknown.
    fn drop(&mut self) {
        if !self.finished {
            self.record(peer::Outcome::Unknown(peer::UnknownReason::Broken));
        }
    }
}

impl Entry {
    fn notify(&self, outcome: peer::Outcome) {
        if let State::Running(sender) = &self.state {
            sender.send_replace(Some(outcome));
        }
    }
}

impl Log {
    fn bar(
        &mut self,
        id: ids::RequestId,
        attempt: ids::AttemptId,
        refusal: peer::NotRun,
        now: clock::Instant,
    ) {
        self.barred.insert((id, attempt), refusal);
        self.bars.push_back((now, id, attempt));
    }

    fn finish(&mut self, id: ids::RequestId, outcome: peer::Outcome, now: clock::Instant) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.notify(outcome.clone());
        let bytes = size(&outcome);
        entry.state = State::Finished(outcome);
        self.finished.push_back((now, id));
        if bytes > 0 {
            self.bytes += bytes;
            self.answers.push_back(id);
        }
    }

    /// Evicts what exceeds the limits.
    fn expire(&mut self, now: clock::Instant) {
        while self.bytes > self.limits.bytes {
            let Some(id) = self.answers.pop_front() else {
                break;
            };
            self.strip(id);
        }
        while let Some((at, id)) = self.finished.front().copied() {
            let over = self.finished.len() > self.limits.entries;
            if !over && now.since(at) <= self.limits.time {
                break;
            }
            self.finished.pop_front();
            self.strip(id);
            self.entries.remove(&id);
            self.evicted(id);
        }
        while let Some((at, id, attempt)) = self.bars.front().copied() {
            let over = self.bars.len() > self.limits.entries;
            if !over && now.since(at) <= self.limits.time {
                break;
            }
            self.bars.pop_front();
            self.barred.remove(&(id, attempt));
            self.evicted(id);
        }
        // Answers whose entry was evicted need no place in the order any more.
        while let Some(id) = self.answers.front()
            && !self.entries.contains_key(id)
        {
            self.answers.pop_front();
        }
    }

    /// Drops the answer of a finished request and keeps that it ran.
    fn strip(&mut self, id: ids::RequestId) {
        if let Some(entry) = self.entries.get_mut(&id)
            && let State::Finished(outcome) = &mut entry.state
        {
            self.bytes -= size(outcome);
            if size(outcome) > 0 {
                *outcome = peer::Outcome::Unknown(peer::UnknownReason::Horizon);
            }
        }
    }

    fn evicted(&mut self, id: ids::RequestId) {
        let after = id.time() + time::Duration::from_millis(1);
        self.evicted_before = self.evicted_before.max(after);
    }
}
