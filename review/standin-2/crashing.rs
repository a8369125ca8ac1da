//! A request that crashes instances, and a kill of all processes at the same moment.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::mesh::{CONNECTED, Deployment, Mesh};
use crate::record::Record;
use crate::Verdict;

const CONFIG: &str = r#"{"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"hostname":"review.example","rules":[{"name":"r-list","route_type":"safe","target_latency_ms":400,"priority":2,"match":{"prefix":"/list/"},"action":{"service":"office","timeout_ms":2000,"max_attempts":2}},{"name":"r-buy","route_type":"unsafe","target_latency_ms":500,"priority":1,"match":{"prefix":"/buy/"},"action":{"service":"office","timeout_ms":2000,"max_attempts":2}}]}],"clusters":[{"name":"office","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}]}"#;

/// Machines, each with an instance of the service, in three zones.
const MACHINES: [(&str, &str); 6] = [
    ("office", "zone-a"),
    ("office", "zone-a"),
    ("office", "zone-b"),
    ("office", "zone-b"),
    ("office", "zone-c"),
    ("office", "zone-c"),
];

/// Pause between two rounds, in each of which a client in each zone sends the request.
const PAUSE: Duration = Duration::from_secs(2);

/// Time after a crash until the instance is back.
const RESTART: Duration = Duration::from_secs(2);

/// Time after the third crash at which all processes are killed, and until they are started again.
const KILL_AFTER: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_millis(840);

/// Time after the third crash for which the request comes again.
const LENGTH: Duration = Duration::from_secs(80);

/// Retries that the rule allows.
const ALLOWED: usize = 3;

pub fn run(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment {
        machines: &MACHINES,
        lost: &[],
        keyed: &[],
        config: CONFIG,
        memory_mb: 260,
        work: Duration::from_millis(50),
        restart: RESTART,
    };
    let mut mesh = Mesh::start(root, record, &deployment)?;
    mesh.wait("/list/1", Duration::from_secs(15))?;
    thread::sleep(CONNECTED);
    let path = "/buy/crash";
    let mut round = 0;
    let mut third: Option<Instant> = None;
    let mut killed = false;
    loop {
        if let Some(at) = third {
            if trouble && !killed && at.elapsed() >= KILL_AFTER {
                killed = true;
                record.line("all processes are killed at the same moment");
                for m in 0..mesh.hosts.len() {
                    mesh.kill(m);
                }
                thread::sleep(DOWN);
                for m in 0..mesh.hosts.len() {
                    mesh.start_process(m)?;
                }
            }
            if at.elapsed() >= LENGTH {
                break;
            }
        }
        // Only machines in touch, which the platform has found ready, get the request.
        let settled = |m: &usize| mesh.hosts[*m].disturbed.elapsed() > CONNECTED + Duration::from_secs(1);
        let ready: Vec<usize> = (0..mesh.hosts.len())
            .filter(settled)
            .filter(|m| mesh.is_ready(*m))
            .collect();
        if ready.len() == mesh.hosts.len() {
            let trio = [round % 2, 2 + round % 2, 4 + round % 2];
            let clients = trio.map(|m| {
                let send = mesh.sender(m);
                thread::spawn(move || send("POST", path, "the same body"))
            });
            for client in clients {
                client.join().map_err(|_| "a client failed")?;
            }
            round += 1;
        }
        if third.is_none() {
            let runs = mesh.runs.lock().unwrap();
            let crashes: Vec<Instant> = runs.iter().filter(|r| r.crashed).map(|r| r.at).collect();
            third = crashes.get(2).copied();
            if third.is_none() && round > 15 {
                return Err("the request did not crash three instances".to_owned());
            }
        }
        if let Some(m) = mesh.ended() {
            return Err(format!("the process of machine {m} has ended"));
        }
        thread::sleep(PAUSE);
    }
    let known = third.expect("it has crashed three") + CONNECTED;
    let runs = mesh.runs.lock().unwrap();
    let late = runs.iter().filter(|r| r.crashed && r.at > known);
    let late: Vec<String> = late.map(|r| format!("{:.3}", record.seconds(r.at))).collect();
    record.line(&format!(
        "third crash at {:.3} s; {} retries reached instances later than 3 s after it, {ALLOWED} are allowed: {}",
        record.seconds(known - CONNECTED),
        late.len(),
        late.join(", ")
    ));
    drop(runs);
    // Other requests are served in the end.
    thread::sleep(RESTART * 2);
    let served = (0..mesh.hosts.len()).filter(|m| mesh.request(*m, "GET", "/list/2", "").status == 200);
    record.line(&format!("{} of {} other requests were served", served.count(), mesh.hosts.len()));
    Ok(late.len() <= ALLOWED)
}
