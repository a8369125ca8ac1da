//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Handler, Message, Server};
use crate::json::{self, Json};
use crate::record::Record;

/// Length of a disruption in which answers are lost.
const LOSS_WINDOW: Duration = Duration::from_millis(4500);

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Write calls that lose their answer and are carried out late.
#[derive(Clone, Copy)]
pub struct Lateness {
    /// Node whose write is affected.
    pub node: usize,
    /// Time after which it is carried out.
    pub delay: Duration,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    late: Vec<Lateness>,
    writes: usize,
    lost: usize,
}

impl State {
    fn describe(key: &str, item: &Item) -> String {
        let Item {
            value,
            revision,
            created,
            lease,
        } = item;
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
        )
    }

    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.events
            .push((revision, key.to_owned(), Self::describe(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
            self.events.push((revision, key.to_owned(), event));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, l)| l.0 <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.leases.remove(&id);
            let keys = self.items.iter().filter(|(_, i)| i.lease == id);
            let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
            self.revision += 1;
            for key in keys {
                self.remove(&key);
            }
        }
    }

    fn commit(&mut self, body: &Json) -> Vec<u8> {
        let expected = body.get("expect").list();
        let present = |row: &Json| self.items.get(row.get("key").text());
        let holds = |row: &Json| {
            row.get("revision").number() == Some(present(row).map_or(0, |i| i.revision))
        };
        if !expected.iter().all(holds) {
            let items = expected
                .iter()
                .filter_map(|row| Some(Self::describe(row.get("key").text(), present(row)?)));
            let items: Vec<_> = items.collect();
            let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
            return http::response(412, &[], body.as_bytes());
        }
        let puts = body.get("put_items").list();
        let lease = |row: &Json| row.get("lease").number().unwrap_or(0);
        if puts
            .iter()
            .any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row)))
        {
            return http::response(404, &[], b"");
        }
        self.revision += 1;
        for row in puts {
            self.put(row.get("key").text(), row.get("value").text(), lease(row));
        }
        for key in body.get("delete_keys").list() {
            self.remove(key.text());
        }
        let body = format!(r#"{{"revision":{}}}"#, self.revision);
        http::response(200, &[], body.as_bytes())
    }
}

/// Running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

struct Url<'a> {
    path: &'a str,
    query: &'a str,
}

