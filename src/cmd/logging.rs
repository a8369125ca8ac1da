//! Structured logs: one JSON object a line on the standard error stream.

use tracing_subscriber::EnvFilter;

/// Environment variable with the log filter, for example `filbertflow=debug`.
const FILTER_VARIABLE: &str = "FILBERTFLOW_LOG";

/// Starts logging for the process.
pub fn start() {
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE)
        .unwrap_or_else(|_| EnvFilter::new("warn,filbertflow=info"));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}
