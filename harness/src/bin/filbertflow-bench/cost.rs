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
const SECONDS: u32 = 8;

/// Time over which the cost without requests is counted.
const IDLE: Duration = Duration::from_secs(8);

/// Runs the measurement.
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
    let before = seconds(&mesh);
    thread::sleep(IDLE);
    let idle = (seconds(&mesh) - before) / IDLE.as_secs_f64();
    table::header(&[
        "requests/s",
        "answered",
        "p50 ms",
        "p99 ms",
        "core % of all nodes",
        "ms of core per request",
    ]);
    for rate in RATES {
        let before = seconds(&mesh);
        let found = goodput::send(&mesh, service.name, f64::from(rate), SECONDS);
        let spent = seconds(&mesh) - before;
        let number = |path: &str| {
            found
                .pointer(path)
                .and_then(Value::as_f64)
                .unwrap_or_default()
        };
        let answered = number("/outcomes/answered");
        let caused = spent - idle * f64::from(SECONDS);
        table::row(&[
            rate.to_string(),
            format!("{answered}"),
            format!("{:.1}", number("/answered_ms/p50")),
            format!("{:.1}", number("/answered_ms/p99")),
            format!("{:.1}", spent / f64::from(SECONDS) * 100.0),
            format!("{:.3}", caused * 1e3 / answered),
        ]);
    }
    println!(
        "\nwithout requests: {:.1}% of a core for all nodes",
        idle * 100.0
    );
}

/// Processor time of all nodes in seconds.
fn seconds(mesh: &Mesh) -> f64 {
    let nodes = mesh.hosts.iter().filter_map(|h| h.node.as_ref());
    nodes.map(|n| slopes::ticks(n.id()) / slopes::TICKS).sum()
}
