#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
