#!/usr/bin/env bash
# Exit status 1: the rule broke; 0: it held; 2: could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec target/review-3/release/stand-ins-3 refused-runs review/part-one-refused-runs
