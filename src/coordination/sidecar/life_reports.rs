//! Limit on the requests that one life of a backend server makes suspects.

use std::time::Duration;

use crate::state::clock::Instant;

/// Time in which one life of a backend server makes no more new suspects than it has slots.
const REPORT_WINDOW: Duration = Duration::from_secs(10);

/// New suspects of the life of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct LifeReports {
    life: u64,
    since: Instant,
    count: usize,
}

impl LifeReports {
    /// Counts a new suspect; returns whether there is room for it.
    #[must_use]
    pub fn add(current: &mut Option<Self>, life: u64, limit: usize, now: Instant) -> bool {
        let is_current = |r: &Self| r.life == life && now.since(r.since) < REPORT_WINDOW;
        let reports = current.take().filter(is_current);
        let mut reports = reports.unwrap_or(Self {
            life,
            since: now,
            count: 0,
        });
        reports.count += 1;
        *current = Some(reports);
        reports.count <= limit
    }
}
