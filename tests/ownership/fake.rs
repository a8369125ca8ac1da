//! Fake of the platform's key-value service, with faults that a test switches on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use filbertflow::protocol::platform;
use filbertflow::state::ids;

/// How the service treats writes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Normal,
    /// No call is answered, and none takes effect.
    Down,
    /// Writes take effect, but their answers and all reads fail.
    LoseAnswers,
    /// Writes are kept back until [`Fake::deliver`]; they and all reads fail.
    KeepBack,
    /// Writes are kept back until [`Fake::deliver`]; reads are answered.
    Delay,
}

impl Mode {
    fn reads(self) -> bool {
        matches!(self, Self::Normal | Self::Delay)
    }
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<String, (String, u64)>,
    revision: u64,
    mode: Mode,
    kept: Vec<(String, platform::Put)>,
    writes: usize,
    reads: usize,
}

#[derive(Debug, Clone)]
pub struct Fake {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Fake {
    pub fn start() -> Self {
        let server = Arc::new(tiny_http::Server::http("127.0.0.1:0").unwrap());
        let addr = server.server_addr().to_ip().unwrap();
        let fake = Self {
            addr,
            state: Arc::default(),
        };
        for _ in 0..8 {
            let server = Arc::clone(&server);
            let fake = fake.clone();
            std::thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    fake.answer(request);
                }
            });
        }
        fake
    }

    pub fn set(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Number of writes that took effect.
    pub fn writes(&self) -> usize {
        self.state.lock().unwrap().writes
    }

    /// Number of reads of one entry.
    pub fn reads(&self) -> usize {
        self.state.lock().unwrap().reads
    }

    /// Number of writes that are kept back.
    pub fn kept(&self) -> usize {
        self.state.lock().unwrap().kept.len()
    }

    /// Lets writes that were kept back take effect, in the order of their arrival.
    pub fn deliver(&self) {
        let mut state = self.state.lock().unwrap();
        for (key, put) in std::mem::take(&mut state.kept) {
            let _ = state.swap(&key, &put);
        }
    }

    fn answer(&self, mut request: tiny_http::Request) {
        let mut body = String::new();
        let _ = request.as_reader().read_to_string(&mut body);
        let url = request.url().to_owned();
        let (status, text) = match url.strip_prefix("/v1/kv/") {
            Some(key) if body.is_empty() => self.get(key),
            Some(key) => self.put(key, &body),
            None => self.list(&url),
        };
        let response = tiny_http::Response::from_string(text).with_status_code(status);
        let _ = request.respond(response);
    }

    fn get(&self, key: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.reads += 1;
        if !state.mode.reads() {
            return (503, String::new());
        }
        match state.entry(key) {
            Some(entry) => (200, serde_json::to_string(&entry).unwrap()),
            None => (404, String::new()),
        }
    }

    fn put(&self, key: &str, body: &str) -> (u16, String) {
        let put: platform::Put = serde_json::from_str(body).unwrap();
        let mut state = self.state.lock().unwrap();
        match state.mode {
            Mode::Down => return (503, String::new()),
            Mode::KeepBack | Mode::Delay => {
                state.kept.push((key.to_owned(), put));
                return (503, String::new());
            }
            Mode::Normal | Mode::LoseAnswers => {}
        }
        let result = state.swap(key, &put);
        if state.mode == Mode::LoseAnswers {
            return (503, String::new());
        }
        match result {
            Ok(revision) => {
                let written = platform::Written {
                    revision: ids::ModRevision(revision),
                };
                (200, serde_json::to_string(&written).unwrap())
            }
            Err(current) => {
                let conflict = platform::Conflict { current };
                (409, serde_json::to_string(&conflict).unwrap())
            }
        }
    }

    fn list(&self, url: &str) -> (u16, String) {
        if url.starts_with("/v1/watch") {
            std::thread::sleep(Duration::from_millis(50));
        }
        let query = url.split_once("prefix=").map_or("", |(_, q)| q);
        let prefix = query.split('&').next().unwrap_or_default();
        let state = self.state.lock().unwrap();
        if !state.mode.reads() {
            return (503, String::new());
        }
        let keys: Vec<_> = state.entries.keys().cloned().collect();
        let keys = keys.iter().filter(|k| k.starts_with(prefix));
        let listing = platform::Listing {
            entries: keys.filter_map(|k| state.entry(k)).collect(),
            revision: ids::ModRevision(state.revision),
        };
        (200, serde_json::to_string(&listing).unwrap())
    }
}

impl State {
    fn entry(&self, key: &str) -> Option<platform::Entry> {
        let (value, revision) = self.entries.get(key)?;
        Some(platform::Entry {
            key: key.to_owned(),
            value: value.clone(),
            revision: ids::ModRevision(*revision),
        })
    }

    fn swap(&mut self, key: &str, put: &platform::Put) -> Result<u64, Option<platform::Entry>> {
        let current = self.entry(key);
        let at = current.as_ref().map_or(0, |e| e.revision.0);
        if at != put.expect.0 {
            return Err(current);
        }
        self.revision += 1;
        self.writes += 1;
        let revision = self.revision;
        self.entries
            .insert(key.to_owned(), (put.value.clone(), revision));
        Ok(revision)
    }
}
