//! Callers that send requests in the background.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use filbertflow::state::ids::KeyHash;

use filbertflow_harness::caller::{Call, Outcome, Request};

/// Calls of all callers of a session.
pub type Calls = Arc<Mutex<Vec<Call>>>;

/// Addresses to which callers send; faults change them.
pub type Entries = Arc<Mutex<Vec<SocketAddr>>>;

/// Upper bound of the calls of one caller, in case a session fails to stop its load.
const MAX_CALLS: usize = 20_000;

/// What the callers ask for.
#[derive(Debug, Clone)]
pub struct Traffic {
    pub service: String,
    /// Number of different keys; 0 if the service has none.
    pub keys: usize,
    pub callers: usize,
    /// Time between two calls of a caller.
    pub pause: Duration,
    /// Every so many calls, one is a write.
    pub write_every: usize,
    pub deadline: Duration,
}

/// Running callers.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    pub fn start(traffic: &Traffic, entries: &Entries, calls: &Calls) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let threads = (0..traffic.callers)
            .map(|caller| {
                let traffic = traffic.clone();
                let (entries, calls) = (Arc::clone(entries), Arc::clone(calls));
                let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
                thread::spawn(move || {
                    for n in 0..MAX_CALLS {
                        if stop.load(Ordering::Relaxed) {
                            break;
                        }
                        let call = traffic.call(caller, n, &entries);
                        if matches!(call.outcome, Outcome::Answered(_)) {
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        calls.lock().unwrap().push(call);
                        thread::sleep(traffic.pause);
                    }
                })
            })
            .collect();
        Self {
            stop,
            answered,
            threads,
        }
    }

    /// Returns the number of answered calls so far.
    pub fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }

    /// Lets the callers finish their calls.
    pub fn stop(mut self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
        self.answered()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Traffic {
    fn call(&self, caller: usize, n: usize, entries: &Entries) -> Call {
        // Each caller visits all keys in turn, and starts with another one.
        let key = match self.keys {
            0 => String::new(),
            keys => format!("walk-{}", (caller * 7 + n) % keys),
        };
        let method = if n.is_multiple_of(self.write_every) {
            "POST"
        } else {
            "GET"
        };
        let entry = {
            let entries = entries.lock().unwrap();
            // Every key is asked for at every entry, in an order that repeats between runs.
            let mixed = KeyHash::of(&format!("{caller}/{n}")).0;
            let i = mixed % u64::try_from(entries.len()).unwrap();
            entries[usize::try_from(i).unwrap()]
        };
        Request::new(&self.service, &key, method, self.deadline).send(entry)
    }
}
