//! Demonstration: the Consortium's mesh serves while an owner is killed, another host is drained and
//! a new document is submitted. Prints one line for each step and what the callers were told.

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use crate::{probe, table};
use filbertflow_harness::document::User;
use filbertflow_harness::journal;
use filbertflow_harness::mesh::{HostPart, Mesh, MeshConfig};
use filbertflow_harness::wait_until;

/// Time within which a lost owner's keys must be served again.
const REPAIR: Duration = Duration::from_secs(2);

/// Time within which a document must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Time of load before, between and after the steps.
const CALM: Duration = Duration::from_secs(2);

/// Time to wait for a condition that has no bound of its own.
const PATIENCE: Duration = Duration::from_secs(30);

/// Promises that were broken.
#[derive(Debug, Default)]
struct Broken(Vec<String>);

impl Broken {
    fn expect(&mut self, held: bool, promise: &str) {
        if !held {
            self.0.push(promise.to_owned());
        }
    }
}

/// Runs the demonstration.
pub fn run() -> ExitCode {
    let mut broken = Broken::default();
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
    step(
        "10 nodes and backend servers are started, every slice has an owner",
        start.elapsed(),
    );
    let keys: Vec<_> = (0..48).map(|i| format!("walk-{i}")).collect();
    let orders: Vec<_> = (0..16).map(|_| String::new()).collect();
    let entries: Vec<_> = mesh.hosts.iter().map(|h| h.caller).collect();
    let listings = probe::Probe::start("walk-listings", &keys, entries.clone());
    let purchases = probe::Probe::start("box-office", &orders, entries);
    thread::sleep(CALM);
    let killed = kill(&mut mesh, &mut broken, &[&listings, &purchases]);
    thread::sleep(CALM);
    drain(&mesh, killed, &mut broken);
    thread::sleep(CALM);
    submit(&mesh, &mut broken);
    thread::sleep(CALM);
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
    broken.expect(violations.is_empty(), "the journals show no violation");
    for promise in &broken.0 {
        println!("broken: {promise}");
    }
    if broken.0.is_empty() {
        println!("every promise that was exercised held");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn step(what: &str, took: Duration) {
    println!("{:>9} ms  {what}", table::ms(took));
}

fn kill(mesh: &mut Mesh, broken: &mut Broken, probes: &[&probe::Probe]) -> usize {
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
    let repaired = wait_until(PATIENCE, || {
        let next = mesh.owner(service, "walk-0");
        let whole = mesh
            .partition(service)
            .is_some_and(|p| mesh.leased_slices(service) == p.slices);
        next.is_some_and(|n| n != owner) && whole
    });
    let took = start.elapsed();
    step("an owner is killed, all its slices are served again", took);
    broken.expect(
        repaired && took <= REPAIR,
        "a lost owner's keys are served again within 2 s",
    );
    owner
}

fn drain(mesh: &Mesh, killed: usize, broken: &mut Broken) {
    let service = "walk-listings";
    let host = mesh.hosts.iter().enumerate();
    let mut others = host.filter(|(i, h)| h.service == service && *i != killed);
    let (target, host) = others.next().expect("the service has several hosts");
    let start = Instant::now();
    let output = mesh
        .ctl(&["drain", &host.peer.to_string(), "--wait"])
        .output();
    let output = output.expect("the command runs");
    broken.expect(output.status.success(), "a drain is accepted");
    let empty = wait_until(PATIENCE, || {
        let p = mesh.partition(service);
        p.is_some_and(|p| {
            p.moving == 0
                && p.owners
                    .iter()
                    .all(|o| mesh.host_at(o.address.0) != Some(target) || o.slices == 0)
        })
    });
    let took = start.elapsed();
    step("another host is drained, it owns nothing any more", took);
    broken.expect(
        empty && took <= IN_FORCE,
        "a draining server gets no new work after 5 s",
    );
}

fn submit(mesh: &Mesh, broken: &mut Broken) {
    let based_on = mesh
        .statuses()
        .iter()
        .map(|s| s.revision.0)
        .max()
        .unwrap_or_default();
    let start = Instant::now();
    let output = mesh.submit(33, based_on);
    broken.expect(output.status.success(), "a new document is accepted");
    let in_force = wait_until(PATIENCE, || {
        let statuses = mesh.statuses();
        statuses.iter().all(|s| s.revision.0 > based_on)
    });
    let took = start.elapsed();
    step("a new document is in force on all nodes", took);
    broken.expect(
        in_force && took <= IN_FORCE,
        "a document is in force within 5 s",
    );
}
