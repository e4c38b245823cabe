#!/usr/bin/env bash
# Guards against second executions and repeats whose response differs from the
# first when the home VM of at-most-once requests and its successor are killed
# within a second, and when a VM is killed at the start of a store outage.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment cooperative
start_fleet 10
make_plan 0.2
HOME_VM=seoul-a-1
SUCCESSOR=seoul-a-2
# More repeats than usual, so that many reach a home VM that was killed.
jq '.streams |= map(if .at_most_once then .repeat_ppm = 200000 else . end)' "$WORK/plan.json" > "$WORK/load.json"
KEY=$(jq -r '[.streams[] | select(.at_most_once and .service == "booking")][0].key' "$WORK/plan.json")
BOOKING_PATH=$(jq -r '[.streams[] | select(.at_most_once and .service == "booking")][0].path' "$WORK/plan.json")
REMAINING=()
for it in "${VMS[@]}"; do [ "$it" = "$HOME_VM" ] || [ "$it" = "$SUCCESSOR" ] || REMAINING+=("$it"); done

# book VM ATTEMPT IDENTITY: prints outcome, reason and the fields of the target's
# response.
book() {
  local out=$WORK/book.$BASHPID
  curl -s -m 6 -X POST -d 'body of a booking' -D "$out.head" -o "$out.body" -H "X-Tenant-Key: $KEY" \
    -H "Idempotency-Key: $3" -H "X-Attempt: $2" -H "X-Deadline-Ms: 3000" "http://$(caller_address "$1")/svc/booking$BOOKING_PATH"
  tr -d '\r' < "$out.head" | awk -F': ' 'tolower($1) == "x-outcome" {o = $2} tolower($1) == "x-reason" {r = $2}
    END {printf "%s %s ", o, r}'
  jq -c '{executed, path, body_checksum}' "$out.body" 2> /dev/null || echo
}
# book_all FILE ATTEMPT PREFIX FIRST LAST VM: sends attempt ATTEMPT of the bookings
# PREFIXn, n from FIRST to LAST, through VM in parallel and writes one line for each,
# in order, to $WORK/FILE.
book_all() {
  local jobs=() it
  for it in $(seq "$4" "$5"); do
    (echo "$it $(book "$6" "$2" "$3$it")" > "$WORK/$1.$it") &
    jobs+=($!)
  done
  wait "${jobs[@]}"
  for it in $(seq "$4" "$5"); do cat "$WORK/$1.$it"; done > "$WORK/$1"
}
# identity_prefix VM: the prefix that lookups return for identities whose home is in
# zone seoul-a.
identity_prefix() { echo "seoul-a@$(revision "$1" zones/seoul-a):"; }
owned_counts() { for it in "$@"; do status "$it"; done | jq -sc 'map(.membership) | [(map(.targets) | add | length), (map(.partitions) | add | length)]'; }
zone_is_owned() { [ "$(owned_counts "${MEMBERS[@]}")" = "$ZONE_OWNED" ]; }
check_report() { # REPORT
  jq -c '{totals, reasons: ([.streams[] | .not_run_by_reason, .unknown_by_reason, .lost_by_reason | to_entries[]]
    | group_by(.key) | map({(.[0].key): (map(.value) | add)}) | add)}' "$1"
  check "${1##*/}: every request is accounted for" '.totals | .sent == .done + .not_run + .unknown + .lost' "$1"
  check "${1##*/}: no wrong or truncated response" '.totals | .wrong == 0 and .truncated == 0' "$1"
  check "${1##*/}: no identity ran twice" '.totals.ran_twice == 0' "$1"
  # Repeats of one identity: "not run" after "done" contradicts the first response.
  jq '[.streams[].identities[]] | group_by(.key) | map(select(length > 1)) | {pairs: length,
    contradictions: map(select(any(.[]; .outcome == "done" and (.repeat | not)) and any(.[]; .repeat and .outcome == "not_run")))}' \
    "$1" > "$1.pairs"
  jq -c '{pairs, contradictions: (.contradictions | map(map({outcome, reason, repeat})) | unique)}' "$1.pairs"
  check "${1##*/}: repeats were sent" '.pairs > 50' "$1.pairs"
}
mapfile -t MEMBERS < <(for it in "${VMS[@]}"; do [ "$(vm_setting "$it" zone)" = seoul-a ] && echo "$it"; done)
ZONE_OWNED=$(owned_counts "${MEMBERS[@]}")

