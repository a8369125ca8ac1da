//! Results of a load run: outcomes, latencies and unavailability of keys.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Maximum recorded latency, in microseconds; larger values are clamped.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Number of keys listed with the longest unavailability.
const WORST_KEYS: usize = 5;

/// Outcome of a request as observed by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A complete answer to this request was received.
    Answered,
    /// The request provably did not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request was rejected as invalid.
    Invalid,
    /// The answer belongs to another request, is incomplete or lacks an outcome.
    Wrong,
}

impl Outcome {
    /// Returns the name of the outcome.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Invalid => "invalid",
            Self::Wrong => "wrong",
        }
    }
}

/// Result of one request. Times are relative to the start of the run.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Index of the key.
    pub key: usize,
    /// Scheduled time.
    pub due: time::Duration,
    /// Time at which it was sent.
    pub sent: time::Duration,
    /// Time at which its outcome was known.
    pub done: time::Duration,
    /// Outcome.
    pub outcome: Outcome,
    /// Reason, or the HTTP status of an answer.
    pub reason: String,
}

/// Summary of a run.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Summary {
    /// Seed of the workload.
    pub seed: u64,
    /// Number of requests.
    pub requests: usize,
    /// Scheduled rate, in requests per second.
    pub rate: f64,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// Number of requests by outcome and reason.
    pub reasons: BTreeMap<String, usize>,
    /// Latency of answered requests, measured from their scheduled times.
    pub answered_ms: LatencyQuantiles,
    /// Latency of all other requests, measured from their scheduled times.
    pub failed_ms: LatencyQuantiles,
    /// Delay between the scheduled and the actual send time, which grows if there are too few workers.
    pub send_delay_ms: LatencyQuantiles,
    /// Unavailability of keys.
    pub unavailable: Unavailability,
    /// Number of requests scheduled in each second of the run, by outcome.
    pub seconds: Vec<BTreeMap<&'static str, usize>>,
}

/// Latency quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
#[derive(Serialize)]
pub struct LatencyQuantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

/// Unavailability of keys: the longest time during which requests for a key were due but none was
/// answered.
///
/// For rarely requested keys it is an upper bound, because it ends only with the next answered request.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct Unavailability {
    /// Number of keys that were requested.
    pub keys: usize,
    /// Maximum over keys, in milliseconds.
    pub max_ms: f64,
    /// 99th percentile over keys, in milliseconds.
    pub p99_ms: f64,
    /// Number of keys unavailable for more than one second.
    pub over_1s: usize,
    /// Keys with the longest unavailability: index and time in milliseconds.
    pub worst: Vec<(usize, f64)>,
}

/// Summarizes the results of all requests.
#[must_use]
pub fn summarize(samples: &[Sample], rate: f64, seed: u64) -> Summary {
    let mut outcomes = BTreeMap::new();
    let mut reasons = BTreeMap::new();
    let mut seconds: Vec<BTreeMap<_, _>> = Vec::new();
    for s in samples {
        let name = s.outcome.name();
        *outcomes.entry(name).or_default() += 1;
        *reasons.entry(format!("{name} {}", s.reason)).or_default() += 1;
        let second = usize::try_from(s.due.as_secs()).unwrap_or(usize::MAX);
        while seconds.len() <= second {
            seconds.push(BTreeMap::new());
        }
        *seconds[second].entry(name).or_default() += 1;
    }
    let (answered, failed): (Vec<_>, Vec<_>) =
        samples.iter().partition(|s| s.outcome == Outcome::Answered);
    Summary {
        seed,
        requests: samples.len(),
        rate,
        outcomes,
        reasons,
        answered_ms: latency(answered.iter().map(|s| s.done.saturating_sub(s.due))),
        failed_ms: latency(failed.iter().map(|s| s.done.saturating_sub(s.due))),
        send_delay_ms: latency(samples.iter().map(|s| s.sent.saturating_sub(s.due))),
        unavailable: unavailable(samples),
        seconds,
    }
}

