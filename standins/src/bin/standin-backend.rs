//! Test double of a backend server.

use filbertflow_standins::{backend, http};
use gumdrop::Options;

fn main() -> eyre::Result<()> {
    http::log_to_stderr();
    backend::cmd::run(&backend::cmd::Args::parse_args_default_or_exit())
}
