#!/usr/bin/env bash
# Guards against configurations that are late, revert or are not valid, and
# against operators who are told the wrong outcome.
. "$(dirname "$0")/fleet.sh" "$1"
VM_EXTRA='{allow_fault_injection: true}'
use_deployment marine
start_fleet 10

# document RATE: the configuration with another rate of the first team.
document() { jq --argjson n "$1" '.teams[0].parameters.rate = $n' "$DEPLOY/config.json" > "$WORK/config-$1.json"; echo "$WORK/config-$1.json"; }
apply() { ctl --json apply "$(document "$@")" "${@:2}"; }
stored() { ask "$STORE/v1/kv/savory/v1/config?raw"; }
stored_is() { [ "$(stored | jq .revision)" = "$1" ]; }
lowest() { for it in "${VMS[@]}"; do revision "$it" config; done | sort -n | head -1; }
code() { ask -o /dev/null -w '%{http_code}' "http://$(caller "$1")/svc/tiles/item"; }

cut tema-a-1 store; cut takoradi-b-2 store; cut elmina-a-1 store
check_equal "revision of the apply" 2 "$(apply 610 | jq .revision)"
check_in_force 6 2 "${VMS[@]}"
heal
sleep 2

put "$STORE_CONTROL/snapshot"
check_equal "revision after the snapshot" 3 "$(apply 611 | jq .revision)"
check_in_force 6 3 "${VMS[@]}"
put "$STORE_CONTROL/rollback"
for _ in $(seq 10); do lowest; done | sort -n | head -1 > "$WORK/lowest"
check_equal "lowest revision after the rollback" 3 "$(cat "$WORK/lowest")"
await 6 "the repair of the store" stored_is 3
check_equal "content after the repair" 611 "$(stored | jq '.teams[0].parameters.rate')"
put "$STORE/v1/kv/savory/v1/config" -d 'no document'
await 6 "the repair of a document that is no JSON" stored_is 3

check_equal "revision before the outage" 4 "$(apply 612 | jq .revision)"
in_force_somewhere() { [ "$(for it in "${VMS[@]}"; do revision "$it" config; done | sort -n | tail -1)" = 4 ]; }
await 6 "the newest configuration at one daemon" in_force_somewhere
put "$STORE_CONTROL/outage?on=1"
kill -KILL "${PIDS[tema-b-1]}"; wait "${PIDS[tema-b-1]}" 2>/dev/null
start_vm tema-b-1
await 5 "the restarted daemon" status tema-b-1
check_in_force 6 4 "${VMS[@]}"
check_equal "store reachable for the restarted daemon" false "$(status tema-b-1 | jq .store_reachable)"
put "$STORE_CONTROL/outage?on=0"

for round in 1 2 3 4; do
  base=$(stored | jq .revision)
  for who in 1 2; do
    { apply $((700 + 10 * round + who)) --expect-revision "$base" > "$WORK/operator.$who"; echo $? > "$WORK/exit.$who"; } &
    racers[who]=$!
  done
  wait "${racers[@]}"
  check_equal "round $round: one operator wins" "0 2" "$(sort "$WORK"/exit.? | xargs)"
  winner=$(grep -lx 0 "$WORK"/exit.? | tail -c 2)
  check_equal "round $round: revision of the winner" $((base + 1)) "$(jq .revision "$WORK/operator.$winner")"
  check_equal "round $round: content in the store" "$((base + 1)) $((700 + 10 * round + winner))" \
    "$(stored | jq -r '"\(.revision) \(.teams[0].parameters.rate)"')"
done

for n in 1 2; do
  base=$(stored | jq .revision)
  put "$STORE_CONTROL/lose-answers?n=$n"
  check_equal "apply with $n lost answers" "$((base + 1)) true" "$(apply $((800 + n)) | jq -r '"\(.revision) \(.changed)"')"
  check_equal "content after $n lost answers" $((800 + n)) "$(stored | jq '.teams[0].parameters.rate')"
  put "$STORE_CONTROL/lose-answers?n=0"
done
last=$(stored | jq .revision)
check_in_force 6 "$last" "${VMS[@]}"

put "$STORE/v1/kv/savory/v1/config" -d "$(stored | jq ".revision = $((last + 1)) | .teams[0].template = \"missing\"")"
rejected() { grep -q "\"revision\":$((last + 1))" <(grep findings "$WORK/$1.log"); }
for it in "${VMS[@]}"; do await 6 "the rejection by $it" rejected "$it"; done
check_equal "configuration in force after an invalid document" "$last" "$(lowest)"
check_equal "requests go on" 200 "$(code elmina-b-1)"
check_equal "apply over the invalid document" $((last + 2)) "$(apply 900 | jq .revision)"
check_in_force 6 $((last + 2)) "${VMS[@]}"
finish
