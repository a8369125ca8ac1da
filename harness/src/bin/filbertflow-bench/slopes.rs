//! Cost of control by number of nodes: bytes at the socket, processor time, memory, and calls to
//! the platform's service, of a mesh without requests.

use std::fs;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::table;
use filbertflow_harness::document::{Service, User};
use filbertflow_harness::mesh::{Mesh, MeshConfig};

/// Numbers of nodes that are measured.
const SIZES: [usize; 6] = [1, 2, 4, 8, 16, 32];

/// Time over which the cost is counted.
const PERIOD: Duration = Duration::from_secs(10);

/// Pause after the start, so that the start itself is not counted.
const CALM: Duration = Duration::from_secs(5);

/// Clock ticks per second in `/proc/PID/stat`, fixed by the kernel's interface on Linux.
pub const TICKS: f64 = 100.0;

/// TCP, IP and Ethernet headers of one packet, in bytes.
const HEADERS: f64 = 66.0;

#[derive(Debug, Clone, Copy, Default)]
struct Reading {
    sent: f64,
    received: f64,
    writes: f64,
    ticks: f64,
    memory: f64,
}

/// Runs the measurement.
pub fn run() {
    table::header(&[
        "nodes",
        "role",
        "sent B/s",
        "received B/s",
        "writes/s",
        "with headers B/s",
        "core %",
        "memory MB",
        "platform reads/s",
        "writes/s",
        "watches waiting",
    ]);
    for size in SIZES {
        measure(size);
    }
}

fn measure(size: usize) {
    let service = Service {
        name: "walk-listings",
        instances: size,
        keyed: true,
    };
    let config = MeshConfig {
        user: User::Consortium,
        services: vec![service],
        relays: false,
        checks_tokens: true,
        hold_ms: 10_000,
        service_ms: 2,
    };
    let mesh = Mesh::start("slopes", config);
    thread::sleep(CALM);
    let counts = mesh.platform_counts();
    let before: Vec<_> = (0..size).map(|i| read(&mesh, i)).collect();
    thread::sleep(PERIOD);
    let after: Vec<_> = (0..size).map(|i| read(&mesh, i)).collect();
    let counts = [counts, mesh.platform_counts()];
    let roles = roles(&mesh, service.name);
    for role in ["coordinator", "standby", "owner only"] {
        let costs: Vec<_> = (0..size)
            .filter(|i| roles[*i] == role)
            .map(|i| per_second(before[i], after[i]))
            .collect();
        if !costs.is_empty() {
            report(size, role, mean(&costs), &counts);
        }
    }
}

fn roles(mesh: &Mesh, service: &str) -> Vec<&'static str> {
    let partition = mesh.partition(service).expect("the mesh is ready");
    let role = |peer: std::net::SocketAddr| {
        if partition.coordinator.0 == peer {
            "coordinator"
        } else if partition.standbys.iter().any(|s| s.0 == peer) {
            "standby"
        } else {
            "owner only"
        }
    };
    mesh.hosts.iter().map(|h| role(h.peer)).collect()
}

fn read(mesh: &Mesh, i: usize) -> Reading {
    let metrics = mesh.metrics(i);
    let value = |direction: &str| {
        let name = format!("filbertflow_peer_traffic_total{{direction=\"{direction}\"}} ");
        let line = metrics.lines().find_map(|l| l.strip_prefix(&name));
        line.and_then(|v| v.parse().ok()).unwrap_or_default()
    };
    let id = mesh.hosts[i].node.as_ref().expect("the node runs").id();
    Reading {
        sent: value("sent_bytes"),
        received: value("received_bytes"),
        writes: value("writes"),
        ticks: ticks(id),
        memory: memory(id),
    }
}

/// Processor time of a process in clock ticks.
pub fn ticks(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("the process runs");
    // The name in parentheses may contain spaces; the fields after it are counted from the state.
    let fields: Vec<_> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let field = |i: usize| fields[i].parse::<f64>().unwrap_or_default();
    field(11) + field(12)
}

/// Resident memory of a process in MB.
pub fn memory(id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.unwrap_or_default() / 1024.0
}

fn per_second(before: Reading, after: Reading) -> Reading {
    let s = PERIOD.as_secs_f64();
    Reading {
        sent: (after.sent - before.sent) / s,
        received: (after.received - before.received) / s,
        writes: (after.writes - before.writes) / s,
        ticks: (after.ticks - before.ticks) / s,
        memory: after.memory,
    }
}

fn mean(costs: &[Reading]) -> Reading {
    let n = costs.len() as f64;
    let of = |f: fn(&Reading) -> f64| costs.iter().map(f).sum::<f64>() / n;
    Reading {
        sent: of(|r| r.sent),
        received: of(|r| r.received),
        writes: of(|r| r.writes),
        ticks: of(|r| r.ticks),
        memory: of(|r| r.memory),
    }
}

fn report(size: usize, role: &str, cost: Reading, counts: &[Option<Value>; 2]) {
    let count = |i: usize, kind: &str| {
        let value = counts[i].as_ref().and_then(|c| c[kind].as_f64());
        value.unwrap_or_default()
    };
    let rate = |kinds: &[&str]| {
        let sum: f64 = kinds.iter().map(|k| count(1, k) - count(0, k)).sum();
        sum / PERIOD.as_secs_f64()
    };
    table::row(&[
        size.to_string(),
        role.to_owned(),
        format!("{:.0}", cost.sent),
        format!("{:.0}", cost.received),
        format!("{:.0}", cost.writes),
        format!(
            "{:.0}",
            cost.sent + cost.received + 2.0 * cost.writes * HEADERS
        ),
        format!("{:.2}", cost.ticks / TICKS * 100.0),
        format!("{:.1}", cost.memory),
        format!("{:.1}", rate(&["get", "list", "watch"])),
        format!("{:.1}", rate(&["put"])),
        format!("{:.0}", count(1, "waiting_watches")),
    ]);
}
