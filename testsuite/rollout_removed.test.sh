#!/usr/bin/env bash
# Guards against requests to a version without a rollout of it: before its
# rollout begins, and after it was taken back, when the rollout's entry has left
# the configuration and daemons restart.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10 "$DEPLOY/config-rollout.json" "$DEPLOY/targets-rollout.json"
tiles_plan 300
new_requests() { ask "$TARGET_CONTROL/counts" | jq '.totals.versions.v2.requests // 0'; }

start_load 30 "$WORK/plan.json" "$WORK/report"
sleep 3
check_equal "requests to v2 before its rollout" 0 "$(new_requests)"
start_rollout 600
used() { [ "$(new_requests)" -gt 10 ]; }
await 8 "requests to v2" used
ctl rollout take-back tiles-v2
is_stopped_everywhere() {
  for it in "${VMS[@]}"; do status "$it" | jq -e '.rollouts[0].stopped' || return 1; done
}
await 6 "the taking back" is_stopped_everywhere
sleep 1
taken_back=$(new_requests)
ctl apply "$DEPLOY/config-rollout.json"
configured=$(ask "$STORE/v1/kv/savory/v1/config?raw" | jq .revision)
check_in_force 6 "$configured" "${VMS[@]}"
sleep 2
check_equal "requests to v2 after its entry was removed" 0 $(($(new_requests) - taken_back))
for it in "${VMS[0]}" "${VMS[3]}"; do
  kill -KILL "${PIDS[$it]}"
  start_vm "$it"
  await 20 "$it to serve" is_serving "$it"
done
sleep 4
check_equal "requests to v2 after restarts" 0 $(($(new_requests) - taken_back))
finish_load
check "few requests were refused or lost" \
  '.totals | .sent > 6000 and .not_run + .unknown + .lost + .wrong < .sent * 0.005' "$WORK/report"
check_targets
finish
