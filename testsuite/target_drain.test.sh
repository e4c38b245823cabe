#!/usr/bin/env bash
# Guards against new requests to draining targets, against requests that are
# truncated or refused when a target drains, and against targets over their slots
# when load reports are false or a target restarts cold.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10
make_plan 0.2
start_load 20 "$WORK/plan.json" "$WORK/report"
sleep 4
services=(tiles permits uploads declarations)
set_target() { for it in "${services[@]}"; do put "$TARGET_CONTROL/set?target=$it-$1&$2"; done; }
set_target 04 load_lie=idle
set_target 05 load_lie=busy
set_target 06 cold_ms=4000
# Draining reported by load and health, by health only, and set in the configuration.
set_target 01 drain=1
set_target 02 health_lie=draining
for it in "${services[@]}"; do ctl drain target "$it-03" > "$WORK/drain.log" 2>&1 || cat "$WORK/drain.log"; done
drained=$(now_ms)
finish_load
tail -1 "$WORK/report.table"
check_load "$WORK/report" "nothing refused or with an unknown outcome" '.totals | .not_run == 0 and .unknown == 0'
check_targets
jq --argjson at "$drained" '[.targets | to_entries[] | select(.key | test("-0[1-6]$"))
  | {key, value: ([.value.versions[].by_second | to_entries[]
      | {at: (.key | tonumber * 1000), n: .value}] as $all
    | {before: ([$all[] | select(.at + 1000 <= $at).n] | add // 0),
       # Counts are per whole second; a second that began less than 3 s after the
       # drain may contain requests that are allowed.
       after: ([$all[] | select(.at >= $at + 3000).n] | add // 0)})}] | from_entries' \
  "$WORK/targets.json" > "$WORK/drained"
jq -c 'map_values([.before, .after])' "$WORK/drained"
# Summed over the services by the target's number, since not every target of each
# service gets requests.
jq '[to_entries[] | {number: .key[-2:], before: .value.before, after: .value.after}] | group_by(.number)
  | map({key: .[0].number, value: {before: (map(.before) | add), after: (map(.after) | add)}}) | from_entries' \
  "$WORK/drained" > "$WORK/by_number"
check "all targets were in use before the drain" 'length == 6 and all(.[]; .before > 0)' "$WORK/by_number"
for it in "01:reported by load and health" "02:reported by health only" "03:set in the configuration"; do
  check "no request later than 3 s after the drain to targets with a drain ${it#*:}" \
    ".[\"${it%:*}\"].after == 0" "$WORK/by_number"
done
check "targets with false load reports or a cold start stay in use" \
  '[.["04", "05", "06"].after] | length == 3 and all(. > 0)' "$WORK/by_number"
finish
