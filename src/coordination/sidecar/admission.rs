//! Queue in front of one backend server: who starts, who waits, who is refused.
//!
//! The queue is ordered by rank and then by the time of the latency objective. The rank is the
//! route's priority and, among equals, the shorter objective, so that the short calls that running
//! requests wait for are not stuck behind long requests. Within a rank, a request that can't meet
//! its objective any more waits behind those that can; one that can't even end before its caller
//! gives up is refused when it arrives, not after it has waited.
//!
//! Nothing here does input or output: time is passed in, so a test can replay a day's load.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::coordination::sidecar::service_times::{Completion, ServiceTimes};
use crate::state::clock::{self, Instant};

/// Requests of one rank that may wait without a chance to meet their objective, per slot.
const LATE_PER_SLOT: f64 = 0.25;

/// Factor on the expected wait of such a request, since others will go before it.
const LATE_WAIT: f64 = 2.0;

/// Factor on an expected wait and run time, since both vary.
const MARGIN: f64 = 1.15;

/// Time over which the demand of a rank is measured.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// Share of the slots that a rank can always count on for its estimates.
const LEAST_ROOM: f64 = 0.1;

/// Share of the expected run time that must be left for a request to be started; run times vary.
const START_SHARE: f64 = 0.6;

/// Place of a request in the order of service; lower goes first.
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

    /// Returns the latency objective, up to about a minute.
    #[must_use]
    pub fn objective(self) -> Duration {
        Duration::from_millis(u64::from(self.0 & 0xffff))
    }
}

/// Identifier of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionId(pub u64);

/// Request that asks to be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Rank.
    pub rank: Rank,
    /// Kind of request, for its expected run time.
    pub kind: u32,
    /// Latency objective.
    pub soft_deadline: Instant,
    /// Time at which the caller or the route gives up.
    pub deadline: Instant,
}

/// Answer to a request that asks to be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Runs now; [`AdmissionQueue::finish`] ends it.
    Admit,
    /// Waits.
    Enqueue(AdmissionId),
    /// Can't be run in time; another try may succeed after the time given.
    Reject(Duration),
}

/// What happens when a slot becomes free.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Dequeued {
    /// Requests that run now.
    pub started: Vec<AdmissionId>,
    /// Requests that can't end in time any more.
    pub expired: Vec<AdmissionId>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    rank: Rank,
    late: bool,
    aim: Instant,
    id: AdmissionId,
}

/// Slots that the requests of one rank would keep busy, as they have come lately.
#[derive(Debug, Clone, Copy)]
struct Demand {
    slots: f64,
    at: Instant,
}

/// Queue of one backend server.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: usize,
    running: usize,
    waiting: BTreeMap<Place, AdmissionRequest>,
    places: HashMap<AdmissionId, Place>,
    late: HashMap<Rank, usize>,
    demand: BTreeMap<Rank, Demand>,
    /// Run times.
    pub service_times: ServiceTimes,
    next: u64,
}

