//! Checks the journals of all backend servers against the outcomes that callers observed.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;

use crate::caller::{Call, Outcome};

/// Time after the announcement of a drain within which requests may still start, in nanoseconds.
pub const DRAIN_LIMIT_NS: u64 = 5_000_000_000;

/// Line of the journal that a backend stand-in writes.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct Line {
    /// Time on `CLOCK_BOOTTIME` in nanoseconds.
    pub at: u64,
    /// Kind of event.
    pub event: Event,
    /// Name of the server.
    pub server: String,
    /// Identifier of the request.
    #[serde(default)]
    pub id: String,
    /// Identifier of the attempt.
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

/// Kind of event in a journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The execution of a request started.
    Start,
    /// The execution ended and took effect.
    End,
    /// The execution was aborted without effect.
    Abort,
    /// A request was refused.
    Refusal,
    /// The server announced its drain.
    Drain,
}

/// Violation of a guarantee.
#[expect(missing_docs, reason = "each variant describes its fields")]
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// Two servers served a key during overlapping periods.
    TwoOwners { key: String, servers: [String; 2] },
    /// Two servers served a key with the same token.
    SharedToken { key: String, token: String },
    /// A request that is not idempotent ran more than once.
    RanTwice { id: String },
    /// A request ran although its caller got the outcome "not-run".
    RanAfterAll { id: String },
    /// A caller got a successful response to a request that did not run.
    AnsweredWithoutRun { id: String },
    /// A caller got a response that is not the complete response to its request.
    ForeignAnswer { id: String, defect: String },
    /// A draining server started a request after the drain limit.
    WorkAfterDrain { server: String, id: String },
}

/// Execution of a request by a server.
#[derive(Debug, Clone)]
struct Execution {
    server: String,
    id: String,
    key: String,
    token: String,
    idempotent: bool,
    start: u64,
    /// `None` if the server was killed or is still suspended during the execution.
    end: Option<u64>,
}

/// Period in which a server served a key under one version of its slice.
#[derive(Debug)]
struct Span {
    server: String,
    token: String,
    first: u64,
    last: u64,
}

/// Parses a journal. The last line may be incomplete if the server was killed while writing it.
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

/// Returns all violations, sorted and without duplicates.
pub fn check(lines: &[Line], calls: &[Call]) -> Vec<Violation> {
    let executions = pair_executions(lines);
    let mut violations = two_owners(&executions);
    violations.extend(ran_twice(&executions));
    violations.extend(
        calls
            .iter()
            .filter_map(|c| ran_after_refusal(c, calls, &executions)),
    );
    violations.extend(calls.iter().filter_map(|c| without_run(c, &executions)));
    violations.extend(calls.iter().filter_map(foreign_answer));
    violations.extend(work_after_drain(lines));
    violations.sort();
    violations.dedup();
    violations
}

/// Pairs starts with ends. Aborted executions had no effect and are omitted.
fn pair_executions(lines: &[Line]) -> Vec<Execution> {
    let mut open: BTreeMap<(&str, &str, &str), Vec<Execution>> = BTreeMap::new();
    let mut done = Vec::new();
    for line in lines {
        let attempt = (
            line.server.as_str(),
            line.id.as_str(),
            line.attempt.as_str(),
        );
        match line.event {
            Event::Start => open.entry(attempt).or_default().push(Execution {
                server: line.server.clone(),
                id: line.id.clone(),
                key: line.key.clone(),
                token: line.token.clone(),
                idempotent: line.idempotent,
                start: line.at,
                end: None,
            }),
            Event::End => {
                if let Some(mut execution) = open.get_mut(&attempt).and_then(Vec::pop) {
                    execution.end = Some(line.at);
                    done.push(execution);
                }
            }
            Event::Abort => {
                open.get_mut(&attempt).and_then(Vec::pop);
            }
            Event::Refusal | Event::Drain => {}
        }
    }
    done.extend(open.into_values().flatten());
    done
}

fn two_owners(executions: &[Execution]) -> Vec<Violation> {
    let mut keys: BTreeMap<&str, BTreeMap<(&str, &str), Span>> = BTreeMap::new();
    for execution in executions.iter().filter(|r| !r.key.is_empty()) {
        let version = execution.token.split('.').next_back().unwrap_or_default();
        let end = execution.end.unwrap_or(execution.start);
        let span = keys
            .entry(&execution.key)
            .or_default()
            .entry((&execution.server, version))
            .or_insert_with(|| Span {
                server: execution.server.clone(),
                token: execution.token.clone(),
                first: execution.start,
                last: end,
            });
        span.first = span.first.min(execution.start);
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

fn ran_twice(executions: &[Execution]) -> Vec<Violation> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for execution in executions.iter().filter(|r| !r.idempotent) {
        *counts.entry(&execution.id).or_default() += 1;
    }
    counts
        .into_iter()
        .filter(|(_, n)| *n > 1)
        .map(|(id, _)| Violation::RanTwice { id: id.to_owned() })
        .collect()
}

/// Detects an execution after a refusal. An execution belongs to another call with the same id if that
/// call was open when the execution started and ended after this call was sent.
fn ran_after_refusal(call: &Call, calls: &[Call], executions: &[Execution]) -> Option<Violation> {
    if !matches!(call.outcome, Outcome::NotRun(_)) {
        return None;
    }
    let id = &call.request.id;
    let belongs_to_other = |execution: &Execution| {
        calls.iter().any(|c| {
            c.request.id == *id
                && !matches!(c.outcome, Outcome::NotRun(_))
                && c.sent <= execution.start
                && execution.start <= c.ended
                && c.ended > call.sent
        })
    };
    executions
        .iter()
        .any(|r| r.id == *id && !belongs_to_other(r))
        .then(|| Violation::RanAfterAll { id: id.clone() })
}

fn without_run(call: &Call, executions: &[Execution]) -> Option<Violation> {
    let id = &call.request.id;
    let answered = matches!(call.outcome, Outcome::Answered(200..=299));
    let ran = || executions.iter().any(|r| r.id == *id && r.end.is_some());
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
                write!(
                    f,
                    "key {key} was served by {a} and {b} during overlapping periods"
                )
            }
            Self::SharedToken { key, token } => {
                write!(f, "key {key} was served by two servers with token {token}")
            }
            Self::RanTwice { id } => write!(f, "request {id} ran twice"),
            Self::RanAfterAll { id } => {
                write!(
                    f,
                    "request {id} ran although its caller got the outcome not-run"
                )
            }
            Self::AnsweredWithoutRun { id } => {
                write!(f, "request {id} was answered but did not run")
            }
            Self::ForeignAnswer { id, defect } => write!(f, "request {id}: {defect}"),
            Self::WorkAfterDrain { server, id } => {
                write!(f, "{server} started request {id} after the drain limit")
            }
        }
    }
}
