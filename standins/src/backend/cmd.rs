//! Command line of `standin-backend`.

use std::net;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gumdrop::Options;

use crate::backend::{announce, control, fence, mode, requests, server};
use crate::{http, journal};

/// Threads in addition to one for each slot. They send refusals and handle grants and cancellations
/// while all slots are in use.
const SPARE_THREADS: usize = 16;

/// Runs a test double of a backend server.
#[derive(Debug, Clone)]
#[derive(Options)]
pub struct Args {
    /// Print this help.
    help: bool,
    /// Address on which it accepts requests from its node.
    #[options(required, no_short, meta = "ADDR")]
    listen: Option<net::SocketAddr>,
    /// Address of the control endpoints.
    #[options(required, no_short, meta = "ADDR")]
    control: Option<net::SocketAddr>,
    /// Admin address of its node, to which it sends announcements.
    #[options(required, no_short, meta = "ADDR")]
    admin: Option<net::SocketAddr>,
    /// Name of its service.
    #[options(required, no_short, meta = "NAME")]
    service: String,
    /// Server name in the journal; defaults to the listening address.
    #[options(no_short, meta = "NAME")]
    name: Option<String>,
    /// Maximum number of concurrent requests.
    #[options(no_short, meta = "N", default = "20")]
    slots: u32,
    /// Connection limit that it announces; it isn't enforced.
    #[options(no_short, meta = "N", default = "125")]
    connections: u32,
    /// Whether it checks fencing tokens: true or false.
    #[options(no_short, meta = "BOOL", default = "true")]
    checks_tokens: String,
    /// Processing time of a request.
    #[options(no_short, meta = "MS", default = "2")]
    service_time_ms: u64,
    /// Warm-up time after the start, during which fewer slots are available.
    #[options(no_short, meta = "MS", default = "0")]
    cold_start_ms: u64,
    /// File to which it appends its journal.
    #[options(no_short, meta = "FILE")]
    journal: Option<PathBuf>,
}

/// Runs until the process is terminated.
///
/// # Errors
///
/// Returns an error if an address can't be bound or the journal can't be opened.
pub fn run(args: &Args) -> eyre::Result<()> {
    let missing = |name: &str| eyre::eyre!("{name} is required");
    let listen = args.listen.ok_or_else(|| missing("--listen"))?;
    let control = args.control.ok_or_else(|| missing("--control"))?;
    let admin = args.admin.ok_or_else(|| missing("--admin"))?;
    let checks = args
        .checks_tokens
        .parse()
        .map_err(|_| eyre::eyre!("--checks-tokens must be true or false"))?;
    let name = args.name.clone().unwrap_or_else(|| listen.to_string());
    let server = Arc::new(server::Server {
        journal: journal::Journal::open(name, args.journal.as_deref())?,
        mode: mode::ModeState::new(args.service_time_ms),
        fence: fence::Fence::new(checks),
        requests: requests::RequestTracker::new(
            args.slots,
            Duration::from_millis(args.cold_start_ms),
        ),
    });
    let control = http::listen(control)?;
    let requests = http::listen(listen)?;
    tracing::info!(event = 710, %listen, "backend server is listening");
    let handler = Arc::clone(&server);
    let threads = args.slots as usize + SPARE_THREADS;
    http::serve_pool(&requests, threads, &move |r| handler.handle(r));
    let announced = Arc::clone(&server);
    let announcement = announce::Announcement {
        service: args.service.clone(),
        address: listen,
        incarnation: incarnation(),
        slots: args.slots,
        connections: args.connections,
        checks_tokens: checks,
        draining: false,
        cold_start_ms: args.cold_start_ms,
    };
    thread::spawn(move || announce::run(&announced, admin, announcement));
    http::serve_concurrently(&control, move |r| control::handle(&server, r));
    Ok(())
}

fn incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
