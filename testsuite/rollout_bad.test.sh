#!/usr/bin/env bash
# Guards against a failing or slow version that gets more than its cap or keeps
# getting requests, and against a rollout that is stopped in a store outage and never
# recorded as taken back.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10 "$DEPLOY/config-rollout.json" "$DEPLOY/targets-rollout.json"
make_tiles_plan 300

# A failing version during a store outage.
start_rollout 40 tiles-failing
start_load 46 "$WORK/plan.json" "$WORK/report"
await 5 "the rollout to run" rollout_is running
put "$STORE_CONTROL/outage?on=1"
set_v2_fault fail_ppm=500000
await 20 "the stop" is_stopped
check_stopped
put "$STORE_CONTROL/outage?on=0"
check_taken_back

# A slow version: 3 times the usual service time.
set_v2_fault "fail_ppm=0&slow_ms=20"
start_rollout 40 tiles-slow
await 30 "the stop" is_stopped
check_stopped
check_taken_back
finish_load
check "no request was refused or lost" \
  '.totals | .sent > 10000 and .not_run + .unknown + .lost + .wrong == 0' "$WORK/report"
check_targets
finish
