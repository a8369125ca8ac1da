//! Stand-in of an instance: runs requests, sends heartbeats and holds the keys that it is granted.
//!
//! All instances share one lock, so that the checks on who holds which key see one state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Handler, Message, Peer, Server};
use crate::json::Json;
use crate::record::Record;

/// Number of keys of a service.
const KEY_COUNT: usize = 1 << 16;

/// Time within which the answer to a heartbeat acknowledges it.
const ACK_LIMIT: Duration = Duration::from_secs(1);

/// Pause before the next heartbeat while ranges wait for their release.
const QUICK_PAUSE: Duration = Duration::from_millis(90);

/// Time for which two instances may hold the same keys without a request.
const MAX_OVERLAP: Duration = Duration::from_millis(500);

/// Number of broken promises that are recorded with their details.
const MAX_DETAILS: usize = 40;

/// What an instance is.
#[derive(Debug, Clone)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Address for its heartbeats.
    pub control: SocketAddr,
    pub keyed: bool,
    pub slots: usize,
    /// Mean time that a request takes once the instance is warm.
    pub work: Duration,
    /// Time after its start for which the instance is cold and takes twice as long.
    pub cold: Duration,
    pub heartbeat: Duration,
    /// Whether it drops a request when its connection closes, as most instances do.
    pub drops: bool,
}

#[derive(Debug, Clone, Copy)]
struct Hold {
    from: u16,
    to: u16,
    token: u64,
    end: Instant,
}

impl Hold {
    fn contains(&self, key: u16) -> bool {
        self.from <= key && key <= self.to
    }

    /// Returns the parts of the range that are in none of the others.
    fn without(self, others: &[Self]) -> Vec<Self> {
        let mut left = vec![self];
        for other in others {
            left = left.into_iter().flat_map(|h| h.minus(*other)).collect();
        }
        left
    }

    fn minus(self, other: Self) -> Vec<Self> {
        if other.to < self.from || self.to < other.from {
            return vec![self];
        }
        let mut left = Vec::new();
        if self.from < other.from {
            left.push(Self {
                to: other.from - 1,
                ..self
            });
        }
        if other.to < self.to {
            left.push(Self {
                from: other.to + 1,
                ..self
            });
        }
        left
    }
}

/// One life of an instance.
struct Life {
    config: Config,
    born: u64,
    started: Instant,
    up: bool,
    draining: bool,
    leaving: bool,
    sequence: u64,
    running: usize,
    held: Vec<Hold>,
    /// Left out by the last answer; released once no request runs on them.
    releasing: Vec<Hold>,
    running_keys: Vec<u16>,
    highest: Vec<u64>,
    released: Vec<(u16, u16, String)>,
    /// First acknowledgement of its leaving.
    leave_acknowledged: Option<Instant>,
}

impl Life {
    /// Returns how much longer the instance is cold.
    fn cold_left(&self) -> Duration {
        self.config.cold.saturating_sub(self.started.elapsed())
    }

    fn holds(&self, key: u16, now: Instant) -> bool {
        self.up && self.held.iter().any(|h| h.contains(key) && now < h.end)
    }

    /// Returns whether a request runs on one of the keys, and its hold has not run out.
    fn works_on(&self, from: u16, to: u16, now: Instant) -> Option<u16> {
        let live = |key: &u16| {
            let mut holds = self.held.iter().chain(&self.releasing);
            holds.any(|h| h.contains(*key) && now < h.end)
        };
        let mut keys = self
            .running_keys
            .iter()
            .filter(|k| from <= **k && **k <= to);
        keys.find(|k| self.up && live(k)).copied()
    }

    fn release_idle(&mut self, now: Instant) {
        self.held.retain(|h| now < h.end);
        self.releasing.retain(|h| now < h.end);
        let keys = &self.running_keys;
        let busy = |h: &Hold| keys.iter().any(|k| h.contains(*k));
        let (busy, free): (Vec<_>, Vec<_>) = self.releasing.iter().partition(|h| busy(h));
        self.releasing = busy;
        let proofs = free
            .iter()
            .map(|h: &Hold| (h.from, h.to, format!("{:08x}{:08x}", h.from, h.token)));
        self.released.extend(proofs);
    }
}

