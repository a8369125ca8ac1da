//! The machines of one zone lose power, and the configuration changes at the same time.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::mesh::{CONFIG_APPLY, CONNECTED, Deployment, Mesh, STOP};
use crate::record::Record;
use crate::Verdict;

/// Configuration `r3`, and the text that `r4` changes: where `/seats/` goes.
const OLD: &str = r#"{"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"hostname":"review.example","rules":[{"name":"r-list","route_type":"safe","target_latency_ms":400,"priority":2,"match":{"prefix":"/list/"},"action":{"service":"office","timeout_ms":2000,"max_attempts":2}},{"name":"r-seats","route_type":"safe","target_latency_ms":400,"priority":2,"match":{"prefix":"/seats/"},"action":{"service":"office","timeout_ms":2000,"max_attempts":2}}]}],"clusters":[{"name":"office","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false},{"name":"desk","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}]}"#;
const OLD_ROUTE: &str = r#""match":{"prefix":"/seats/"},"action":{"service":"office""#;
const NEW_ROUTE: &str = r#""match":{"prefix":"/seats/"},"action":{"service":"desk""#;

/// Machines by zone, as many in each as the site file lantern-mesh has.
const MACHINES: [(&str, &str); 10] = [
    ("office", "zone-a"),
    ("office", "zone-a"),
    ("desk", "zone-a"),
    ("desk", "zone-a"),
    ("office", "zone-b"),
    ("office", "zone-b"),
    ("desk", "zone-b"),
    ("office", "zone-c"),
    ("desk", "zone-c"),
    ("desk", "zone-c"),
];

/// Zone that loses power: 4 of 10 machines.
const LOST_ZONE: &str = "zone-a";

/// Time without power.
const DARK: Duration = Duration::from_millis(3500);

/// Time after the acknowledgement for which requests are sent, and the pause between two at a machine.
const LENGTH: Duration = Duration::from_millis(6000);
const PAUSE: Duration = Duration::from_millis(50);

pub fn run(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment {
        machines: &MACHINES,
        lost: &[],
        keyed: &[],
        config: OLD,
        memory_mb: 260,
        work: Duration::from_millis(30),
        restart: Duration::from_secs(2),
    };
    let mut mesh = Mesh::start(root, record, &deployment)?;
    mesh.wait("/list/1", Duration::from_secs(15))?;
    for m in 0..mesh.hosts.len() {
        let answer = mesh.request(m, "GET", "/seats/0", "");
        if !answer.body.starts_with("office") {
            return Err(format!("machine {m} doesn't serve /seats/ by office"));
        }
    }
    // All machines are in touch, and no client sends anything for a while.
    thread::sleep(CONNECTED * 2);
    let lost: Vec<usize> = (0..MACHINES.len()).filter(|m| MACHINES[*m].1 == LOST_ZONE).collect();
    let others: Vec<usize> = (0..MACHINES.len()).filter(|m| !lost.contains(m)).collect();
    record.line(&format!(
        "machines whose watch of the operator's keys waits at the store: {:?}",
        mesh.store.watchers()
    ));
    if trouble {
        record.line(&format!("the machines {lost:?} of {LOST_ZONE} lose power"));
        for m in &lost {
            // A stopped process is silent, as a machine without power is: its connections aren't closed.
            mesh.signal(*m, STOP);
        }
    }
    mesh.store.put("op/config", &OLD.replace("\"r3\"", "\"r4\"").replace(OLD_ROUTE, NEW_ROUTE));
    let acknowledged = Instant::now();
    record.line("the operator's write of r4 is acknowledged: /seats/ goes to desk");
    let clients = others.iter().map(|&m| {
        let senders = (0..120).map(|_| mesh.sender(m)).collect::<Vec<_>>();
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(CONFIG_APPLY.saturating_sub(acknowledged.elapsed()));
            let mut late = 0;
            for send in senders {
                let sent = acknowledged.elapsed();
                if sent > LENGTH {
                    break;
                }
                let answer = send("GET", "/seats/1", "");
                if sent > CONFIG_APPLY && answer.status == 200 && answer.body.starts_with("office") {
                    late += 1;
                    record.line(&format!(
                        "machine {m}: run by the old service, sent {:.3} s after the acknowledgement",
                        sent.as_secs_f64()
                    ));
                }
                thread::sleep(PAUSE);
            }
            late
        })
    });
    let clients: Vec<_> = clients.collect();
    if trouble {
        thread::sleep(DARK.saturating_sub(acknowledged.elapsed()));
        for m in &lost {
            mesh.kill(*m);
            mesh.start_process(*m)?;
        }
    }
    let mut late = 0;
    for client in clients {
        late += client.join().map_err(|_| "a client failed")?;
    }
    if let Some(m) = mesh.ended() {
        return Err(format!("the process of machine {m} has ended"));
    }
    record.line(&format!(
        "{late} requests sent later than {} ms after the acknowledgement, at machines in touch, were run by the old service",
        CONFIG_APPLY.as_millis()
    ));
    Ok(late == 0)
}
