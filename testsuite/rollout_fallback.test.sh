#!/usr/bin/env bash
# Guards against requests that are refused, or wait, because the new version of a
# rollout has no free slot or no usable target while the old one has free slots, and
# against requests for the old version that are sent to the new one.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
# One target of v2 with one slot, too few for the version's share of the traffic.
jq '(.services[] | select(.name == "tiles").targets) |=
    ([.[] | select(.version == "v1" or .name == "tiles-13")] |
     map(if .version == "v2" then .slots = 1 else . end))' \
  "$DEPLOY/config-rollout.json" > "$WORK/config.json"
jq 'map(if .version == "v2" then .slots = 1 else . end)' \
  "$DEPLOY/targets-rollout.json" > "$WORK/targets-list.json"
start_fleet 20 "$WORK/config.json" "$WORK/targets-list.json"
make_tiles_plan 300
cp "$DEPLOY/rollout.json" "$WORK/rollout-base.json"
# start_rollout reads this file.
jq '.cap_percent = 50 | .steps_percent = [50, 100]' "$WORK/rollout-base.json" > "$DEPLOY/rollout.json"
new_requests() { fetch "$TARGET_CONTROL/counts" | jq '.totals.versions.v2.requests // 0'; }

# Half of 300 requests per second are assigned to v2, which serves 50.
start_rollout 600
await 5 "the rollout to run" rollout_is running
start_load 10 "$WORK/plan.json" "$WORK/full"
finish_load
check "v2 full: no request was refused, lost or wrong" \
  '.totals | .sent > 2500 and .not_run + .unknown + .lost + .wrong == 0' "$WORK/full"
check "v2 full: it was used" '[.streams[].versions.v2 // 0] | add > 200' "$WORK/full"
check "v2 full: no request waited for it, 99% within 300 ms" \
  '[.streams[].latency_us.p99] | max < 300000' "$WORK/full"

# The only target of v2 sheds all load.
set_v2_fault shed=1
start_load 8 "$WORK/plan.json" "$WORK/gone"
finish_load
jq -c '[.streams[] | .not_run_by_reason, .unknown_by_reason]' "$WORK/gone"
check "v2 unavailable: no request was refused, lost or wrong" \
  '.totals | .sent > 2000 and .not_run + .unknown + .lost + .wrong == 0' "$WORK/gone"

# v1 unavailable: v2 must not get more than its share.
set_v2_fault shed=0
put "$TARGET_CONTROL/set?service=tiles&with_version=v1&shed=1"
sleep 2
before=$(new_requests)
start_load 6 "$WORK/plan.json" "$WORK/old"
finish_load
sent=$(jq .totals.sent "$WORK/old")
check_at_most "requests to v2 while v1 has no slot" $((sent / 2 + ${#VMS[@]})) $(($(new_requests) - before))
check "no request is unknown, lost or wrong while v1 has no slot" '.totals | .unknown + .lost + .wrong == 0' "$WORK/old"
check_targets
finish
