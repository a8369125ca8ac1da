//! `filbertflow-ctl diff`: shows what a document would change.

use std::net;

use gumdrop::Options;

use crate::cmd::{check, cli, submission};
use crate::protocol::{config, diff, source};
use crate::state::document;

const USAGE: &str = "\
Shows what a document would change, value by value, or prints the document in
force with its comments.

Usage:
    filbertflow-ctl diff FILE
    filbertflow-ctl diff --current

Lines begin with ~ for a changed, + for an added, - for a removed value. The
revision in force goes to the standard error stream.

Examples:
    filbertflow-ctl diff consortium.jsonc --platform 10.0.0.5:7000
    filbertflow-ctl diff --current > consortium.jsonc

Exit codes: 0 compared or printed, 2 invalid document, 4 platform's service not
available.

Options:";

#[derive(Debug, Default)]
#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "address of the platform's service, or FILBERTFLOW_PLATFORM",
        meta = "IP:PORT",
        no_short
    )]
    platform: Option<net::SocketAddr>,
    #[options(help = "print the document in force", no_short)]
    current: bool,
    #[options(free)]
    files: Vec<String>,
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
    let client = cli::Endpoints::new(args.platform, None)?.platform_client()?;
    let file = if args.current {
        None
    } else {
        Some(cli::single_argument(&args.files, "FILE")?)
    };
    let submitted = file.map(check::load).transpose()?;
    let entry = cli::block_on(submission::read_current(&client))?;
    let Some(stored) = entry.stored else {
        eprintln!("no document was submitted yet; the first is based on revision 0");
        return Ok(());
    };
    eprintln!("revision {} is in force", stored.revision);
    match submitted {
        Some((_, submitted)) => cli::print(&render(&stored, &submitted)),
        None => cli::print(&stored.text),
    }
}

/// Formats the differences between the stored document and a new one, one per line.
pub(super) fn render(stored: &config::StoredDocument, new: &document::Document) -> String {
    let old = match source::parse_document(config::KEY, &stored.text) {
        Ok(old) => old,
        Err(e) => return format!("stored document is not valid for this version:\n{e}\n"),
    };
    let lines: Vec<_> = diff::compare(&old, new)
        .iter()
        .map(|d| format!("{d}\n"))
        .collect();
    if lines.is_empty() {
        return "no difference\n".to_owned();
    }
    lines.concat()
}
