//! Snapshots of the request counters of all nodes, and the history file that keeps them between
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

/// Nodes that are asked at the same time.
const PARALLEL: usize = 32;

/// Snapshots that the history keeps in full; of older ones every second is dropped again and again.
const KEPT: usize = 400;

/// Counters of all nodes at one time.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Time since the Unix epoch, in milliseconds.
    pub at_ms: u64,
    /// Nodes by admin address.
    pub nodes: BTreeMap<String, NodeCounters>,
}

/// Counters of one node since its start.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NodeCounters {
    /// Start of the process, which is also the start of its counters.
    pub incarnation: ids::Incarnation,
    /// Requests by service, class, outcome and reason.
    pub requests: Vec<RequestCount>,
    /// Latency of answered requests by service and class.
    pub latency: Vec<LatencyHistogram>,
}

/// Requests of one kind.
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

/// Latency of answered requests.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LatencyHistogram {
    /// Service.
    pub service: String,
    /// Class of callers.
    pub class: String,
    /// Requests.
    pub count: f64,
    /// Upper bound in seconds and number of requests up to it, in order, for the finite bounds.
    pub buckets: Vec<(f64, f64)>,
}

/// Asks all nodes; those that do not answer are returned separately.
#[must_use]
pub fn collect(addrs: &[net::SocketAddr]) -> (Snapshot, Vec<net::SocketAddr>) {
    let at = ids::wall_time().as_millis();
    let (jobs, queue) = channel::unbounded();
    let queued = addrs.iter().all(|addr| jobs.send(*addr).is_ok());
    debug_assert!(queued, "the queue is open");
    drop(jobs);
    let (done, results) = channel::unbounded();
    thread::scope(|scope| {
        for _ in 0..PARALLEL.min(addrs.len()) {
            let (queue, done) = (queue.clone(), done.clone());
            scope.spawn(move || {
                let sent = queue
                    .iter()
                    .all(|addr| done.send((addr, ask(addr))).is_ok());
                debug_assert!(sent, "the results are still read");
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
                tracing::debug!(event = 661, node = %addr, error = %e, "node does not answer");
                silent.push(addr);
            }
        }
    }
    silent.sort_unstable();
    let at_ms = u64::try_from(at).unwrap_or(u64::MAX);
    (Snapshot { at_ms, nodes }, silent)
}

fn ask(addr: net::SocketAddr) -> eyre::Result<NodeCounters> {
    let status = admin_client::status(addr)?;
    let samples = exposition::parse(&admin_client::metrics(addr)?)?;
    Ok(from_samples(status.node.incarnation, &samples))
}

/// Picks the request counters from all samples of a node.
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
        let bucket = s.name == "filbertflow_request_seconds_bucket";
        if let (true, "answered", Ok(bound)) = (bucket, s.label("outcome"), bound) {
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

/// Reads the history; a missing file is an empty history.
///
/// # Errors
///
/// Returns an error if the file can't be read or is not a history.
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

/// Writes the history, without the snapshots that are too old to be of use.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn save(file: &str, snapshots: &[Snapshot], keep: time::Duration) -> eyre::Result<()> {
    let newest = snapshots.last().map(|s| s.at_ms).unwrap_or_default();
    let oldest = newest.saturating_sub(u64::try_from(keep.as_millis()).unwrap_or(u64::MAX));
    let mut kept: Vec<_> = snapshots.iter().filter(|s| s.at_ms >= oldest).collect();
    while kept.len() > KEPT {
        thin(&mut kept);
    }
    let mut text = Vec::new();
    for snapshot in kept {
        serde_json::to_writer(&mut text, snapshot)?;
        text.write_all(b"\n")?;
    }
    // Renaming keeps the earlier history whole if the process ends while it writes.
    let temporary = format!("{file}.new");
    fs::write(&temporary, text).wrap_err_with(|| format!("can't write {temporary}"))?;
    fs::rename(&temporary, file).wrap_err_with(|| format!("can't replace {file}"))
}

/// Drops every second snapshot of the older half.
fn thin(kept: &mut Vec<&Snapshot>) {
    let half = kept.len() / 2;
    let mut i = 0;
    kept.retain(|_| {
        i += 1;
        i > half || i % 2 == 1
    });
}
