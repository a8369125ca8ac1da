//! Cost of the control plane by number of nodes, in a mesh without requests: socket traffic, processor
//! time, memory and calls to the platform's store.

use std::fs;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::table;
use filbertflow_harness::document::{Service, User};
use filbertflow_harness::mesh::{Mesh, MeshConfig};

/// Numbers of nodes to measure.
const NODE_COUNTS: [usize; 6] = [1, 2, 4, 8, 16, 32];

/// Time over which the cost is measured.
const MEASURE_PERIOD: Duration = Duration::from_secs(10);

/// Pause after the start, which excludes the cost of starting from the measurement.
const SETTLE_PAUSE: Duration = Duration::from_secs(5);

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`), a fixed part of Linux's interface.
pub const TICKS_PER_SECOND: f64 = 100.0;

/// Size of the TCP, IP and Ethernet headers of a packet.
const HEADER_BYTES: f64 = 66.0;

#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    sent: f64,
    received: f64,
    writes: f64,
    ticks: f64,
    memory: f64,
}

/// Runs the benchmark.
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
    for size in NODE_COUNTS {
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
    thread::sleep(SETTLE_PAUSE);
    let counts = mesh.platform_counts();
    let before: Vec<_> = (0..size).map(|i| read_usage(&mesh, i)).collect();
    thread::sleep(MEASURE_PERIOD);
    let after: Vec<_> = (0..size).map(|i| read_usage(&mesh, i)).collect();
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

fn read_usage(mesh: &Mesh, i: usize) -> Usage {
    let metrics = mesh.metrics(i);
    let value = |direction: &str| {
        let name = format!("filbertflow_peer_traffic_total{{direction=\"{direction}\"}} ");
        let line = metrics.lines().find_map(|l| l.strip_prefix(&name));
        line.and_then(|v| v.parse().ok()).unwrap_or_default()
    };
    let id = mesh.hosts[i].node.as_ref().expect("the node runs").id();
    Usage {
        sent: value("sent_bytes"),
        received: value("received_bytes"),
        writes: value("writes"),
        ticks: cpu_ticks(id),
        memory: resident_mb(id),
    }
}

/// Returns the processor time of a process in clock ticks.
pub fn cpu_ticks(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("the process runs");
    // The name in parentheses may contain spaces, so that fields are counted from the state after it.
    let fields: Vec<_> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let field = |i: usize| fields[i].parse::<f64>().unwrap_or_default();
    field(11) + field(12)
}

/// Returns the resident memory of a process in MB.
pub fn resident_mb(id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.unwrap_or_default() / 1024.0
}

fn per_second(before: Usage, after: Usage) -> Usage {
    let s = MEASURE_PERIOD.as_secs_f64();
    Usage {
        sent: (after.sent - before.sent) / s,
        received: (after.received - before.received) / s,
        writes: (after.writes - before.writes) / s,
        ticks: (after.ticks - before.ticks) / s,
        memory: after.memory,
    }
}

fn mean(costs: &[Usage]) -> Usage {
    let n = costs.len() as f64;
    let of = |f: fn(&Usage) -> f64| costs.iter().map(f).sum::<f64>() / n;
    Usage {
        sent: of(|r| r.sent),
        received: of(|r| r.received),
        writes: of(|r| r.writes),
        ticks: of(|r| r.ticks),
        memory: of(|r| r.memory),
    }
}

fn report(size: usize, role: &str, cost: Usage, counts: &[Option<Value>; 2]) {
    let count = |i: usize, kind: &str| {
        let value = counts[i].as_ref().and_then(|c| c[kind].as_f64());
        value.unwrap_or_default()
    };
    let rate = |kinds: &[&str]| {
        let sum: f64 = kinds.iter().map(|k| count(1, k) - count(0, k)).sum();
        sum / MEASURE_PERIOD.as_secs_f64()
    };
    table::row(&[
        size.to_string(),
        role.to_owned(),
        format!("{:.0}", cost.sent),
        format!("{:.0}", cost.received),
        format!("{:.0}", cost.writes),
        format!(
            "{:.0}",
            cost.sent + cost.received + 2.0 * cost.writes * HEADER_BYTES
        ),
        format!("{:.2}", cost.ticks / TICKS_PER_SECOND * 100.0),
        format!("{:.1}", cost.memory),
        format!("{:.1}", rate(&["get", "list", "watch"])),
        format!("{:.1}", rate(&["put"])),
        format!("{:.0}", count(1, "waiting_watches")),
    ]);
}
