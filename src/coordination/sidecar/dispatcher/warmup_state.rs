//! Warm-up of the local backend server, as far as it limits requests.

use std::time::Duration;

use crate::coordination::sidecar::dispatcher::Dispatcher;
use crate::coordination::sidecar::local_backend::Backend;
use crate::coordination::sidecar::warmup::{Check, Warmup, WarmupLimits};
use crate::state::clock::{self, Instant};

impl Dispatcher {
    /// Sets the limits on requests because of the warm-up, or removes them.
    pub fn set_warmup_limits(&self, limits: Option<WarmupLimits>) {
        let now = Instant::now();
        let current = self.queue.borrow().warmup().map(Warmup::limits);
        if current == limits {
            return;
        }
        match limits {
            Some(limits) if current.is_some() => self.change_warmup(|w| w.set_limits(limits)),
            Some(limits) => {
                let warmup = Some(Warmup::new(limits));
                self.queue.borrow_mut().set_warmup(warmup, now);
                if let Some(backend) = self.backend() {
                    self.record_warmup(&backend);
                }
            }
            None => {
                self.queue.borrow_mut().set_warmup(None, now);
                self.metrics.backend_cold.reset();
            }
        }
        let dequeued = self.queue.borrow_mut().dequeue(now);
        self.dispatch(dequeued);
        self.state_changed.notify_waiters();
    }

    /// Returns whether the backend server is cold or not known to be warm.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        let queue = self.queue.borrow();
        queue.warmup().is_some_and(Warmup::is_cold)
    }

    /// Returns the requests per second that the backend server gets because it is cold; `None` if there is
    /// no such limit.
    #[must_use]
    pub fn cold_rate(&self) -> Option<f64> {
        let queue = self.queue.borrow();
        let cold = queue.warmup().filter(|w| w.is_cold());
        cold.map(|w| w.limits().rate)
    }

    /// Returns the rest of the warm-up that is known from health checks.
    pub(super) fn warmup_left(&self, now: Instant) -> Duration {
        let queue = self.queue.borrow();
        queue.warmup().map_or(Duration::ZERO, |w| w.left(now))
    }

    /// Records the warm-up that the latest heartbeat states.
    pub(super) fn record_warmup(&self, backend: &Backend) {
        self.change_warmup(|w| w.record_heartbeat(backend.warmup_end, backend.last_heartbeat));
    }

    /// Returns the time until the next health check; `None` if none is needed yet.
    #[must_use]
    pub fn next_check(&self) -> Option<Duration> {
        self.backend.borrow().as_ref()?;
        self.queue.borrow().warmup()?.next_check(Instant::now())
    }

    /// Wakes up the sender of health checks if one is needed.
    pub(super) fn notify_check(&self) {
        if self.next_check().is_some() {
            self.check_due.notify_one();
        }
    }

    /// Records that a health check is sent.
    pub fn record_check(&self) {
        self.change_warmup(|warmup| warmup.record_check(Instant::now()));
    }

    /// Records the result of a health check.
    pub fn record_check_result(&self, check: Check) {
        let outcome = match check {
            Check::Answered(_) => "answered",
            Check::Failed | Check::Unreachable => "failed",
        };
        let counter = &self.metrics.health_checks;
        counter.with_label_values(&[outcome]).inc();
        let now = Instant::now();
        self.change_warmup(|warmup| warmup.record_result(check, now));
        let dequeued = self.queue.borrow_mut().dequeue(now);
        self.dispatch(dequeued);
    }

    fn change_warmup(&self, change: impl FnOnce(&mut Warmup)) {
        let now = Instant::now();
        let before = self.is_cold();
        self.queue.borrow_mut().change_warmup(now, change);
        let cold = self.is_cold();
        let left = self.warmup_left(now);
        let mut queue = self.queue.borrow_mut();
        if queue.warmup().is_some() {
            queue.service_times.set_warming(!left.is_zero());
        }
        drop(queue);
        if before == cold {
            return;
        }
        let Some(backend) = self.backend() else {
            return;
        };
        let holder = &backend.holder;
        tracing::info!(event = 580, backend = %holder.backend, born = holder.born, cold, left_ms = clock::millis(left), "the backend server has become cold or warm");
        let gauge = &self.metrics.backend_cold;
        let value = if cold { 1.0 } else { 0.0 };
        gauge.with_label_values(&[&backend.service]).set(value);
        self.state_changed.notify_waiters();
    }
}
