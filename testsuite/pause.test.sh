#!/usr/bin/env bash
# Guards against a daemon that was paused past its lease and uses what others
# have taken over: too many requests on a target, rates used twice, second
# executions, or responses that do not belong to their request.
. "$(dirname "$0")/fleet.sh" "$1"
VM_EXTRA='{allow_fault_injection: true}'
use_deployment marine
start_fleet 20
make_plan 0.2
VM=tema-a-1
NEXT=tema-a-2
# Weather sends 3 times its rate of 60 a second.
jq '.streams |= map(.rate *= (if .team == "weather" then 15 else 1 end))' "$WORK/plan.json" > "$WORK/main.json"
# Callers that go on sending to the paused VM: what has arrived by its end runs
# against leases that are over.
jq -n --arg key "$(key_of port-authority)" '{streams: [
  {team: "public-charts", service: "tiles", rate: 200, path: "/tiles/item", deadline_ms: 3000},
  {team: "port-authority", service: "permits", key: $key, rate: 50, path: "/permits/item", method: "POST",
   body_bytes: 300, at_most_once: true, repeat_ppm: 50000, deadline_ms: 3000}]}' > "$WORK/direct.json"
SECONDS_OF_LOAD=34

serves_requests() {
  [ "$(ask -o /dev/null -w '%{http_code}' "http://$(caller "$1")/svc/tiles/tiles/item")" = 200 ]
}
taken_over() { # TIMES
  [ "$(jq -c --arg vm "$VM" 'select(.name == "takeover_done" and .other == $vm)' "$WORK/$NEXT.log" | wc -l)" -ge "$1" ]
}
# pause_vm TIMES COMMAND...: the command runs after the end of the pause.
pause_vm() {
  local times=$1 resumed
  shift
  kill -STOP "${PIDS[$VM]}"
  sleep 5.5
  await 1 "takeover $times of the paused VM" taken_over "$times"
  kill -CONT "${PIDS[$VM]}"
  "$@"
  resumed=$(now_ms)
  await 5 "$VM to hold a lease and a rate" is_serving "$VM"
  await 5 "$VM to serve a request" serves_requests "$VM"
  check_at_most "pause $times: serves again, ms" 5000 $(($(now_ms) - resumed))
}
# The lease alone stops the VM while it cannot read the owner map.
heal_later() {
  sleep 2
  check_equal "a cut-off VM holds no lease after its pause" false "$(status "$VM" | jq .membership.lease_held)"
  cut "$VM"
}

start_load "$SECONDS_OF_LOAD" "$WORK/main.json" "$WORK/report"
"$BIN/standins/loadgen" --daemon "$(caller "$VM")" --no-lookup --plan "$WORK/direct.json" --seconds "$SECONDS_OF_LOAD" \
  --threads 100 --max-in-flight 200 --seed 7 --report "$WORK/direct" > /dev/null 2>&1 &
PIDS[direct]=$!
sleep 4
pause_vm 1 true
sleep 4
others=()
for it in "${VMS[@]}"; do [ "$it" = "$VM" ] || others+=("$it"); done
cut "$VM" "${others[@]}" store
pause_vm 2 heal_later
finish_load
wait "${PIDS[direct]}"
unset 'PIDS[direct]'

check_equal "pauses that the VM noticed" 2 "$(grep -c '"pause_noticed"' "$WORK/$VM.log")"
for it in report direct; do
  jq -c '{totals, reasons: [.streams[] | {team, service} + (.not_run_by_reason, .unknown_by_reason, .lost_by_reason
    | select(length > 0))]}' "$WORK/$it"
  check "$it: every request is accounted for" '.totals | .sent == .done + .not_run + .unknown + .lost' "$WORK/$it"
  check "$it: no wrong or cut response" '.totals | .wrong == 0 and .truncated == 0' "$WORK/$it"
  check "$it: no identity ran twice" '.totals.ran_twice == 0' "$WORK/$it"
done
jq '[.streams[] | select(.team == "weather")] | {sent: map(.sent) | add, done: map(.done) | add,
  open: (map(.unknown + .lost) | add)}' "$WORK/report" > "$WORK/weather"
jq -c . "$WORK/weather"
check "weather sent far over its rate" ".sent > $SECONDS_OF_LOAD * 60 * 2" "$WORK/weather"
# Requests run up to their deadline of 3 s after the end.
check_at_most "weather done: rate * seconds + burst" $((60 * (SECONDS_OF_LOAD + 3) + 60)) "$(jq .done "$WORK/weather")"
jq '[.streams[] | select(.team != "weather")] | {sent: map(.sent) | add, not_run: map(.not_run) | add}' "$WORK/report" > "$WORK/within"
jq -c . "$WORK/within"
check "refusals of teams within their rate below 0.5%" '.not_run < .sent * 0.005' "$WORK/within"
check_targets
finish
