#!/bin/sh
# The first form of the case; as run.sh.
cd "$(dirname "$0")" || exit 2
exec ../kit/target/release/drain_deleted "${TROUBLE:-1}" record.txt
