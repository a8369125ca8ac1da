//! `filbertflow-report`: how fast services spend their error budgets.

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

/// Largest length of a window, in minutes.
const MAX_MINUTES: f64 = 366.0 * 24.0 * 60.0;

/// Width of a bar.
const BAR: usize = 10;

/// Burn rate at which a bar is full.
const FULL_RATE: f64 = 10.0;

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

/// What is printed.
#[derive(Debug)]
#[derive(Serialize)]
struct Report {
    /// Nodes that answered.
    nodes: usize,
    /// Nodes that did not answer.
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
    let windows = windows(&args)?;
    let interval = seconds("--interval", args.interval, 3600.0)?;
    let mut snapshots = match &args.history {
        Some(file) => snapshot::load(file)?,
        None => Vec::new(),
    };
    let addrs = addresses(&args)?;
    let document = document(&addrs)?;
    let mut silent = read(&addrs, &mut snapshots)?;
    if snapshots.len() == 1 {
        thread::sleep(interval);
        silent = read(&addrs, &mut snapshots)?;
    }
    if let Some(file) = &args.history {
        snapshot::save(file, &snapshots, longest(&document, windows))?;
    }
    let report = Report {
        nodes: addrs.len() - silent.len(),
        silent,
        services: burn::compute(&document, &snapshots, windows),
    };
    if args.json {
        return cli::print(&format!("{}\n", serde_json::to_string(&report)?));
    }
    cli::print(&text(&report))
}

fn windows(args: &Args) -> eyre::Result<burn::Windows> {
    let windows = burn::Windows {
        short: seconds("--short", args.short * 60.0, MAX_MINUTES * 60.0)?,
        long: seconds("--long", args.long * 60.0, MAX_MINUTES * 60.0)?,
    };
    if windows.short > windows.long {
        return Err(cli::bad_input(
            "--short: expected no more than --long".to_owned(),
        ));
    }
    Ok(windows)
}

fn seconds(option: &str, value: f64, most: f64) -> eyre::Result<time::Duration> {
    if value > 0.0 && value <= most {
        return Ok(time::Duration::from_secs_f64(value));
    }
    Err(cli::bad_input(format!(
        "{option}: expected a positive number, at most {most} seconds"
    )))
}

/// Returns the nodes to ask: the stated ones, or the members that one node knows.
fn addresses(args: &Args) -> eyre::Result<Vec<net::SocketAddr>> {
    if let Some(nodes) = &args.nodes {
        let parts = nodes.split(',').map(str::trim).filter(|a| !a.is_empty());
        let mut addrs = parts
            .map(|a| {
                let wrong = |_| cli::bad_input(format!("--nodes: expected IP:PORT, found {a:?}"));
                a.parse().map_err(wrong)
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

/// Reads the document from the first node that has one.
fn document(addrs: &[net::SocketAddr]) -> eyre::Result<document::Document> {
    let mut last = None;
    for addr in addrs {
        match admin_client::document(*addr) {
            Ok(found) => {
                return Ok(source::parse_document(
                    &format!("document at {addr}"),
                    &found.text,
                )?);
            }
            Err(e) => last = Some(format!("no document from {addr}: {e}")),
        }
    }
    Err(unavailable(&last.unwrap_or_default()))
}

/// Adds a snapshot, and returns the nodes that did not answer.
fn read(
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

fn longest(document: &document::Document, windows: burn::Windows) -> time::Duration {
    let objectives = document.services.iter().map(|s| s.objective.window);
    objectives.fold(windows.long, time::Duration::max)
}

fn text(report: &Report) -> String {
    let mut out = String::new();
    let _ = write!(out, "{} nodes", report.nodes);
    if !report.silent.is_empty() {
        let silent: Vec<_> = report.silent.iter().map(ToString::to_string).collect();
        let _ = write!(out, ", no answer from {}", silent.join(", "));
    }
    out.push('\n');
    for service in &report.services {
        service_text(&mut out, service);
    }
    out
}

fn service_text(out: &mut String, service: &burn::ServiceBurn) {
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
        format!("BURN {}", span(short.covered_seconds)),
        format!("BURN {}", span(long.covered_seconds)),
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
            bar(class.short.rate / FULL_RATE),
            class.long.rate,
            bar(class.long.rate / FULL_RATE),
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

fn bar(share: f64) -> String {
    let full = (share.clamp(0.0, 1.0) * BAR as f64).round();
    let marks = (0..BAR).map(|i| if (i as f64) < full { '#' } else { '.' });
    marks.collect()
}

fn span(seconds: f64) -> String {
    if seconds >= 7200.0 {
        format!("{:.0} h", seconds / 3600.0)
    } else if seconds >= 120.0 {
        format!("{:.0} min", seconds / 60.0)
    } else {
        format!("{seconds:.0} s")
    }
}
