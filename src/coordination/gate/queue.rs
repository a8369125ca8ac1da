//! Request queue of the backend server and the slots of running requests.
//!
//! Waiting requests are ordered by priority, then by deadline. A request that is estimated to miss
//! its deadline is refused on arrival, or later if the estimate grows while it waits.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use tokio::sync::oneshot;

use crate::coordination::gate::limit;
use crate::protocol::peer;
use crate::state::clock;

/// Shortest retry delay that a refusal gives.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// Longest retry delay that a refusal gives.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(10);

/// Position in the queue; the smallest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of the request.
    pub priority: u8,
    /// Deadline of the request.
    pub deadline: clock::Instant,
    /// Sequence number of the arrival.
    pub arrival: u64,
}

/// Limits in force when a request arrives.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Maximum number of requests that the server runs at once.
    pub capacity: usize,
    /// Maximum number of waiting requests.
    pub queue: usize,
}

/// Request queue and slots.
#[derive(Debug, Default)]
pub struct Queue {
    shared: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    waiting: BTreeMap<Rank, oneshot::Sender<Result<Slot, peer::NotRun>>>,
    running: usize,
    arrivals: u64,
    capacity: usize,
    limit: limit::ConcurrencyLimit,
    last_progress: clock::Instant,
}

/// Slot at the backend server; freed when dropped.
#[derive(Debug)]
pub struct Slot {
    shared: Option<Arc<Mutex<State>>>,
}

/// Request in the queue; removed from it when dropped.
#[derive(Debug)]
pub struct QueuedRequest {
    shared: Arc<Mutex<State>>,
    rank: Rank,
    granted: oneshot::Receiver<Result<Slot, peer::NotRun>>,
}

impl Queue {
    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request can't finish before its deadline or the queue is full.
    pub fn enqueue(
        &self,
        priority: u8,
        deadline: clock::Instant,
        limits: QueueLimits,
    ) -> Result<QueuedRequest, peer::NotRun> {
        let (grant, granted) = oneshot::channel();
        let now = clock::Instant::now();
        let mut state = self.lock();
        state.capacity = limits.capacity;
        state.arrivals += 1;
        let rank = Rank {
            priority,
            deadline,
            arrival: state.arrivals,
        };
        if state.waiting.is_empty() && state.has_free_slot() {
            if !state.can_finish(deadline, now) {
                return Err(state.refusal(now));
            }
            state.start(&self.shared, grant, now);
        } else {
            let ahead = state.waiting.range(..rank).count();
            if now + state.estimated_time(ahead, now) > deadline {
                return Err(state.refusal(now));
            }
            if state.waiting.len() >= limits.queue && !state.displace(rank, now) {
                return Err(state.refusal(now));
            }
            state.waiting.insert(rank, grant);
            // The limit may have grown since the last slot was freed.
            state.start_waiting(&self.shared, now);
        }
        drop(state);
        Ok(QueuedRequest {
            shared: Arc::clone(&self.shared),
            rank,
            granted,
        })
    }

    /// Returns the number of requests that are running or waiting.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let state = self.lock();
        state.running + state.waiting.len()
    }

    /// Returns the mean service time.
    #[must_use]
    pub fn service_time(&self) -> time::Duration {
        self.lock().limit.service_time()
    }

    /// Records the latency of an answered request.
    pub fn record_latency(&self, latency: time::Duration) {
        let mut state = self.lock();
        let (running, capacity) = (state.running, state.capacity);
        state.limit.record_latency(latency, running, capacity);
        state.last_progress = clock::Instant::now();
    }

    /// Records a request that the server shed or did not answer in time.
    pub fn record_overload(&self) {
        let mut state = self.lock();
        let capacity = state.capacity;
        state.limit.record_overload(capacity);
    }

    /// Refuses the waiting requests that can no longer finish in time and starts others while slots
    /// are free.
    pub fn refuse_late(&self, capacity: usize) {
        let now = clock::Instant::now();
        let mut state = self.lock();
        state.capacity = capacity;
        let mut late = Vec::new();
        for (position, rank) in state.waiting.keys().enumerate() {
            let ahead = position - late.len();
            if now + state.estimated_time(ahead, now) > rank.deadline {
                late.push(*rank);
            }
        }
        for rank in late {
            state.refuse(rank, now);
        }
        state.start_waiting(&self.shared, now);
    }

    /// Refuses all waiting requests.
    pub fn refuse_all(&self, refusal: peer::NotRun) {
        let waiting = std::mem::take(&mut self.lock().waiting);
        for (_, grant) in waiting {
            drop(grant.send(Err(refusal)));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.shared)
    }
}