impl Url<'_> {
    fn text(&self, name: &str) -> String {
        let mut parts = self.query.split('&');
        let value = parts.find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        json::percent_decode(value.unwrap_or_default())
    }

    fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let state = State {
            revision: 1,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let before = leases.state.0.lock().unwrap().revision;
                leases.state.0.lock().unwrap().end_leases();
                if leases.state.0.lock().unwrap().revision != before {
                    leases.state.1.notify_all();
                }
            }
        });
        store
    }

    /// Listens at the address that one node knows, by which the store tells its callers apart.
    pub fn listen(&self, address: SocketAddr, node: usize) -> std::io::Result<()> {
        let store = self.clone();
        let handler: Handler = Arc::new(move |request, peer| {
            let answer = store.handle(request, node);
            answer.filter(|_| !peer.is_gone())
        });
        Server::start(address, handler).map(|_| ())
    }

    /// Writes as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.writes += 1;
        state.put(key, &json::base64(value.as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }

    /// Lets the next transaction of a node lose its answer and take effect late.
    pub fn lose_next(&self, late: Lateness) {
        self.state.0.lock().unwrap().late.push(late);
    }

    /// Returns how many write calls there were, and how many of them lost their answers.
    pub fn writes(&self) -> (usize, usize) {
        let state = self.state.0.lock().unwrap();
        (state.writes, state.lost)
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state
            .items
            .keys()
            .filter(|k| k.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn commit(&self, body: &Json) -> Vec<u8> {
        let answer = self.state.0.lock().unwrap().commit(body);
        self.state.1.notify_all();
        answer
    }

    fn handle(&self, request: &Message, node: usize) -> Option<Vec<u8>> {
        let target = request.part(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let url = Url { path, query };
        thread::sleep(Duration::from_millis(4));
        let body = Json::parse(&request.body);
        match (request.part(0), url.path) {
            ("GET", "/v1/kv-range") => Some(self.range(&url)),
            ("GET", "/v1/kv-watch") => Some(self.watch(&url)),
            ("POST", "/v1/kv-txn") => self.transaction(body, node),
            ("POST", "/v1/kv-lease") => {
                let ttl = body
                    .get("ttl_ms")
                    .number()
                    .unwrap_or(1000)
                    .clamp(1000, 600_000);
                let time = Duration::from_millis(ttl);
                let mut state = self.state.0.lock().unwrap();
                state.writes += 1;
                state.revision += 1;
                let id = state.revision;
                state.leases.insert(id, (Instant::now() + time, time));
                let body = format!(r#"{{"lease":{id},"ttl_ms":{ttl}}}"#);
                Some(http::response(200, &[], body.as_bytes()))
            }
            ("POST", path) => {
                let id = path
                    .strip_prefix("/v1/kv-keep/")
                    .and_then(|id| id.parse().ok());
                let mut state = self.state.0.lock().unwrap();
                let Some((end, time)) = id.and_then(|id: u64| state.leases.get_mut(&id)) else {
                    return Some(http::response(404, &[], b""));
                };
                *end = Instant::now() + *time;
                let body = format!(r#"{{"ttl_ms":{}}}"#, time.as_millis());
                Some(http::response(200, &[], body.as_bytes()))
            }
            _ => Some(http::response(404, &[], b"")),
        }
    }

    fn transaction(&self, body: Json, node: usize) -> Option<Vec<u8>> {
        let mut state = self.state.0.lock().unwrap();
        state.writes += 1;
        let late = state
            .late
            .iter()
            .position(|l| l.node == node)
            .map(|i| state.late.remove(i));
        state.lost += usize::from(late.is_some());
        drop(state);
        let Some(late) = late else {
            return Some(self.commit(&body));
        };
        let text = format!("{body:?}");
        self.record.line(&format!(
            "store: no answer to a write of n{node}, done after {:?}: {text}",
            late.delay
        ));
        let (store, before) = (self.clone(), self.writes().0);
        thread::spawn(move || {
            thread::sleep(LOSS_WINDOW);
            let count = store.writes().0 - before + 1;
            store.record.line(&format!(
                "store: {count} write calls in the {LOSS_WINDOW:?} from the one without an answer"
            ));
        });
        let store = self.clone();
        thread::spawn(move || {
            thread::sleep(late.delay);
            let answer = store.commit(&body);
            let status = String::from_utf8_lossy(&answer[9..12]).into_owned();
            store.record.line(&format!(
                "store: the late write of n{node} is done, status {status}"
            ));
        });
        // A connection on which an answer is lost returns nothing further.
        thread::sleep(Duration::from_secs(10));
        None
    }

    fn range(&self, url: &Url<'_>) -> Vec<u8> {
        let (prefix, after) = (url.text("prefix"), url.text("after"));
        let state = self.state.0.lock().unwrap();
        let below = state
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let items: Vec<_> = below.map(|(k, i)| State::describe(k, i)).collect();
        let (items, as_of) = (items.join(","), state.revision);
        let body = format!(r#"{{"items":[{items}],"has_more":false,"as_of":{as_of}}}"#);
        http::response(200, &[], body.as_bytes())
    }

    fn watch(&self, url: &Url<'_>) -> Vec<u8> {
        let (prefix, after) = (url.text("prefix"), url.number("after"));
        let end = Instant::now() + Duration::from_millis(url.number("wait_ms").min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let new = state
                .events
                .iter()
                .filter(|e| e.0 > after && e.1.starts_with(&prefix));
            let events: Vec<_> = new.map(|e| e.2.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                let body = format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#);
                return http::response(200, &[], body.as_bytes());
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
