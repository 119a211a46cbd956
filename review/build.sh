#!/bin/sh
# Builds the stand-ins and the programs of the cases. Needs no network: there are no dependencies.
set -e
cd "$(dirname "$0")/kit"
exec cargo build --release --locked --offline --target-dir target
