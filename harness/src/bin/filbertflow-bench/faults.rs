//! Imbalance, churn and unavailable time for each fault, in the meshes of both users.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::{probe, table};
use filbertflow_harness::document::User;
use filbertflow_harness::journal::{self, Event};
use filbertflow_harness::mesh::{HostPart, Mesh, MeshConfig};
use filbertflow_harness::{boot_time_ns, wait_until};

/// Number of keys that callers request all the time.
const PROBED_KEYS: usize = 64;

/// Number of keys whose owners are compared before and after the fault.
const SAMPLED_KEYS: usize = 500;

/// Time of steady load before the fault.
const LOAD_BEFORE: Duration = Duration::from_secs(2);

/// Time of load after the mesh has settled, over which the imbalance of the load is measured.
const LOAD_AFTER: Duration = Duration::from_secs(4);

/// Duration of the platform's outage.
const OUTAGE_DURATION: Duration = Duration::from_secs(10);

/// Hold time; a coordinator without contact to the platform stops after it, so it exceeds the outage.
const HOLD_MS: u64 = 600_000;

/// Duration of a load on a few keys.
const SURGE_DURATION: Duration = Duration::from_secs(20);

/// Time limit for the mesh to settle after a fault.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Join,
    Drain,
    Kill,
    Domain,
    Platform,
    Surge,
    Billing,
}

impl Fault {
    const ALL: [Self; 7] = [
        Self::Join,
        Self::Drain,
        Self::Kill,
        Self::Domain,
        Self::Platform,
        Self::Surge,
        Self::Billing,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Join => "join",
            Self::Drain => "drain",
            Self::Kill => "kill",
            Self::Domain => "failure domain lost",
            Self::Platform => "platform outage 10 s",
            Self::Surge => "evening surge, 4 keys",
            Self::Billing => "billing day, 40 keys",
        }
    }

    /// Returns the number of keys that most of the load goes to, for faults by load.
    fn hot_keys(self) -> Option<usize> {
        match self {
            Self::Surge => Some(4),
            Self::Billing => Some(40),
            _ => None,
        }
    }
}

/// Runs the benchmark; arguments such as `"Thrissur kill"` select rows by the start of their names.
pub fn run(args: &[&str]) {
    table::header(&[
        "user",
        "fault",
        "imbalance of load",
        "imbalance of keys",
        "churn",
        "unavailable p50 ms",
        "p99 ms",
        "max ms",
        "answered",
        "not run",
        "unknown",
        "no response",
        "violations",
    ]);
    for user in [User::Consortium, User::Thrissur] {
        for fault in Fault::ALL {
            let name = format!("{user:?} {}", fault.name());
            if args.is_empty() || args.iter().any(|a| name.starts_with(a)) {
                measure(user, fault);
            }
        }
    }
}

fn measure(user: User, fault: Fault) {
    let config = MeshConfig {
        user,
        services: user.services(),
        relays: false,
        checks_tokens: true,
        hold_ms: HOLD_MS,
        service_ms: 2,
    };
    let service = config.services[0].name;
    let mut mesh = Mesh::start("faults", config);
    let target = pick_target(&mesh, service);
    if fault == Fault::Join {
        mesh.kill(target, HostPart::Both);
        wait_settled(&mesh, service);
    }
    let keys: Vec<_> = (0..PROBED_KEYS).map(|i| format!("key-{i}")).collect();
    let probe = probe::Probe::start(service, &keys, entries(&mesh));
    thread::sleep(LOAD_BEFORE);
    let owners = owners(&mesh, service);
    let fault_at = boot_time_ns();
    inject(&mut mesh, fault, target, &probe, service);
    wait_settled(&mesh, service);
    let settled_at = boot_time_ns();
    thread::sleep(LOAD_AFTER);
    let owners_after = self::owners(&mesh, service);
    let calls = probe.stop();
    let lines = mesh.journals();
    report(&Measurement {
        user,
        fault,
        load: load_imbalance(&mesh, &lines, service, settled_at),
        keys: key_imbalance(&mesh, &owners_after, service),
        churn: churn(&owners, &owners_after),
        calls: &calls,
        fault_at,
        violations: journal::check(&lines, &calls).len(),
    });
}

/// Returns a host of the service that is not its coordinator, so that the fault removes only an owner;
/// the process tests cover the loss of both roles at once.
fn pick_target(mesh: &Mesh, service: &str) -> usize {
    let coordinator = mesh.partition(service).map(|p| p.coordinator);
    let found = mesh
        .hosts
        .iter()
        .position(|h| h.service == service && coordinator.is_none_or(|c| c.0 != h.peer));
    found.expect("a service has several hosts")
}