/// Overlap of what two instances hold.
#[derive(Default)]
struct Overlap {
    since: HashMap<u16, Instant>,
    reported: bool,
    began: [bool; 2],
}

/// All instances, and the checks on them.
#[derive(Clone)]
pub struct World {
    state: Arc<Mutex<State>>,
    record: Record,
}

#[derive(Default)]
struct State {
    lives: Vec<Life>,
    overlaps: HashMap<(usize, usize), Overlap>,
    tokens: Vec<(u64, usize)>,
    broken: usize,
    runs: Vec<Run>,
}

/// Arrival of a request at an instance that ran it.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub instance: String,
    pub at: Instant,
}

impl World {
    pub fn new(record: &Record) -> Self {
        let state = State {
            tokens: vec![(0, usize::MAX); KEY_COUNT],
            ..State::default()
        };
        let world = Self {
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let checker = world.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                checker.check_overlaps();
            }
        });
        world
    }

    /// Returns how often a promise about keys was broken.
    pub fn broken(&self) -> usize {
        self.state.lock().unwrap().broken
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    fn report(&self, state: &mut State, text: &str) {
        state.broken += 1;
        if state.broken <= MAX_DETAILS {
            self.record.line(&format!("BROKEN OWNER: {text}"));
        }
    }

    /// Reports two instances that are up and hold the same keys for over half a second.
    fn check_overlaps(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let count = state.lives.len();
        for a in 0..count {
            for b in a + 1..count {
                let (first, second) = (&state.lives[a], &state.lives[b]);
                if first.config.service != second.config.service || !first.up || !second.up {
                    state.overlaps.remove(&(a, b));
                    continue;
                }
                let mut shared = Vec::new();
                for h in first.held.iter().filter(|h| now < h.end) {
                    for o in second.held.iter().filter(|o| now < o.end) {
                        shared.extend(h.from.max(o.from)..=h.to.min(o.to));
                    }
                }
                if shared.is_empty() {
                    state.overlaps.remove(&(a, b));
                    continue;
                }
                let names = format!("{} and {}", first.config.id, second.config.id);
                let overlap = state.overlaps.entry((a, b)).or_default();
                let before = std::mem::take(&mut overlap.since);
                for key in &shared {
                    let since = before.get(key).copied().unwrap_or(now);
                    overlap.since.insert(*key, since);
                }
                let long = overlap
                    .since
                    .values()
                    .filter(|at| now - **at > MAX_OVERLAP)
                    .count();
                if long > 0 && !overlap.reported {
                    overlap.reported = true;
                    let text = format!("{names} hold the same {long} keys for over 0.5 s");
                    self.report(&mut state, &text);
                }
            }
        }
    }

    /// Begins a request on a key if it is held.
    fn begin(&self, life: usize, key: u16) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if !state.lives[life].holds(key, now) {
            return false;
        }
        state.lives[life].running_keys.push(key);
        let service = state.lives[life].config.service.clone();
        for other in 0..state.lives.len() {
            let o = &state.lives[other];
            if other == life || o.config.service != service || !o.holds(key, now) {
                continue;
            }
            let pair = (life.min(other), life.max(other));
            let overlap = state.overlaps.entry(pair).or_default();
            overlap.began[usize::from(life > other)] = true;
            if overlap.began == [true, true] {
                overlap.began = [false, false];
                let (a, b) = (
                    &state.lives[pair.0].config.id,
                    &state.lives[pair.1].config.id,
                );
                let text = format!(
                    "{a} and {b} hold the same keys and both begin requests on them, such as key {key}"
                );
                self.report(&mut state, &text);
            }
        }
        true
    }

    /// Ends a request; returns whether its key is still held.
    fn end(&self, life: usize, key: u16) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let l = &mut state.lives[life];
        if let Some(at) = l.running_keys.iter().position(|k| *k == key) {
            l.running_keys.swap_remove(at);
        }
        let mut holds = l.held.iter().chain(&l.releasing);
        holds.any(|h| h.contains(key) && now < h.end)
    }

    /// Applies the answer to a heartbeat that was sent at `sent`.
    fn apply(&self, life: usize, answer: &Json, sent: Instant) {
        let (Json::List(rows), Some(ms)) = (answer.get("holds"), answer.get("hold_ms").number())
        else {
            return;
        };
        let now = Instant::now();
        let end = sent + Duration::from_millis(ms);
        let mut state = self.state.lock().unwrap();
        let mut held = Vec::new();
        for row in rows {
            let row = row.list();
            let number = |i: usize| row.get(i).and_then(Json::number).unwrap_or(0);
            let (from, to, token) = (number(0) as u16, number(1) as u16, number(2));
            let keys = usize::from(from)..=usize::from(to);
            if state.lives[life].highest[keys.clone()]
                .iter()
                .any(|seen| *seen > token)
            {
                continue;
            }
            state.lives[life].highest[keys].fill(token);
            held.push(Hold {
                from,
                to,
                token,
                end,
            });
        }
        let before: Vec<_> = state.lives[life]
            .held
            .iter()
            .filter(|h| now < h.end)
            .copied()
            .collect();
        for hold in &held {
            for new in hold.without(&before) {
                self.check_new(&mut state, life, new, now);
            }
        }
        let l = &mut state.lives[life];
        let all: Vec<_> = l.held.iter().chain(&l.releasing).copied().collect();
        l.releasing = all.into_iter().flat_map(|h| h.without(&held)).collect();
        l.held = held;
        l.release_idle(now);
    }

    /// Checks ranges that an instance has just taken.
    fn check_new(&self, state: &mut State, life: usize, new: Hold, now: Instant) {
        let id = state.lives[life].config.id.clone();
        let Hold {
            from, to, token, ..
        } = new;
        self.record
            .line(&format!("instance {id} takes {from}-{to} token {token}"));
        for other in 0..state.lives.len() {
            let o = &state.lives[other];
            if other == life || o.config.service != state.lives[life].config.service {
                continue;
            }
            if let Some(key) = o.works_on(from, to, now) {
                let text = format!(
                    "{id} is given key {key} on which {} is still at work",
                    o.config.id
                );
                self.report(state, &text);
            }
        }
        let mut stale = None;
        for key in usize::from(from)..=usize::from(to) {
            let (highest, holder) = state.tokens[key];
            if holder != life && holder != usize::MAX && highest >= token {
                stale = Some((key, highest));
            }
            state.tokens[key] = (highest.max(token), life);
        }
        if let Some((key, highest)) = stale {
            let text = format!("{id} takes key {key} with token {token}, another had {highest}");
            self.report(state, &text);
        }
    }
}