impl AdmissionQueue {
    /// Creates a queue for a backend server with `slots` places.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: 0,
            waiting: BTreeMap::new(),
            places: HashMap::new(),
            late: HashMap::new(),
            demand: BTreeMap::new(),
            service_times: ServiceTimes::default(),
            next: 0,
        }
    }

    /// Sets the number of places.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn cost(&self, ticket: &AdmissionRequest, now: Instant) -> Duration {
        let objective = ticket.rank.objective();
        self.service_times.estimate(ticket.kind, objective, now)
    }

    /// Returns the slots that a rank can count on: those that more urgent ranks don't take.
    fn room(&self, rank: Rank) -> f64 {
        let urgent = self.demand.range(..rank).map(|(_, d)| d.slots);
        let slots = self.slots.max(1) as f64;
        (slots - urgent.sum::<f64>()).max(LEAST_ROOM * slots)
    }

    /// Returns the expected wait of a request at a place in the queue.
    fn wait_at(&self, place: Place, cost: Duration, now: Instant) -> Duration {
        let ahead = self.waiting.range(..place);
        let work: f64 = ahead.map(|(_, t)| self.cost(t, now).as_secs_f64()).sum();
        let mean = self.service_times.mean(now).unwrap_or(cost).as_secs_f64();
        Duration::from_secs_f64((work + mean) / self.room(place.rank))
    }

    /// Counts the work of a request that arrives towards the demand of its rank.
    fn count(&mut self, rank: Rank, cost: Duration, now: Instant) {
        let demand = self.demand.entry(rank).or_insert(Demand {
            slots: 0.0,
            at: now,
        });
        let span = DEMAND_TIME.as_secs_f64();
        let age = now.since(demand.at).as_secs_f64();
        demand.slots = demand.slots * (-age / span).exp() + cost.as_secs_f64() / span;
        demand.at = now;
    }

    /// Decides on a request that arrives.
    pub fn admit(&mut self, ticket: AdmissionRequest, now: Instant) -> AdmissionDecision {
        let cost = self.cost(&ticket, now);
        self.count(ticket.rank, cost, now);
        if now + cost.mul_f64(START_SHARE) > ticket.deadline {
            return AdmissionDecision::Reject(cost);
        }
        if self.running < self.slots && self.waiting.is_empty() {
            self.start(&ticket, now);
            return AdmissionDecision::Admit;
        }
        self.next += 1;
        let mut place = Place {
            late: false,
            rank: ticket.rank,
            aim: ticket.soft_deadline,
            id: AdmissionId(self.next),
        };
        let end = |wait: Duration| now + (wait + cost).mul_f64(MARGIN);
        if end(self.wait_at(place, cost, now)) > ticket.soft_deadline {
            place.late = true;
            let wait = self.wait_at(place, cost, now);
            let late = self.late.get(&ticket.rank).copied().unwrap_or(0);
            let full = late as f64 >= LATE_PER_SLOT * self.slots as f64;
            if full || end(wait.mul_f64(LATE_WAIT)) > ticket.deadline {
                return AdmissionDecision::Reject(wait);
            }
        }
        self.insert(place, ticket);
        AdmissionDecision::Enqueue(place.id)
    }

    fn insert(&mut self, place: Place, ticket: AdmissionRequest) {
        *self.late.entry(place.rank).or_default() += usize::from(place.late);
        self.waiting.insert(place, ticket);
        self.places.insert(place.id, place);
    }

    fn remove(&mut self, place: Place) -> Option<AdmissionRequest> {
        self.places.remove(&place.id);
        let ticket = self.waiting.remove(&place)?;
        if let Some(late) = self.late.get_mut(&place.rank) {
            *late -= usize::from(place.late);
        }
        Some(ticket)
    }

    /// Takes a waiting request out, because its caller has left.
    pub fn cancel(&mut self, id: AdmissionId) -> bool {
        match self.places.get(&id).copied() {
            Some(place) => self.remove(place).is_some(),
            None => false,
        }
    }

    fn start(&mut self, ticket: &AdmissionRequest, now: Instant) {
        self.running += 1;
        let objective = ticket.rank.objective();
        self.service_times.record_start(ticket.kind, objective, now);
    }

    /// Ends a running request that began at `begun`.
    pub fn finish(&mut self, kind: u32, begun: Instant, end: Completion, now: Instant) -> Dequeued {
        self.running = self.running.saturating_sub(1);
        self.service_times.record_end(kind, begun, end, now);
        self.dequeue(now)
    }

    /// Starts what can be started.
    pub fn dequeue(&mut self, now: Instant) -> Dequeued {
        let mut turn = Dequeued::default();
        while self.running < self.slots {
            let Some((&place, &ticket)) = self.waiting.first_key_value() else {
                break;
            };
            self.remove(place);
            let cost = self.cost(&ticket, now).mul_f64(START_SHARE);
            if now + cost > ticket.deadline {
                turn.expired.push(place.id);
                continue;
            }
            let missed = !place.late && now + cost > ticket.soft_deadline;
            if missed && self.waiting.keys().any(|p| p.rank == place.rank && !p.late) {
                self.insert(
                    Place {
                        late: true,
                        ..place
                    },
                    ticket,
                );
                continue;
            }
            self.start(&ticket, now);
            turn.started.push(place.id);
        }
        turn
    }

    /// Takes out the waiting requests that can't end in time any more.
    pub fn expire(&mut self, now: Instant) -> Vec<AdmissionId> {
        let past = |(p, t): (&Place, &AdmissionRequest)| {
            let cost = self.cost(t, now).mul_f64(START_SHARE);
            (now + cost > t.deadline).then_some(*p)
        };
        let gone: Vec<_> = self.waiting.iter().filter_map(past).collect();
        for place in &gone {
            self.remove(*place);
        }
        gone.into_iter().map(|p| p.id).collect()
    }
}
