//! Whether the local backend server is cold, and how many requests may start because of that.
//!
//! A cold backend server takes few requests, and it may become cold at any time without saying so. Two
//! rates keep requests below the bound that the deployment sets for any one second. While it is cold, or
//! not known to be warm, requests start at the warm-up rate. While it is warm, only a budget of requests
//! may start within a second since a health check last found it warm; the next ones start at the
//! warm-up rate until a check answers. The budget, the warm-up rate and a burst of the token bucket
//! together stay below the bound, whenever the backend server became cold.
//!
//! A heartbeat may be late, so it can tell that the backend server is cold, but not that it is still
//! warm. A health check is known to be newer than the sending of its request.
//!
//! Nothing here does input or output: time is passed in.

use std::collections::VecDeque;
use std::time::Duration;

use crate::coordination::sidecar::rate_limiter;
use crate::state::clock::Instant;
use crate::state::sidecar_settings::WarmupExcess;

/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(1);

/// Requests by which the bound is not used up; requests that started at different times may arrive
/// together on a slow host.
const MARGIN: f64 = 1.5;

/// Least budget of requests without a health check, also if the bound leaves less.
const MIN_BUDGET: f64 = 4.0;

/// Share of the bound that the warm-up rate may take; the rest is for a burst.
const MAX_RATE_SHARE: f64 = 0.8;

/// Share of the slack that is taken as the warm-up rate before the configuration is known.
const UNKNOWN_RATE_SHARE: f64 = 0.5;

/// Share of the budget after which a health check is due, so that its answer comes before the budget is
/// used up.
const CHECK_SHARE: f64 = 0.6;

/// Minimum interval between two health checks.
pub const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval after a health check that failed.
const FAILURE_INTERVAL: Duration = Duration::from_millis(500);

/// Limits of a service whose backend servers warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupLimits {
    /// Requests per second that a cold backend server gets.
    pub rate: f64,
    /// Whole number of requests that may start within a second without a health check.
    pub budget: f64,
}

impl WarmupLimits {
    /// Derives the limits from the warm-up rate of a service, `None` if it isn't known yet, and from what
    /// the deployment allows above it.
    #[must_use]
    pub fn new(rate: Option<f64>, excess: WarmupExcess) -> Self {
        let rate = rate.unwrap_or(UNKNOWN_RATE_SHARE * excess.slack);
        let bound = rate * excess.ratio + excess.slack;
        let rate = rate.min(MAX_RATE_SHARE * bound);
        let left = bound - rate - rate_limiter::burst(rate) - MARGIN;
        Self {
            rate,
            budget: left.max(MIN_BUDGET).floor(),
        }
    }
}

/// Limit on the requests that may start now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StartLimit {
    /// The backend server is cold or not known to be warm: requests per second.
    Cold(f64),
    /// It was warm when it was last checked, and a check is due: requests per second until it answers.
    Unchecked(f64),
}

impl StartLimit {
    /// Returns the requests per second.
    #[must_use]
    pub fn rate(self) -> f64 {
        match self {
            Self::Cold(rate) | Self::Unchecked(rate) => rate,
        }
    }
}

/// What is known of the warm-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing that a health check has confirmed.
    Unknown,
    /// Cold until a time, and after it until a health check has answered.
    Cold {
        until: Instant,
    },
    Warm,
}

/// Result of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// The backend server stated its remaining warm-up time, zero if it is warm.
    Answered(Duration),
    /// It was refused, late, or didn't state it.
    Failed,
    /// The backend server's port is closed, so it will be cold when it is back.
    Unreachable,
}

/// Warm-up of the local backend server.
#[derive(Debug, Clone)]
pub struct Warmup {
    limits: WarmupLimits,
    phase: Phase,
    /// Starts of the last requests since the last successful health check, at most the budget.
    unchecked: VecDeque<Instant>,
    /// Time at which the last health check was sent.
    sent_at: Option<Instant>,
    in_progress: bool,
    /// Whether the last health check has failed and no heartbeat has come since.
    failed: bool,
    /// Arrival of the last heartbeat.
    heartbeat: Option<Instant>,
    /// Arrival of the last heartbeat that said that it is cold.
    cold_heartbeat: Option<Instant>,
    /// Time at which the present incarnation became known.
    since: Option<Instant>,
}