fn latency(values: impl Iterator<Item = time::Duration>) -> LatencyQuantiles {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3)
        .expect("the bounds of the histogram are valid");
    for value in values {
        let us = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(us);
    }
    let ms = |us: u64| us as f64 / 1000.0;
    LatencyQuantiles {
        count: histogram.len(),
        p50: ms(histogram.value_at_quantile(0.5)),
        p90: ms(histogram.value_at_quantile(0.9)),
        p99: ms(histogram.value_at_quantile(0.99)),
        p999: ms(histogram.value_at_quantile(0.999)),
        max: ms(histogram.max()),
    }
}

fn unavailable(samples: &[Sample]) -> Unavailability {
    let mut by_key: BTreeMap<usize, Vec<&Sample>> = BTreeMap::new();
    for s in samples {
        by_key.entry(s.key).or_default().push(s);
    }
    let mut gaps: Vec<_> = by_key
        .iter()
        .map(|(key, samples)| (*key, longest_gap(samples).as_secs_f64() * 1000.0))
        .collect();
    gaps.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    Unavailability {
        keys: gaps.len(),
        max_ms: gaps.first().map(|g| g.1).unwrap_or_default(),
        p99_ms: gaps.get(gaps.len() / 100).map(|g| g.1).unwrap_or_default(),
        over_1s: gaps.iter().filter(|g| g.1 > 1000.0).count(),
        worst: gaps.into_iter().take(WORST_KEYS).collect(),
    }
}

/// Returns the longest time from the first request that is due after an answer to the next answer.
///
/// Idle time of a key does not count. The wait of a request that is answered late does.
fn longest_gap(samples: &[&Sample]) -> time::Duration {
    let mut due: Vec<_> = samples.iter().map(|s| s.due).collect();
    due.sort_unstable();
    let answered = samples.iter().filter(|s| s.outcome == Outcome::Answered);
    let mut answers: Vec<_> = answered.map(|s| s.done).collect();
    answers.sort_unstable();
    let end = samples.iter().map(|s| s.done).max();
    let mut previous = time::Duration::ZERO;
    let mut longest = time::Duration::ZERO;
    for gap_end in answers.into_iter().chain(end) {
        let first = due.get(due.partition_point(|d| *d < previous));
        if let Some(first) = first {
            longest = longest.max(gap_end.saturating_sub(*first));
        }
        previous = gap_end;
    }
    longest
}

impl Summary {
    /// Returns the number of wrong answers.
    #[must_use]
    pub fn wrong_count(&self) -> usize {
        let wrong = self.outcomes.get(Outcome::Wrong.name());
        wrong.copied().unwrap_or_default()
    }

    /// Formats the summary as a table for a terminal.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = String::new();
        let all = self.requests.max(1) as f64;
        let _ = writeln!(
            out,
            "{} requests at {:.0}/s, seed {}\n",
            self.requests, self.rate, self.seed
        );
        let _ = writeln!(out, "{:<32} {:>9} {:>8}", "outcome", "requests", "share");
        for (name, count) in &self.reasons {
            let share = *count as f64 * 100.0 / all;
            let _ = writeln!(out, "{name:<32} {count:>9} {share:>7.2}%");
        }
        let _ = writeln!(
            out,
            "\n{:<14} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "latency ms", "p50", "p90", "p99", "p99.9", "max"
        );
        for (name, l) in [
            ("answered", &self.answered_ms),
            ("others", &self.failed_ms),
            ("sent late by", &self.send_delay_ms),
        ] {
            let _ = writeln!(
                out,
                "{name:<14} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
                l.p50, l.p90, l.p99, l.p999, l.max
            );
        }
        let u = &self.unavailable;
        let _ = writeln!(
            out,
            "\nunavailable time of {} keys: p99 {:.0} ms, max {:.0} ms, {} over 1 s",
            u.keys, u.p99_ms, u.max_ms, u.over_1s
        );
        out
    }
}
