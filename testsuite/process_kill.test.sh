#!/usr/bin/env bash
# Guards against requests without a response when the process of the store, or that
# of all targets, is killed under load and restarted.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment cooperative
start_fleet 15
make_plan 0.25
start_load 24 "$WORK/plan.json" "$WORK/report"
sleep 4
kill -KILL "${PIDS[store]}"
sleep 4
kill -KILL "${PIDS[targets]}"
sleep 2
start_targets 15
sleep 4
# The restarted store is empty; the daemons keep their documents and write them back.
start_store
finish_load
check_load "$WORK/report" "most requests are done" '.totals | .sent > 10000 and .done > .sent * 0.8'
tail -1 "$WORK/report.table"
jq -c '[.streams[] | .not_run_by_reason, .unknown_by_reason | to_entries[]] | group_by(.key) | map({(.[0].key): (map(.value) | add)}) | add' "$WORK/report"
check "no identity ran twice" '[.streams[].ran_twice] | add == 0' "$WORK/report"
check_targets

# Every request is served after the restarts.
start_load 5 "$WORK/plan.json" "$WORK/again"
finish_load
check_load "$WORK/again" "all requests are done after the restarts" '.totals | .sent > 1000 and .done == .sent'
check_targets
finish
