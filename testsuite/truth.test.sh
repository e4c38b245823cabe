#!/usr/bin/env bash
# Guards against "not run" responses to requests that a target executed, second
# executions, responses that are truncated or belong to another request, and keys
# that give access to services of other teams, while targets delay, truncate, mix up
# or drop responses, shed load or stop responding.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10
make_plan 0.2
other_team_key=$(key_of survey)
# Callers with the key of a team that may not use permits and declarations.
jq --arg key "$other_team_key" '.streams += [("permits", "declarations") as $service |
  {team: "survey", service: $service, key: $key, rate: 10, client: "10.1.1.1", method: "POST",
   path: "/\($service)/stolen", deadline_ms: 3000, body_bytes: 300, at_most_once: true}]' \
  "$WORK/plan.json" > "$WORK/truth.json"

requests_of() { fetch "$TARGET_CONTROL/counts" | jq "[.targets | to_entries[] | select(.key | startswith(\"$1\")).value.requests] | add"; }
before=$(requests_of permits)
for it in "${VMS[@]}"; do
  fetch -X POST -d x -H "X-Tenant-Key: $other_team_key" -H "Idempotency-Key: stolen-$it" -w ' %{http_code}\n' \
    "http://$(caller_address "$it")/svc/permits/item?n=stolen-$it"
done | jq -r 'if type == "object" then .reason else . end' | sort | uniq -c | xargs > "$WORK/other_team"
check_equal "responses to a key of another team" "${#VMS[@]} 403 ${#VMS[@]} wrong-team" "$(cat "$WORK/other_team")"
check_equal "requests with it that reached a target" "$before" "$(requests_of permits)"

# set_fault NUMBER SETTINGS: sets the faults of one target of each service.
set_fault() { for it in tiles permits uploads declarations; do put "$TARGET_CONTROL/set?target=$it-$1&$2"; done; }
set_fault 01 late_ms=4000
set_fault 02 truncate_ppm=300000
set_fault 03 cross_ppm=300000
set_fault 05 close_ppm=300000
start_load 24 "$WORK/truth.json" "$WORK/report"
for second in $(seq 1 22); do
  case $second in
  [2-6]) set_fault 04 shed=$((second % 2)) ;;
  8) for it in 04 06 07 08 09 10 11 12; do set_fault "$it" "close_ppm=200000&cross_ppm=200000"; done ;;
  12) put "$TARGET_CONTROL/set?shed=1" ;;
  15) put "$TARGET_CONTROL/set?shed=0" ;;
  esac
  [ $((second % 3)) -eq 0 ] && set_fault 06 silent=1
  sleep 1
done
finish_load
tail -3 "$WORK/report.table"
check_load "$WORK/report"
check_targets
fetch "$TARGET_CONTROL/executions" > "$WORK/executions.json"
jq -n --slurpfile r "$WORK/report" --slurpfile e "$WORK/executions.json" '
  (reduce $e[0][] as $it ({}; .[$it.key] += $it.count)) as $runs |
  [$r[0].streams[] | .at_most_once as $once | .path as $path | .identities
   | group_by(.key)[] | {key: .[0].key, once: $once, path: $path, runs: ($runs[.[0].key] // 0),
     outcomes: (map(.outcome) | unique), reasons: (map(.reason) | unique)}] as $all |
  ($all | map(select(.outcomes == ["not_run"]))) as $refused |
  {identities: ($all | length), refused: ($refused | length),
   reasons: ($refused | group_by(.reasons) | map({(.[0].reasons | join(",")): length}) | add),
   unknown: ($all | map(select(.outcomes != ["done"] and .outcomes != ["not_run"])) | length),
   refused_but_executed: ($refused | map(select(.runs > 0))), executed_twice: ($all | map(select(.once and .runs > 1))),
   unexecuted: ($all | map(select((.outcomes | contains(["done"])) and .runs == 0))),
   other_team_key: ($all | map(select(.path | endswith("/stolen"))) | map(.reasons) | unique)}' > "$WORK/truth"
jq -c 'map_values(if type == "array" then .[:3] else . end)' "$WORK/truth"
jq -c .totals "$WORK/targets.json" | jq -c 'del(.versions)'
check "the run had refusals and unknown outcomes" '.refused > 100 and .unknown > 20' "$WORK/truth"
check "refusals of requests that reached a target" '.reasons["target-shed"] > 0' "$WORK/truth"
check "each fault happened" \
  '.totals | .truncated > 0 and .crossed > 0 and .closed > 0 and .silent > 0 and .shed > 0' "$WORK/targets.json"
check "no request reported as not run was executed" '.refused_but_executed == []' "$WORK/truth"
check "no identity was executed twice" '.executed_twice == []' "$WORK/truth"
check "every request reported as done was executed" '.unexecuted == []' "$WORK/truth"
check "each request with a key of another team is refused" '.other_team_key == [["wrong-team"]]' "$WORK/truth"
finish