start_load 18 "$WORK/load.json" "$WORK/kill"
sleep 3
OLD_PREFIX=$(identity_prefix "$SUCCESSOR")
book_all first 1 "$OLD_PREFIX" 1 40 "${REMAINING[-1]}"
check_equal "first bookings done" 40 "$(grep -c ' done ' "$WORK/first")"
kill -KILL "${PIDS[$HOME_VM]}"
sleep 0.5
kill -KILL "${PIDS[$SUCCESSOR]}"
wait "${PIDS[$HOME_VM]}" "${PIDS[$SUCCESSOR]}" 2> /dev/null
killed=$(now_ms)
book_all during 2 "$OLD_PREFIX" 1 40 "${REMAINING[-1]}"
sleep 4
serves_all() { for it in "${REMAINING[@]}"; do is_serving "$it" || return 1; done; }
await 5 "the remaining VMs to serve" serves_all
echo "the remaining VMs serve, checked $(($(now_ms) - killed)) ms after the second kill"
start_vm "$HOME_VM"
start_vm "$SUCCESSOR"
await 15 "all targets and partitions of the zone to be owned" zone_is_owned
for it in "${MEMBERS[@]}"; do await 5 "$it to serve" is_serving "$it"; done
book_all after 2 "$OLD_PREFIX" 1 40 "${REMAINING[-1]}"
book_all fresh 1 "$(identity_prefix "$SUCCESSOR")" 41 60 "${REMAINING[-1]}"
finish_load
for it in during after; do
  echo "$it: $(awk '{print $2, $3}' "$WORK/$it" | sort | uniq -c | xargs)"
  # A repeat gets the first response again, or "unknown".
  awk 'NR == FNR {first[$1] = $0; next} !($2 == "unknown" || $0 == first[$1])' "$WORK/first" "$WORK/$it" > "$WORK/$it.bad"
  check_equal "repeats $it the failure with a different response" "" "$(head -3 "$WORK/$it.bad")"
done
check_equal "new identities after the restart" 20 "$(grep -c ' done ' "$WORK/fresh")"
check_report "$WORK/kill"
# Only identities whose home VM was killed have an unknown outcome.
jq '[.streams[].unknown_by_reason | keys[]] | unique' "$WORK/kill" > "$WORK/unknown_reasons"
check "no other reasons for an unknown outcome" '. - ["home-unreachable", "outcome-unknown"] == []' "$WORK/unknown_reasons"
check "refusals of teams within their rate below 0.5%" '.totals | .not_run < .sent * 0.005' "$WORK/kill"

# A store outage begins at the same time as one VM is killed.
OLD_PREFIX=$(identity_prefix "$SUCCESSOR")
start_load 12 "$WORK/load.json" "$WORK/store"
book_all first 1 "$OLD_PREFIX" 101 120 "${REMAINING[-1]}"
check_equal "first bookings done" 20 "$(grep -c ' done ' "$WORK/first")"
put "$STORE_CONTROL/outage?on=1"
kill -KILL "${PIDS[$HOME_VM]}"
wait "${PIDS[$HOME_VM]}" 2> /dev/null
sleep 1
book_all during 2 "$OLD_PREFIX" 101 120 "${REMAINING[-1]}"
sleep 4
await 5 "the remaining VMs to serve without the store" serves_all
put "$STORE_CONTROL/outage?on=0"
MEMBERS=("${MEMBERS[@]:1}")
check_equal "the killed VM was the first of its zone" "$SUCCESSOR" "${MEMBERS[0]}"
await 6 "takeover once the store is back" zone_is_owned
book_all after 2 "$OLD_PREFIX" 101 120 "${REMAINING[-1]}"
finish_load
for it in during after; do
  echo "store $it: $(awk '{print $2, $3}' "$WORK/$it" | sort | uniq -c | xargs)"
  awk 'NR == FNR {first[$1] = $0; next} !($2 == "unknown" || $0 == first[$1])' "$WORK/first" "$WORK/$it" > "$WORK/$it.bad"
  check_equal "repeats $it the outage with a different response" "" "$(head -3 "$WORK/$it.bad")"
done
check "the replica returned first responses" '. > 0' <(grep -c ' done ' "$WORK/after")
check_report "$WORK/store"
check_targets
finish
