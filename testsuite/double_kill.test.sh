#!/usr/bin/env bash
# Guards against second executions and false answers when the home of
# at-most-once requests and its successor die within a second, and when a VM
# dies together with the store.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment cooperative
start_fleet 10
make_plan 0.2
HOME_VM=seoul-a-1
NEXT=seoul-a-2
# More repeats than usual, so that many meet a dead home.
jq '.streams |= map(if .at_most_once then .repeat_ppm = 200000 else . end)' "$WORK/plan.json" > "$WORK/load.json"
KEY=$(jq -r '[.streams[] | select(.at_most_once and .service == "booking")][0].key' "$WORK/plan.json")
PATH_OF=$(jq -r '[.streams[] | select(.at_most_once and .service == "booking")][0].path' "$WORK/plan.json")
REST=()
for it in "${VMS[@]}"; do [ "$it" = "$HOME_VM" ] || [ "$it" = "$NEXT" ] || REST+=("$it"); done

# book VM ATTEMPT IDENTITY: outcome, reason and what the target said.
book() {
  local out=$WORK/book.$BASHPID
  curl -s -m 6 -X POST -d 'body of a booking' -D "$out.head" -o "$out.body" -H "X-Tenant-Key: $KEY" \
    -H "Idempotency-Key: $3" -H "X-Attempt: $2" -H "X-Deadline-Ms: 3000" "http://$(caller "$1")/svc/booking$PATH_OF"
  tr -d '\r' < "$out.head" | awk -F': ' 'tolower($1) == "x-outcome" {o = $2} tolower($1) == "x-reason" {r = $2}
    END {printf "%s %s ", o, r}'
  jq -c '{executed, path, body_checksum}' "$out.body" 2> /dev/null || echo
}
# book_all FILE ATTEMPT PREFIX FIRST LAST VM: one line for each identity, all
# asked at once.
book_all() {
  local jobs=() it
  for it in $(seq "$4" "$5"); do
    (echo "$it $(book "$6" "$2" "$3$it")" > "$WORK/$1.$it") &
    jobs+=($!)
  done
  wait "${jobs[@]}"
  for it in $(seq "$4" "$5"); do cat "$WORK/$1.$it"; done > "$WORK/$1"
}
# prefix VM: what lookups hand out for identities with their home in the zone.
prefix() { echo "seoul-a@$(revision "$1" zones/seoul-a):"; }
own_zone() { for it in "$@"; do status "$it"; done | jq -sc 'map(.membership) | [(map(.targets) | add | length), (map(.partitions) | add | length)]'; }
whole() { [ "$(own_zone "${MEMBERS[@]}")" = "$WHOLE" ]; }
report_of() { # REPORT
  jq -c '{totals, reasons: ([.streams[] | .not_run_by_reason, .unknown_by_reason, .lost_by_reason | to_entries[]]
    | group_by(.key) | map({(.[0].key): (map(.value) | add)}) | add)}' "$1"
  check "${1##*/}: every request is accounted for" '.totals | .sent == .done + .not_run + .unknown + .lost' "$1"
  check "${1##*/}: no wrong or cut response" '.totals | .wrong == 0 and .truncated == 0' "$1"
  check "${1##*/}: no identity ran twice" '.totals.ran_twice == 0' "$1"
  # Repeats of one identity: a "not run" after a "done" would be a lie.
  jq '[.streams[].identities[]] | group_by(.key) | map(select(length > 1)) | {pairs: length,
    lies: map(select(any(.[]; .outcome == "done" and (.repeat | not)) and any(.[]; .repeat and .outcome == "not_run")))}' \
    "$1" > "$1.pairs"
  jq -c '{pairs, lies: (.lies | map(map({outcome, reason, repeat})) | unique)}' "$1.pairs"
  check "${1##*/}: repeats were sent" '.pairs > 50' "$1.pairs"
}
mapfile -t MEMBERS < <(for it in "${VMS[@]}"; do [ "$(vm_port "$it" zone)" = seoul-a ] && echo "$it"; done)
WHOLE=$(own_zone "${MEMBERS[@]}")

