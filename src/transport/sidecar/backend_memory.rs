//! What a node remembers of the backend server beside another node.
//!
//! A sidecar that is restarted beside a running backend server has forgotten what that one said of
//! itself. The nodes that it serves remember it from load reports and from the responses that they
//! passed on, and remind the new process over their next connection, before their calls.
//!
//! The new process may have registered an earlier incarnation, whose heartbeat was late. What is known
//! of a later one is kept meanwhile.

use std::cmp::Ordering;
use std::time::Duration;

use crate::protocol::adapter::Signals;
use crate::protocol::mesh::{Health, Load, RateLimit, Reminder};
use crate::state::clock::{self, Instant};
use crate::state::keyspace::Holder;

#[derive(Debug, Clone)]
struct Known {
    holder: Holder,
    limit: RateLimit,
    /// Time at which the limit was last confirmed.
    limit_at: Instant,
    /// Time at which the backend server was first known to leave.
    leaving_at: Option<Instant>,
}

/// Memory of the last known incarnation of one backend server.
#[derive(Debug, Default)]
pub struct BackendMemory(Option<Known>);

impl BackendMemory {
    /// Returns the memory of an incarnation, and forgets any earlier one; `None` if a later one is known.
    fn of(&mut self, holder: &Holder, now: Instant) -> Option<&mut Known> {
        let order = self.0.as_ref().map(|k| holder.start_order(&k.holder));
        match order {
            Some(Some(Ordering::Equal)) => {}
            Some(Some(Ordering::Less)) => return None,
            Some(Some(Ordering::Greater) | None) | None => {
                self.0 = Some(Known {
                    holder: holder.clone(),
                    limit: RateLimit::Unknown,
                    limit_at: now,
                    leaving_at: None,
                });
            }
        }
        self.0.as_mut()
    }

    /// Records a load report. A process that has just started doesn't know the limit, and may not know
    /// that the backend server is leaving.
    pub fn record_load(&mut self, holder: &Holder, load: &Load, now: Instant) {
        let Some(known) = self.of(holder, now) else {
            return;
        };
        if load.limit != RateLimit::Unknown {
            (known.limit, known.limit_at) = (load.limit, now);
        }
        if load.health == Health::Leaving {
            known.leaving_at.get_or_insert(now);
        }
    }

    /// Records the signals of a response. One that names no limit may be older than one that does, so
    /// only load reports end a limit.
    pub fn record_response(&mut self, holder: &Holder, signals: Signals, now: Instant) {
        if signals.limit.per_second().is_none() && !signals.leaving {
            return;
        }
        let Some(known) = self.of(holder, now) else {
            return;
        };
        if signals.limit.per_second().is_some() {
            (known.limit, known.limit_at) = (signals.limit, now);
        }
        if signals.leaving {
            known.leaving_at.get_or_insert(now);
        }
    }

    /// Adds to a load report of an incarnation what its node has forgotten.
    pub fn complete(&self, holder: Option<&Holder>, load: &mut Load) {
        let Some(known) = self.0.as_ref().filter(|k| Some(&k.holder) == holder) else {
            return;
        };
        if load.limit == RateLimit::Unknown {
            load.limit = known.limit;
        }
        if known.leaving_at.is_some() && load.health == Health::Ready {
            load.health = Health::Leaving;
        }
    }

    /// Returns the reminder for a new process of the node, if there is something to remind it of.
    #[must_use]
    pub fn reminder(&self, now: Instant) -> Option<Reminder> {
        let known = self.0.as_ref()?;
        let age = |at: Instant| clock::millis(now.since(at));
        let reminder = Reminder {
            holder: known.holder.clone(),
            limit: known.limit.per_second(),
            limit_ms: age(known.limit_at),
            leaving_ms: known.leaving_at.map(age),
        };
        (reminder.limit.is_some() || reminder.leaving_ms.is_some()).then_some(reminder)
    }
}

impl Reminder {
    /// Returns the time at which the limit was last confirmed.
    #[must_use]
    pub fn limit_at(&self, now: Instant) -> Instant {
        now - Duration::from_millis(self.limit_ms.into())
    }

    /// Returns the time since which the backend server is known to leave, if it does.
    #[must_use]
    pub fn leaving_since(&self, now: Instant) -> Option<Instant> {
        let ms = self.leaving_ms?;
        Some(now - Duration::from_millis(ms.into()))
    }
}
