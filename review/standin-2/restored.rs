//! The store comes back from a copy, after the address of a machine went to another service.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::mesh::{CONNECTED, Deployment, Mesh};
use crate::record::Record;
use crate::Verdict;

const OLD: &str = r#"{"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"hostname":"review.example","rules":[{"name":"r-walk","route_type":"safe","target_latency_ms":400,"priority":2,"match":{"prefix":"/walk/"},"action":{"service":"walks","timeout_ms":1000,"max_attempts":2}},{"name":"r-list","route_type":"safe","target_latency_ms":400,"priority":1,"match":{"prefix":"/list/"},"action":{"service":"office","timeout_ms":1000,"max_attempts":2}}ADDED]}],"clusters":[{"name":"walks","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false,"sharded":true,"warm_s":3.0,"grants":"heartbeat"},{"name":"office","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}]}"#;
const ADDED: &str = r#",{"name":"r-tour","route_type":"safe","target_latency_ms":400,"priority":2,"match":{"prefix":"/tour/"},"action":{"service":"walks","timeout_ms":1000,"max_attempts":2}}"#;

const MACHINES: [(&str, &str); 6] = [
    ("walks", "zone-a"),
    ("walks", "zone-b"),
    ("walks", "zone-c"),
    ("office", "zone-a"),
    ("office", "zone-b"),
    ("office", "zone-c"),
];

/// Machine that is removed, and whose address goes to the other service.
const REUSED: usize = 2;
const NEXT_SERVICE: &str = "office";

/// Time after which an address may be used again, and some more.
const REUSE_AFTER: Duration = Duration::from_millis(2200);

/// Time from the copy until the machine is removed, from then until the store goes away, and the time for
/// which it is away.
const BEFORE: Duration = Duration::from_millis(1000);
const AFTER: Duration = Duration::from_millis(700);
const AWAY: Duration = Duration::from_secs(1);

/// Time after the restore before the planned restarts, more than any lease.
const SETTLED: Duration = Duration::from_secs(14);

/// Pause between two restarts, and after the last.
const GAP: Duration = Duration::from_secs(2);
const STEADY: Duration = Duration::from_secs(12);

/// Requests on each route at each machine.
const ROUNDS: usize = 4;

fn keys() -> impl Iterator<Item = u32> {
    (0..8).map(|n| n * 8000 + 17)
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let first = OLD.replace("ADDED", "");
    let deployment = Deployment {
        machines: &MACHINES,
        lost: &[],
        keyed: &["walks"],
        config: &first,
        memory_mb: 260,
        work: Duration::from_millis(20),
        restart: Duration::from_secs(2),
    };
    let mut mesh = Mesh::start(root, record, &deployment)?;
    mesh.wait("/list/1", Duration::from_secs(15))?;
    let end = Instant::now() + Duration::from_secs(15);
    while !keys().all(|k| mesh.request(3, "GET", &format!("/walk/{k}"), "").status == 200) {
        if Instant::now() > end {
            return Err("the keys aren't served".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(CONNECTED);
    let copied = Instant::now();
    let copy = mesh.store.copy();
    thread::sleep(BEFORE);
    mesh.remove(REUSED);
    let removed = Instant::now();
    if trouble {
        thread::sleep(AFTER);
        record.line("the store goes away");
        mesh.store.leave();
        thread::sleep(AWAY);
        mesh.store.restore(&copy);
        record.line(&format!("the store is back from a copy {:.1} s old", copied.elapsed().as_secs_f64()));
    }
    thread::sleep(REUSE_AFTER.saturating_sub(removed.elapsed()));
    mesh.hosts[REUSED].service = NEXT_SERVICE.to_owned();
    mesh.start_instance(REUSED, &deployment);
    mesh.start_process(REUSED)?;
    record.line(&format!("the address of machine {REUSED} goes to {NEXT_SERVICE}"));
    thread::sleep(SETTLED);
    let served = keys().filter(|k| mesh.request(3, "GET", &format!("/walk/{k}"), "").status == 200);
    record.line(&format!("before the restarts {} of 8 keys are served", served.count()));
    for m in 0..MACHINES.len() {
        mesh.restart(m)?;
        thread::sleep(GAP);
    }
    mesh.store.put("op/config", &OLD.replace("\"r3\"", "\"r4\"").replace("ADDED", ADDED));
    record.line("configuration r4 is acknowledged: it adds /tour/, served by walks");
    thread::sleep(STEADY);
    let (mut added, mut old, mut sent) = (0, 0, 0);
    for round in 0..ROUNDS {
        for m in 0..MACHINES.len() {
            let key = keys().nth(round % 8).unwrap_or(0);
            let serves = |path: String| usize::from(mesh.request(m, "GET", &path, "").status == 200);
            sent += 1;
            added += serves(format!("/tour/{key}"));
            old += serves(format!("/walk/{key}")) + serves(format!("/list/{key}"));
        }
    }
    if let Some(m) = mesh.ended() {
        return Err(format!("the process of machine {m} has ended"));
    }
    record.line(&format!(
        "in steady state {added} of {sent} requests on the route that was added were served, and {old} of {} on the first routes",
        2 * sent
    ));
    let quarter = old as f64 / (2 * sent) as f64 / 4.0;
    Ok(added as f64 / sent as f64 >= quarter)
}
