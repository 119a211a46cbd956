#!/usr/bin/env bash
# Builds the stand-ins of the cases 12 to 14; they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-4"
cargo build --release --offline --locked
