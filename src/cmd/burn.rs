//! Error budget burn rates of services and classes.
//!
//! A request is good if it was answered within the latency of the service level objective. Requests
//! that their callers cancelled are excluded. The burn rate is the share of bad requests divided by
//! the share that the objective allows: at a rate of 1 the budget lasts exactly for the objective's
//! window.

use std::collections::BTreeMap;
use std::time;

use serde::Serialize;

use crate::cmd::snapshot;
use crate::state::document;

/// Maximum number of causes reported for each service.
const MAX_CAUSES: usize = 5;

/// Reason of cancelled requests, which are excluded.
const CANCELLED: &str = "cancelled";

/// Error budget burn of one service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: String,
    /// Share of requests that must be good according to the objective, in percent.
    pub objective_percent: f64,
    /// Maximum latency of a good request, in milliseconds.
    pub latency_ms: f64,
    /// Window of the error budget, in hours.
    pub window_hours: f64,
    /// Burn over all classes, followed by the burn of each class.
    pub classes: Vec<ClassBurn>,
    /// Most frequent causes of bad requests in the long window, in descending order.
    pub causes: Vec<Cause>,
}

/// Error budget burn of one class of callers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ClassBurn {
    /// Name of the class, or `all` for the sum over all classes.
    pub class: String,
    /// Burn in the short window.
    pub short: WindowBurn,
    /// Burn in the long window.
    pub long: WindowBurn,
    /// Remaining share of the error budget, in percent; negative if the budget is overspent.
    pub budget_left_percent: f64,
}

/// Requests and burn rate in a window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct WindowBurn {
    /// Part of the window that the snapshots cover, in seconds.
    pub covered_seconds: f64,
    /// Number of requests.
    pub requests: f64,
    /// Number of bad requests.
    pub bad: f64,
    /// Burn rate.
    pub rate: f64,
}

/// Cause of bad requests and its frequency.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Cause {
    /// Outcome and reason, or `answered late` for requests above the objective's latency.
    pub cause: String,
    /// Number of bad requests with this cause.
    pub requests: f64,
    /// Share of all bad requests, in percent.
    pub share_percent: f64,
}

/// Lengths of the two windows.
#[derive(Debug, Clone, Copy)]
pub struct Windows {
    /// Short window.
    pub short: time::Duration,
    /// Long window.
    pub long: time::Duration,
}

/// Computes the burn of all services of a document from snapshots in chronological order.
#[must_use]
pub fn compute(
    document: &document::Document,
    snapshots: &[snapshot::Snapshot],
    windows: Windows,
) -> Vec<ServiceBurn> {
    let services = document.services.iter();
    services
        .map(|service| compute_service(document, service, snapshots, windows))
        .collect()
}

fn compute_service(
    document: &document::Document,
    service: &document::Service,
    snapshots: &[snapshot::Snapshot],
    windows: Windows,
) -> ServiceBurn {
    let objective = service.objective;
    let increase = |length| {
        CounterIncrease::from_snapshots(snapshots, &service.name, objective.latency, length)
    };
    let (short, long) = (increase(windows.short), increase(windows.long));
    let budget_window = increase(objective.window);
    let names = document.classes.iter().map(|c| c.name.as_str());
    let classes = std::iter::once(None).chain(names.map(Some));
    let classes = classes.map(|class| ClassBurn {
        class: class.unwrap_or("all").to_owned(),
        short: short.burn(class, objective),
        long: long.burn(class, objective),
        budget_left_percent: budget_left(budget_window.burn(class, objective), objective),
    });
    ServiceBurn {
        service: service.name.clone(),
        objective_percent: objective.availability,
        latency_ms: objective.latency.as_secs_f64() * 1000.0,
        window_hours: objective.window.as_secs_f64() / 3600.0,
        classes: classes.collect(),
        causes: long.causes(),
    }
}

/// Returns the remaining share of the error budget in percent. The number of requests in the whole
/// window is extrapolated from the covered part.
fn budget_left(burn: WindowBurn, objective: document::Objective) -> f64 {
    let covered = burn.covered_seconds / objective.window.as_secs_f64();
    100.0 * (1.0 - burn.rate * covered.min(1.0))
}

/// Increase of the request counters of one service over a window.
#[derive(Debug, Default)]
struct CounterIncrease {
    covered: time::Duration,
    requests: BTreeMap<String, f64>,
    /// Number of bad requests by class and cause.
    bad: BTreeMap<(String, String), f64>,
}

