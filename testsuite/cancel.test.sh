#!/usr/bin/env bash
# Guards against targets over their slots when callers disconnect and the target
# keeps executing, and against slots that stay occupied when the target stops at once.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10

# send_and_disconnect SECONDS TIMEOUT: callers on every VM that close the connection
# when there is no response after TIMEOUT seconds.
send_and_disconnect() {
  for it in "${VMS[@]}"; do
    timeout "$1" curl -s -Z --parallel-max 6 -m "$2" -o /dev/null -H "X-Deadline-Ms: 2000" \
      "http://$(caller_address "$it")/svc/tiles/left?n=left-$it-[1-10000]" 2> /dev/null &
    PIDS[disconnect-$it]=$!
  done
  wait $(for it in "${VMS[@]}"; do echo "${PIDS[disconnect-$it]}"; done)
}
print_counts() { fetch "$TARGET_CONTROL/counts" | jq -c '.totals | {requests, cancelled, over_slots, highest_concurrency}'; }

# cancel_lag_ms: -1 = the target executes the request to its end after a disconnect,
# 300 = it stops 300 ms after it.
for lag in -1 300; do
  put "$TARGET_CONTROL/set?service=tiles&slow_ms=700&cancel_lag_ms=$lag"
  send_and_disconnect 6 0.2
  sleep 2
  print_counts
done
fetch "$TARGET_CONTROL/counts" > "$WORK/late.json"
check "callers disconnected before the response" '.totals.cancelled > 100' "$WORK/late.json"
check "no target over its slots when it notices disconnects late" '.totals.over_slots == 0' "$WORK/late.json"

# Targets that stop at once: requests of disconnected callers occupy no slot after
# the disconnect.
put "$TARGET_CONTROL/set?service=tiles&slow_ms=100&cancel_lag_ms=0"
put "$TARGET_CONTROL/reset-counts"
make_plan 0.2 tiles
start_load 10 "$WORK/plan.json" "$WORK/report"
send_and_disconnect 9 0.08
finish_load
print_counts
tail -1 "$WORK/report.table"
check_load "$WORK/report" "refusals below 0.5%" '.totals | .not_run < .sent * 0.005'
check_targets
check "callers disconnected before the response" '.totals.cancelled > 100' "$WORK/targets.json"
finish
