//! `filbertflow-report`: reports error budget burn rates of services.

use std::fmt::Write as _;
use std::{net, thread, time};

use gumdrop::Options;
use serde::Serialize;

use crate::cmd::{burn, cli, exit, snapshot};
use crate::protocol::source;
use crate::state::document;
use crate::transport::admin_client;

const USAGE: &str = "\
Shows how fast services spend their error budgets, by class of callers.

Usage:
    filbertflow-report --admin IP:PORT [options]
    filbertflow-report --nodes IP:PORT[,IP:PORT] [options]

A request is good if it is answered within the latency of the service's
objective. At a burn rate of 1 the error budget lasts exactly for the
objective's window. Without a history the counters are read twice; with
--history the snapshots of earlier runs are used and this run's is added.

Examples:
    filbertflow-report --admin 10.0.1.1:7102
    filbertflow-report --admin 10.0.1.1:7102 --history burn.jsonl --short 5 --long 60
    filbertflow-report --nodes 10.0.1.1:7102,10.0.1.2:7102 --json

Exit codes: 0 shown, 1 failure at run time, 2 bad input, 4 no node available.

Options:";

/// Maximum length of a window, in minutes.
const MAX_MINUTES: f64 = 366.0 * 24.0 * 60.0;

/// Width of a bar, in characters.
const BAR_WIDTH: usize = 10;

/// Burn rate shown as a full bar.
const FULL_BAR_RATE: f64 = 10.0;

#[derive(Debug)]
#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(
        no_short,
        help = "admin address of a node that knows the others, or FILBERTFLOW_ADMIN",
        meta = "IP:PORT"
    )]
    admin: Option<net::SocketAddr>,
    #[options(
        no_short,
        help = "admin addresses of exactly the nodes to ask",
        meta = "ADDRS"
    )]
    nodes: Option<String>,
    #[options(no_short, help = "keep snapshots in this file", meta = "FILE")]
    history: Option<String>,
    #[options(no_short, help = "short window", meta = "MINUTES", default = "5")]
    short: f64,
    #[options(no_short, help = "long window", meta = "MINUTES", default = "60")]
    long: f64,
    #[options(
        no_short,
        help = "time between the two readings without a history",
        meta = "SECONDS",
        default = "5"
    )]
    interval: f64,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Content of the report.
#[derive(Debug)]
#[derive(Serialize)]
struct Report {
    /// Number of nodes that answered.
    nodes: usize,
    /// Admin addresses of the nodes that did not answer.
    silent: Vec<net::SocketAddr>,
    services: Vec<burn::ServiceBurn>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error with its exit code.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let Some(args) = cli::parse::<Args>(args, USAGE)? else {
        return Ok(());
    };
    if args.version {
        let version = env!("CARGO_PKG_VERSION");
        return cli::print(&format!("filbertflow-report {version}\n"));
    }
    let windows = parse_windows(&args)?;
    let interval = parse_duration("--interval", args.interval, 3600.0)?;
    let mut snapshots = match &args.history {
        Some(file) => snapshot::load(file)?,
        None => Vec::new(),
    };
    let addrs = addresses(&args)?;
    let document = fetch_document(&addrs)?;
    let mut silent = append_snapshot(&addrs, &mut snapshots)?;
    if snapshots.len() == 1 {
        thread::sleep(interval);
        silent = append_snapshot(&addrs, &mut snapshots)?;
    }
    if let Some(file) = &args.history {
        snapshot::save(file, &snapshots, longest_window(&document, windows))?;
    }
    let report = Report {
        nodes: addrs.len() - silent.len(),
        silent,
        services: burn::compute(&document, &snapshots, windows),
    };
    if args.json {
        return cli::print(&format!("{}\n", serde_json::to_string(&report)?));
    }
    cli::print(&render(&report))
}

fn parse_windows(args: &Args) -> eyre::Result<burn::Windows> {
    let windows = burn::Windows {
        short: parse_duration("--short", args.short * 60.0, MAX_MINUTES * 60.0)?,
        long: parse_duration("--long", args.long * 60.0, MAX_MINUTES * 60.0)?,
    };
    if windows.short > windows.long {
        return Err(cli::bad_input(
            "--short: expected no more than --long".to_owned(),
        ));
    }
    Ok(windows)
}

fn parse_duration(option: &str, seconds: f64, max_seconds: f64) -> eyre::Result<time::Duration> {
    if seconds > 0.0 && seconds <= max_seconds {
        return Ok(time::Duration::from_secs_f64(seconds));
    }
    Err(cli::bad_input(format!(
        "{option}: expected a positive number, at most {max_seconds} seconds"
    )))
}

