//! `filbertflow-ctl check`: validates a document without submitting it.

use gumdrop::Options;

use crate::cmd::cli;
use crate::protocol::source;
use crate::state::document;

const USAGE: &str = "\
Checks a document and prints all problems, each with its file, line and column.

Usage:
    filbertflow-ctl check FILE

Example:
    filbertflow-ctl check consortium.jsonc

Exit codes: 0 valid, 2 invalid or not readable.

Options:";

#[derive(Debug, Default)]
#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(free)]
    files: Vec<String>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns a bad-input error that lists all problems of the document.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let Some(args) = cli::parse::<Args>(args, USAGE)? else {
        return Ok(());
    };
    let file = cli::single_argument(&args.files, "FILE")?;
    let (_, document) = load(file)?;
    let services = document.services.len();
    let routes: usize = document.services.iter().map(|s| s.routes.len()).sum();
    cli::print(&format!(
        "{file} is valid: {services} services, {routes} routes\n"
    ))
}

/// Reads and validates a document; returns its text and the parsed document.
pub(super) fn load(file: &str) -> eyre::Result<(String, document::Document)> {
    let text = cli::read_file(file)?;
    let document =
        source::parse_document(file, &text).map_err(|e| cli::bad_input(e.to_string()))?;
    Ok((text, document))
}
