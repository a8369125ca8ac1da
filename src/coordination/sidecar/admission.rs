//! Admission queue in front of one backend server.
//!
//! The queue is ordered by rank, then by soft deadline. The rank is the route's priority and, among
//! equal priorities, the shorter latency objective, so that short calls that running requests
//! depend on aren't blocked by long requests. Within a rank, a request that can no longer meet its
//! objective is queued behind those that can; one that can't even complete before its deadline is
//! rejected on arrival rather than after waiting.
//!
//! A backend server may name a limit on the requests per second that it takes. A request then starts
//! only when a slot and a token are free, and its wait is estimated from both: more urgent ranks get
//! the tokens first, and what they are expected to need is taken off what less urgent ones can get.
//! The warm-up rate of a cold backend server works in the same way; the lower of the two applies.
//!
//! Nothing here does input or output: time is passed in, so a test can replay a day's load.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::coordination::sidecar::rate_limiter::RateLimiter;
use crate::coordination::sidecar::service_times::{Completion, ServiceTimes};
use crate::coordination::sidecar::warmup::{StartLimit, Warmup};
use crate::state::clock::{self, Instant};

/// Maximum number of queued requests of one rank that can no longer meet their objective, per slot.
const LATE_PER_SLOT: f64 = 0.25;

/// Factor on the estimated wait of such a request, since later arrivals are served before it.
const LATE_WAIT_FACTOR: f64 = 2.0;

/// Factor on an estimated wait and service time, since both vary.
const ESTIMATE_MARGIN: f64 = 1.15;

/// Time constant of the average demand of a rank.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Minimum share of the slots, and of the rate limit, that estimates assume for any rank.
const MIN_RANK_SHARE: f64 = 0.1;

/// Minimum share of the rate limit that estimates assume for requests that miss their objective.
const MIN_LATE_SHARE: f64 = 0.001;

/// Share of the estimated service time that must remain for a request to be started; service times
/// vary.
const MIN_TIME_SHARE: f64 = 0.6;

/// Service order of a request; lower ranks are served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Rank(u32);

impl Rank {
    /// Returns the rank of a route with a priority and a latency objective.
    #[must_use]
    pub fn new(priority: u8, objective: Duration) -> Self {
        let ms = clock::millis(objective);
        Self((u32::from(priority) << 16) | ms.min(0xffff))
    }

    /// Returns the priority.
    #[must_use]
    pub fn priority(self) -> u32 {
        self.0 >> 16
    }

    /// Returns the latency objective, capped at about a minute.
    #[must_use]
    pub fn objective(self) -> Duration {
        Duration::from_millis(u64::from(self.0 & 0xffff))
    }
}

/// Identifier of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionId(pub u64);

/// Request that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Service order.
    pub rank: Rank,
    /// Kind of request, for its estimated service time.
    pub kind: u32,
    /// Time at which the latency objective is missed.
    pub soft_deadline: Instant,
    /// Time at which the caller gives up or the route's timeout ends.
    pub deadline: Instant,
    /// Whether a running request of another backend server depends on it.
    pub nested: bool,
}

/// Decision on a request that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Takes a slot now; [`AdmissionQueue::finish`] frees it.
    Admit,
    /// Waits in the queue.
    Enqueue(AdmissionId),
    /// Can't complete in time; a retry may succeed after the given delay.
    Reject(Duration),
    /// Can't start in time within the rate limit, which has room again after the given delay.
    Throttle(Duration),
}

/// Requests taken out of the queue when a slot becomes free.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Requests that take a slot now.
    pub started: Vec<AdmissionId>,
    /// Requests that can no longer complete before their deadline.
    pub expired: Vec<AdmissionId>,
}

/// Position in the queue, ordered by its fields; `late` requests can no longer meet their
/// objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    rank: Rank,
    late: bool,
    soft_deadline: Instant,
    id: AdmissionId,
}

/// Average demand of recent requests of one rank.
#[derive(Debug, Clone, Copy)]
struct Demand {
    slots: f64,
    /// Requests per second.
    rate: f64,
    at: Instant,
}

impl Demand {
    /// Returns the share of the averages that is left after a time without requests.
    fn decay(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        (-age / DEMAND_WINDOW.as_secs_f64()).exp()
    }
}