fn lock(shared: &Mutex<State>) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn allowed(&self) -> usize {
        self.limit.allowed(self.capacity)
    }

    fn has_free_slot(&self) -> bool {
        self.running < self.allowed()
    }

    /// Returns whether a request that starts now can finish in time. If nothing is running, the
    /// estimate may be out of date, so the request is admitted to refresh it.
    fn can_finish(&self, deadline: clock::Instant, now: clock::Instant) -> bool {
        let needed = if self.running == 0 {
            time::Duration::ZERO
        } else {
            self.limit.service_time()
        };
        now + needed < deadline
    }

    /// Estimates the time until a request behind `ahead` others finishes. While all slots are in use
    /// and no request finishes, the wait is assumed to be at least the time since the last answer.
    fn estimated_time(&self, ahead: usize, now: clock::Instant) -> time::Duration {
        let service = self.limit.service_time();
        let queued = service.mul_f64((ahead + 1) as f64 / self.allowed() as f64);
        let stalled = if self.has_free_slot() {
            time::Duration::ZERO
        } else {
            now.since(self.last_progress)
        };
        queued.max(stalled) + service
    }

    /// Returns a refusal whose retry delay is the time until the current queue is served.
    fn refusal(&self, now: clock::Instant) -> peer::NotRun {
        let wait = self.estimated_time(self.waiting.len(), now);
        peer::NotRun {
            reason: peer::NotRunReason::Overloaded,
            retry_after: wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        }
    }

    /// Refuses the last request of a full queue if it ranks behind the new one.
    fn displace(&mut self, rank: Rank, now: clock::Instant) -> bool {
        let last = self.waiting.keys().next_back().copied();
        match last {
            Some(last) if last > rank => {
                self.refuse(last, now);
                true
            }
            _ => false,
        }
    }

    fn refuse(&mut self, rank: Rank, now: clock::Instant) {
        let refusal = self.refusal(now);
        if let Some(grant) = self.waiting.remove(&rank) {
            drop(grant.send(Err(refusal)));
        }
    }

    fn start(
        &mut self,
        shared: &Arc<Mutex<Self>>,
        grant: oneshot::Sender<Result<Slot, peer::NotRun>>,
        now: clock::Instant,
    ) {
        if self.running == 0 {
            self.last_progress = now;
        }
        self.running += 1;
        let slot = Slot {
            shared: Some(Arc::clone(shared)),
        };
        // If the request was abandoned meanwhile, its slot comes back here. It must not be dropped
        // normally, because the lock is held.
        if let Err(Ok(mut slot)) = grant.send(Ok(slot)) {
            slot.shared = None;
            self.running -= 1;
        }
    }

    /// Starts waiting requests while slots are free.
    fn start_waiting(&mut self, shared: &Arc<Mutex<Self>>, now: clock::Instant) {
        while self.has_free_slot() {
            let Some((rank, grant)) = self.waiting.pop_first() else {
                return;
            };
            if self.can_finish(rank.deadline, now) {
                self.start(shared, grant, now);
            } else {
                drop(grant.send(Err(self.refusal(now))));
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(shared) = &self.shared else { return };
        let mut state = lock(shared);
        state.running -= 1;
        state.start_waiting(shared, clock::Instant::now());
    }
}

impl QueuedRequest {
    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request can no longer finish before its deadline.
    pub async fn wait_for_slot(mut self) -> Result<Slot, peer::NotRun> {
        match (&mut self.granted).await {
            Ok(granted) => granted,
            Err(_) => Err(peer::NotRun {
                reason: peer::NotRunReason::Overloaded,
                retry_after: MIN_RETRY_DELAY,
            }),
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let waiting = lock(&self.shared).waiting.remove(&self.rank);
        drop(waiting);
    }
}
