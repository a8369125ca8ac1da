//! Stand-in of an instance of a service without keys: serves requests and sends heartbeats.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http;
use crate::json;
use crate::keys::Keys;
use crate::record::Record;

/// Pause before the next heartbeat while keys are to be released.
const SOON: Duration = Duration::from_millis(80);

/// How an instance is set up.
#[derive(Debug, Clone)]
pub struct Config {
    pub machine: usize,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Heartbeat address of the node on its machine.
    pub control: SocketAddr,
    pub heartbeat: Duration,
    /// Whether it runs only requests whose keys it holds.
    pub keyed: bool,
    /// Time that a request runs.
    pub work: Duration,
    /// Time after a crash until the next life.
    pub restart: Duration,
}

/// Request that an instance has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    /// Whether the instance crashed under it.
    pub crashed: bool,
}

/// Running instance; clones share its state.
#[derive(Debug, Clone)]
pub struct Instance {
    config: Config,
    alive: Arc<AtomicBool>,
    life: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    born: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
    /// Whether it has ended for good.
    ended: Arc<AtomicBool>,
    keys: Arc<Mutex<Keys>>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(0)
}

impl Instance {
    /// Starts an instance; what it runs is added to `runs`.
    pub fn start(config: Config, runs: &Arc<Mutex<Vec<Run>>>, record: &Record) -> Self {
        let instance = Self {
            config,
            alive: Arc::new(AtomicBool::new(true)),
            life: Arc::default(),
            sequence: Arc::default(),
            born: Arc::new(AtomicU64::new(unix_ms())),
            next: Arc::default(),
            ended: Arc::default(),
            keys: Arc::default(),
            connections: Arc::default(),
            runs: Arc::clone(runs),
            record: record.clone(),
        };
        let (serving, beating) = (instance.clone(), instance.clone());
        thread::spawn(move || serving.serve());
        thread::spawn(move || beating.beat());
        instance
    }

    fn id(&self) -> String {
        let life = self.life.load(Ordering::SeqCst);
        format!("i-{}-{life}", self.config.machine)
    }

    /// Accepts connections. While the instance is down, its port is closed.
    fn serve(&self) {
        loop {
            let listener = TcpListener::bind(self.config.address).expect("the address is free");
            for io in listener.incoming().flatten() {
                if !self.alive.load(Ordering::SeqCst) {
                    break;
                }
                let instance = self.clone();
                thread::spawn(move || instance.connection(io));
            }
            drop(listener);
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(self.config.restart);
            *self.keys.lock().unwrap() = Keys::default();
            self.life.fetch_add(1, Ordering::SeqCst);
            self.sequence.store(0, Ordering::SeqCst);
            self.born.store(unix_ms(), Ordering::SeqCst);
            self.alive.store(true, Ordering::SeqCst);
            self.record.line(&format!("instance {} is back", self.id()));
        }
    }

    fn connection(&self, mut io: TcpStream) {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let life = self.life.load(Ordering::SeqCst);
        if let (Ok(()), Ok(copy)) = (io.set_nodelay(true), io.try_clone()) {
            self.connections.lock().unwrap().insert(number, copy);
            let mut buffer = Vec::new();
            while let Ok(Some(request)) = http::read(&mut io, &mut buffer) {
                let current = self.life.load(Ordering::SeqCst) == life;
                if !current || !self.alive.load(Ordering::SeqCst) || !self.answer(&mut io, &request) {
                    break;
                }
            }
        }
        self.connections.lock().unwrap().remove(&number);
    }

