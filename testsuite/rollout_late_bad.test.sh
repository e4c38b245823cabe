#!/usr/bin/env bash
# Guards against a version that starts to fail at a large share and keeps getting
# requests, when the store is down and the daemon that stopped the rollout is killed
# immediately afterwards.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10 "$DEPLOY/config-rollout.json" "$DEPLOY/targets-rollout.json"
make_tiles_plan 300
start_rollout 40
start_load 40 "$WORK/plan.json" "$WORK/report"
share_reached() { ctl --json rollout status | jq -e '[.. | .share_percent? // empty] | max >= 20'; }
await 25 "a share of 20%" share_reached
put "$STORE_CONTROL/outage?on=1"
set_v2_fault fail_ppm=500000
find_stopping_vm() {
  VM=$(events rollout_stopped | jq -sr 'min_by(.time_ms).vm // empty')
  [ -n "$VM" ]
}
await 20 "the stop" find_stopping_vm
kill -KILL "${PIDS[$VM]}"
check_stopped
put "$STORE_CONTROL/outage?on=0"
check_taken_back
finish_load
check "less than 0.5% of the requests were refused, lost or wrong" '.totals | .not_run + .unknown + .lost + .wrong < .sent * 0.005' \
  "$WORK/report"
check_targets
finish
