//! Stand-in of the platform's store: items, revisions, leases, watches and conditional transactions.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

#[derive(Debug, Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Content of the store at one moment, and how it behaves.
#[derive(Debug, Clone, Default)]
pub struct State {
    revision: u64,
    /// Number of times that it came back from a copy.
    era: u64,
    /// Whether it is away: calls get no answer and their connections are closed.
    away: bool,
    items: BTreeMap<String, Item>,
    /// Revision, key and body of each event.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Number of watch calls of `op/` that wait, by machine.
    watching: BTreeMap<usize, usize>,
}

/// Status of a call that gets no answer.
const AWAY: u16 = 0;

/// Running store; clones share its content.
#[derive(Debug, Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn describe(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(b) => {
                out.push(b);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        self.events
            .push((self.revision, key.to_owned(), describe(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let body = format!(
                r#"{{"key":"{key}","revision":{},"removed":true}}"#,
                self.revision
            );
            self.events.push((self.revision, key.to_owned(), body));
        }
    }

    fn end_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in &ended {
            self.leases.remove(id);
            let keys = self.items.iter().filter(|(_, i)| i.lease == *id);
            let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
            self.revision += 1;
            keys.iter().for_each(|k| self.remove(k));
        }
        !ended.is_empty()
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let rows = body.get("expect").list();
        let holds = |row: &Json| {
            let found = self.items.get(row.get("key").text());
            found.map_or(0, |i| i.revision) == row.get("revision").number()
        };
        if !rows.iter().all(holds) {
            let found = rows.iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(describe(key, self.items.get(key)?))
            });
            let found: Vec<String> = found.collect();
            return (412, format!(r#"{{"items":[{}]}}"#, found.join(",")));
        }
        let puts = body.get("put_items").list();
        let lost = |row: &Json| {
            let lease = row.get("lease").number();
            lease != 0 && !self.leases.contains_key(&lease)
        };
        if puts.iter().any(lost) {
            return (404, String::new());
        }
        self.revision += 1;
        for row in puts {
            self.put(
                row.get("key").text(),
                row.get("value").text(),
                row.get("lease").number(),
            );
        }
        for key in body.get("delete_keys").list() {
            self.remove(key.text());
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

impl Store {
    /// Serves the calls of one machine at an address of its own, so that the store can tell them apart.
    pub fn serve(&self, address: SocketAddr, machine: usize) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = self.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.connection(io, machine));
            }
        });
    }

    /// Ends expired leases until the process ends.
    pub fn run_leases(&self) {
        let store = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let (state, changed) = &*store.0;
                if state.lock().unwrap().end_leases() {
                    changed.notify_all();
                }
            }
        });
    }

    /// Writes an item as the operator does.
    pub fn put(&self, key: &str, text: &str) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        state.put(key, &json::base64(text.as_bytes()), 0);
        changed.notify_all();
    }

    /// Returns a copy of the content.
    pub fn copy(&self) -> State {
        self.0.0.lock().unwrap().clone()
    }

    /// Makes the store go away.
    pub fn leave(&self) {
        self.0.0.lock().unwrap().away = true;
        self.0.1.notify_all();
    }

    /// Brings the store back from a copy: what was written since is gone, and its leases start anew.
    pub fn restore(&self, copy: &State) {
        let mut state = self.0.0.lock().unwrap();
        let (era, watching) = (state.era, std::mem::take(&mut state.watching));
        *state = copy.clone();
        state.era = era + 1;
        state.away = false;
        state.watching = watching;
        for (end, time) in state.leases.values_mut() {
            *end = Instant::now() + *time;
        }
        drop(state);
        self.0.1.notify_all();
    }

    /// Returns the machines whose watch of the operator's keys waits at the store now.
    pub fn watchers(&self) -> Vec<usize> {
        let state = self.0.0.lock().unwrap();
        let all = state.watching.iter().filter(|(_, n)| **n > 0);
        all.map(|(m, _)| *m).collect()
    }

    fn connection(&self, mut io: TcpStream, machine: usize) {
        // Errors end the connection, as a client that disconnects does.
        let _nodelay = io.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut io, &mut buffer) {
            let (status, body) = self.handle(&request, machine);
            if status == AWAY {
                return;
            }
            let era = self.0.0.lock().unwrap().era;
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if http::respond(&mut io, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &http::Message, machine: usize) -> (u16, String) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let field = |name: &str| {
            let mut parts = query.split('&').filter_map(|p| p.split_once('='));
            let found = parts.find(|(n, _)| *n == name);
            decode(found.map_or("", |(_, v)| v))
        };
        let body = json::parse(&String::from_utf8_lossy(&request.body));
        let (lock, changed) = &*self.0;
        if path == "/v1/kv-watch" {
            return self.watch(
                &field("prefix"),
                field("after").parse().unwrap_or(0),
                Duration::from_millis(field("wait_ms").parse().unwrap_or(0)),
                machine,
            );
        }
        let mut state = lock.lock().unwrap();
        if state.away {
            return (AWAY, String::new());
        }
        let reply = match path {
            "/v1/kv-key" => match state.items.get(&field("key")) {
                Some(item) => (200, describe(&field("key"), item)),
                None => (404, String::new()),
            },
            "/v1/kv-range" => {
                let (prefix, after) = (field("prefix"), field("after"));
                let items = state.items.iter();
                let items = items.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = items.map(|(k, i)| describe(k, i)).collect();
                let rows = items.join(",");
                (
                    200,
                    format!(r#"{{"items":[{rows}],"has_more":false,"as_of":{}}}"#, state.revision),
                )
            }
            "/v1/kv-txn" => state.commit(&body),
            "/v1/kv-lease" => {
                let ttl = body.get("ttl_ms").number().max(1000);
                state.revision += 1;
                let id = state.revision;
                let time = Duration::from_millis(ttl);
                state.leases.insert(id, (Instant::now() + time, time));
                (200, format!(r#"{{"lease":{id},"ttl_ms":{ttl}}}"#))
            }
            _ => match path.strip_prefix("/v1/kv-keep/").and_then(|id| id.parse::<u64>().ok()) {
                Some(id) => match state.leases.get_mut(&id) {
                    Some((end, time)) => {
                        *end = Instant::now() + *time;
                        (200, format!(r#"{{"lease":{id},"ttl_ms":{}}}"#, time.as_millis()))
                    }
                    None => (404, String::new()),
                },
                None => (404, String::new()),
            },
        };
        changed.notify_all();
        reply
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration, machine: usize) -> (u16, String) {
        let (lock, changed) = &*self.0;
        let end = Instant::now() + wait.min(Duration::from_secs(30));
        let operator = prefix.starts_with("op/");
        let mut state = lock.lock().unwrap();
        if operator {
            *state.watching.entry(machine).or_default() += 1;
        }
        let era = state.era;
        loop {
            if state.away || state.era != era {
                if operator {
                    *state.watching.entry(machine).or_default() -= 1;
                }
                return (AWAY, String::new());
            }
            if after > state.revision {
                if operator {
                    *state.watching.entry(machine).or_default() -= 1;
                }
                return (410, String::new());
            }
            let events = state.events.iter();
            let events = events.filter(|(r, k, _)| *r > after && k.starts_with(prefix));
            let events: Vec<String> = events.map(|(_, _, body)| body.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                if operator {
                    *state.watching.entry(machine).or_default() -= 1;
                }
                let rows = events.join(",");
                return (
                    200,
                    format!(r#"{{"events":[{rows}],"as_of":{}}}"#, state.revision),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
