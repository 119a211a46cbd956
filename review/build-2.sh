#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 9; they need no other package and no network.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline
../stand-ins-3/build.sh
