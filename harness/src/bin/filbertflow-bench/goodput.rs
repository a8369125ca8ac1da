//! Goodput and latency below, at and above the capacity of the backend servers, with and without
//! limits and retries.

use std::process::Command;

use serde_json::{Value, json};

use crate::table;
use filbertflow_harness::document::User;
use filbertflow_harness::mesh::{Mesh, MeshConfig};
use filbertflow_harness::process;

/// Service time of the backend servers; long enough that the machine is not the bottleneck.
const SERVICE_MS: u64 = 100;

/// Slots of each backend server.
const SLOTS_PER_SERVER: u64 = 20;

/// Length of each run, in seconds.
const RUN_SECONDS: u32 = 10;

/// Deadline of a request, in milliseconds.
const DEADLINE_MS: &str = "1000";

/// Maximum queue length that a document may set.
const MAX_QUEUE: u64 = 10_000;

/// Seed of the load tool's keys and times.
const SEED: &str = "1";

/// Runs the benchmark.
pub fn run() {
    table::header(&[
        "limits and retries",
        "load / capacity",
        "requests/s",
        "answered/s",
        "p50 ms",
        "p99 ms",
        "failed p99 ms",
        "not run",
        "unknown",
    ]);
    for limited in [true, false] {
        for load in [0.5, 1.0, 2.0] {
            measure(limited, load);
        }
    }
}

fn measure(limited: bool, load: f64) {
    let user = User::Consortium;
    let service = user.services()[0];
    let mesh = Mesh::start(
        "goodput",
        MeshConfig {
            user,
            services: vec![service],
            relays: false,
            checks_tokens: true,
            hold_ms: 10_000,
            service_ms: SERVICE_MS,
        },
    );
    if !limited {
        lift_limits(&mesh);
    }
    let slots = SLOTS_PER_SERVER * service.instances as u64;
    let rate = load * slots as f64 * 1e3 / SERVICE_MS as f64;
    let summary = send(&mesh, service.name, rate, RUN_SECONDS);
    let number = |path: &str| {
        summary
            .pointer(path)
            .and_then(Value::as_f64)
            .unwrap_or_default()
    };
    table::row(&[
        if limited { "on" } else { "off" }.to_owned(),
        format!("{load}"),
        format!("{rate:.0}"),
        format!(
            "{:.0}",
            number("/outcomes/answered") / f64::from(RUN_SECONDS)
        ),
        format!("{:.0}", number("/answered_ms/p50")),
        format!("{:.0}", number("/answered_ms/p99")),
        format!("{:.0}", number("/failed_ms/p99")),
        format!("{}", number("/outcomes/not-run")),
        format!("{}", number("/outcomes/unknown")),
    ]);
}

/// Submits a document with the maximum queue length and without retries.
fn lift_limits(mesh: &Mesh) {
    let config = &mesh.config;
    let mut document = config
        .user
        .document(&config.services, 20, config.hold_ms, &[]);
    for service in document["services"].as_array_mut().into_iter().flatten() {
        service["queue_requests"] = json!(MAX_QUEUE);
        service["retry_budget_percent"] = json!(0);
    }
    let mut command = mesh.submit_document_command(&document, "unlimited.json", 1);
    let output = command.arg("--wait").output().expect("the command runs");
    assert!(output.status.success(), "{output:?}");
}

/// Sends requests through all nodes and returns the summary of the load tool.
pub fn send(mesh: &Mesh, service: &str, rate: f64, seconds: u32) -> Value {
    let entries: Vec<_> = mesh.hosts.iter().map(|h| h.caller.to_string()).collect();
    let output = Command::new(process::binary("filbertflow-load"))
        .args(["run", "--to", &entries.join(","), "--service", service])
        .args([
            "--rate",
            &rate.to_string(),
            "--seconds",
            &seconds.to_string(),
        ])
        .args(["--deadline-ms", DEADLINE_MS, "--seed", SEED])
        .args(["--spread", "uniform", "--writes", "0.2", "--json"])
        .output()
        .expect("the load tool runs");
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("the load tool prints JSON")
}
