//! Demonstration: the Consortium's mesh serves requests while an owner is killed, another host is
//! drained and a new document is submitted. Prints a line for each step and the outcomes of all requests.

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use crate::{probe, table};
use filbertflow_harness::document::User;
use filbertflow_harness::journal;
use filbertflow_harness::mesh::{HostPart, Mesh, MeshConfig};
use filbertflow_harness::wait_until;

/// Time within which the keys of a lost owner must be served again.
const REPAIR_LIMIT: Duration = Duration::from_secs(2);

/// Time within which a document must take effect on all nodes and a drain must be complete.
const APPLY_LIMIT: Duration = Duration::from_secs(5);

/// Time of undisturbed load before, between and after the steps.
const PAUSE: Duration = Duration::from_secs(2);

/// Time to wait for a condition before it counts as failed, longer than the limits above.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Guarantees that did not hold.
#[derive(Debug, Default)]
struct Failures(Vec<String>);

impl Failures {
    fn expect(&mut self, held: bool, guarantee: &str) {
        if !held {
            self.0.push(guarantee.to_owned());
        }
    }
}

/// Runs the demonstration.
pub fn run() -> ExitCode {
    let mut failures = Failures::default();
    let user = User::Consortium;
    let start = Instant::now();
    let mut mesh = Mesh::start(
        "demo",
        MeshConfig {
            user,
            services: user.services(),
            relays: false,
            checks_tokens: true,
            hold_ms: 10_000,
            service_ms: 2,
        },
    );
    print_step(
        "10 nodes and backend servers are started, every slice has an owner",
        start.elapsed(),
    );
    let keys: Vec<_> = (0..48).map(|i| format!("walk-{i}")).collect();
    let orders: Vec<_> = (0..16).map(|_| String::new()).collect();
    let entries: Vec<_> = mesh.hosts.iter().map(|h| h.caller).collect();
    let listings = probe::Probe::start("walk-listings", &keys, entries.clone());
    let purchases = probe::Probe::start("box-office", &orders, entries);
    thread::sleep(PAUSE);
    let killed = kill_owner(&mut mesh, &mut failures, &[&listings, &purchases]);
    thread::sleep(PAUSE);
    drain_host(&mesh, killed, &mut failures);
    thread::sleep(PAUSE);
    submit_document(&mesh, &mut failures);
    thread::sleep(PAUSE);
    let mut calls = listings.stop();
    calls.extend(purchases.stop());
    let [answered, not_run, unknown, lost] = probe::outcomes(&calls);
    println!(
        "{answered} answered, {not_run} not run, {unknown} unknown, {lost} lost with their entry"
    );
    let violations = journal::check(&mesh.journals(), &calls);
    for violation in &violations {
        println!("violated: {violation:?}");
    }
    failures.expect(violations.is_empty(), "the journals show no violation");
    for guarantee in &failures.0 {
        println!("broken: {guarantee}");
    }
    if failures.0.is_empty() {
        println!("every promise that was exercised held");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_step(description: &str, elapsed: Duration) {
    println!("{:>9} ms  {description}", table::ms(elapsed));
}

fn kill_owner(mesh: &mut Mesh, failures: &mut Failures, probes: &[&probe::Probe]) -> usize {
    let service = "walk-listings";
    let owner = mesh.owner(service, "walk-0").expect("the key has an owner");
    let start = Instant::now();
    mesh.kill(owner, HostPart::Both);
    let entries: Vec<_> = mesh
        .live_hosts()
        .into_iter()
        .map(|i| mesh.hosts[i].caller)
        .collect();
    for probe in probes {
        probe.use_entries(entries.clone());
    }
    let repaired = wait_until(WAIT_TIMEOUT, || {
        let next = mesh.owner(service, "walk-0");
        let all_leased = mesh
            .partition(service)
            .is_some_and(|p| mesh.leased_slices(service) == p.slices);
        next.is_some_and(|n| n != owner) && all_leased
    });
    let elapsed = start.elapsed();
    print_step(
        "an owner is killed, all its slices are served again",
        elapsed,
    );
    failures.expect(
        repaired && elapsed <= REPAIR_LIMIT,
        "a lost owner's keys are served again within 2 s",
    );
    owner
}

fn drain_host(mesh: &Mesh, killed: usize, failures: &mut Failures) {
    let service = "walk-listings";
    let host = mesh.hosts.iter().enumerate();
    let mut others = host.filter(|(i, h)| h.service == service && *i != killed);
    let (target, host) = others.next().expect("the service has several hosts");
    let start = Instant::now();
    let output = mesh
        .ctl(&["drain", &host.peer.to_string(), "--wait"])
        .output();
    let output = output.expect("the command runs");
    failures.expect(output.status.success(), "a drain is accepted");
    let empty = wait_until(WAIT_TIMEOUT, || {
        let p = mesh.partition(service);
        p.is_some_and(|p| {
            p.moving == 0
                && p.owners
                    .iter()
                    .all(|o| mesh.host_at(o.address.0) != Some(target) || o.slices == 0)
        })
    });
    let elapsed = start.elapsed();
    print_step("another host is drained, it owns nothing any more", elapsed);
    failures.expect(
        empty && elapsed <= APPLY_LIMIT,
        "a draining server gets no new work after 5 s",
    );
}

fn submit_document(mesh: &Mesh, failures: &mut Failures) {
    let based_on = mesh
        .statuses()
        .iter()
        .map(|s| s.revision.0)
        .max()
        .unwrap_or_default();
    let start = Instant::now();
    let output = mesh.submit(33, based_on);
    failures.expect(output.status.success(), "a new document is accepted");
    let in_force = wait_until(WAIT_TIMEOUT, || {
        let statuses = mesh.statuses();
        statuses.iter().all(|s| s.revision.0 > based_on)
    });
    let elapsed = start.elapsed();
    print_step("a new document is in force on all nodes", elapsed);
    failures.expect(
        in_force && elapsed <= APPLY_LIMIT,
        "a document is in force within 5 s",
    );
}
