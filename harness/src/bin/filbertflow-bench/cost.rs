//! Processor time of the nodes for each request, by request rate.

use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::{goodput, slopes, table};
use filbertflow_harness::document::User;
use filbertflow_harness::mesh::{Mesh, MeshConfig};

/// Requests per second over all nodes.
const RATES: [u32; 4] = [250, 500, 1_000, 2_000];

/// Length of each run, in seconds.
const RUN_SECONDS: u32 = 8;

/// Time over which the processor time without requests is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(8);

/// Runs the benchmark.
pub fn run() {
    let user = User::Consortium;
    let service = user.services()[0];
    let mesh = Mesh::start(
        "cost",
        MeshConfig {
            user,
            services: vec![service],
            relays: false,
            checks_tokens: true,
            hold_ms: 10_000,
            service_ms: 2,
        },
    );
    let before = cpu_seconds(&mesh);
    thread::sleep(IDLE_PERIOD);
    let idle = (cpu_seconds(&mesh) - before) / IDLE_PERIOD.as_secs_f64();
    table::header(&[
        "requests/s",
        "answered",
        "p50 ms",
        "p99 ms",
        "core % of all nodes",
        "ms of core per request",
    ]);
    for rate in RATES {
        let before = cpu_seconds(&mesh);
        let summary = goodput::send(&mesh, service.name, f64::from(rate), RUN_SECONDS);
        let total_cost = cpu_seconds(&mesh) - before;
        let number = |path: &str| {
            summary
                .pointer(path)
                .and_then(Value::as_f64)
                .unwrap_or_default()
        };
        let answered = number("/outcomes/answered");
        let request_cost = total_cost - idle * f64::from(RUN_SECONDS);
        table::row(&[
            rate.to_string(),
            format!("{answered}"),
            format!("{:.1}", number("/answered_ms/p50")),
            format!("{:.1}", number("/answered_ms/p99")),
            format!("{:.1}", total_cost / f64::from(RUN_SECONDS) * 100.0),
            format!("{:.3}", request_cost * 1e3 / answered),
        ]);
    }
    println!(
        "\nwithout requests: {:.1}% of a core for all nodes",
        idle * 100.0
    );
}

/// Returns the processor time of all nodes in seconds.
fn cpu_seconds(mesh: &Mesh) -> f64 {
    let nodes = mesh.hosts.iter().filter_map(|h| h.node.as_ref());
    nodes
        .map(|n| slopes::cpu_ticks(n.id()) / slopes::TICKS_PER_SECOND)
        .sum()
}