    /// Runs a request; returns whether the connection goes on.
    fn answer(&self, io: &mut TcpStream, request: &http::Message) -> bool {
        let id = request.header("X-Request-Id").to_owned();
        let echo = format!("X-Request-Id: {id}\r\n");
        if request.word(1) == "/healthz" {
            let own = format!("X-Instance-Id: {}\r\n", self.id());
            return http::respond(io, 200, &own, b"").is_ok();
        }
        if request.header("X-Expected-Instance") != self.id() {
            return http::respond(io, 421, &echo, b"").is_ok();
        }
        let crashes = request.word(1).contains("/crash");
        let key = request.header("X-Shard-Key").parse::<u64>().ok().filter(|_| self.config.keyed);
        if self.config.keyed && !key.is_some_and(|k| self.keys.lock().unwrap().begin(k)) {
            let refusal = format!("{echo}X-Not-Executed: 1\r\n");
            return http::respond(io, 421, &refusal, b"").is_ok();
        }
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            crashed: crashes,
        });
        self.record.line(&format!(
            "instance {} ({}) runs {id} {} {}{}",
            self.id(),
            self.config.service,
            request.word(0),
            request.word(1),
            if crashes { " and crashes" } else { "" }
        ));
        if crashes {
            self.crash();
            return false;
        }
        let whole = self.work(io);
        if let Some(key) = key {
            self.keys.lock().unwrap().end(key);
        }
        if !whole {
            self.record.line(&format!("instance {} drops {id}: its connection was closed", self.id()));
            return false;
        }
        let headers = format!("{echo}X-Server-Signature: {}.{id}\r\n", self.id());
        let body = format!("{} {}\n", self.config.service, id);
        http::respond(io, 200, &headers, body.as_bytes()).is_ok()
    }

    /// Works on a request; returns false if its connection is closed meanwhile.
    fn work(&self, io: &TcpStream) -> bool {
        let end = Instant::now() + self.config.work;
        let mut byte = [0];
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return io.set_read_timeout(None).is_ok();
            }
            let step = left.min(Duration::from_millis(20));
            if io.set_read_timeout(Some(step)).is_err() {
                return false;
            }
            match io.peek(&mut byte) {
                Ok(0) => return false,
                // The next request is there already.
                Ok(_) => thread::sleep(step),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }

    /// Ends this life: all connections and the port are closed.
    fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        for (_, io) in self.connections.lock().unwrap().drain() {
            // It may have ended already.
            let _ended = io.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread.
        let _woken = TcpStream::connect(self.config.address);
    }

    /// Ends the instance for good.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.crash();
    }

    fn beat(&self) {
        while !self.ended.load(Ordering::SeqCst) {
            let mut soon = false;
            if self.alive.load(Ordering::SeqCst) {
                let (c, id) = (&self.config, self.id());
                let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
                let (holds, released, count) = self.keys.lock().unwrap().rows();
                let rows = match c.keyed {
                    true => format!(r#","holds":[{holds}],"released":[{released}]"#),
                    false => String::new(),
                };
                let sent = Instant::now();
                let body = format!(
                    concat!(
                        r#"{{"address":"{}","info":{{"service":"{}","version":"v1","zone":"{}","slots":18}},"#,
                        r#""status":{{"state":"ready","sequence":{},"warmup_left_ms":0}},"born":{}{}}}"#
                    ),
                    c.address,
                    c.service,
                    c.zone,
                    sequence,
                    self.born.load(Ordering::SeqCst),
                    rows
                );
                let request = format!(
                    "PUT /v1/instances/{id} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n\
                     Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
                    c.control,
                    body.len()
                );
                // A node that is down is tried again with the next heartbeat.
                if let Ok(reply) = http::call(c.control, &request, Duration::from_secs(1))
                    && reply.status() == 200
                {
                    let reply = json::parse(&String::from_utf8_lossy(&reply.body));
                    let mut keys = self.keys.lock().unwrap();
                    if let json::Json::List(rows) = reply.get("holds") {
                        let row = |r: &json::Json| {
                            let n = |i: usize| r.list().get(i).map_or(0, json::Json::number);
                            (n(0), n(1), n(2))
                        };
                        let rows: Vec<_> = rows.iter().map(row).collect();
                        let hold = Duration::from_millis(reply.get("hold_ms").number());
                        soon = keys.apply(&rows, sent + hold, count);
                    }
                }
            }
            thread::sleep(if soon { SOON } else { self.config.heartbeat });
        }
    }
}
