//! Checks the journals of all backend servers of a run against what the callers were told.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;

use crate::caller::{Call, Outcome};

/// Time after the announcement of a drain until which new work may start.
pub const DRAIN_LIMIT_NS: u64 = 5_000_000_000;

/// Line of a journal.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct Line {
    /// Time on `CLOCK_BOOTTIME` in nanoseconds.
    pub at: u64,
    /// What happened.
    pub event: Event,
    /// Name of the server.
    pub server: String,
    /// Identifier of the request.
    #[serde(default)]
    pub id: String,
    /// Attempt.
    #[serde(default)]
    pub attempt: String,
    /// Key; empty if there is none.
    #[serde(default)]
    pub key: String,
    /// Fencing token.
    #[serde(default)]
    pub token: String,
    /// Whether the request may run more than once.
    #[serde(default)]
    pub idempotent: bool,
}

/// What a line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// Work began.
    Start,
    /// Work took effect.
    End,
    /// Work was given up without effect.
    Abort,
    /// A request was refused.
    Refusal,
    /// The server announced that it drains.
    Drain,
}

/// Violation of a guarantee.
#[expect(missing_docs, reason = "each variant describes its fields")]
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// Two servers served a key in overlapping time.
    TwoOwners { key: String, servers: [String; 2] },
    /// Two servers served a key with the same token.
    SharedToken { key: String, token: String },
    /// A request that may run once ran more often.
    RanTwice { id: String },
    /// A caller was told "not run" about a request that ran.
    RanAfterAll { id: String },
    /// A caller got an answer to a request that did not run.
    AnsweredWithoutRun { id: String },
    /// A caller got an answer that isn't the complete answer to its request.
    ForeignAnswer { id: String, defect: String },
    /// A leaving server got new work too late.
    WorkAfterDrain { server: String, id: String },
}

/// Work of a server on one request.
#[derive(Debug, Clone)]
struct Run {
    server: String,
    id: String,
    key: String,
    token: String,
    idempotent: bool,
    start: u64,
    /// `None` if the server was lost or is frozen in the middle.
    end: Option<u64>,
}

/// Time in which a server served a key under one version of its slice.
#[derive(Debug)]
struct Span {
    server: String,
    token: String,
    first: u64,
    last: u64,
}

/// Reads a journal. The last line may be cut off, because its server was killed.
pub fn parse(text: &str) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut rest = text.lines().peekable();
    while let Some(line) = rest.next() {
        match serde_json::from_str(line) {
            Ok(line) => lines.push(line),
            Err(e) => assert!(rest.peek().is_none(), "invalid journal line {line}: {e}"),
        }
    }
    lines
}

/// Returns all violations, sorted.
pub fn check(lines: &[Line], calls: &[Call]) -> Vec<Violation> {
    let runs = runs(lines);
    let mut violations = two_owners(&runs);
    violations.extend(ran_twice(&runs));
    violations.extend(calls.iter().filter_map(|c| ran_after_all(c, calls, &runs)));
    violations.extend(calls.iter().filter_map(|c| without_run(c, &runs)));
    violations.extend(calls.iter().filter_map(foreign_answer));
    violations.extend(work_after_drain(lines));
    violations.sort();
    violations.dedup();
    violations
}

/// Pairs starts and ends; work that was given up had no effect and is left out.
fn runs(lines: &[Line]) -> Vec<Run> {
    let mut open: BTreeMap<(&str, &str, &str), Vec<Run>> = BTreeMap::new();
    let mut done = Vec::new();
    for line in lines {
        let name = (
            line.server.as_str(),
            line.id.as_str(),
            line.attempt.as_str(),
        );
        match line.event {
            Event::Start => open.entry(name).or_default().push(Run {
                server: line.server.clone(),
                id: line.id.clone(),
                key: line.key.clone(),
                token: line.token.clone(),
                idempotent: line.idempotent,
                start: line.at,
                end: None,
            }),
            Event::End => {
                if let Some(mut run) = open.get_mut(&name).and_then(Vec::pop) {
                    run.end = Some(line.at);
                    done.push(run);
                }
            }
            Event::Abort => {
                open.get_mut(&name).and_then(Vec::pop);
            }
            Event::Refusal | Event::Drain => {}
        }
    }
    done.extend(open.into_values().flatten());
    done
}

