#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
