#!/usr/bin/env bash
# Builds everything and runs the demonstration on loopback addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --locked
exec cargo run --release --quiet --locked -p filbertflow-harness -- demo