start_load 18 "$WORK/load.json" "$WORK/kill"
sleep 3
OLD=$(prefix "$NEXT")
book_all first 1 "$OLD" 1 40 "${REST[-1]}"
check_equal "first bookings done" 40 "$(grep -c ' done ' "$WORK/first")"
kill -KILL "${PIDS[$HOME_VM]}"
sleep 0.5
kill -KILL "${PIDS[$NEXT]}"
wait "${PIDS[$HOME_VM]}" "${PIDS[$NEXT]}" 2> /dev/null
killed=$(now_ms)
book_all during 2 "$OLD" 1 40 "${REST[-1]}"
sleep 4
serves_all() { for it in "${REST[@]}"; do is_serving "$it" || return 1; done; }
await 5 "the remaining VMs to serve" serves_all
echo "the remaining VMs serve, checked $(($(now_ms) - killed)) ms after the second kill"
start_vm "$HOME_VM"
start_vm "$NEXT"
await 15 "the zone to be owned again" whole
for it in "${MEMBERS[@]}"; do await 5 "$it to serve" is_serving "$it"; done
book_all after 2 "$OLD" 1 40 "${REST[-1]}"
book_all fresh 1 "$(prefix "$NEXT")" 41 60 "${REST[-1]}"
finish_load
for it in during after; do
  echo "$it: $(awk '{print $2, $3}' "$WORK/$it" | sort | uniq -c | xargs)"
  # The first answer, or a truthful unknown.
  awk 'NR == FNR {first[$1] = $0; next} !($2 == "unknown" || $0 == first[$1])' "$WORK/first" "$WORK/$it" > "$WORK/$it.bad"
  check_equal "repeats $it the failure with another answer" "" "$(head -3 "$WORK/$it.bad")"
done
check_equal "new identities after the restart" 20 "$(grep -c ' done ' "$WORK/fresh")"
report_of "$WORK/kill"
# Nothing but identities whose home died is uncertain.
jq '[.streams[].unknown_by_reason | keys[]] | unique' "$WORK/kill" > "$WORK/uncertain"
check "the remaining VMs serve all else" '. - ["home-unreachable", "outcome-unknown"] == []' "$WORK/uncertain"
check "refusals of teams within their rate below 0.5%" '.totals | .not_run < .sent * 0.005' "$WORK/kill"

# The store stops at the same moment as one VM is killed.
OLD=$(prefix "$NEXT")
start_load 12 "$WORK/load.json" "$WORK/store"
book_all first 1 "$OLD" 101 120 "${REST[-1]}"
check_equal "first bookings done" 20 "$(grep -c ' done ' "$WORK/first")"
put "$STORE_CONTROL/outage?on=1"
kill -KILL "${PIDS[$HOME_VM]}"
wait "${PIDS[$HOME_VM]}" 2> /dev/null
sleep 1
book_all during 2 "$OLD" 101 120 "${REST[-1]}"
sleep 4
await 5 "the remaining VMs to serve without the store" serves_all
put "$STORE_CONTROL/outage?on=0"
MEMBERS=("${MEMBERS[@]:1}")
check_equal "the killed VM was the first of its zone" "$NEXT" "${MEMBERS[0]}"
await 6 "takeover once the store is back" whole
book_all after 2 "$OLD" 101 120 "${REST[-1]}"
finish_load
for it in during after; do
  echo "store $it: $(awk '{print $2, $3}' "$WORK/$it" | sort | uniq -c | xargs)"
  awk 'NR == FNR {first[$1] = $0; next} !($2 == "unknown" || $0 == first[$1])' "$WORK/first" "$WORK/$it" > "$WORK/$it.bad"
  check_equal "repeats $it the outage with another answer" "" "$(head -3 "$WORK/$it.bad")"
done
check "the replica gave first answers" '. > 0' <(grep -c ' done ' "$WORK/after")
report_of "$WORK/store"
check_targets
finish
