//! Service-level burn: how fast the error budget of each service and class is spent.
//!
//! A request is good if it was answered within the objective's latency. A request that its caller
//! cancelled is left out. The burn rate is the share of bad requests in relation to the share that
//! the objective allows: at 1 the budget lasts exactly for the objective's window.

use std::collections::BTreeMap;
use std::time;

use serde::Serialize;

use crate::cmd::snapshot;
use crate::state::document;

/// Causes listed for each service.
const TOP_CAUSES: usize = 5;

/// Reason of requests that are left out.
const CANCELLED: &str = "cancelled";

/// Burn of one service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ServiceBurn {
    /// Name.
    pub service: String,
    /// Share of requests that must be good, in percent.
    pub objective_percent: f64,
    /// Latency up to which an answered request is good, in milliseconds.
    pub latency_ms: f64,
    /// Window of the error budget, in hours.
    pub window_hours: f64,
    /// All classes together, then each class.
    pub classes: Vec<ClassBurn>,
    /// Most frequent causes of bad requests in the long window.
    pub causes: Vec<Cause>,
}

/// Burn of one class of callers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ClassBurn {
    /// Name, `all` for all classes together.
    pub class: String,
    /// Short window.
    pub short: WindowBurn,
    /// Long window.
    pub long: WindowBurn,
    /// Share of the error budget that is left, in percent; negative if it is overspent.
    pub budget_left_percent: f64,
}

/// Requests in a window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub struct WindowBurn {
    /// Part of the window for which there are counters, in seconds.
    pub covered_seconds: f64,
    /// Requests.
    pub requests: f64,
    /// Bad requests.
    pub bad: f64,
    /// Burn rate.
    pub rate: f64,
}

/// Cause of bad requests.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Cause {
    /// Outcome and reason; `answered late` for answers beyond the objective's latency.
    pub cause: String,
    /// Requests.
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

/// Computes the burn of all services of a document from snapshots in the order of their time.
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
    let increase = |length| Increase::over(snapshots, &service.name, objective.latency, length);
    let (short, long) = (increase(windows.short), increase(windows.long));
    let whole = increase(objective.window);
    let names = document.classes.iter().map(|c| c.name.as_str());
    let classes = std::iter::once(None).chain(names.map(Some));
    let classes = classes.map(|class| ClassBurn {
        class: class.unwrap_or("all").to_owned(),
        short: short.burn(class, objective),
        long: long.burn(class, objective),
        budget_left_percent: budget_left(whole.burn(class, objective), objective),
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

/// Extrapolates the requests of the whole window from the covered part.
fn budget_left(burn: WindowBurn, objective: document::Objective) -> f64 {
    let covered = burn.covered_seconds / objective.window.as_secs_f64();
    100.0 * (1.0 - burn.rate * covered.min(1.0))
}

/// Requests that were added in a window.
#[derive(Debug, Default)]
struct Increase {
    covered: time::Duration,
    requests: BTreeMap<String, f64>,
    /// Bad requests by class and cause.
    bad: BTreeMap<(String, String), f64>,
}

impl Increase {
    fn over(
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
        let from_ms = newest.at_ms.saturating_sub(length);
        // The window begins at the last snapshot before it, or else at the first one.
        let first = snapshots.partition_point(|s| s.at_ms <= from_ms);
        let window = &snapshots[first.saturating_sub(1)..];
        let mut begin = window[0].at_ms;
        // Counters of a process that started within the window began at zero.
        let zero_from = if first == 0 { from_ms } else { begin };
        for (i, snapshot) in window.iter().enumerate() {
            for (addr, node) in &snapshot.nodes {
                let start_ms = node.incarnation.0 / 1000;
                let earlier = last_seen(&window[..i], addr);
                if earlier.is_none() && start_ms < zero_from {
                    continue;
                }
                if earlier.is_none() {
                    begin = begin.min(start_ms);
                }
                let same = earlier.filter(|e| e.incarnation == node.incarnation);
                increase.add(node, same, service, latency);
            }
        }
        increase.covered = time::Duration::from_millis(newest.at_ms.saturating_sub(begin));
        increase
    }

    fn add(
        &mut self,
        node: &snapshot::NodeCounters,
        before: Option<&snapshot::NodeCounters>,
        service: &str,
        latency: time::Duration,
    ) {
        let earlier = |c: &snapshot::RequestCount| {
            let same = |o: &&snapshot::RequestCount| {
                (&o.service, &o.class, &o.outcome, &o.reason)
                    == (&c.service, &c.class, &c.outcome, &c.reason)
            };
            let known = before.and_then(|b| b.requests.iter().find(same));
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
            let earlier = before.and_then(|b| b.latency.iter().find(same));
            let late = |l: &snapshot::LatencyHistogram| l.count - within(&l.buckets, latency);
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
        let wanted = |name: &String| class.is_none_or(|c| c == name);
        let requests = self.requests.iter().filter(|(c, _)| wanted(c));
        let requests = requests.fold(0.0, |sum, (_, n)| sum + n);
        let bad = self.bad.iter().filter(|((c, _), _)| wanted(c));
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
        causes.truncate(TOP_CAUSES);
        causes
    }
}

fn last_seen<'a>(
    snapshots: &'a [snapshot::Snapshot],
    addr: &str,
) -> Option<&'a snapshot::NodeCounters> {
    snapshots.iter().rev().find_map(|s| s.nodes.get(addr))
}

/// Returns the number of requests up to a latency, interpolated between the bounds of buckets.
fn within(buckets: &[(f64, f64)], latency: time::Duration) -> f64 {
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
