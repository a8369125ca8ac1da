//! What is known of the local backend server: its heartbeats and its signals.
//!
//! A heartbeat describes an incarnation of the backend server; its responses, and other nodes that
//! remember them, add the limit that it has named and that it is leaving. All of it ends with the
//! incarnation.

use std::cmp::Ordering;
use std::time::Duration;

use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::local_backend::Backend;
use crate::coordination::sidecar::signals::SignalChange;
use crate::protocol::adapter::{Signals, StatedLoad};
use crate::protocol::mesh::Reminder;
use crate::state::clock::Instant;
use crate::state::keyspace::Holder;

/// Minimum interval between two log lines about a stated load that can't be used.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of reminders that are kept until their backend server registers.
const MAX_REMINDERS: usize = 64;

impl Dispatcher {
    /// Applies the latest description of the backend server.
    pub fn set_backend(&self, backend: Backend) {
        let backend = Some(backend);
        let previous = self.backend.replace(backend.clone());
        let incarnation = |b: &Option<Backend>| b.as_ref().map(|b| b.holder.clone());
        if incarnation(&previous) != incarnation(&backend) {
            self.pool.clear();
            self.granted_ranges.borrow_mut().clear();
            let mut queue = self.queue.borrow_mut();
            queue.service_times.reset();
            queue.set_rate_limit(None, Instant::now());
            queue.change_warmup(Instant::now(), |warmup| warmup.reset(Instant::now()));
            drop(queue);
            self.failure_average.borrow_mut().set(0.0, Instant::now());
            self.signals.take();
            self.metrics.backend_limit.reset();
        }
        let slots = backend.as_ref().map_or(0, |b| usize::from(b.slots));
        let warming = backend.as_ref().is_some_and(|b| b.warmup_end.is_ahead());
        let mut queue = self.queue.borrow_mut();
        queue.service_times.set_warming(warming);
        queue.set_slots(slots);
        drop(queue);
        if let Some(backend) = &backend {
            self.record_warmup(backend);
        }
        let mut queue = self.queue.borrow_mut();
        let dequeued = queue.dequeue(Instant::now());
        drop(queue);
        self.dispatch(dequeued);
        if incarnation(&previous) != incarnation(&backend) {
            self.apply_reminders();
        }
        let is_draining = |b: &Option<Backend>| b.as_ref().map(|b| b.draining_since.is_some());
        if incarnation(&previous) != incarnation(&backend)
            || is_draining(&previous) != is_draining(&backend)
        {
            self.state_changed.notify_waiters();
        }
    }

    /// Records what a backend server said of itself in the response to a request that was sent to it
    /// at `sent`.
    pub(super) fn record_signals(&self, backend: &Backend, signals: Signals, sent: Instant) {
        if !self.is_current(&backend.holder) {
            return;
        }
        let now = Instant::now();
        self.record_stated_load(signals.load);
        let change = self.signals.borrow_mut().record(signals, sent, now);
        self.apply_signals(change, now);
    }

    /// Records the load that a response of the local backend server states.
    pub fn record_stated_load(&self, load: StatedLoad) {
        let now = Instant::now();
        match load {
            StatedLoad::Stated(Some(slowdown)) => {
                let mut queue = self.queue.borrow_mut();
                queue.service_times.speed.record(slowdown, now);
            }
            StatedLoad::Malformed => {
                let logged = self.load_logged.get();
                if logged.is_none_or(|at| now.since(at) >= LOAD_LOG_INTERVAL) {
                    self.load_logged.set(Some(now));
                    tracing::warn!(
                        event = 582,
                        "ignored a load stated by the backend server that can't be decoded or is out of range"
                    );
                }
            }
            StatedLoad::Stated(None) | StatedLoad::Absent => {}
        }
    }

    /// Takes in what another node was told about the local backend server.
    pub fn recall(&self, reminder: Reminder) {
        let holder = &reminder.holder;
        tracing::info!(event = 565, backend = %holder.backend, born = holder.born, limit = reminder.limit, limit_ms = reminder.limit_ms, leaving_ms = reminder.leaving_ms, "another node remembers what the backend server has said");
        let now = Instant::now();
        if self.is_current(holder) {
            self.apply_reminder(&reminder, now);
        } else {
            // The backend server may not have registered with this process yet.
            let mut reminders = self.reminders.borrow_mut();
            reminders.push_back((reminder, now));
            if reminders.len() > MAX_REMINDERS {
                reminders.pop_front();
            }
        }
    }

    fn apply_reminder(&self, reminder: &Reminder, received: Instant) {
        let change = self.signals.borrow_mut().recall(reminder, received);
        let since = reminder.leaving_since(received).unwrap_or(received);
        self.apply_signals(change, since);
    }

    /// Applies the reminders about a backend server that has just registered, and drops those about
    /// earlier ones. It may itself be an earlier one whose heartbeat was late, so the others are kept.
    fn apply_reminders(&self) {
        let Some(current) = self.backend().map(|b| b.holder) else {
            return;
        };
        for (reminder, received) in self.reminders.take() {
            match reminder.holder.start_order(&current) {
                Some(Ordering::Equal) => self.apply_reminder(&reminder, received),
                Some(Ordering::Less) => {}
                Some(Ordering::Greater) | None => {
                    self.reminders.borrow_mut().push_back((reminder, received));
                }
            }
        }
    }

    fn is_current(&self, holder: &Holder) -> bool {
        let backend = self.backend.borrow();
        backend.as_ref().is_some_and(|b| b.holder == *holder)
    }

    /// Brings into force what the backend server has said; `leaving_since` is the time since which it
    /// is known to leave, if that is new.
    fn apply_signals(&self, change: SignalChange, leaving_since: Instant) {
        let Some(backend) = self.backend() else {
            return;
        };
        let holder = &backend.holder;
        if change.limit {
            let limit = self.signals.borrow().limit();
            tracing::info!(event = 563, backend = %holder.backend, born = holder.born, limit = ?limit, "the limit of the backend server changed");
            let gauge = &self.metrics.backend_limit;
            match limit.per_second() {
                Some(rate) => gauge.with_label_values(&[&backend.service]).set(rate),
                None => gauge.reset(),
            }
            let mut queue = self.queue.borrow_mut();
            queue.set_rate_limit(limit.per_second(), Instant::now());
            let dequeued = queue.dequeue(Instant::now());
            drop(queue);
            self.dispatch(dequeued);
            self.state_changed.notify_waiters();
        }
        if change.leaving {
            tracing::info!(event = 564, backend = %holder.backend, born = holder.born, "the backend server says in a response that it is leaving");
            self.start_draining(leaving_since);
        }
    }

    /// Marks the backend server as draining since a time, unless it has been for longer.
    fn start_draining(&self, since: Instant) {
        if let Some(backend) = &mut *self.backend.borrow_mut()
            && backend.draining_since.is_none_or(|earlier| since < earlier)
        {
            backend.draining_since = Some(since);
            self.state_changed.notify_waiters();
        }
    }
}
