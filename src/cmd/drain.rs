//! `filbertflow-ctl drain`: moves all keys away from a node, or lets it own keys again.

use std::net;

use gumdrop::Options;

use crate::cmd::{cli, exit, progress, submission};
use crate::protocol::{edit, source};
use crate::state::ids;
use crate::transport::platform;

const USAGE: &str = "\
Adds a node to the drain list of the document in force, keeps its comments, and
submits it. The node hands its keys over without interrupting requests and gets
no new work.

Usage:
    filbertflow-ctl drain NODE [--undo] [--wait]

NODE is the peer address of the node, as `filbertflow-ctl status` shows it.

Examples:
    filbertflow-ctl drain 10.0.1.1:7101 --wait
    filbertflow-ctl drain 10.0.1.1:7101 --undo

Exit codes: 0 accepted, 1 accepted but not drained in time, 2 no such node
address, 3 other documents kept being accepted first, 4 platform's service not
available or outcome unknown.

Options:";

/// Maximum number of submissions. A conflict is retried on top of the newer document, because adding
/// or removing a drain does not depend on the other changes.
const MAX_ATTEMPTS: usize = 5;

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
    #[options(help = "take the node off the list", no_short)]
    undo: bool,
    #[options(
        help = "wait until the change is in force and the node owns no keys",
        no_short
    )]
    wait: bool,
    #[options(free)]
    nodes: Vec<String>,
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
    let node = cli::single_argument(&args.nodes, "NODE")?;
    let node: ids::NodeAddr = node
        .parse()
        .map_err(|_| cli::bad_input(format!("NODE: expected IP:PORT, found {node:?}")))?;
    let endpoints = cli::Endpoints::new(args.platform, args.admin)?;
    let client = endpoints.platform_client()?;
    let admin = args.wait.then(|| endpoints.admin_addr()).transpose()?;
    let revision = cli::block_on(submit_drain(&client, node, args.undo))?;
    if let Some(admin) = admin {
        let nodes = progress::wait_in_force(admin, revision)?;
        cli::print(&format!("in force on all {nodes} known nodes\n"))?;
        if !args.undo {
            let confirmed = progress::wait_drained(admin, node)?;
            let suffix = if confirmed {
                ""
            } else {
                ", but does not answer itself; check its address"
            };
            cli::print(&format!("{node} owns no keys{suffix}\n"))?;
        }
    }
    Ok(())
}

async fn submit_drain(
    client: &platform::Client,
    node: ids::NodeAddr,
    undo: bool,
) -> eyre::Result<ids::DocRevision> {
    for _ in 0..MAX_ATTEMPTS {
        let Some(stored) = submission::read_current(client).await?.stored else {
            return Err(cli::bad_input("there is no document yet".to_owned()));
        };
        let edited = if undo {
            edit::undrain(&stored.text, node)?
        } else {
            edit::drain(&stored.text, node)?
        };
        let Some(text) = edited else {
            let state = if undo { "not on" } else { "already on" };
            cli::print(&format!("{node} is {state} the drain list\n"))?;
            return Ok(stored.revision);
        };
        source::parse_document("document", &text).map_err(|e| cli::bad_input(e.to_string()))?;
        let id = submission::create_id();
        let submission = submission::Submission {
            id: &id,
            based_on: stored.revision,
            text: &text,
            resumed: false,
        };
        match submission::submit(client, &submission).await? {
            submission::Outcome::Accepted(revision) => {
                cli::print(&format!("accepted as revision {revision}\n"))?;
                return Ok(revision);
            }
            submission::Outcome::Conflict(_) => {}
        }
    }
    let message = format!("conflict: other documents were accepted first, {MAX_ATTEMPTS} times");
    Err(exit::CommandError::new(exit::ExitCode::Conflict, message).into())
}
