//! Command line of `standin-kv`.

use std::net;
use std::sync::Arc;
use std::thread;

use gumdrop::Options;

use crate::http;
use crate::kv::{api, control, fault, store};

/// Runs a test double of the platform's key-value service.
#[derive(Debug)]
#[derive(Options)]
pub struct Args {
    /// Print this help.
    help: bool,
    /// Address of the service.
    #[options(required, no_short, meta = "ADDR")]
    listen: Option<net::SocketAddr>,
    /// Address of the control endpoints.
    #[options(required, no_short, meta = "ADDR")]
    control: Option<net::SocketAddr>,
}

/// Runs until the process is terminated.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub fn run(args: &Args) -> eyre::Result<()> {
    let listen = args
        .listen
        .ok_or_else(|| eyre::eyre!("--listen is required"))?;
    let control = args
        .control
        .ok_or_else(|| eyre::eyre!("--control is required"))?;
    let service = Arc::new(api::KvApi {
        store: store::Store::default(),
        faults: fault::FaultState::default(),
    });
    let control = http::listen(control)?;
    let server = http::listen(listen)?;
    tracing::info!(event = 700, %listen, "key-value service is listening");
    let controlled = Arc::clone(&service);
    thread::spawn(move || {
        http::serve_concurrently(&control, move |r| control::handle(&controlled, r));
    });
    http::serve_concurrently(&server, move |r| service.handle(r));
    Ok(())
}