/// Returns the admin addresses to query: those of `--nodes`, or all members known to one node.
fn addresses(args: &Args) -> eyre::Result<Vec<net::SocketAddr>> {
    if let Some(nodes) = &args.nodes {
        let parts = nodes.split(',').map(str::trim).filter(|a| !a.is_empty());
        let mut addrs = parts
            .map(|a| {
                let invalid = |_| cli::bad_input(format!("--nodes: expected IP:PORT, found {a:?}"));
                a.parse().map_err(invalid)
            })
            .collect::<eyre::Result<Vec<net::SocketAddr>>>()?;
        addrs.sort_unstable();
        addrs.dedup();
        if addrs.is_empty() {
            return Err(cli::bad_input("--nodes: expected IP:PORT".to_owned()));
        }
        return Ok(addrs);
    }
    let admin = cli::Endpoints::new(None, args.admin)?.admin_addr()?;
    let status = admin_client::status(admin)
        .map_err(|e| cli::unavailable(&format!("no answer from {admin}"), &e))?;
    let members = status.members.iter().filter_map(|m| m.admin.parse().ok());
    let mut addrs: Vec<_> = members.chain([admin]).collect();
    addrs.sort_unstable();
    addrs.dedup();
    Ok(addrs)
}

/// Fetches the document from the first node that returns one.
fn fetch_document(addrs: &[net::SocketAddr]) -> eyre::Result<document::Document> {
    let mut last_error = None;
    for addr in addrs {
        match admin_client::document(*addr) {
            Ok(found) => {
                return Ok(source::parse_document(
                    &format!("document at {addr}"),
                    &found.text,
                )?);
            }
            Err(e) => last_error = Some(format!("no document from {addr}: {e}")),
        }
    }
    Err(unavailable(&last_error.unwrap_or_default()))
}

/// Appends a snapshot of the counters and returns the nodes that did not answer.
fn append_snapshot(
    addrs: &[net::SocketAddr],
    snapshots: &mut Vec<snapshot::Snapshot>,
) -> eyre::Result<Vec<net::SocketAddr>> {
    let (snapshot, silent) = snapshot::collect(addrs);
    if snapshot.nodes.is_empty() {
        return Err(unavailable("no node answers"));
    }
    snapshots.push(snapshot);
    Ok(silent)
}

fn unavailable(message: &str) -> eyre::Report {
    exit::CommandError::new(exit::ExitCode::Unavailable, message).into()
}

/// Returns the length of history to keep: the longest of all windows.
fn longest_window(document: &document::Document, windows: burn::Windows) -> time::Duration {
    let objectives = document.services.iter().map(|s| s.objective.window);
    objectives.fold(windows.long, time::Duration::max)
}

fn render(report: &Report) -> String {
    let mut out = String::new();
    let _ = write!(out, "{} nodes", report.nodes);
    if !report.silent.is_empty() {
        let silent: Vec<_> = report.silent.iter().map(ToString::to_string).collect();
        let _ = write!(out, ", no answer from {}", silent.join(", "));
    }
    out.push('\n');
    for service in &report.services {
        render_service(&mut out, service);
    }
    out
}

fn render_service(out: &mut String, service: &burn::ServiceBurn) {
    let burn::ServiceBurn {
        objective_percent,
        latency_ms,
        window_hours,
        ..
    } = service;
    let _ = writeln!(
        out,
        "\n{}: {objective_percent}% within {latency_ms} ms over {window_hours} h",
        service.service
    );
    let covered = service.classes.first().map(|c| (c.short, c.long));
    let (short, long) = covered.unwrap_or_default();
    let _ = writeln!(
        out,
        "  {:<12} {:>9} {:>8}  {:<18} {:<18} BUDGET LEFT",
        "CLASS",
        "REQUESTS",
        "BAD",
        format!("BURN {}", format_duration(short.covered_seconds)),
        format!("BURN {}", format_duration(long.covered_seconds)),
    );
    for class in &service.classes {
        let left = class.budget_left_percent;
        let _ = writeln!(
            out,
            "  {:<12} {:>9.0} {:>8.0}  {:>6.1} {} {:>6.1} {} {:>6.1}% {}",
            class.class,
            class.long.requests,
            class.long.bad,
            class.short.rate,
            bar(class.short.rate / FULL_BAR_RATE),
            class.long.rate,
            bar(class.long.rate / FULL_BAR_RATE),
            left,
            bar(left / 100.0)
        );
    }
    for cause in &service.causes {
        let _ = writeln!(
            out,
            "  {:<30} {:>9.0} {:>6.1}% {}",
            cause.cause,
            cause.requests,
            cause.share_percent,
            bar(cause.share_percent / 100.0)
        );
    }
}

/// Returns a bar of fixed width for a share from 0 to 1.
fn bar(share: f64) -> String {
    let full = (share.clamp(0.0, 1.0) * BAR_WIDTH as f64).round();
    let marks = (0..BAR_WIDTH).map(|i| if (i as f64) < full { '#' } else { '.' });
    marks.collect()
}

fn format_duration(seconds: f64) -> String {
    if seconds >= 7200.0 {
        format!("{:.0} h", seconds / 3600.0)
    } else if seconds >= 120.0 {
        format!("{:.0} min", seconds / 60.0)
    } else {
        format!("{seconds:.0} s")
    }
}
