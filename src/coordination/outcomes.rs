//! Outcome log of recent non-idempotent requests, kept on the node that ran them.
//!
//! The log answers a repeated identifier without running the request again, and lets an entry node
//! query an outcome after it has lost its connection. It is limited by age, number of entries and
//! total size of the answers. Over the size limit only the answers are dropped: their entries stay,
//! so that the requests can't run again. Once an entry has been evicted, every older identifier
//! counts as possibly run.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use tokio::sync::watch;

use crate::protocol::peer;
use crate::state::{clock, ids, timing};

/// Maximum number of entries, and of barred attempts.
const MAX_ENTRIES: usize = 65_536;

/// Maximum total size of the answers, in bytes.
const MAX_BYTES: usize = 32 << 20;

/// Maximum total size of the answers in a handover, in bytes; it must fit one frame.
const MAX_HANDOVER_BYTES: usize = 2 << 20;

/// Log of recent outcomes of requests that ran on this node.
#[derive(Debug)]
pub struct OutcomeLog {
    log: Arc<Mutex<Log>>,
}

/// Limits of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// Age at which an outcome is evicted.
    pub time: time::Duration,
    /// Maximum number of entries.
    pub entries: usize,
    /// Maximum total size of the answers, in bytes.
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

/// Request that is about to run.
#[derive(Debug, Clone)]
pub struct Start {
    /// Partition of the slice.
    pub partition: ids::PartitionId,
    /// Hash that selects the slice.
    pub hash: ids::KeyHash,
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Identifier of the attempt.
    pub attempt: ids::AttemptId,
    /// Requests with an identifier created before this time may have run under an earlier owner; zero
    /// for an identifier that can't have been used before.
    pub horizon: time::Duration,
}

/// Whether a request may run, according to the log.
#[derive(Debug)]
pub enum StartDecision {
    /// It has not run, and counts as running until the guard is finished or dropped.
    Run(Running),
    /// It is already running; the receiver gets its outcome.
    Wait(watch::Receiver<Option<peer::Outcome>>),
    /// Its outcome is known.
    Done(peer::Outcome),
}

/// Guard of a running request.
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

    /// Registers a request that is about to run, unless its outcome is known.
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

    /// Resolves an attempt whose entry node got no answer. An attempt that has not arrived is barred,
    /// so that it can't run if it arrives later.
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

    /// Returns the finished and unknown requests of a range of hashes for a handover, newest first.
    /// Answers over the size limit of a handover are left out, but not the fact that they ran.
    #[must_use]
    pub fn export(
        &self,
        partition: &ids::PartitionId,
        from: ids::KeyHash,
        to: ids::KeyHash,
    ) -> Vec<peer::FinishedRequest> {
        let log = self.lock();
        let mut bytes = 0;
        let mut exported = Vec::new();
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
            let outcome = if bytes > MAX_HANDOVER_BYTES {
                peer::Outcome::Unknown(peer::UnknownReason::Horizon)
            } else {
                outcome.clone()
            };
            exported.push(peer::FinishedRequest {
                id: *id,
                hash: entry.hash,
                outcome,
            });
        }
        exported
    }

    /// Adds outcomes that a previous owner has handed over.
    pub fn import(&self, partition: &ids::PartitionId, outcomes: Vec<peer::FinishedRequest>) {
        let now = clock::Instant::now();
        let mut log = self.lock();
        // Outcomes arrive newest first, but the oldest must be evicted first.
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

    /// Returns the creation time of identifiers before which outcomes may have been evicted.
    #[must_use]
    pub fn evicted_before(&self) -> time::Duration {
        self.lock().evicted_before
    }

    /// Returns the number of entries and the total size of their answers in bytes.
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
    /// Records the outcome as unknown if the task of the request ended early.
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

    /// Evicts answers, entries and barred attempts over the limits.
    fn expire(&mut self, now: clock::Instant) {
        while self.bytes > self.limits.bytes {
            let Some(id) = self.answers.pop_front() else {
                break;
            };
            self.drop_answer(id);
        }
        while let Some((at, id)) = self.finished.front().copied() {
            let is_over_limit = self.finished.len() > self.limits.entries;
            if !is_over_limit && now.since(at) <= self.limits.time {
                break;
            }
            self.finished.pop_front();
            self.drop_answer(id);
            self.entries.remove(&id);
            self.record_eviction(id);
        }
        while let Some((at, id, attempt)) = self.bars.front().copied() {
            let is_over_limit = self.bars.len() > self.limits.entries;
            if !is_over_limit && now.since(at) <= self.limits.time {
                break;
            }
            self.bars.pop_front();
            self.barred.remove(&(id, attempt));
            self.record_eviction(id);
        }
        // Answers whose entry was evicted no longer need a position in the eviction order.
        while let Some(id) = self.answers.front()
            && !self.entries.contains_key(id)
        {
            self.answers.pop_front();
        }
    }

    /// Drops the answer of a finished request and keeps the fact that it ran.
    fn drop_answer(&mut self, id: ids::RequestId) {
        if let Some(entry) = self.entries.get_mut(&id)
            && let State::Finished(outcome) = &mut entry.state
        {
            self.bytes -= size(outcome);
            if size(outcome) > 0 {
                *outcome = peer::Outcome::Unknown(peer::UnknownReason::Horizon);
            }
        }
    }

    fn record_eviction(&mut self, id: ids::RequestId) {
        let after = id.time() + time::Duration::from_millis(1);
        self.evicted_before = self.evicted_before.max(after);
    }
}
