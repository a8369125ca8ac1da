//! Added latency of the path at low load: the same request straight to a backend server, through
//! the node beside it, and through another node.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::table;
use filbertflow_harness::caller::{Outcome, Request};
use filbertflow_harness::document::User;
use filbertflow_harness::mesh::{Mesh, MeshConfig};

/// Requests of each kind.
const COUNT: usize = 1_000;

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(2);

/// Runs the measurement. The backend servers take no time, so that the path is what is seen.
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
    // A request of a service that is not divided by key needs no grant at the server.
    let free = &mesh.hosts[other];
    report("straight to the backend server", || {
        direct(free.server_addr);
    });
    report("through the owner's node", || {
        through(service, mesh.hosts[owner].caller);
    });
    report("through another node", || through(service, free.caller));
}

fn report(name: &str, mut send: impl FnMut()) {
    let mut times: Vec<_> = (0..COUNT)
        .map(|_| {
            let start = Instant::now();
            send();
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    table::row(&[
        name.to_owned(),
        COUNT.to_string(),
        format!("{:.2}", table::percentile(&times, 50).as_secs_f64() * 1e3),
        format!("{:.2}", table::percentile(&times, 99).as_secs_f64() * 1e3),
        format!("{:.2}", table::percentile(&times, 100).as_secs_f64() * 1e3),
    ]);
}

fn through(service: &str, entry: SocketAddr) {
    let call = Request::new(service, "key-0", "GET", DEADLINE).send(entry);
    assert_eq!(call.outcome, Outcome::Answered(200));
}

fn direct(server: SocketAddr) {
    let request = Request::new("", "", "GET", DEADLINE);
    let response = attohttpc::get(format!("http://{server}{}", request.path))
        .header("filbert-id", &request.id)
        .header("filbert-attempt", "1")
        .header("filbert-key", "")
        .header("filbert-deadline-ms", DEADLINE.as_millis().to_string())
        .send()
        .expect("the server answers");
    assert!(response.status().is_success(), "{}", response.status());
    response.text().expect("the answer is complete");
}
