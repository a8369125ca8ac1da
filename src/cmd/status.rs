//! `filbertflow-ctl status`: shows the state of the fleet on one screen.

use std::fmt::Write;
use std::net;

use gumdrop::Options;
use serde::Serialize;

use crate::cmd::{cli, progress};
use crate::protocol::admin;
use crate::transport::admin_client;

const USAGE: &str = "\
Shows the revision in force per node, partitions with coordinators and owners,
and drains. Long lists are truncated to fit a terminal; --json shows everything.

Usage:
    filbertflow-ctl status [--json]

Examples:
    filbertflow-ctl status --admin 10.0.1.1:7102
    filbertflow-ctl status --json | jq .partitions

Exit codes: 0 shown, 4 node not available.

Options:";

/// Maximum number of listed partitions. All lists together fit a terminal of 24 lines.
const MAX_PARTITIONS: usize = 6;

/// Maximum number of listed drains.
const MAX_DRAINS: usize = 3;

/// Maximum number of listed nodes that are behind.
const MAX_BEHIND: usize = 3;

/// Maximum width of the list of owners, in columns. The rest of a terminal's 80 columns is for the
/// number of omitted owners.
const OWNERS_WIDTH: usize = 72;

#[derive(Debug, Default)]
#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "admin address of any node, or FILBERTFLOW_ADMIN",
        meta = "IP:PORT",
        no_short
    )]
    admin: Option<net::SocketAddr>,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

/// Status of one node, with the revisions in force on all nodes.
#[derive(Debug)]
#[derive(Serialize)]
struct Report {
    #[serde(flatten)]
    status: admin::Status,
    revisions: Vec<progress::NodeRevision>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error with the exit code that the usage text lists.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let Some(args) = cli::parse::<Args>(args, USAGE)? else {
        return Ok(());
    };
    let admin = cli::Endpoints::new(None, args.admin)?.admin_addr()?;
    let status = admin_client::status(admin)
        .map_err(|e| cli::unavailable(&format!("no answer from {admin}"), &e))?;
    let report = Report {
        revisions: progress::revisions(&status),
        status,
    };
    if args.json {
        return cli::print(&format!("{}\n", serde_json::to_string_pretty(&report)?));
    }
    cli::print(&render(&report.status, &report.revisions)?)
}

/// Formats the status for a terminal of 24 lines and 80 columns.
///
/// # Errors
///
/// Never, because writing to a string does not fail.
pub fn render(
    status: &admin::Status,
    revisions: &[progress::NodeRevision],
) -> Result<String, std::fmt::Error> {
    let mut out = String::new();
    let newest = revisions.iter().filter_map(|r| r.revision).max();
    let newest = newest.unwrap_or(status.revision);
    let (current, behind): (Vec<_>, Vec<_>) =
        revisions.iter().partition(|r| r.revision == Some(newest));
    let (up_to_date, total) = (current.len(), revisions.len());
    writeln!(
        out,
        "revision {newest} in force on {up_to_date} of {total} nodes, seen by {}",
        status.node.address
    )?;
    write_list(
        &mut out,
        &behind,
        MAX_BEHIND,
        "nodes behind",
        |r: &&progress::NodeRevision| {
            let state = r
                .revision
                .map_or("no answer".to_owned(), |r| format!("revision {r}"));
            format!("  behind: {} {state}", r.address)
        },
    )?;
    write_partitions(&mut out, &status.partitions)?;
    write_list(&mut out, &status.drains, MAX_DRAINS, "drains", format_drain)?;
    Ok(out)
}

fn write_partitions(out: &mut String, partitions: &[admin::Partition]) -> std::fmt::Result {
    writeln!(
        out,
        "{:<18} {:>5} {:<21} {:>8} {:>6} {:>7} {:>6}",
        "PARTITION", "EPOCH", "COORDINATOR", "STANDBYS", "SLICES", "UNOWNED", "MOVING"
    )?;
    // Partitions with unowned slices come first, because they need attention.
    let mut sorted: Vec<_> = partitions.iter().collect();
    sorted.sort_by_key(|p| std::cmp::Reverse(p.unowned));
    write_list(out, &sorted, MAX_PARTITIONS, "partitions", |p| {
        let row = format!(
            "{:<18} {:>5} {:<21} {:>8} {:>6} {:>7} {:>6}",
            truncate(&p.partition, 18),
            p.epoch,
            p.coordinator,
            p.standbys.len(),
            p.slices,
            p.unowned,
            p.moving
        );
        format!("{row}\n{}", format_owners(&p.owners))
    })
}

fn format_owners(owners: &[admin::Owner]) -> String {
    let mut text = "  owners:".to_owned();
    for (i, o) in owners.iter().enumerate() {
        let state = if o.draining { "!" } else { "" };
        let owner = format!(" {}={}{state}", o.address, o.slices);
        if text.len() + owner.len() > OWNERS_WIDTH {
            return format!("{text} +{}", owners.len() - i);
        }
        text.push_str(&owner);
    }
    text
}

fn format_drain(d: &admin::DrainProgress) -> String {
    match d.slices_left {
        0 => format!("drained: {}", d.address),
        left => format!("draining: {}, {left} slices left", d.address),
    }
}

fn write_list<T>(
    out: &mut String,
    items: &[T],
    limit: usize,
    what: &str,
    line: impl Fn(&T) -> String,
) -> std::fmt::Result {
    for item in items.iter().take(limit) {
        writeln!(out, "{}", line(item))?;
    }
    if items.len() > limit {
        writeln!(out, "  and {} more {what}", items.len() - limit)?;
    }
    Ok(())
}

fn truncate(text: &str, width: usize) -> String {
    text.chars().take(width).collect()
}
