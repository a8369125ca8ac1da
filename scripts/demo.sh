#!/usr/bin/env bash
# Builds everything and runs the demonstration on loopback addresses; see benches/mesh/demo.rs.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --locked
exec cargo bench --quiet --locked --bench mesh -- demo
