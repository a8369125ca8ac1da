//! `filbertflow-sidecar`: runs one sidecar until it receives a termination signal.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gumdrop::Options;
use tokio::signal::unix;
use tokio::{runtime, task, time};

use crate::cmd::{cli, logging};
use crate::coordination::sidecar::node::Node;
use crate::metrics::Metrics;
use crate::protocol::adapter::Adapter;
use crate::state::sidecar_settings::SidecarSettings;

const USAGE: &str = "\
Runs one filbertflow sidecar beside a backend server.

Usage:
    filbertflow-sidecar [--settings FILE] [--metrics-port PORT] [--check]

The sidecar takes requests of callers on its host and runs those of others on
its backend server. On SIGTERM or SIGINT it finishes what is in flight and
exits; on SIGHUP it reads its settings again.

Example:
    filbertflow-sidecar --settings sidecar.jsonc --check

Exit codes: 0 stopped by a signal, 1 failure at run time, 2 invalid settings.

Options:";

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE")]
    settings: Option<String>,
    #[options(help = "port of the metrics, on the callers' address", meta = "PORT")]
    metrics_port: Option<u16>,
    #[options(help = "check the settings and exit")]
    check: bool,
}

/// Source of the settings, provided by the platform's adapter.
#[derive(Debug)]
pub struct SettingsSource {
    /// Environment variable with the path of the settings file.
    pub env_var: &'static str,
    /// Reads and validates a file. The error is a message for the operator.
    pub load: fn(&str) -> Result<SidecarSettings, String>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error with its exit code if the settings are invalid or an address can't be bound.
pub fn run(args: &[String], adapter: Rc<dyn Adapter>, source: &SettingsSource) -> eyre::Result<()> {
    let Some(args) = cli::parse::<Args>(args, USAGE)? else {
        return Ok(());
    };
    if args.version {
        println!("filbertflow-sidecar {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let path = args
        .settings
        .clone()
        .or_else(|| std::env::var(source.env_var).ok());
    let path = path.ok_or_else(|| {
        cli::bad_input(format!(
            "neither --settings nor {} names a settings file",
            source.env_var
        ))
    })?;
    let settings = (source.load)(&path).map_err(cli::bad_input)?;
    if args.check {
        println!("{path}: valid");
        return Ok(());
    }
    let _log = logging::init_bounded();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = task::LocalSet::new();
    local.block_on(&runtime, serve(&args, &path, settings, adapter, source))
}

async fn serve(
    args: &Args,
    path: &str,
    settings: SidecarSettings,
    adapter: Rc<dyn Adapter>,
    source: &SettingsSource,
) -> eyre::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    let metrics_addr = args
        .metrics_port
        .map(|port| SocketAddr::new(settings.listen.callers.ip(), port));
    let node = Node::new(&settings, &adapter, &Metrics::default());
    node.start(&adapter, metrics_addr)?;
    tracing::info!(event = 111, node = %settings.node, domain = %settings.domain, service = %settings.service, backend = %settings.backend, "sidecar started");
    let mut current = settings;
    let signal = loop {
        let reason = tokio::select! {
            _ = terminate.recv() => break "SIGTERM",
            _ = interrupt.recv() => break "SIGINT",
            _ = hangup.recv() => "SIGHUP",
            () = time::sleep(SETTINGS_POLL_INTERVAL) => "file",
        };
        match (source.load)(path) {
            Ok(settings) if settings != current => {
                tracing::info!(event = 112, node = %settings.node, reason, "settings changed; reloading");
                node.reload(&settings);
                current = settings;
            }
            Ok(_) if reason == "SIGHUP" => {
                tracing::info!(event = 113, reason, "settings unchanged");
            }
            Ok(_) => {}
            Err(e) => {
                tracing::warn!(event = 114, reason, error = %e, "can't load settings; keeping the current ones");
            }
        }
    };
    tracing::info!(event = 115, node = %current.node, signal, "sidecar shutting down");
    node.stop().await;
    tracing::info!(event = 116, node = %current.node, "sidecar stopped");
    Ok(())
}