/// Running instance.
#[derive(Clone)]
pub struct Instance {
    world: World,
    life: usize,
    server: Server,
}

impl Instance {
    pub fn start(world: &World, config: Config, born: u64) -> std::io::Result<Self> {
        let address = config.address;
        world.record.line(&format!(
            "instance {} of {} starts",
            config.id, config.service
        ));
        let mut state = world.state.lock().unwrap();
        state.lives.push(Life {
            config,
            born,
            started: Instant::now(),
            up: true,
            draining: false,
            leaving: false,
            sequence: 0,
            running: 0,
            held: Vec::new(),
            releasing: Vec::new(),
            running_keys: Vec::new(),
            highest: vec![0; KEY_COUNT],
            released: Vec::new(),
            leave_acknowledged: None,
        });
        let life = state.lives.len() - 1;
        drop(state);
        let serving = world.clone();
        let handler: Handler = Arc::new(move |request, peer| handle(&serving, life, request, peer));
        let server = Server::start(address, handler)?;
        let instance = Self {
            world: world.clone(),
            life,
            server,
        };
        let beating = instance.clone();
        thread::spawn(move || beating.beat());
        Ok(instance)
    }

    fn with<T>(&self, f: impl FnOnce(&mut Life) -> T) -> T {
        f(&mut self.world.state.lock().unwrap().lives[self.life])
    }

