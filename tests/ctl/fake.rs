//! Fake of the platform's key-value service with faults injected into writes.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use filbertflow::protocol::{config, platform};
use filbertflow::state::ids;

/// Fault of one write to the document. The response is an error in all cases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The write has no effect.
    Dropped,
    /// The write takes effect.
    Lost,
    /// The write takes effect after the next one.
    Late,
    /// The write takes effect, and then this number of other submissions is accepted.
    Followed(usize),
    /// The write has no effect, because this number of other submissions is accepted first.
    Preceded(usize),
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<String, (String, u64)>,
    revision: u64,
    faults: VecDeque<Fault>,
    late: Vec<platform::Put>,
    is_down: bool,
    writes: usize,
    watch_responses: usize,
}

/// Running fake. Clones share its state.
#[derive(Debug, Clone)]
pub struct Fake {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Fake {
    pub fn start() -> Self {
        let server = Arc::new(tiny_http::Server::http("127.0.0.1:0").unwrap());
        let fake = Self {
            addr: server.server_addr().to_ip().unwrap(),
            state: Arc::default(),
        };
        for _ in 0..16 {
            let (server, fake) = (Arc::clone(&server), fake.clone());
            std::thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    fake.handle(request);
                }
            });
        }
        fake
    }

    /// Injects faults into the next writes, one fault per write.
    pub fn inject_faults(&self, faults: &[Fault]) {
        self.state.0.lock().unwrap().faults.extend(faults);
    }

    /// Rejects all calls from now on.
    pub fn shut_down(&self) {
        self.state.0.lock().unwrap().is_down = true;
    }

    /// Returns the number of writes that took effect.
    pub fn writes(&self) -> usize {
        self.state.0.lock().unwrap().writes
    }

    pub fn stored(&self) -> Option<config::StoredDocument> {
        self.state.0.lock().unwrap().stored()
    }

    /// Stores a document as if another operator had submitted it.
    pub fn submit(&self, text: &str) {
        self.state.0.lock().unwrap().submit_other(text);
        self.state.1.notify_all();
    }

    /// Returns the number of watch calls that were answered.
    pub fn watch_responses(&self) -> usize {
        self.state.0.lock().unwrap().watch_responses
    }

    /// Stores an older revision of the document, like a service restored from a backup.
    pub fn roll_back(&self, revision: u64) {
        let mut state = self.state.0.lock().unwrap();
        let mut stored = state.stored().unwrap();
        stored.revision = ids::DocRevision(revision);
        state.revision += 1;
        let entry = (stored.encode(), state.revision);
        state.entries.insert(config::KEY.to_owned(), entry);
        drop(state);
        self.state.1.notify_all();
    }

    fn handle(&self, mut request: tiny_http::Request) {
        let mut body = String::new();
        request.as_reader().read_to_string(&mut body).unwrap();
        let url = request.url().to_owned();
        let (status, text) = self.route(&url, &body);
        let response = tiny_http::Response::from_string(text).with_status_code(status);
        // The caller may have closed the connection.
        drop(request.respond(response));
    }

    fn route(&self, url: &str, body: &str) -> (u16, String) {
        if let Some(query) = url.strip_prefix("/v1/watch?") {
            return self.watch(query);
        }
        let mut state = self.state.0.lock().unwrap();
        if state.is_down {
            return (503, String::new());
        }
        if let Some(query) = url.strip_prefix("/v1/list?prefix=") {
            return (200, state.listing(query, 0));
        }
        let key = url.strip_prefix("/v1/kv/").unwrap();
        if body.is_empty() {
            return match state.entry(key) {
                Some(entry) => (200, serde_json::to_string(&entry).unwrap()),
                None => (404, String::new()),
            };
        }
        let put: platform::Put = serde_json::from_str(body).unwrap();
        let answer = if key == config::KEY {
            state.write(put)
        } else {
            state.swap(key, &put)
        };
        self.state.1.notify_all();
        answer
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).unwrap().1.to_owned()
        };
        let after: u64 = field("after").parse().unwrap();
        let prefix = field("prefix");
        let wait = Duration::from_millis(field("wait_ms").parse().unwrap());
        let deadline = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if state.is_down {
                return (503, String::new());
            }
            if remaining.is_zero() || state.is_newer(&prefix, after) {
                state.watch_responses += 1;
                return (200, state.listing(&prefix, after));
            }
            state = self.state.1.wait_timeout(state, remaining).unwrap().0;
        }
    }
}

impl State {
    fn write(&mut self, put: platform::Put) -> (u16, String) {
        let answer = match self.faults.pop_front() {
            None => self.swap(config::KEY, &put),
            Some(fault) => {
                self.apply_fault(fault, put);
                return (504, String::new());
            }
        };
        for put in std::mem::take(&mut self.late) {
            self.swap(config::KEY, &put);
        }
        answer
    }

    fn apply_fault(&mut self, fault: Fault, put: platform::Put) {
        match fault {
            Fault::Dropped => {}
            Fault::Lost => drop(self.swap(config::KEY, &put)),
            Fault::Late => self.late.push(put),
            Fault::Followed(count) => {
                self.swap(config::KEY, &put);
                self.submit_others(count);
            }
            Fault::Preceded(count) => {
                self.submit_others(count);
                self.swap(config::KEY, &put);
            }
        }
    }

    fn submit_others(&mut self, count: usize) {
        let text = self.stored().map(|s| s.text).unwrap_or_default();
        for _ in 0..count {
            self.submit_other(&text);
        }
    }

    fn submit_other(&mut self, text: &str) {
        let id = format!("other-{}", self.revision);
        let next = config::StoredDocument::successor(self.stored().as_ref(), &id, text);
        let expect = self.entry(config::KEY).map(|e| e.revision);
        let put = platform::Put {
            value: next.encode(),
            expect: expect.unwrap_or_default(),
        };
        self.swap(config::KEY, &put);
    }

    fn stored(&self) -> Option<config::StoredDocument> {
        let entry = self.entry(config::KEY)?;
        Some(config::StoredDocument::parse(&entry.value).unwrap())
    }

    fn swap(&mut self, key: &str, put: &platform::Put) -> (u16, String) {
        let current = self.entry(key);
        let revision = current.as_ref().map(|e| e.revision).unwrap_or_default();
        if revision != put.expect {
            let conflict = platform::Conflict { current };
            return (409, serde_json::to_string(&conflict).unwrap());
        }
        self.revision += 1;
        self.writes += 1;
        let entry = (put.value.clone(), self.revision);
        self.entries.insert(key.to_owned(), entry);
        let written = platform::Written {
            revision: ids::ModRevision(self.revision),
        };
        (200, serde_json::to_string(&written).unwrap())
    }

    fn entry(&self, key: &str) -> Option<platform::Entry> {
        let (value, revision) = self.entries.get(key)?;
        Some(platform::Entry {
            key: key.to_owned(),
            value: value.clone(),
            revision: ids::ModRevision(*revision),
        })
    }

    fn is_newer(&self, prefix: &str, after: u64) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|(key, (_, revision))| key.starts_with(prefix) && *revision > after)
    }

    fn listing(&self, prefix: &str, after: u64) -> String {
        let keys = self.entries.iter();
        let newer = keys.filter(|(key, (_, rev))| key.starts_with(prefix) && *rev > after);
        let listing = platform::Listing {
            entries: newer.filter_map(|(key, _)| self.entry(key)).collect(),
            revision: ids::ModRevision(self.revision),
        };
        serde_json::to_string(&listing).unwrap()
    }
}