impl Warmup {
    /// Creates the state of a backend server of which nothing is known.
    #[must_use]
    pub fn new(limits: WarmupLimits) -> Self {
        Self {
            limits,
            phase: Phase::Unknown,
            unchecked: VecDeque::new(),
            sent_at: None,
            in_progress: false,
            failed: false,
            heartbeat: None,
            cold_heartbeat: None,
            since: None,
        }
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> WarmupLimits {
        self.limits
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: WarmupLimits) {
        self.limits = limits;
    }

    /// Forgets what was known of the warm-up, because another incarnation has taken the address. The
    /// requests that have started count on.
    pub fn reset(&mut self, now: Instant) {
        self.phase = Phase::Unknown;
        self.since = Some(now);
        self.failed = false;
        self.heartbeat = None;
        self.cold_heartbeat = None;
    }

    /// Records a heartbeat that arrived at `received`, with the end of the warm-up that it stated.
    pub fn record_heartbeat(&mut self, warmup_end: Instant, received: Instant) {
        if self.heartbeat == Some(received) {
            return;
        }
        self.heartbeat = Some(received);
        self.failed = false;
        if warmup_end > received {
            self.cold_heartbeat = Some(received);
            let until = match self.phase {
                Phase::Cold { until } => until.max(warmup_end),
                Phase::Unknown | Phase::Warm => warmup_end,
            };
            self.phase = Phase::Cold { until };
        }
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Instant) {
        self.unchecked.push_back(now);
        if self.unchecked.len() as f64 > self.limits.budget {
            self.unchecked.pop_front();
        }
    }

    /// Records that a health check is sent.
    pub fn record_check(&mut self, now: Instant) {
        self.sent_at = Some(now);
        self.in_progress = true;
    }

    /// Records the result of the health check that was sent last.
    pub fn record_result(&mut self, result: Check, now: Instant) {
        self.in_progress = false;
        let sent = self.sent_at.unwrap_or(now);
        if self.since.is_some_and(|at| at > sent) {
            // It may concern the previous incarnation.
            return;
        }
        self.failed = matches!(result, Check::Failed | Check::Unreachable);
        let told_since = self.cold_heartbeat.is_some_and(|at| at > sent);
        match result {
            Check::Answered(left) if !left.is_zero() => {
                self.phase = Phase::Cold { until: now + left };
            }
            Check::Answered(_) => {
                self.unchecked.retain(|at| *at > sent);
                if !told_since {
                    self.phase = Phase::Warm;
                }
            }
            Check::Unreachable => {
                self.phase = Phase::Unknown;
                self.heartbeat = None;
            }
            // What heartbeats have said last holds; without any, nothing is known.
            Check::Failed => match self.phase {
                Phase::Cold { until } if until > now => {}
                Phase::Unknown if self.heartbeat.is_none() => {}
                Phase::Unknown | Phase::Cold { .. } | Phase::Warm => self.phase = Phase::Warm,
            },
        }
    }

    /// Returns the number of requests that started within the window and since the last health check,
    /// up to the budget.
    fn unchecked(&self, now: Instant) -> f64 {
        let recent = |at: &&Instant| now.since(**at) < WINDOW;
        self.unchecked.iter().rev().take_while(recent).count() as f64
    }

    /// Returns whether the backend server is cold or not known to be warm.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.phase != Phase::Warm
    }

    /// Returns the known rest of the warm-up.
    #[must_use]
    pub fn left(&self, now: Instant) -> Duration {
        match self.phase {
            Phase::Cold { until } => until.since(now),
            Phase::Unknown | Phase::Warm => Duration::ZERO,
        }
    }

    /// Returns the limit on requests that start now, if there is one.
    #[must_use]
    pub fn start_limit(&self, now: Instant) -> Option<StartLimit> {
        let rate = self.limits.rate;
        match self.phase {
            Phase::Unknown | Phase::Cold { .. } => Some(StartLimit::Cold(rate)),
            Phase::Warm if self.failed || self.unchecked(now) < self.limits.budget => None,
            Phase::Warm => Some(StartLimit::Unchecked(rate)),
        }
    }

    /// Returns the time until the next health check; `None` if none is needed yet.
    #[must_use]
    pub fn next_check(&self, now: Instant) -> Option<Duration> {
        if self.in_progress {
            return None;
        }
        let interval = if self.failed {
            FAILURE_INTERVAL
        } else {
            MIN_INTERVAL
        };
        let earliest = self.sent_at.map_or(now, |at| at + interval);
        let at = match self.phase {
            Phase::Unknown => earliest,
            Phase::Cold { until } => earliest.max(until),
            Phase::Warm if self.unchecked(now) >= CHECK_SHARE * self.limits.budget => earliest,
            Phase::Warm => return None,
        };
        Some(at.since(now))
    }
}
