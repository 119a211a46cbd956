#!/usr/bin/env bash
# Plays one case of 12 to 14: play-3.sh SCENARIO RECORD; the run.sh of each case calls it. RECORD is the path of
# the case's record.txt, which the program writes anew; without a new one the case could not run.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -m
folder="$(cd "$(dirname "$2")" && pwd)" || exit 2
record="$folder/$(basename "$2")"
cd "$(dirname "$0")/.." || exit 2
program=review/stand-ins-4/target/release/review-stand-ins-4
if ! [ -x "$program" ] || ! [ -x target/release/pimentorockd ]; then
  echo "not built: run the build of the deploy file and review/build-3.sh"
  exit 2
fi
rm -f "$record"
# All processes of the case are of one process group, which is ended with it.
"$program" "$1" "$folder" &
case=$!
(sleep 117; kill -KILL -- "-$case") > /dev/null 2>&1 &
limit=$!
trap 'kill -KILL -- "-$case" "-$limit" 2> /dev/null; exit 2' HUP INT TERM
wait "$case"
status=$?
kill -KILL -- "-$limit" 2> /dev/null
kill -KILL -- "-$case" 2> /dev/null
wait 2> /dev/null
if ! [ -s "$record" ]; then
  echo "no record was written"
  exit 2
fi
if [ "$status" -le 2 ]; then exit "$status"; fi
exit 2
