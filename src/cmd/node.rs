//! `filbertflow-node`: runs one node until it receives a termination signal.

use std::sync::Arc;
use std::{fs, time};

use eyre::WrapErr;
use gumdrop::Options;
use tokio::signal::unix;

use crate::cmd::{cli, logging};
use crate::coordination::{admin, membership, node, router, service};
use crate::protocol::source;
use crate::state::settings;
use crate::transport::{counted, peer_server};

const USAGE: &str = "\
Runs one filbertflow node beside a backend server.

Usage:
    filbertflow-node --settings FILE [--check]

The node accepts callers, other nodes and operators at the addresses in its
settings. On SIGTERM or SIGINT it hands its slices over, finishes what is in
flight and exits; a second signal ends it at once.

Example:
    filbertflow-node --settings node.jsonc

Exit codes: 0 stopped by a signal, 1 failure at run time, 2 invalid settings.

Options:";

/// Time limit on each phase of a shutdown: handing over slices, and finishing requests in flight.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Interval at which a draining node checks for slices it still holds and for requests in flight.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

#[derive(Debug, Default)]
#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE")]
    settings: Option<String>,
    #[options(help = "check the settings and exit")]
    check: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error with its exit code if the settings are invalid or an address can't be bound.
pub fn run(args: &[String]) -> eyre::Result<()> {
    let Some(args) = cli::parse::<Args>(args, USAGE)? else {
        return Ok(());
    };
    if args.version {
        println!("filbertflow-node {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let settings = load_settings(args.settings.as_deref())?;
    if args.check {
        return Ok(());
    }
    logging::init();
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the runtime")?
        .block_on(serve(settings))
}

fn load_settings(file: Option<&str>) -> eyre::Result<settings::Settings> {
    let file = file.ok_or_else(|| cli::bad_input(format!("--settings is required\n\n{USAGE}")))?;
    let text = fs::read_to_string(file).map_err(|e| cli::bad_input(format!("{file}: {e}")))?;
    source::parse_settings(file, &text).map_err(|e| cli::bad_input(e.to_string()))
}

async fn serve(settings: settings::Settings) -> eyre::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let peer_addr = settings.peer;
    let listen = settings.peer_listen.unwrap_or(peer_addr.0);
    let listener = peer_server::bind(listen)
        .await
        .wrap_err_with(|| format!("can't listen for peers at {listen}"))?;
    let node = node::Node::new(settings);
    let peer_node = Arc::clone(&node);
    let traffic = counted::Traffic::from(&node.metrics.peer_traffic);
    tokio::spawn(peer_server::serve(listener, traffic, move |accepted| {
        service::connection(Arc::clone(&peer_node), accepted)
    }));
    node.spawn();
    let caller_addr = node.settings.caller;
    router::start(&node).wrap_err_with(|| format!("can't listen for callers at {caller_addr}"))?;
    let admin_addr = node.settings.admin;
    let _admin = admin::start(Arc::clone(&node))
        .wrap_err_with(|| format!("can't listen for operators at {admin_addr}"))?;
    tracing::info!(event = 101, node = %node.me, "node started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!(event = 102, node = %node.me, "stopping: handing over slices");
    tokio::select! {
        () = drain(&node) => {}
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!(event = 103, node = %node.me, "node stopped");
    Ok(())
}

async fn drain(node: &Arc<node::Node>) {
    node.owner.drain();
    node.backend.drain();
    if !wait_until(|| node.grants.live().is_empty()).await {
        tracing::warn!(event = 104, "drain timed out; slices are still held");
    }
    membership::leave(node).await;
    node.router.close();
    let all_answered = || node.router.unanswered() == 0 && node.gate.in_flight() == 0;
    if !wait_until(all_answered).await {
        tracing::warn!(
            event = 105,
            unanswered = node.router.unanswered(),
            "drain timed out; requests are still in flight"
        );
    }
}

async fn wait_until(condition: impl Fn() -> bool) -> bool {
    let poll = async {
        while !condition() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(DRAIN_TIMEOUT, poll).await.is_ok()
}
