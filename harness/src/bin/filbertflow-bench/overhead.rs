//! Latency that nodes add at low load: a request directly to a backend server, through its owner's
//! node, and through another node.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::table;
use filbertflow_harness::caller::{Outcome, Request};
use filbertflow_harness::document::User;
use filbertflow_harness::mesh::{Mesh, MeshConfig};

/// Number of requests on each path.
const REQUEST_COUNT: usize = 1_000;

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(2);

/// Runs the benchmark. Backend servers respond at once, so that only the latency of the path is measured.
pub fn run() {
    let user = User::Consortium;
    let mesh = Mesh::start(
        "overhead",
        MeshConfig {
            user,
            services: user.services(),
            relays: false,
            checks_tokens: true,
            hold_ms: 10_000,
            service_ms: 0,
        },
    );
    let service = "walk-listings";
    let owner = mesh.owner(service, "key-0").expect("the key has an owner");
    let other = mesh.hosts.iter().position(|h| h.service != service);
    let other = other.expect("there are other services");
    table::header(&["path", "requests", "p50 ms", "p99 ms", "max ms"]);
    // A backend server of a service without keys serves requests without a grant.
    let unkeyed = &mesh.hosts[other];
    report("straight to the backend server", || {
        send_direct(unkeyed.server_addr);
    });
    report("through the owner's node", || {
        send_via(service, mesh.hosts[owner].caller);
    });
    report("through another node", || send_via(service, unkeyed.caller));
}

fn report(name: &str, mut send: impl FnMut()) {
    let mut times: Vec<_> = (0..REQUEST_COUNT)
        .map(|_| {
            let start = Instant::now();
            send();
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    table::row(&[
        name.to_owned(),
        REQUEST_COUNT.to_string(),
        format!("{:.2}", table::percentile(&times, 50).as_secs_f64() * 1e3),
        format!("{:.2}", table::percentile(&times, 99).as_secs_f64() * 1e3),
        format!("{:.2}", table::percentile(&times, 100).as_secs_f64() * 1e3),
    ]);
}

fn send_via(service: &str, entry: SocketAddr) {
    let call = Request::new(service, "key-0", "GET", DEADLINE).send(entry);
    assert_eq!(call.outcome, Outcome::Answered(200));
}

fn send_direct(server: SocketAddr) {
    let request = Request::new("", "", "GET", DEADLINE);
    let response = attohttpc::get(format!("http://{server}{}", request.path))
        .header("filbert-id", &request.id)
        .header("filbert-attempt", "1")
        .header("filbert-key", "")
        .header("filbert-deadline-ms", DEADLINE.as_millis().to_string())
        .send()
        .expect("the server responds");
    assert!(response.status().is_success(), "{}", response.status());
    response.text().expect("the response is complete");
}
