//! Clients that send safe requests ahead and leave.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::mesh::{CONNECTED, Deployment, Mesh};
use crate::record::Record;
use crate::Verdict;

const CONFIG: &str = r#"{"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"hostname":"review.example","rules":[{"name":"r-list","route_type":"safe","target_latency_ms":3000,"priority":1,"match":{"prefix":"/list/"},"action":{"service":"office","timeout_ms":6000,"max_attempts":2}}]}],"clusters":[{"name":"office","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}]}"#;

const MACHINES: [(&str, &str); 4] = [
    ("office", "zone-a"),
    ("office", "zone-a"),
    ("office", "zone-b"),
    ("office", "zone-b"),
];

/// Time that a request runs.
const WORK: Duration = Duration::from_millis(2000);

/// Clients that leave, one at a machine at a time, and the safe requests that each sends ahead.
const CLIENTS: usize = 12;
const AHEAD: usize = 14;

/// Header lines of a request and the length of their values: a head of about 4 KB, a quarter of the limit.
const LINES: usize = 20;
const VALUE: usize = 190;

/// Time after which a client leaves.
const LEAVES: Duration = Duration::from_millis(300);

/// Time after the close at which the rule looks.
const HALF_SECOND: Duration = Duration::from_millis(500);

fn head(client: usize, request: usize) -> String {
    let lines: String = (0..LINES)
        .map(|n| format!("X-Note-{n:03}: {}\r\n", "n".repeat(VALUE)))
        .collect();
    format!(
        "GET /list/{request} HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: g{client:06x}-{request:04x}\r\n\
         X-Deadline-Ms: 6000\r\n{lines}\r\n"
    )
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment {
        machines: &MACHINES,
        lost: &[],
        config: CONFIG,
        memory_mb: 260,
        work: WORK,
        restart: Duration::from_secs(2),
    };
    let mut mesh = Mesh::start(root, record, &deployment)?;
    mesh.wait("/list/0", Duration::from_secs(40))?;
    thread::sleep(CONNECTED);
    let (mut lasting, mut working, mut late) = (0, 0, 0);
    for client in 0..CLIENTS {
        let to = mesh.caller_address(client % MACHINES.len());
        let mut io = TcpStream::connect(to).map_err(|e| e.to_string())?;
        let text: String = (0..AHEAD).map(|r| head(client, r)).collect();
        io.write_all(text.as_bytes()).map_err(|e| e.to_string())?;
        record.line(&format!(
            "client {client} sends {AHEAD} safe requests with heads of {} bytes",
            head(client, 0).len()
        ));
        thread::sleep(LEAVES);
        if trouble {
            drop(io);
            record.line(&format!("client {client} closes its connection"));
        }
        let closed = Instant::now();
        thread::sleep(WORK * 2);
        let look = closed + HALF_SECOND;
        let runs = mesh.runs.lock().unwrap();
        let prefix = format!("g{client:06x}-");
        for run in runs.iter().filter(|r| r.id.starts_with(&prefix)) {
            if run.at <= closed && run.at + WORK > look {
                lasting += 1;
                working += usize::from(run.ended.is_none_or(|at| at > look));
            }
            late += usize::from(run.at > look);
        }
    }
    record.line(&format!(
        "half a second after the close of {CLIENTS} clients, instances were still at work on {working} of {lasting} safe requests that would have lasted so long; {late} requests reached instances later than that"
    ));
    if !trouble {
        record.line("no client has left");
        return Ok(true);
    }
    if lasting == 0 {
        return Err("no request would have lasted so long".to_owned());
    }
    Ok(working * 4 <= lasting && late <= 3)
}
