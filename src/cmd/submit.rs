//! `filbertflow-ctl submit`: submits a document.

use std::{net, time};

use gumdrop::Options;

use crate::cmd::{check, cli, diff, exit, progress, submission};
use crate::protocol::{config, platform};
use crate::state::{document, ids};

const USAGE: &str = "\
Submits a document, unless another one was accepted since the revision that it
is based on. Once accepted it takes effect on all nodes and is permanent.

Usage:
    filbertflow-ctl submit FILE --based-on REVISION [--wait]

Find the revision in force with `filbertflow-ctl diff --current`. The first
document is based on revision 0. A submission without an answer is resolved by
reading back; if that fails too, the message says how to resolve it later.

Examples:
    filbertflow-ctl submit consortium.jsonc --based-on 0 --platform 10.0.0.5:7000
    filbertflow-ctl submit consortium.jsonc --based-on 7 --wait --admin 10.0.1.1:7102

Exit codes: 0 accepted, 1 accepted but not in force in time, 2 invalid
document, 3 another document was accepted first, 4 platform's service not
available or outcome unknown.

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
    #[options(
        help = "admin address of any node, or FILBERTFLOW_ADMIN",
        meta = "IP:PORT",
        no_short
    )]
    admin: Option<net::SocketAddr>,
    #[options(
        help = "revision that the document is based on",
        meta = "REVISION",
        no_short
    )]
    based_on: Option<u64>,
    #[options(
        help = "identifier of an earlier try whose outcome is unknown",
        meta = "ID",
        no_short
    )]
    submission: Option<String>,
    #[options(help = "wait until it is in force on all live nodes", no_short)]
    wait: bool,
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
    let file = cli::single_argument(&args.files, "FILE")?;
    let based_on = args
        .based_on
        .ok_or_else(|| cli::bad_input("--based-on REVISION is required".to_owned()))?;
    let endpoints = cli::Endpoints::new(args.platform, args.admin)?;
    let client = endpoints.platform_client()?;
    // A missing address is reported before anything is submitted.
    let admin = args.wait.then(|| endpoints.admin_addr()).transpose()?;
    let (text, document) = check::load(file)?;
    check_size(file, &text)?;
    let id = args.submission.clone();
    let id = id.unwrap_or_else(submission::create_id);
    let submission = submission::Submission {
        id: &id,
        based_on: ids::DocRevision(based_on),
        text: &text,
        resumed: args.submission.is_some(),
    };
    let start = time::Instant::now();
    let outcome = cli::block_on(submission::submit(&client, &submission))?;
    let revision = match outcome {
        submission::Outcome::Accepted(revision) => revision,
        submission::Outcome::Conflict(current) => {
            return Err(conflict(submission.based_on, current.as_ref(), &document));
        }
    };
    cli::print(&format!("accepted as revision {revision}\n"))?;
    if let Some(admin) = admin {
        let nodes = progress::wait_in_force(admin, revision)?;
        let seconds = start.elapsed().as_secs_f64();
        cli::print(&format!(
            "in force on all {nodes} known nodes after {seconds:.2} s\n"
        ))?;
    }
    Ok(())
}

/// Rejects a document that exceeds the value size limit of the platform's service.
fn check_size(file: &str, text: &str) -> eyre::Result<()> {
    let earlier = vec![submission::create_id(); config::MAX_EARLIER_SUBMISSIONS];
    let stored = config::StoredDocument {
        revision: ids::DocRevision(u64::MAX),
        submission: submission::create_id(),
        text: text.to_owned(),
        earlier,
    };
    let (size, limit) = (stored.encode().len(), platform::MAX_VALUE);
    if size > limit {
        let message = format!("{file}: takes {size} bytes when stored, the limit is {limit}");
        return Err(cli::bad_input(message));
    }
    Ok(())
}

fn conflict(
    based_on: ids::DocRevision,
    current: Option<&config::StoredDocument>,
    submitted: &document::Document,
) -> eyre::Report {
    let message = match current {
        Some(stored) => format!(
            "conflict: submission is based on revision {based_on}, but revision {} is in force\n\
             difference from the document in force to the submitted one:\n{}",
            stored.revision,
            diff::render(stored, submitted),
        ),
        None => format!(
            "conflict: submission is based on revision {based_on}, but there is no document yet"
        ),
    };
    exit::CommandError::new(exit::ExitCode::Conflict, message.trim_end()).into()
}
