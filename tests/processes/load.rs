//! Background load from concurrent callers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use filbertflow::state::ids::KeyHash;

use filbertflow_harness::caller::{Call, Outcome, Request};

/// Finished calls of all callers in a session.
pub type Calls = Arc<Mutex<Vec<Call>>>;

/// Caller addresses of the live nodes; updated after each command.
pub type CallerAddrs = Arc<Mutex<Vec<SocketAddr>>>;

/// Limit of calls per caller, in case a session fails to stop its load.
const MAX_CALLS: usize = 20_000;

/// Requests that the callers send.
#[derive(Debug, Clone)]
pub struct LoadProfile {
    pub service: String,
    /// Number of distinct keys; 0 for requests without a key.
    pub keys: usize,
    pub callers: usize,
    /// Time between the end of a call and the next call of the same caller.
    pub pause: Duration,
    /// Each n-th call of a caller is a write.
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
    pub fn start(profile: &LoadProfile, addrs: &CallerAddrs, calls: &Calls) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let threads = (0..profile.callers)
            .map(|caller| {
                let profile = profile.clone();
                let (addrs, calls) = (Arc::clone(addrs), Arc::clone(calls));
                let (stop, answered) = (Arc::clone(&stop), Arc::clone(&answered));
                thread::spawn(move || {
                    for n in 0..MAX_CALLS {
                        if stop.load(Ordering::Relaxed) {
                            break;
                        }
                        let call = profile.call(caller, n, &addrs);
                        if matches!(call.outcome, Outcome::Answered(_)) {
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        calls.lock().unwrap().push(call);
                        thread::sleep(profile.pause);
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

    /// Stops the callers, waits for their last calls and returns the number of answered calls.
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

impl LoadProfile {
    fn call(&self, caller: usize, n: usize, addrs: &CallerAddrs) -> Call {
        // Callers go through all keys in turn, each from a different one.
        let key = match self.keys {
            0 => String::new(),
            keys => format!("walk-{}", (caller * 7 + n) % keys),
        };
        let method = if n.is_multiple_of(self.write_every) {
            "POST"
        } else {
            "GET"
        };
        let addr = {
            let addrs = addrs.lock().unwrap();
            // The hash spreads each key over all nodes, in the same order on every run.
            let hash = KeyHash::of(&format!("{caller}/{n}")).0;
            let i = hash % u64::try_from(addrs.len()).unwrap();
            addrs[usize::try_from(i).unwrap()]
        };
        Request::new(&self.service, &key, method, self.deadline).send(addr)
    }
}
