#!/usr/bin/env bash
# Guards against a zone, cut off from the store and the other zones, that stops
# serving, uses rates that it does not own, or executes requests a second time.
. "$(dirname "$0")/fleet.sh" "$1"
VM_EXTRA='{allow_fault_injection: true}'
use_deployment marine
start_fleet 10
# Each of the ten VMs gets a tenth of the traffic; weather sends 3 times its rate.
make_plan 0.2
jq '.streams |= map(.rate *= (if .team == "weather" then 15 else 1 end) / 10)' "$WORK/plan.json" > "$WORK/part.json"

ownership() { for it in "${VMS[@]}"; do status "$it" | jq -c '[.vm, .membership.rate_ppm, .membership.targets, .membership.partitions]'; done; }
start_loads() { # SECONDS PLAN NAME
  local began
  began=$(now_ms)
  for it in "${VMS[@]}"; do
    "$BIN/standins/loadgen" --daemon "$(caller_address "$it")" --no-lookup --plan "$2" --seconds "$1" --threads 30 \
      --max-in-flight 60 --seed 7 --run-id "$3-$it" --report "$WORK/$3.$it" > /dev/null 2>&1 &
    PIDS[load-$it]=$!
  done
  START_SPREAD_MS=$(($(now_ms) - began))
}
finish_loads() { for it in "${VMS[@]}"; do wait "${PIDS[load-$it]}"; unset "PIDS[load-$it]"; done; }
merge_reports() { jq -s '{streams: [.[].streams[]], totals: (map(.totals) | {sent: map(.sent) | add, done: map(.done) | add,
  not_run: map(.not_run) | add, unknown: map(.unknown) | add, lost: map(.lost) | add, wrong: map(.wrong) | add,
  truncated: map(.truncated) | add})}' "$@"; }

ownership > "$WORK/before"
start_loads 24 "$WORK/part.json" cut
sleep 4
isolate_zone takoradi-a
for _ in $(seq 12); do
  sleep 1
  for it in takoradi-a-1 takoradi-a-2; do status "$it" | jq -c '[.vm, .membership.lease_held, .store_reachable]'; done
done > "$WORK/leases"
clear_link_faults
finish_loads
check_equal "readings with a lease in the zone" 24 "$(jq -c 'select(.[1])' "$WORK/leases" | wc -l)"
check_equal "VMs of the zone without contact to the store" 2 "$(tail -2 "$WORK/leases" | grep -c 'false\]')"

merge_reports "$WORK"/cut.* > "$WORK/report"
jq -c .totals "$WORK/report"
check_load "$WORK/report"
jq '[.streams[] | select(.team == "weather")] | {sent: map(.sent) | add, done: map(.done) | add, unknown: map(.unknown) | add}' \
  "$WORK/report" > "$WORK/weather"
jq -c . "$WORK/weather"
check "weather sent more than 2.5 times its rate" '.sent > 24 * 60 * 2.5' "$WORK/weather"
check_at_most "weather done: rate * seconds + burst" $((60 * (24000 + START_SPREAD_MS) / 1000 + 60)) "$(jq '.done + .unknown' "$WORK/weather")"
check "no identity ran twice" '[.streams[].ran_twice] | add == 0' "$WORK/report"
merge_reports "$WORK"/cut.takoradi-a-? | jq '[.streams[] | select(.team != "weather" and (.service == "tiles" or .service == "uploads"))]
  | {sent: map(.sent) | add, done: map(.done) | add, reasons: map(.not_run_by_reason, .unknown_by_reason)}' > "$WORK/zone"
# The reasons distinguish refusals by rate from refusals for lack of targets.
jq -c '[.sent, .done, (.reasons | map(select(length > 0)))]' "$WORK/zone"
check "the zone kept serving reads and uploads" '.sent > 500 and .done > .sent * 0.995' "$WORK/zone"

# Ownership is the same as before when the zone is connected again.
check_equal "ownership after the isolation" "$(cat "$WORK/before")" "$(ownership)"
for it in "${VMS[@]}"; do await 5 "$it to serve" is_serving "$it"; done
jq '.streams |= map(.rate /= 10)' "$WORK/plan.json" > "$WORK/part.json"
start_loads 5 "$WORK/part.json" healed
finish_loads
merge_reports "$WORK"/healed.* > "$WORK/report"
jq -c .totals "$WORK/report"
check_load "$WORK/report" "all requests are done after the isolation" '.totals | .sent > 500 and .done == .sent'
check_targets
finish
