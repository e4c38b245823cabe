#!/usr/bin/env bash
# Usage: run-case.sh CASE FOLDER. Runs a case of review-fleet in a temporary folder and puts its record into FOLDER.
set -uo pipefail
case_name=$1
folder=$2
cd "$(dirname "$0")/../.." || exit 2
program=target/src/savoryvm/savoryvm
runner=target/review-2/review-fleet
if [ ! -x "$program" ] || [ ! -x "$runner" ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first"
  exit 2
fi
work=$(mktemp -d) || exit 2
runner_id=
clean() {
  # The runner ends the processes that it started when it gets SIGTERM.
  [ -n "$runner_id" ] && kill -TERM "$runner_id" 2>/dev/null && wait "$runner_id"
  rm -rf "$work"
}
trap clean EXIT
trap 'exit 2' INT TERM
"$runner" "$case_name" "$program" "$work" &
runner_id=$!
wait "$runner_id"
result=$?
runner_id=
cp "$work/record.txt" "$folder/record.txt" || exit 2
case $result in
0 | 1 | 2) exit "$result" ;;
*) exit 2 ;;
esac
