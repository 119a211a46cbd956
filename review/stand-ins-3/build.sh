#!/usr/bin/env bash
# Builds the stand-ins of the cases that were added last.
set -euo pipefail
cd "$(dirname "$0")/../.."
cargo build --release --locked --offline --manifest-path review/stand-ins-3/Cargo.toml --target-dir target/review-3