    pub fn id(&self) -> String {
        self.with(|l| l.config.id.clone())
    }

    /// Says in the next heartbeats that it is draining.
    pub fn drain(&self) {
        self.with(|l| l.draining = true);
        self.world
            .record
            .line(&format!("instance {} begins to drain", self.id()));
    }

    /// Returns when its leaving was first acknowledged.
    pub fn leave_acknowledged(&self) -> Option<Instant> {
        self.with(|l| l.leave_acknowledged)
    }

    /// Ends the process of the instance.
    pub fn exit(&self) {
        self.with(|l| {
            l.up = false;
            l.held.clear();
            l.releasing.clear();
        });
        self.server.stop();
        self.world
            .record
            .line(&format!("instance {} ends", self.id()));
    }

    /// Builds the next heartbeat; returns it with the number of released ranges in it.
    fn heartbeat(&self) -> (String, usize) {
        self.with(|l| {
            l.sequence += 1;
            l.release_idle(Instant::now());
            let holds = l.held.iter().chain(&l.releasing);
            let holds: Vec<_> = holds.map(|h| format!("[{},{},{}]", h.from, h.to, h.token)).collect();
            let released = l.released.iter();
            let released: Vec<_> = released.map(|(f, t, p)| format!("[{f},{t},\"{p}\"]")).collect();
            let c = &l.config;
            let state = if l.draining { "draining" } else { "ready" };
            let text = format!(
                r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},"status":{{"state":"{state}","sequence":{},"warmup_left_ms":{}}},"holds":[{}],"released":[{}]}}"#,
                c.address, l.born, c.service, c.zone, c.slots, l.sequence, l.cold_left().as_millis(), holds.join(","), released.join(",")
            );
            (text, l.released.len())
        })
    }

    fn call(&self, method: &str, body: &str) -> Option<Message> {
        let (id, control) = self.with(|l| (l.config.id.clone(), l.config.control));
        let mut connection = Connection::open(control, ACK_LIMIT).ok()?;
        let host = control.to_string();
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
        ];
        let first = format!("{method} /v1/instances/{id} HTTP/1.1");
        let bytes = http::encode(&first, &headers, body.as_bytes());
        connection.exchange(&bytes, Instant::now() + ACK_LIMIT).ok()
    }

    fn beat(&self) {
        while self.with(|l| l.up && !l.leaving) {
            let (body, released) = self.heartbeat();
            let draining = self.with(|l| l.draining);
            let sent = Instant::now();
            let answer = self.call("PUT", &body).filter(|a| a.status() == 200);
            let answer = answer.filter(|_| sent.elapsed() < ACK_LIMIT);
            if let Some(answer) = answer {
                self.world
                    .apply(self.life, &Json::parse(&answer.body), sent);
                self.with(|l| {
                    l.released.drain(..released);
                    if draining && l.leave_acknowledged.is_none() {
                        l.leave_acknowledged = Some(Instant::now());
                    }
                });
            }
            let (quick, pause) = self.with(|l| (!l.releasing.is_empty(), l.config.heartbeat));
            thread::sleep(if quick { QUICK_PAUSE } else { pause });
        }
    }

    /// Sends a heartbeat that arrives late.
    pub fn beat_late(&self, delay: Duration) {
        let (body, _) = self.heartbeat();
        let (instance, id) = (self.clone(), self.id());
        self.world.record.line(&format!(
            "instance {id} sends a heartbeat that arrives {delay:?} late: {body}"
        ));
        thread::spawn(move || {
            thread::sleep(delay);
            let status = instance.call("PUT", &body).map(|a| a.status());
            instance.world.record.line(&format!(
                "late heartbeat of {id} arrives, answer {status:?}"
            ));
        });
    }

    /// Sends a leave notice until it is acknowledged; heartbeats end with it.
    pub fn leave(&self) {
        let (id, born) = self.with(|l| {
            l.leaving = true;
            (l.config.id.clone(), l.born)
        });
        for _ in 0..20 {
            let body = format!(r#"{{"born":{born}}}"#);
            let answer = self.call("DELETE", &body).map(|a| a.status());
            self.world.record.line(&format!(
                "instance {id} says that it leaves, answer {answer:?}"
            ));
            if answer == Some(200) {
                self.with(|l| {
                    l.leave_acknowledged
                        .get_or_insert_with(Instant::now)
                        .elapsed()
                });
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
}

/// Spread of the logarithm of the work of requests, as in the deployments' site files.
const WORK_SPREAD: f64 = 0.8;

/// Returns the factor on the mean work of a request, which differs from request to request.
fn spread(id: &str) -> f64 {
    let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let mut hash = id.bytes().fold(0xcbf2_9ce4_8422_2325, fold);
    // The sum of twelve uniform numbers is close to a normal distribution.
    let mut normal = -6.0;
    for _ in 0..12 {
        hash = hash
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        normal += (hash >> 33) as f64 / f64::from(1u32 << 31);
    }
    (WORK_SPREAD * normal - WORK_SPREAD * WORK_SPREAD / 2.0).exp()
}

fn handle(world: &World, life: usize, request: &Message, peer: &Peer<'_>) -> Option<Vec<u8>> {
    let with = |f: &mut dyn FnMut(&mut Life)| f(&mut world.state.lock().unwrap().lives[life]);
    let id = request.header("X-Request-Id").to_owned();
    let (mut config, mut has_room) = (None, false);
    with(&mut |l| {
        has_room = l.running < l.config.slots;
        l.running += usize::from(has_room);
        let factor = if l.cold_left().is_zero() { 1 } else { 2 };
        config = Some(Config {
            work: l.config.work * factor,
            ..l.config.clone()
        });
    });
    let config = config?;
    let echo = ("X-Request-Id", id.as_str());
    if !has_room {
        return Some(http::response(503, &[echo, ("X-Not-Executed", "1")], b""));
    }
    let answer = run(world, life, &config, request, peer);
    with(&mut |l| l.running -= 1);
    answer
}

fn run(
    world: &World,
    life: usize,
    config: &Config,
    request: &Message,
    peer: &Peer<'_>,
) -> Option<Vec<u8>> {
    let id = request.header("X-Request-Id").to_owned();
    let echo = ("X-Request-Id", id.as_str());
    if request.header("X-Expected-Instance") != config.id {
        return Some(http::response(
            421,
            &[echo, ("X-Instance-Id", &config.id)],
            b"",
        ));
    }
    let key = request
        .header("X-Shard-Key")
        .parse::<u16>()
        .ok()
        .filter(|_| config.keyed);
    if config.keyed && !key.is_some_and(|k| world.begin(life, k)) {
        return Some(http::response(421, &[echo, ("X-Not-Executed", "1")], b""));
    }
    let at = Instant::now();
    let run = Run {
        id: id.clone(),
        instance: config.id.clone(),
        at,
    };
    world.state.lock().unwrap().runs.push(run);
    let origin = request.header("X-Caller-Service");
    let key_text = key.map_or(String::new(), |k| format!(" key {k}"));
    world.record.line(&format!(
        "instance {} runs {id}{key_text} from {origin}",
        config.id
    ));
    let left = Duration::from_millis(request.header("X-Deadline-Ms").parse().unwrap_or(0));
    let work = config.work.mul_f64(spread(&id));
    let mut gone = false;
    while at.elapsed() < work.min(left) && !gone {
        thread::sleep(Duration::from_millis(5));
        gone = config.drops && peer.is_gone();
    }
    let held = key.is_none_or(|k| world.end(life, k));
    if gone {
        return None;
    }
    let status = match (held, at.elapsed() < left) {
        (false, _) => 500,
        (true, false) => 504,
        (true, true) => 200,
    };
    let headers = [echo, ("X-Server-Signature", "signed")];
    let body = format!("{} ran {id}", config.id);
    Some(http::response(status, &headers, body.as_bytes()))
}
