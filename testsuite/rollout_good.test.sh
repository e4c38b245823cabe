#!/usr/bin/env bash
# Guards against the rollout of a good version that misses its deadline, and against
# a new version that gets more than the share in force.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10 "$DEPLOY/config-rollout.json" "$DEPLOY/targets-rollout.json"
make_tiles_plan 300
start_rollout 40
start_load 44 "$WORK/plan.json" "$WORK/report"
await 42 "the end of the rollout" rollout_is done
check_at_most "s after the deadline when it was done" 0 $(($(date +%s) - DEADLINE))
echo "done after $(($(now_ms) - STARTED_MS)) ms"
finish_load
check_share
check_equal "rollout state" done "$(rollout_state)"
check_equal "number of rollout_done events" 1 "$(events rollout_done | wc -l)"
check_equal "number of rollout_stopped events" 0 "$(events rollout_stopped | wc -l)"
check "no request was refused, lost or wrong" \
  '.totals | .sent > 10000 and .not_run + .unknown + .lost + .wrong == 0' "$WORK/report"
check_targets
finish