/// Admission queue of one backend server.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: usize,
    running: usize,
    waiting: BTreeMap<Position, AdmissionRequest>,
    positions: HashMap<AdmissionId, Position>,
    late: HashMap<Rank, usize>,
    demand: BTreeMap<Rank, Demand>,
    limiter: Option<RateLimiter>,
    /// Limit that the backend server has named, in requests per second.
    named_rate: Option<f64>,
    /// Warm-up of the backend server, if the deployment limits requests because of it.
    warmup: Option<Warmup>,
    /// Whether only a health check holds requests up. It answers within milliseconds, so waits aren't
    /// estimated from the rate.
    awaits_check: bool,
    /// Measured service times.
    pub service_times: ServiceTimes,
    last_id: u64,
}

impl AdmissionQueue {
    /// Creates a queue for a backend server that executes `slots` requests concurrently.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: 0,
            waiting: BTreeMap::new(),
            positions: HashMap::new(),
            late: HashMap::new(),
            demand: BTreeMap::new(),
            limiter: None,
            named_rate: None,
            warmup: None,
            awaits_check: false,
            service_times: ServiceTimes::default(),
            last_id: 0,
        }
    }

    /// Sets the number of requests that may run concurrently.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Sets the limit on started requests per second that the backend server has named, or removes it.
    pub fn set_rate_limit(&mut self, rate: Option<f64>, now: Instant) {
        self.named_rate = rate;
        self.update_limiter(now);
    }

    /// Sets the state of the warm-up, or removes it.
    pub fn set_warmup(&mut self, warmup: Option<Warmup>, now: Instant) {
        self.warmup = warmup;
        self.update_limiter(now);
    }

    /// Returns the state of the warm-up, if requests are limited because of it.
    #[must_use]
    pub fn warmup(&self) -> Option<&Warmup> {
        self.warmup.as_ref()
    }

    /// Changes the state of the warm-up, if there is one.
    pub fn change_warmup(&mut self, now: Instant, change: impl FnOnce(&mut Warmup)) {
        if let Some(warmup) = &mut self.warmup {
            change(warmup);
            self.update_limiter(now);
        }
    }

    /// Brings the lower of the named limit and the warm-up rate into force.
    fn update_limiter(&mut self, now: Instant) {
        let start_limit = self.warmup.as_ref().and_then(|w| w.start_limit(now));
        let unchecked = matches!(start_limit, Some(StartLimit::Unchecked(_)));
        let rates = self
            .named_rate
            .into_iter()
            .chain(start_limit.map(StartLimit::rate));
        let rate = rates.reduce(f64::min);
        self.awaits_check = unchecked && rate != self.named_rate;
        match (&mut self.limiter, rate) {
            (Some(limiter), Some(rate)) => limiter.set_rate(rate, now),
            (limiter, rate) => *limiter = rate.map(|rate| RateLimiter::new(rate, now)),
        }
    }

    /// Returns the number of requests that the rate limit has room for at once, less those that are
    /// queued; 0 without a limit.
    #[must_use]
    pub fn limit_room(&self, now: Instant) -> f64 {
        let queued = self.waiting.len() as f64;
        self.limiter.map_or(0.0, |l| l.tokens(now) - queued)
    }

    /// Returns whether a request can start now.
    fn has_room(&self, now: Instant) -> bool {
        let within_limit = self.limiter.is_none_or(|l| l.tokens(now) >= 1.0);
        self.running < self.slots && within_limit
    }

    /// Returns the time until the next queued request can start, if only the rate limit holds it up.
    #[must_use]
    pub fn next_start(&self, now: Instant) -> Option<Duration> {
        let limiter = self.limiter?;
        let waits_for_limit = !self.waiting.is_empty() && self.running < self.slots;
        waits_for_limit.then(|| limiter.wait(1, limiter.rate(), now))
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn estimate(&self, request: &AdmissionRequest, now: Instant) -> Duration {
        let objective = request.rank.objective();
        self.service_times.estimate(request.kind, objective, now)
    }

    /// Returns the slots that more urgent ranks leave for a rank.
    fn available_slots(&self, rank: Rank, now: Instant) -> f64 {
        let urgent = self.demand.range(..rank);
        let urgent = urgent.map(|(_, d)| d.slots * d.decay(now));
        let slots = self.slots.max(1) as f64;
        (slots - urgent.sum::<f64>()).max(MIN_RANK_SHARE * slots)
    }

    /// Returns the limiter by which waits are estimated.
    fn estimating_limiter(&self) -> Option<&RateLimiter> {
        self.limiter.as_ref().filter(|_| !self.awaits_check)
    }

    /// Returns the estimated wait for the rate limit of a request at a position in the queue.
    fn throttle_wait(&self, position: Position, now: Instant) -> Duration {
        let Some(limiter) = self.estimating_limiter() else {
            return Duration::ZERO;
        };
        let ahead = self.demand.iter().filter(|(rank, _)| {
            // Requests of its own rank that still meet their objective go before a late one.
            **rank < position.rank || (position.late && **rank == position.rank)
        });
        let demand: f64 = ahead.map(|(_, d)| d.rate * d.decay(now)).sum();
        let min_share = if position.late {
            MIN_LATE_SHARE
        } else {
            MIN_RANK_SHARE
        };
        let rate = (limiter.rate() - demand).max(min_share * limiter.rate());
        let ahead = self.waiting.range(..position).count();
        limiter.wait(ahead + 1, rate, now)
    }

    /// Returns the time after which a rejected request may find room, and whether that depends on
    /// the rate limit.
    #[must_use]
    pub fn time_to_room(&self, request: &AdmissionRequest, now: Instant) -> (Duration, bool) {
        let position = Position {
            rank: request.rank,
            late: false,
            soft_deadline: request.soft_deadline,
            id: AdmissionId(self.last_id + 1),
        };
        let throttled = self.throttle_wait(position, now);
        let wait = self.slot_wait(position, self.estimate(request, now), now);
        (wait.max(throttled), throttled > wait)
    }

    /// Returns the estimated wait for a slot of a request at a position in the queue.
    fn slot_wait(&self, position: Position, estimate: Duration, now: Instant) -> Duration {
        let ahead = self.waiting.range(..position);
        let work: f64 = ahead
            .map(|(_, r)| self.estimate(r, now).as_secs_f64())
            .sum();
        let mean = self
            .service_times
            .mean(now)
            .unwrap_or(estimate)
            .as_secs_f64();
        Duration::from_secs_f64((work + mean) / self.available_slots(position.rank, now))
    }

    /// Adds the service time of an arriving request to the demand of its rank.
    fn record_demand(&mut self, rank: Rank, estimate: Duration, now: Instant) {
        let demand = self.demand.entry(rank).or_insert(Demand {
            slots: 0.0,
            rate: 0.0,
            at: now,
        });
        let window = DEMAND_WINDOW.as_secs_f64();
        let decay = demand.decay(now);
        demand.slots = demand.slots * decay + estimate.as_secs_f64() / window;
        demand.rate = demand.rate * decay + 1.0 / window;
        demand.at = now;
    }

    /// Admits, enqueues or rejects an arriving request.
    pub fn admit(&mut self, request: AdmissionRequest, now: Instant) -> AdmissionDecision {
        let estimate = self.estimate(&request, now);
        self.record_demand(request.rank, estimate, now);
        self.update_limiter(now);
        if now + estimate.mul_f64(MIN_TIME_SHARE) > request.deadline {
            return AdmissionDecision::Reject(estimate);
        }
        if self.has_room(now) && self.waiting.is_empty() {
            self.start(&request, now);
            return AdmissionDecision::Admit;
        }
        self.last_id += 1;
        let mut position = Position {
            late: false,
            rank: request.rank,
            soft_deadline: request.soft_deadline,
            id: AdmissionId(self.last_id),
        };
        let end = |wait: Duration| now + (wait + estimate).mul_f64(ESTIMATE_MARGIN);
        let waits = |queue: &Self, position| {
            let throttled = queue.throttle_wait(position, now);
            (queue.slot_wait(position, estimate, now), throttled)
        };
        let (slot, throttled) = waits(self, position);
        // The work of the request that depends on a nested call is lost if the call is refused.
        let waits_longer = request.nested && end(slot.max(throttled)) <= request.deadline;
        if end(slot.max(throttled)) > request.soft_deadline && !waits_longer {
            position.late = true;
            let (late_slot, late_throttled) = waits(self, position);
            let wait = late_slot.max(late_throttled);
            let late = self.late.get(&request.rank).copied().unwrap_or(0);
            let full = late as f64 >= LATE_PER_SLOT * self.slots as f64;
            if full || end(wait.mul_f64(LATE_WAIT_FACTOR)) > request.deadline {
                return if late_throttled > late_slot {
                    AdmissionDecision::Throttle(slot.max(throttled))
                } else {
                    AdmissionDecision::Reject(wait)
                };
            }
        }
        self.insert(position, request);
        AdmissionDecision::Enqueue(position.id)
    }

    fn insert(&mut self, position: Position, request: AdmissionRequest) {
        *self.late.entry(position.rank).or_default() += usize::from(position.late);
        self.waiting.insert(position, request);
        self.positions.insert(position.id, position);
    }

    fn remove(&mut self, position: Position) -> Option<AdmissionRequest> {
        self.positions.remove(&position.id);
        let request = self.waiting.remove(&position)?;
        if let Some(late) = self.late.get_mut(&position.rank) {
            *late -= usize::from(position.late);
        }
        Some(request)
    }

    /// Removes a queued request whose caller has disconnected; returns whether it was queued.
    pub fn cancel(&mut self, id: AdmissionId) -> bool {
        match self.positions.get(&id).copied() {
            Some(position) => self.remove(position).is_some(),
            None => false,
        }
    }

    fn start(&mut self, request: &AdmissionRequest, now: Instant) {
        self.running += 1;
        if let Some(limiter) = &mut self.limiter {
            limiter.take(now);
        }
        self.change_warmup(now, |warmup| warmup.record_start(now));
        let objective = request.rank.objective();
        self.service_times
            .record_start(request.kind, objective, now);
    }

    /// Frees the slot of a request that started at `started` and fills it from the queue.
    pub fn finish(
        &mut self,
        kind: u32,
        started: Instant,
        completion: Completion,
        now: Instant,
    ) -> Dequeued {
        self.running = self.running.saturating_sub(1);
        self.service_times
            .record_end(kind, started, completion, now);
        self.dequeue(now)
    }

    /// Fills free slots from the queue.
    pub fn dequeue(&mut self, now: Instant) -> Dequeued {
        let mut dequeued = Dequeued::default();
        self.update_limiter(now);
        while self.has_room(now) {
            let Some((&position, &request)) = self.waiting.first_key_value() else {
                break;
            };
            self.remove(position);
            let estimate = self.estimate(&request, now).mul_f64(MIN_TIME_SHARE);
            if now + estimate > request.deadline {
                dequeued.expired.push(position.id);
                continue;
            }
            let missed =
                !position.late && !request.nested && now + estimate > request.soft_deadline;
            if missed
                && self
                    .waiting
                    .keys()
                    .any(|p| p.rank == position.rank && !p.late)
            {
                let late = Position {
                    late: true,
                    ..position
                };
                // Within a rate limit, those that still meet their objective may use up all of it.
                if now + self.throttle_wait(late, now) > request.deadline {
                    dequeued.expired.push(position.id);
                } else {
                    self.insert(late, request);
                }
                continue;
            }
            self.start(&request, now);
            dequeued.started.push(position.id);
        }
        dequeued
    }

    /// Returns whether a request that was just queued has moved others back that the rate limit may no
    /// longer serve in time; [`AdmissionQueue::expire`] finds those.
    #[must_use]
    pub fn has_displaced(&self, id: AdmissionId) -> bool {
        let last = self.waiting.last_key_value();
        self.limiter.is_some() && last.is_some_and(|(position, _)| position.id != id)
    }

    /// Removes the queued requests that can no longer complete before their deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<AdmissionId> {
        let mut ahead = 0;
        let mut expired = Vec::new();
        for (position, request) in &self.waiting {
            let estimate = self.estimate(request, now).mul_f64(MIN_TIME_SHARE);
            let wait = self.queued_wait(*position, ahead, estimate, now);
            if now + wait + estimate > request.deadline {
                expired.push(*position);
            } else {
                ahead += 1;
            }
        }
        for position in &expired {
            self.remove(*position);
        }
        expired.into_iter().map(|p| p.id).collect()
    }

    /// Returns the expected wait for the rate limit of a queued request behind `ahead` others.
    fn queued_wait(
        &self,
        position: Position,
        ahead: usize,
        estimate: Duration,
        now: Instant,
    ) -> Duration {
        let Some(limiter) = self.estimating_limiter() else {
            return Duration::ZERO;
        };
        let wait = limiter.wait(ahead + 1, limiter.rate(), now);
        if position.late || now + wait + estimate > position.soft_deadline {
            let late = Position {
                late: true,
                ..position
            };
            wait.max(self.throttle_wait(late, now))
        } else {
            wait
        }
    }
}
