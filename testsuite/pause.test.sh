#!/usr/bin/env bash
# Guards against a daemon that resumes after its lease expired and uses resources
# that its successor has taken over: targets over their slots, rates used twice,
# second executions, or responses that belong to another request.
. "$(dirname "$0")/fleet.sh" "$1"
VM_EXTRA='{allow_fault_injection: true}'
use_deployment marine
start_fleet 20
make_plan 0.2
VM=tema-a-1
SUCCESSOR=tema-a-2
# The team weather sends 3 times its rate of 60 requests per second.
jq '.streams |= map(.rate *= (if .team == "weather" then 15 else 1 end))' "$WORK/plan.json" > "$WORK/main.json"
# Callers that keep sending to the paused VM: requests that arrived during the pause
# are processed when the leases have expired.
jq -n --arg key "$(key_of port-authority)" '{streams: [
  {team: "public-charts", service: "tiles", rate: 200, path: "/tiles/item", deadline_ms: 3000},
  {team: "port-authority", service: "permits", key: $key, rate: 50, path: "/permits/item", method: "POST",
   body_bytes: 300, at_most_once: true, repeat_ppm: 50000, deadline_ms: 3000}]}' > "$WORK/direct.json"
LOAD_SECONDS=34

serves_requests() {
  [ "$(fetch -o /dev/null -w '%{http_code}' "http://$(caller_address "$1")/svc/tiles/tiles/item")" = 200 ]
}
taken_over() { # NUMBER
  [ "$(jq -c --arg vm "$VM" 'select(.name == "takeover_done" and .other == $vm)' "$WORK/$SUCCESSOR.log" | wc -l)" -ge "$1" ]
}
# pause_vm NUMBER COMMAND...: pauses the VM for 5.5 s and runs the command when it
# resumes; NUMBER counts the pauses.
pause_vm() {
  local number=$1 resumed
  shift
  kill -STOP "${PIDS[$VM]}"
  sleep 5.5
  await 1 "takeover $number of the paused VM" taken_over "$number"
  kill -CONT "${PIDS[$VM]}"
  "$@"
  resumed=$(now_ms)
  await 5 "$VM to hold a lease and a rate" is_serving "$VM"
  await 5 "$VM to serve a request" serves_requests "$VM"
  check_at_most "pause $number: serves again, ms" 5000 $(($(now_ms) - resumed))
}
# While the VM cannot read the owner map, only its expired lease stops it from serving.
check_no_lease_and_reconnect() {
  sleep 2
  check_equal "an isolated VM holds no lease after its pause" false "$(status "$VM" | jq .membership.lease_held)"
  set_link_faults "$VM"
}

start_load "$LOAD_SECONDS" "$WORK/main.json" "$WORK/report"
"$BIN/standins/loadgen" --daemon "$(caller_address "$VM")" --no-lookup --plan "$WORK/direct.json" --seconds "$LOAD_SECONDS" \
  --threads 100 --max-in-flight 200 --seed 7 --report "$WORK/direct" > /dev/null 2>&1 &
PIDS[direct]=$!
sleep 4
pause_vm 1 true
sleep 4
others=()
for it in "${VMS[@]}"; do [ "$it" = "$VM" ] || others+=("$it"); done
set_link_faults "$VM" "${others[@]}" store
pause_vm 2 check_no_lease_and_reconnect
finish_load
wait "${PIDS[direct]}"
unset 'PIDS[direct]'

check_equal "pauses that the VM noticed" 2 "$(grep -c '"pause_noticed"' "$WORK/$VM.log")"
for it in report direct; do
  jq -c '{totals, reasons: [.streams[] | {team, service} + (.not_run_by_reason, .unknown_by_reason, .lost_by_reason
    | select(length > 0))]}' "$WORK/$it"
  check "$it: every request is accounted for" '.totals | .sent == .done + .not_run + .unknown + .lost' "$WORK/$it"
  check "$it: no wrong or truncated response" '.totals | .wrong == 0 and .truncated == 0' "$WORK/$it"
  check "$it: no identity ran twice" '.totals.ran_twice == 0' "$WORK/$it"
done
jq '[.streams[] | select(.team == "weather")] | {sent: map(.sent) | add, done: map(.done) | add,
  open: (map(.unknown + .lost) | add)}' "$WORK/report" > "$WORK/weather"
jq -c . "$WORK/weather"
check "weather sent more than twice its rate" ".sent > $LOAD_SECONDS * 60 * 2" "$WORK/weather"
# Requests may be executed until their deadline, 3 s after the end of the load.
check_at_most "weather done: rate * seconds + burst" $((60 * (LOAD_SECONDS + 3) + 60)) "$(jq .done "$WORK/weather")"
jq '[.streams[] | select(.team != "weather")] | {sent: map(.sent) | add, not_run: map(.not_run) | add}' "$WORK/report" > "$WORK/within"
jq -c . "$WORK/within"
check "refusals of teams within their rate below 0.5%" '.not_run < .sent * 0.005' "$WORK/within"
check_targets
finish
