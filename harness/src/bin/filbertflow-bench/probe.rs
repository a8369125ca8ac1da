//! Callers that ask for the same keys again and again, to see how long each key is not served.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use filbertflow_harness::boot_time_ns;
use filbertflow_harness::caller::{Call, Outcome, Request};

/// Threads; each asks for its own keys in turn.
const THREADS: usize = 16;

/// Pause between two requests of a thread.
const PAUSE: Duration = Duration::from_millis(2);

/// Deadline of a request; longer than the 2 s within which a key must be served again.
const DEADLINE: Duration = Duration::from_secs(4);

/// Running callers.
#[derive(Debug)]
pub struct Probe {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    service: String,
    entries: RwLock<Vec<SocketAddr>>,
    calls: Mutex<Vec<Call>>,
    stop: AtomicBool,
}

impl Probe {
    /// Starts asking for keys through these entries.
    pub fn start(service: &str, keys: &[String], entries: Vec<SocketAddr>) -> Self {
        let shared = Arc::new(Shared {
            service: service.to_owned(),
            entries: RwLock::new(entries),
            calls: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let threads = (0..THREADS.min(keys.len()))
            .map(|t| {
                let own: Vec<_> = keys.iter().skip(t).step_by(THREADS).cloned().collect();
                let shared = Arc::clone(&shared);
                thread::spawn(move || ask(&shared, &own, t))
            })
            .collect();
        Self { shared, threads }
    }

    /// Uses other entries from now on; callers leave a host that they know to be lost.
    pub fn use_entries(&self, entries: Vec<SocketAddr>) {
        *self.shared.entries.write().expect("no thread panics") = entries;
    }

    /// Stops asking and returns all calls.
    pub fn stop(self) -> Vec<Call> {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("the callers do not panic");
        }
        let mut calls = self.shared.calls.lock().expect("no thread panics");
        std::mem::take(&mut calls)
    }
}

fn ask(shared: &Shared, keys: &[String], offset: usize) {
    let mut turn = offset;
    while !shared.stop.load(Ordering::Relaxed) {
        for key in keys {
            let entry = {
                let entries = shared.entries.read().expect("no thread panics");
                entries[turn % entries.len()]
            };
            turn += 1;
            // One request in ten must not run twice.
            let method = if turn.is_multiple_of(10) {
                "POST"
            } else {
                "GET"
            };
            let call = Request::new(&shared.service, key, method, DEADLINE).send(entry);
            shared.calls.lock().expect("no thread panics").push(call);
            thread::sleep(PAUSE);
        }
    }
}

/// Returns for each key the longest time between two answers after an instant.
pub fn gaps(calls: &[Call], from: u64) -> Vec<Duration> {
    let mut answers: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for call in calls {
        if matches!(call.outcome, Outcome::Answered(200)) {
            let key = call.request.key.as_str();
            answers.entry(key).or_default().push(call.ended);
        }
    }
    let end = boot_time_ns();
    let mut gaps: Vec<_> = answers
        .into_values()
        .map(|mut times| {
            times.sort_unstable();
            let before = times.iter().rposition(|t| *t < from).unwrap_or_default();
            let mut seen = times.split_off(before);
            if seen.len() < 2 {
                seen.push(end);
            }
            let longest = seen.windows(2).map(|w| w[1] - w[0]).max();
            Duration::from_nanos(longest.unwrap_or_default())
        })
        .collect();
    gaps.sort_unstable();
    gaps
}

/// Counts the three outcomes: answered, not run, unknown; and calls without a response.
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
