//! Test double of the platform's key-value service.

use filbertflow_standins::{http, kv};
use gumdrop::Options;

fn main() -> eyre::Result<()> {
    http::log_to_stderr();
    kv::cmd::run(&kv::cmd::Args::parse_args_default_or_exit())
}
