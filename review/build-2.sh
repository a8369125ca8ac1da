#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/9 start besides the project's own program: one
# program with the stand-ins of the store, the instances, the clients and the platform. It uses the
# standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
