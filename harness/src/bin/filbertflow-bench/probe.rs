//! Callers that repeatedly request the same keys, to measure how long each key is unavailable.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use filbertflow_harness::boot_time_ns;
use filbertflow_harness::caller::{Call, Outcome, Request};

/// Maximum number of threads; each requests its own share of the keys in turn.
const THREAD_COUNT: usize = 16;

/// Pause between two requests of a thread.
const PAUSE: Duration = Duration::from_millis(2);

/// Deadline of a request; longer than the 2 s within which a key must be served again.
const DEADLINE: Duration = Duration::from_secs(4);

/// Running callers.
#[derive(Debug)]
pub struct Probe {
    state: Arc<ProbeState>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct ProbeState {
    service: String,
    entries: RwLock<Vec<SocketAddr>>,
    calls: Mutex<Vec<Call>>,
    stop: AtomicBool,
}

impl Probe {
    /// Starts requesting keys through the given entry addresses.
    pub fn start(service: &str, keys: &[String], entries: Vec<SocketAddr>) -> Self {
        let state = Arc::new(ProbeState {
            service: service.to_owned(),
            entries: RwLock::new(entries),
            calls: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let threads = (0..THREAD_COUNT.min(keys.len()))
            .map(|t| {
                let assigned: Vec<_> = keys.iter().skip(t).step_by(THREAD_COUNT).cloned().collect();
                let state = Arc::clone(&state);
                thread::spawn(move || send_requests(&state, &assigned, t))
            })
            .collect();
        Self { state, threads }
    }

    /// Replaces the entry addresses, as callers do when they know that a host is lost.
    pub fn use_entries(&self, entries: Vec<SocketAddr>) {
        *self.state.entries.write().expect("no thread panics") = entries;
    }

    /// Stops the callers and returns all calls.
    pub fn stop(self) -> Vec<Call> {
        self.state.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("the callers do not panic");
        }
        let mut calls = self.state.calls.lock().expect("no thread panics");
        std::mem::take(&mut calls)
    }
}

fn send_requests(state: &ProbeState, keys: &[String], offset: usize) {
    let mut sequence = offset;
    while !state.stop.load(Ordering::Relaxed) {
        for key in keys {
            let entry = {
                let entries = state.entries.read().expect("no thread panics");
                entries[sequence % entries.len()]
            };
            sequence += 1;
            // One request in ten is not idempotent.
            let method = if sequence.is_multiple_of(10) {
                "POST"
            } else {
                "GET"
            };
            let call = Request::new(&state.service, key, method, DEADLINE).send(entry);
            state.calls.lock().expect("no thread panics").push(call);
            thread::sleep(PAUSE);
        }
    }
}

/// Returns the longest interval between two successful responses for each key, from the last response
/// before `from` on; sorted by length.
pub fn longest_gaps(calls: &[Call], from: u64) -> Vec<Duration> {
    let mut answered_at: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for call in calls {
        if matches!(call.outcome, Outcome::Answered(200)) {
            let key = call.request.key.as_str();
            answered_at.entry(key).or_default().push(call.ended);
        }
    }
    let end = boot_time_ns();
    let mut gaps: Vec<_> = answered_at
        .into_values()
        .map(|mut times| {
            times.sort_unstable();
            let before = times.iter().rposition(|t| *t < from).unwrap_or_default();
            let mut window = times.split_off(before);
            if window.len() < 2 {
                window.push(end);
            }
            let longest = window.windows(2).map(|w| w[1] - w[0]).max();
            Duration::from_nanos(longest.unwrap_or_default())
        })
        .collect();
    gaps.sort_unstable();
    gaps
}

/// Returns the number of calls that were answered, not run, of unknown outcome, and without a valid
/// response.
pub fn outcomes(calls: &[Call]) -> [usize; 4] {
    let mut counts = [0; 4];
    for call in calls {
        let i = match call.outcome {
            Outcome::Answered(_) => 0,
            Outcome::NotRun(_) => 1,
            Outcome::Unknown(_) => 2,
            Outcome::Invalid(_) | Outcome::Lost => 3,
        };
        counts[i] += 1;
    }
    counts
}
