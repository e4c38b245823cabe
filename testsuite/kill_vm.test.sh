#!/usr/bin/env bash
# Guards against lost requests, second executions and wrongful refusals when a
# daemon is killed under load: its successor takes over, and repeats of at-most-once
# requests are answered from the successor's replica.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment cooperative
start_fleet 10
make_plan 0.2
start_load 20 "$WORK/plan.json" "$WORK/report"
sleep 5
kill -KILL "${PIDS[seoul-a-1]}"
killed=$(now_ms)
# A zone has 8 or 9 targets; after the takeover the successor owns those of both VMs.
taken_over() {
  status seoul-a-2 | jq -e '.membership.targets | length >= 8' > /dev/null
}
await 10 "the takeover" taken_over
check_at_most "takeover after the kill, ms" 4000 $(($(now_ms) - killed))
finish_load
cat "$WORK/report.table" | tail -3
check "every request is accounted for" \
  '.totals | .sent == .done + .not_run + .unknown + .lost' "$WORK/report"
check "refusals of teams within their rate below 0.5%" \
  '.totals | .not_run < .sent * 0.005' "$WORK/report"
check "no wrong or truncated response" '.totals | .wrong == 0 and .truncated == 0' "$WORK/report"
check_targets
finish
