#!/usr/bin/env bash
# Guards against requests that depend on the store: during an outage, with a slow
# store and with a store that accepts calls but never responds, teams within their
# rate must not be refused. The fleet must not exceed the store's call rate, in
# particular when the store returns.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10
make_plan 0.5
put "$STORE_CONTROL/reset-counts"
start_load 36 "$WORK/plan.json" "$WORK/report"
sleep 1
put "$STORE_CONTROL/outage?on=1"
sleep 15
for it in "${VMS[@]}"; do status "$it" | jq -c .store_reachable; done | sort | uniq -c > "$WORK/reach"
check_equal "daemons that detected the outage" "${#VMS[@]} false" "$(xargs < "$WORK/reach")"
put "$STORE_CONTROL/outage?on=0"
sleep 4
put "$STORE_CONTROL/delay?ms=700"
sleep 5
put "$STORE_CONTROL/delay?ms=0"
put "$STORE_CONTROL/blackhole?on=1"
sleep 5
put "$STORE_CONTROL/blackhole?on=0"
finish_load
tail -3 "$WORK/report.table"
check_load "$WORK/report" "refusals of teams within their rate below 0.5%" '.totals | .not_run < .sent * 0.005'
check "no request skipped by the load generator" '.totals.skipped == 0' "$WORK/report"
check_targets
check_store_calls
reaches_store() { status "$1" | jq -e .store_reachable; }
for it in "${VMS[@]}"; do
  await 5 "$it to reach the store" reaches_store "$it"
  await 5 "$it to serve" is_serving "$it"
done
jq '.teams[0].parameters.rate += 1' "$DEPLOY/config.json" > "$WORK/next.json"
check_equal "apply after the recovery" 0 "$(ctl apply "$WORK/next.json" > /dev/null; echo $?)"
check_in_force 6 2 "${VMS[@]}"
finish
