#!/usr/bin/env bash
# Guards against requests to a version that no rollout covers: before its rollout
# begins, and after the rollout was taken back, its entry was removed from the
# configuration and daemons were restarted.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10 "$DEPLOY/config-rollout.json" "$DEPLOY/targets-rollout.json"
make_tiles_plan 300
new_requests() { fetch "$TARGET_CONTROL/counts" | jq '.totals.versions.v2.requests // 0'; }

start_load 30 "$WORK/plan.json" "$WORK/report"
sleep 3
check_equal "requests to v2 before its rollout" 0 "$(new_requests)"
start_rollout 600
v2_is_used() { [ "$(new_requests)" -gt 10 ]; }
await 8 "requests to v2" v2_is_used
ctl rollout take-back tiles-v2
is_stopped_everywhere() {
  for it in "${VMS[@]}"; do status "$it" | jq -e '.rollouts[0].stopped' || return 1; done
}
await 6 "the rollout to be stopped on all daemons" is_stopped_everywhere
sleep 1
taken_back=$(new_requests)
ctl apply "$DEPLOY/config-rollout.json"
configured=$(fetch "$STORE/v1/kv/savory/v1/config?raw" | jq .revision)
check_in_force 6 "$configured" "${VMS[@]}"
sleep 2
check_equal "requests to v2 after the rollout's entry was removed" 0 $(($(new_requests) - taken_back))
for it in "${VMS[0]}" "${VMS[3]}"; do
  kill -KILL "${PIDS[$it]}"
  start_vm "$it"
  await 20 "$it to serve" is_serving "$it"
done
sleep 4
check_equal "requests to v2 after restarts" 0 $(($(new_requests) - taken_back))
finish_load
check "less than 0.5% of the requests were refused, lost or wrong" \
  '.totals | .sent > 6000 and .not_run + .unknown + .lost + .wrong < .sent * 0.005' "$WORK/report"
check_targets
finish
