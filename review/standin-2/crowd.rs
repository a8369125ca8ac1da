//! Many clients that send safe requests ahead, with large heads, while the keys of a service have no holder.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::mesh::{CONNECTED, Deployment, Mesh};
use crate::record::Record;
use crate::Verdict;

const CONFIG: &str = r#"{"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"hostname":"review.example","rules":[{"name":"r-walk","route_type":"safe","target_latency_ms":800,"priority":2,"match":{"prefix":"/walk/"},"action":{"service":"walks","timeout_ms":2500,"max_attempts":2}},{"name":"r-list","route_type":"safe","target_latency_ms":400,"priority":1,"match":{"prefix":"/list/"},"action":{"service":"office","timeout_ms":2000,"max_attempts":2}}]}],"clusters":[{"name":"walks","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false,"sharded":true,"warm_s":3.0,"grants":"heartbeat"},{"name":"office","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}]}"#;

/// Machines. The instance of `walks` is lost for good before the traffic starts.
const MACHINES: [(&str, &str); 6] = [
    ("office", "zone-a"),
    ("office", "zone-b"),
    ("office", "zone-a"),
    ("office", "zone-b"),
    ("office", "zone-c"),
    ("walks", "zone-c"),
];
const LOST_SERVICE: &str = "walks";

/// Machines at which the crowd connects, and how often it does.
const TARGETS: [usize; 2] = [0, 1];
const ROUNDS: usize = 3;

/// Memory of a machine in MB, the least on the pages of the deployments in force.
const MEMORY_MB: u64 = 160;

/// Connections of the crowd at a machine, which has 3,900 descriptors for sockets, and the safe requests
/// that each of them sends ahead.
const CONNECTIONS: usize = 900;
const AHEAD: usize = 8;

/// Header lines of a request of the crowd, and the length of their values: the head has less than 16,384
/// bytes, the limit.
const LINES: usize = 90;
const VALUE: usize = 150;

/// Threads that open the crowd's connections at one machine.
const THREADS: usize = 4;

/// Time for which the memory is watched after the crowd has come.
const WATCH: Duration = Duration::from_secs(5);

/// Times in a day that the rule allows processes to end by themselves on each of two machines.
const ALLOWED: usize = 2;

fn resident_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}

fn head(round: usize, connection: usize, request: usize) -> String {
    let lines: String = (0..LINES)
        .map(|n| format!("X-Note-{n:03}: {}\r\n", "n".repeat(VALUE)))
        .collect();
    let key = (connection * AHEAD + request) % 65536;
    format!(
        "GET /walk/{key} HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: c{round:02x}{connection:06x}{request:04x}\r\n\
         X-Deadline-Ms: 2500\r\nX-Shard-Key: {key}\r\n{lines}\r\n"
    )
}

/// Process with the clients of one machine: opens the connections, sends requests ahead on each, says how
/// many it has opened and keeps them open until it is ended.
pub fn clients(to: &str, round: &str) -> Result<(), String> {
    let to: SocketAddr = to.parse().map_err(|_| "no address")?;
    let round: usize = round.parse().map_err(|_| "no round")?;
    let parts = (0..THREADS).map(|part| thread::spawn(move || come(to, round, part)));
    let parts: Vec<_> = parts.collect();
    let mut open = Vec::new();
    for part in parts {
        open.extend(part.join().map_err(|_| "a client failed")?);
    }
    println!("{}", open.len());
    loop {
        thread::sleep(WATCH);
    }
}

/// Opens connections and sends requests ahead on each; returns the open connections.
fn come(to: SocketAddr, round: usize, part: usize) -> Vec<TcpStream> {
    let mut open = Vec::new();
    for connection in (part..CONNECTIONS).step_by(THREADS) {
        let text: String = (0..AHEAD).map(|r| head(round, connection, r)).collect();
        let Ok(mut io) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            continue;
        };
        // The machine may refuse a client by closing its connection.
        let limited = io.set_write_timeout(Some(Duration::from_secs(1)));
        if limited.is_ok() && io.write_all(text.as_bytes()).is_ok() {
            open.push(io);
        }
    }
    open
}

/// Clients of one machine, ended when dropped.
struct Crowd(Child);

impl Drop for Crowd {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _killed = self.0.kill();
        let _ended = self.0.wait();
    }
}

impl Crowd {
    fn start(to: SocketAddr, round: usize) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(["clients", &to.to_string(), &round.to_string()]);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).spawn();
        child.map(Self).map_err(|e| e.to_string())
    }
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> Verdict {
    assert!(head(0, 0, 0).len() < 16384, "the head is inside the limit");
    let deployment = Deployment {
        machines: &MACHINES,
        lost: &[LOST_SERVICE],
        keyed: &[LOST_SERVICE],
        config: CONFIG,
        memory_mb: MEMORY_MB,
        work: Duration::from_millis(20),
        restart: Duration::from_secs(2),
    };
    let mut mesh = Mesh::start(root, record, &deployment)?;
    mesh.wait("/list/1", Duration::from_secs(15))?;
    thread::sleep(CONNECTED);
    let mut ends = [0; TARGETS.len()];
    for round in 0..ROUNDS {
        let mut crowds = Vec::new();
        for m in TARGETS.into_iter().filter(|_| trouble) {
            crowds.push(Crowd::start(mesh.caller_address(m), round)?);
        }
        if trouble {
            record.line(&format!(
                "round {round}: {CONNECTIONS} clients connect at each of the machines {TARGETS:?}; each sends {AHEAD} safe requests with heads of {} bytes",
                head(0, 0, 0).len()
            ));
        }
        let mut most = [0; TARGETS.len()];
        let mut killed = [false; TARGETS.len()];
        let start = Instant::now();
        while start.elapsed() < WATCH && !killed.iter().all(|k| *k) {
            for (i, m) in TARGETS.into_iter().enumerate() {
                let Some(pid) = mesh.hosts[m].process.as_ref().map(|c| c.id()) else {
                    continue;
                };
                most[i] = most[i].max(resident_mb(pid));
                if most[i] > MEMORY_MB {
                    record.line(&format!(
                        "machine {m}: the process holds {} MB, over its memory_mb of {MEMORY_MB}; the platform kills it",
                        most[i]
                    ));
                    mesh.kill(m);
                    killed[i] = true;
                    ends[i] += 1;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        drop(crowds);
        record.line(&format!("round {round}: most memory at {TARGETS:?}: {most:?} MB"));
        thread::sleep(Duration::from_secs(1));
        for m in TARGETS {
            if mesh.hosts[m].process.is_none() {
                mesh.start_process(m)?;
            } else if mesh.ended() == Some(m) {
                ends[TARGETS.iter().position(|t| *t == m).unwrap_or(0)] += 1;
                record.line(&format!("machine {m}: the process has ended by itself"));
                mesh.kill(m);
                mesh.start_process(m)?;
            }
        }
        mesh.wait("/list/1", Duration::from_secs(15))?;
        thread::sleep(CONNECTED);
    }
    record.line(&format!(
        "times that processes ended at the machines {TARGETS:?}: {ends:?}; three on each of two machines break the rule"
    ));
    Ok(!ends.iter().all(|n| *n > ALLOWED))
}
