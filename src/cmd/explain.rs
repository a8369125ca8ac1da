//! `filbertflow-ctl explain`: shows the owner of a key and why it owns the key.

use std::fmt::Write;
use std::net;

use gumdrop::Options;

use crate::cmd::cli;
use crate::protocol::admin;
use crate::state::ids;
use crate::transport::{admin_client, error};

const USAGE: &str = "\
Shows which node owns a key, its fencing token, the reason, and its last changes
of owner. For a service that is not partitioned by key, KEY is the id of a
request.

Usage:
    filbertflow-ctl explain KEY --service SERVICE [--json]

Examples:
    filbertflow-ctl explain dusk-walk-14 --service walk-listings
    filbertflow-ctl explain dusk-walk-14 --service walk-listings --json

Exit codes: 0 explained, 2 unknown service or invalid key, 4 node not
available.

Options:";

const HTTP_BAD_REQUEST: u16 = 400;
const HTTP_NOT_FOUND: u16 = 404;

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
    #[options(help = "service of the key", meta = "SERVICE", no_short)]
    service: Option<String>,
    #[options(help = "print JSON", no_short)]
    json: bool,
    #[options(free)]
    keys: Vec<String>,
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
    let key = cli::single_argument(&args.keys, "KEY")?;
    let service = args
        .service
        .ok_or_else(|| cli::bad_input("--service SERVICE is required".to_owned()))?;
    let admin = cli::Endpoints::new(None, args.admin)?.admin_addr()?;
    let explanation = match admin_client::explain(admin, &service, key) {
        Ok(explanation) => explanation,
        Err(error::Error::Rejected {
            status: HTTP_BAD_REQUEST | HTTP_NOT_FOUND,
            text,
        }) => {
            return Err(cli::bad_input(text));
        }
        Err(e) => return Err(cli::unavailable(&format!("no answer from {admin}"), &e)),
    };
    if args.json {
        return cli::print(&format!(
            "{}\n",
            serde_json::to_string_pretty(&explanation)?
        ));
    }
    cli::print(&render(&explanation)?)
}

fn render(e: &admin::Explanation) -> eyre::Result<String> {
    let mut out = String::new();
    let owner = e.owner.as_ref().map_or_else(
        || "none".to_owned(),
        |o| format!("{} in {}", o.address, o.failure_domain),
    );
    writeln!(out, "key          {} of {}", e.key, e.service)?;
    writeln!(out, "hash         {}", e.hash)?;
    writeln!(out, "slice        {} to {}", e.slice_start, e.slice_end)?;
    writeln!(out, "partition    {}", e.partition)?;
    writeln!(out, "owner        {owner}")?;
    writeln!(out, "token        {}", e.token)?;
    writeln!(out, "coordinator  {}", e.coordinator)?;
    writeln!(out, "reason       {}", e.reason)?;
    for m in &e.moves {
        writeln!(out, "change       {}", format_move(m))?;
    }
    Ok(out)
}

fn format_move(m: &admin::OwnerChange) -> String {
    let name = |node: Option<ids::NodeAddr>| node.map_or("none".to_owned(), |n| n.to_string());
    let ago = ids::wall_time().as_secs().saturating_sub(m.time_s);
    format!(
        "{ago} s ago: {} to {}, token {}: {}",
        name(m.from),
        name(m.to),
        m.token,
        m.cause
    )
}