impl CounterIncrease {
    fn from_snapshots(
        snapshots: &[snapshot::Snapshot],
        service: &str,
        latency: time::Duration,
        length: time::Duration,
    ) -> Self {
        let mut increase = Self::default();
        let Some(newest) = snapshots.last() else {
            return increase;
        };
        let length = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let window_start_ms = newest.at_ms.saturating_sub(length);
        // The base of the increase is the last snapshot before the window, or else the first snapshot.
        let first = snapshots.partition_point(|s| s.at_ms <= window_start_ms);
        let window = &snapshots[first.saturating_sub(1)..];
        let mut covered_from_ms = window[0].at_ms;
        // A node without an earlier snapshot counts from zero if its process started after this time;
        // otherwise its first snapshot is only a base.
        let zero_start_ms = if first == 0 {
            window_start_ms
        } else {
            covered_from_ms
        };
        for (i, snapshot) in window.iter().enumerate() {
            for (addr, node) in &snapshot.nodes {
                let start_ms = node.incarnation.0 / 1000;
                let earlier = last_seen(&window[..i], addr);
                if earlier.is_none() && start_ms < zero_start_ms {
                    continue;
                }
                if earlier.is_none() {
                    covered_from_ms = covered_from_ms.min(start_ms);
                }
                let previous = earlier.filter(|e| e.incarnation == node.incarnation);
                increase.add_node(node, previous, service, latency);
            }
        }
        increase.covered =
            time::Duration::from_millis(newest.at_ms.saturating_sub(covered_from_ms));
        increase
    }

    fn add_node(
        &mut self,
        node: &snapshot::NodeCounters,
        previous: Option<&snapshot::NodeCounters>,
        service: &str,
        latency: time::Duration,
    ) {
        let earlier = |c: &snapshot::RequestCount| {
            let same = |o: &&snapshot::RequestCount| {
                (&o.service, &o.class, &o.outcome, &o.reason)
                    == (&c.service, &c.class, &c.outcome, &c.reason)
            };
            let known = previous.and_then(|b| b.requests.iter().find(same));
            known.map(|k| k.count).unwrap_or_default()
        };
        let counts = node.requests.iter().filter(|c| c.service == service);
        for count in counts.filter(|c| c.reason != CANCELLED) {
            let added = (count.count - earlier(count)).max(0.0);
            *self.requests.entry(count.class.clone()).or_default() += added;
            if count.outcome != "answered" {
                let cause = format!("{} {}", count.outcome, count.reason);
                self.add_bad(&count.class, cause, added);
            }
        }
        for histogram in node.latency.iter().filter(|l| l.service == service) {
            let same = |o: &&snapshot::LatencyHistogram| {
                (&o.service, &o.class) == (&histogram.service, &histogram.class)
            };
            let earlier = previous.and_then(|b| b.latency.iter().find(same));
            let late = |l: &snapshot::LatencyHistogram| l.count - count_up_to(&l.buckets, latency);
            let added = late(histogram) - earlier.map_or(0.0, late);
            self.add_bad(&histogram.class, "answered late".to_owned(), added);
        }
    }

    fn add_bad(&mut self, class: &str, cause: String, count: f64) {
        if count > 0.0 {
            *self.bad.entry((class.to_owned(), cause)).or_default() += count;
        }
    }

    fn burn(&self, class: Option<&str>, objective: document::Objective) -> WindowBurn {
        let matches = |name: &String| class.is_none_or(|c| c == name);
        let requests = self.requests.iter().filter(|(c, _)| matches(c));
        let requests = requests.fold(0.0, |sum, (_, n)| sum + n);
        let bad = self.bad.iter().filter(|((c, _), _)| matches(c));
        let bad = bad.fold(0.0, |sum, (_, n)| sum + n);
        let allowed = 1.0 - objective.availability / 100.0;
        let share = if requests > 0.0 { bad / requests } else { 0.0 };
        WindowBurn {
            covered_seconds: self.covered.as_secs_f64(),
            requests,
            bad,
            rate: share / allowed.max(f64::MIN_POSITIVE),
        }
    }

    fn causes(&self) -> Vec<Cause> {
        let all: f64 = self.bad.values().sum();
        let mut by_cause: BTreeMap<&str, f64> = BTreeMap::new();
        for ((_, cause), count) in &self.bad {
            *by_cause.entry(cause).or_default() += count;
        }
        let mut causes: Vec<_> = by_cause
            .into_iter()
            .map(|(cause, requests)| Cause {
                cause: cause.to_owned(),
                requests,
                share_percent: requests * 100.0 / all,
            })
            .collect();
        causes.sort_by(|a, b| b.requests.total_cmp(&a.requests));
        causes.truncate(MAX_CAUSES);
        causes
    }
}

fn last_seen<'a>(
    snapshots: &'a [snapshot::Snapshot],
    addr: &str,
) -> Option<&'a snapshot::NodeCounters> {
    snapshots.iter().rev().find_map(|s| s.nodes.get(addr))
}

/// Estimates the number of requests up to a latency by linear interpolation between the bounds of
/// the histogram buckets.
fn count_up_to(buckets: &[(f64, f64)], latency: time::Duration) -> f64 {
    let limit = latency.as_secs_f64();
    let mut below = (0.0, 0.0);
    for &(bound, count) in buckets {
        if bound >= limit {
            let part = (limit - below.0) / (bound - below.0);
            return below.1 + (count - below.1) * part;
        }
        below = (bound, count);
    }
    below.1
}