fn two_owners(runs: &[Run]) -> Vec<Violation> {
    let mut keys: BTreeMap<&str, BTreeMap<(&str, &str), Span>> = BTreeMap::new();
    for run in runs.iter().filter(|r| !r.key.is_empty()) {
        let version = run.token.split('.').next_back().unwrap_or_default();
        let end = run.end.unwrap_or(run.start);
        let span = keys
            .entry(&run.key)
            .or_default()
            .entry((&run.server, version))
            .or_insert_with(|| Span {
                server: run.server.clone(),
                token: run.token.clone(),
                first: run.start,
                last: end,
            });
        span.first = span.first.min(run.start);
        span.last = span.last.max(end);
    }
    let mut violations = Vec::new();
    for (key, spans) in keys {
        let spans: Vec<_> = spans.into_values().collect();
        for (i, a) in spans.iter().enumerate() {
            for b in spans[i + 1..].iter().filter(|b| b.server != a.server) {
                violations.extend(conflict(key, a, b));
            }
        }
    }
    violations
}

fn conflict(key: &str, a: &Span, b: &Span) -> Option<Violation> {
    let key = key.to_owned();
    if a.first <= b.last && b.first <= a.last {
        let servers = [a.server.clone(), b.server.clone()];
        return Some(Violation::TwoOwners { key, servers });
    }
    let token = a.token.clone();
    (a.token == b.token).then_some(Violation::SharedToken { key, token })
}

fn ran_twice(runs: &[Run]) -> Vec<Violation> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs.iter().filter(|r| !r.idempotent) {
        *counts.entry(&run.id).or_default() += 1;
    }
    counts
        .into_iter()
        .filter(|(_, n)| *n > 1)
        .map(|(id, _)| Violation::RanTwice { id: id.to_owned() })
        .collect()
}

/// A run belongs to another call of the same id if that call was open when the run started and was
/// not over before this call was sent.
fn ran_after_all(call: &Call, calls: &[Call], runs: &[Run]) -> Option<Violation> {
    if !matches!(call.outcome, Outcome::NotRun(_)) {
        return None;
    }
    let id = &call.request.id;
    let other = |run: &Run| {
        calls.iter().any(|c| {
            c.request.id == *id
                && !matches!(c.outcome, Outcome::NotRun(_))
                && c.sent <= run.start
                && run.start <= c.ended
                && c.ended > call.sent
        })
    };
    runs.iter()
        .any(|r| r.id == *id && !other(r))
        .then(|| Violation::RanAfterAll { id: id.clone() })
}

fn without_run(call: &Call, runs: &[Run]) -> Option<Violation> {
    let id = &call.request.id;
    let answered = matches!(call.outcome, Outcome::Answered(200..=299));
    let ran = || runs.iter().any(|r| r.id == *id && r.end.is_some());
    (answered && !ran()).then(|| Violation::AnsweredWithoutRun { id: id.clone() })
}

fn foreign_answer(call: &Call) -> Option<Violation> {
    let defect = call.defect.clone()?;
    let id = call.request.id.clone();
    Some(Violation::ForeignAnswer { id, defect })
}

fn work_after_drain(lines: &[Line]) -> Vec<Violation> {
    let mut drained: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines.iter().filter(|l| l.event == Event::Drain) {
        drained.entry(&line.server).or_insert(line.at);
    }
    lines
        .iter()
        .filter(|l| l.event == Event::Start)
        .filter(|l| {
            drained
                .get(l.server.as_str())
                .is_some_and(|at| l.at > at + DRAIN_LIMIT_NS)
        })
        .map(|l| Violation::WorkAfterDrain {
            server: l.server.clone(),
            id: l.id.clone(),
        })
        .collect()
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoOwners { key, servers } => {
                let [a, b] = servers;
                write!(f, "key {key} was served by {a} and {b} in overlapping time")
            }
            Self::SharedToken { key, token } => {
                write!(f, "key {key} was served by two servers with token {token}")
            }
            Self::RanTwice { id } => write!(f, "request {id} ran twice"),
            Self::RanAfterAll { id } => {
                write!(
                    f,
                    "request {id} ran although its caller was told that it did not"
                )
            }
            Self::AnsweredWithoutRun { id } => {
                write!(f, "request {id} was answered and did not run")
            }
            Self::ForeignAnswer { id, defect } => write!(f, "request {id}: {defect}"),
            Self::WorkAfterDrain { server, id } => {
                write!(f, "{server} started {id} too long after its drain")
            }
        }
    }
}
