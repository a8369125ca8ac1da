//! Snapshots of the request counters of all nodes, and the history file that stores them between
//! runs.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::{fs, io, net, thread, time};

use crossbeam::channel;
use eyre::WrapErr;
use serde::{Deserialize, Serialize};

use crate::protocol::exposition;
use crate::state::ids;
use crate::transport::admin_client;

/// Maximum number of nodes queried in parallel.
const MAX_PARALLEL_QUERIES: usize = 32;

/// Maximum number of snapshots in the history. Above it, every second snapshot of the older half is
/// dropped repeatedly.
const MAX_SNAPSHOTS: usize = 400;

/// Counters of all nodes at one point in time.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Time since the Unix epoch, in milliseconds.
    pub at_ms: u64,
    /// Counters of each node by its admin address.
    pub nodes: BTreeMap<String, NodeCounters>,
}

/// Counters of one node since its start.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NodeCounters {
    /// Incarnation of the process, which is also the start time of its counters in microseconds.
    pub incarnation: ids::Incarnation,
    /// Number of requests by service, class, outcome and reason.
    pub requests: Vec<RequestCount>,
    /// Latency of answered requests by service and class.
    pub latency: Vec<LatencyHistogram>,
}

/// Number of requests with the same labels.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RequestCount {
    /// Service.
    pub service: String,
    /// Class of callers.
    pub class: String,
    /// Outcome.
    pub outcome: String,
    /// Reason.
    pub reason: String,
    /// Number of requests.
    pub count: f64,
}

/// Latency histogram of answered requests of one service and class.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LatencyHistogram {
    /// Service.
    pub service: String,
    /// Class of callers.
    pub class: String,
    /// Number of requests.
    pub count: f64,
    /// Finite upper bounds in seconds, in ascending order, each with the cumulative number of requests.
    pub buckets: Vec<(f64, f64)>,
}

/// Collects the counters of all nodes. Nodes that do not answer are returned separately.
#[must_use]
pub fn collect(addrs: &[net::SocketAddr]) -> (Snapshot, Vec<net::SocketAddr>) {
    let at = ids::wall_time().as_millis();
    let (jobs, queue) = channel::unbounded();
    let queued = addrs.iter().all(|addr| jobs.send(*addr).is_ok());
    debug_assert!(queued, "the receiver still exists");
    drop(jobs);
    let (done, results) = channel::unbounded();
    thread::scope(|scope| {
        for _ in 0..MAX_PARALLEL_QUERIES.min(addrs.len()) {
            let (queue, done) = (queue.clone(), done.clone());
            scope.spawn(move || {
                let sent = queue
                    .iter()
                    .all(|addr| done.send((addr, fetch(addr))).is_ok());
                debug_assert!(sent, "the receiver still exists");
            });
        }
    });
    drop(done);
    let mut nodes = BTreeMap::new();
    let mut silent = Vec::new();
    for (addr, result) in results {
        match result {
            Ok(node) => {
                nodes.insert(addr.to_string(), node);
            }
            Err(e) => {
                tracing::debug!(event = 661, node = %addr, error = %e, "no answer from node");
                silent.push(addr);
            }
        }
    }
    silent.sort_unstable();
    let at_ms = u64::try_from(at).unwrap_or(u64::MAX);
    (Snapshot { at_ms, nodes }, silent)
}

fn fetch(addr: net::SocketAddr) -> eyre::Result<NodeCounters> {
    let status = admin_client::status(addr)?;
    let samples = exposition::parse(&admin_client::metrics(addr)?)?;
    Ok(from_samples(status.node.incarnation, &samples))
}

/// Extracts the request counters from the samples of a node.
#[must_use]
pub fn from_samples(incarnation: ids::Incarnation, samples: &[exposition::Sample]) -> NodeCounters {
    let mut requests = Vec::new();
    let mut buckets: BTreeMap<_, Vec<(f64, f64)>> = BTreeMap::new();
    for s in samples {
        let (service, class) = (s.label("service"), s.label("class"));
        if s.name == "filbertflow_requests_total" {
            requests.push(RequestCount {
                service: service.to_owned(),
                class: class.to_owned(),
                outcome: s.label("outcome").to_owned(),
                reason: s.label("reason").to_owned(),
                count: s.value,
            });
        }
        let bound = s.label("le").parse::<f64>();
        let is_bucket = s.name == "filbertflow_request_seconds_bucket";
        if let (true, "answered", Ok(bound)) = (is_bucket, s.label("outcome"), bound) {
            let key = (service.to_owned(), class.to_owned());
            buckets.entry(key).or_default().push((bound, s.value));
        }
    }
    let latency = buckets.into_iter().map(|((service, class), mut buckets)| {
        buckets.sort_by(|a, b| a.0.total_cmp(&b.0));
        let count = buckets.last().map(|b| b.1).unwrap_or_default();
        buckets.retain(|b| b.0.is_finite());
        LatencyHistogram {
            service,
            class,
            count,
            buckets,
        }
    });
    NodeCounters {
        incarnation,
        requests,
        latency: latency.collect(),
    }
}

/// Reads the history file. A missing file is an empty history.
///
/// # Errors
///
/// Returns an error if the file can't be read or a line is not a snapshot.
pub fn load(file: &str) -> eyre::Result<Vec<Snapshot>> {
    let text = match fs::read_to_string(file) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        text => text.wrap_err_with(|| format!("can't read {file}"))?,
    };
    let lines = text.lines().enumerate().map(|(i, line)| {
        serde_json::from_str(line).wrap_err_with(|| format!("{file}:{}: not a snapshot", i + 1))
    });
    lines.collect()
}

/// Writes the history file, without snapshots older than the retention period.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn save(file: &str, snapshots: &[Snapshot], retention: time::Duration) -> eyre::Result<()> {
    let newest = snapshots.last().map(|s| s.at_ms).unwrap_or_default();
    let oldest = newest.saturating_sub(u64::try_from(retention.as_millis()).unwrap_or(u64::MAX));
    let mut kept: Vec<_> = snapshots.iter().filter(|s| s.at_ms >= oldest).collect();
    while kept.len() > MAX_SNAPSHOTS {
        thin(&mut kept);
    }
    let mut text = Vec::new();
    for snapshot in kept {
        serde_json::to_writer(&mut text, snapshot)?;
        text.write_all(b"\n")?;
    }
    // The rename replaces the file in one step, so that the previous history stays intact if the
    // process ends while writing.
    let temporary = format!("{file}.new");
    fs::write(&temporary, text).wrap_err_with(|| format!("can't write {temporary}"))?;
    fs::rename(&temporary, file).wrap_err_with(|| format!("can't replace {file}"))
}

/// Removes every second snapshot of the older half.
fn thin(kept: &mut Vec<&Snapshot>) {
    let half = kept.len() / 2;
    let mut i = 0;
    kept.retain(|_| {
        i += 1;
        i > half || i % 2 == 1
    });
}
