#!/bin/bash
# Builds the stand-ins that the scripts start; needs the Rust compiler only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
