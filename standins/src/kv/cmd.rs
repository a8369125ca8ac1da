//! Command `standin-kv`.

use std::net;
use std::sync::Arc;
use std::thread;

use gumdrop::Options;

use crate::http;
use crate::kv::{api, control, fault, store};

/// Runs a stand-in for the platform's key-value service.
#[derive(Debug)]
#[derive(Options)]
pub struct Args {
    /// Print this help.
    help: bool,
    /// Address of the service.
    #[options(required, no_short, meta = "ADDR")]
    listen: Option<net::SocketAddr>,
    /// Address for control of faults.
    #[options(required, no_short, meta = "ADDR")]
    control: Option<net::SocketAddr>,
}

/// Runs until the process is ended.
///
/// # Errors
///
/// Returns an error if an address can't be listened on.
pub fn run(args: &Args) -> eyre::Result<()> {
    let listen = args
        .listen
        .ok_or_else(|| eyre::eyre!("--listen is missing"))?;
    let control = args
        .control
        .ok_or_else(|| eyre::eyre!("--control is missing"))?;
    let service = Arc::new(api::Api {
        store: store::Store::default(),
        faults: fault::Faults::default(),
    });
    let control = http::listen(control)?;
    let server = http::listen(listen)?;
    tracing::info!(event = 700, %listen, "key-value stand-in is listening");
    let controlled = Arc::clone(&service);
    thread::spawn(move || {
        http::serve_each(&control, move |r| control::handle(&controlled, r));
    });
    http::serve_each(&server, move |r| service.handle(r));
    Ok(())
}