fn entries(mesh: &Mesh) -> Vec<std::net::SocketAddr> {
    mesh.live_hosts()
        .into_iter()
        .map(|i| mesh.hosts[i].caller)
        .collect()
}

fn inject(mesh: &mut Mesh, fault: Fault, target: usize, probe: &probe::Probe, service: &str) {
    match fault {
        Fault::Join => mesh.start_part(target, HostPart::Both),
        Fault::Drain => {
            let addr = mesh.hosts[target].peer.to_string();
            let output = mesh.ctl(&["drain", &addr, "--wait"]).output();
            let output = output.expect("the command runs");
            assert!(output.status.success(), "{output:?}");
        }
        Fault::Kill => {
            mesh.kill(target, HostPart::Both);
            probe.use_entries(entries(mesh));
        }
        Fault::Domain => {
            let domain = mesh.hosts[target].domain;
            for i in 0..mesh.hosts.len() {
                if mesh.hosts[i].domain == domain {
                    mesh.kill(i, HostPart::Both);
                }
            }
            probe.use_entries(entries(mesh));
        }
        Fault::Platform => {
            mesh.set_platform_fault(&json!({ "mode": "down" }));
            thread::sleep(OUTAGE_DURATION);
            mesh.set_platform_fault(&json!({ "mode": "up" }));
        }
        Fault::Surge | Fault::Billing => {
            let hot = fault.hot_keys().unwrap_or_default();
            let keys: Vec<_> = (0..hot).map(|i| format!("hot-{i}")).collect();
            let surge = probe::Probe::start(service, &keys, entries(mesh));
            thread::sleep(SURGE_DURATION);
            surge.stop();
        }
    }
}

fn wait_settled(mesh: &Mesh, service: &str) {
    let settled = wait_until(SETTLE_TIMEOUT, || {
        let Some(p) = mesh.partition(service) else {
            return false;
        };
        let live = p.owners.iter().all(|o| {
            mesh.host_at(o.address.0)
                .is_some_and(|i| mesh.hosts[i].node.is_some())
        });
        live && p.unowned == 0 && p.moving == 0 && p.slices == mesh.leased_slices(service)
    });
    assert!(
        settled,
        "the mesh does not settle: {:#?}",
        mesh.partition(service)
    );
}

type Owners = BTreeMap<String, Option<usize>>;

fn owners(mesh: &Mesh, service: &str) -> Owners {
    (0..SAMPLED_KEYS)
        .map(|i| format!("key-{i}"))
        .map(|key| (key.clone(), mesh.owner(service, &key)))
        .collect()
}

fn churn(before: &Owners, after: &Owners) -> f64 {
    let moved = before
        .iter()
        .filter(|(k, o)| after.get(*k) != Some(*o))
        .count();
    moved as f64 / before.len() as f64
}

/// Returns the hosts of the service whose node is live.
fn serving(mesh: &Mesh, service: &str) -> Vec<usize> {
    let live = mesh.live_hosts();
    live.into_iter()
        .filter(|i| mesh.hosts[*i].service == service)
        .collect()
}

fn key_imbalance(mesh: &Mesh, owners: &Owners, service: &str) -> f64 {
    let counts: Vec<_> = serving(mesh, service)
        .into_iter()
        .map(|i| owners.values().filter(|o| **o == Some(i)).count() as f64)
        .collect();
    table::imbalance(&counts)
}

fn load_imbalance(mesh: &Mesh, lines: &[journal::Line], service: &str, from: u64) -> f64 {
    let started = |i: usize| {
        let name = format!("server{i}");
        let own = lines.iter().filter(|l| l.server == name && l.at >= from);
        own.filter(|l| l.event == Event::Start).count() as f64
    };
    let counts: Vec<_> = serving(mesh, service).into_iter().map(started).collect();
    table::imbalance(&counts)
}

struct Measurement<'a> {
    user: User,
    fault: Fault,
    load: f64,
    keys: f64,
    churn: f64,
    calls: &'a [filbertflow_harness::caller::Call],
    fault_at: u64,
    violations: usize,
}

fn report(measurement: &Measurement<'_>) {
    let gaps = probe::longest_gaps(measurement.calls, measurement.fault_at);
    let outcomes = probe::outcomes(measurement.calls);
    let mut cells = vec![
        format!("{:?}", measurement.user),
        measurement.fault.name().to_owned(),
        format!("{:.2}", measurement.load),
        format!("{:.2}", measurement.keys),
        format!("{:.1}%", measurement.churn * 100.0),
        table::ms(table::percentile(&gaps, 50)),
        table::ms(table::percentile(&gaps, 99)),
        table::ms(table::percentile(&gaps, 100)),
    ];
    cells.extend(outcomes.iter().map(ToString::to_string));
    cells.push(measurement.violations.to_string());
    table::row(&cells);
}
