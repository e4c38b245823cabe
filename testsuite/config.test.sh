#!/usr/bin/env bash
# Guards against configurations that come into force late, revert to an older
# revision or are invalid, and against a wrong outcome reported to an operator.
. "$(dirname "$0")/fleet.sh" "$1"
VM_EXTRA='{allow_fault_injection: true}'
use_deployment marine
start_fleet 10

# write_config RATE: writes the configuration with this rate of the first team and
# prints the path.
write_config() { jq --argjson n "$1" '.teams[0].parameters.rate = $n' "$DEPLOY/config.json" > "$WORK/config-$1.json"; echo "$WORK/config-$1.json"; }
apply_rate() { ctl --json apply "$(write_config "$@")" "${@:2}"; }
stored_config() { fetch "$STORE/v1/kv/savory/v1/config?raw"; }
stored_revision_is() { [ "$(stored_config | jq .revision)" = "$1" ]; }
lowest_revision() { for it in "${VMS[@]}"; do revision "$it" config; done | sort -n | head -1; }
http_status() { fetch -o /dev/null -w '%{http_code}' "http://$(caller_address "$1")/svc/tiles/item"; }

set_link_faults tema-a-1 store; set_link_faults takoradi-b-2 store; set_link_faults elmina-a-1 store
check_equal "revision of the apply" 2 "$(apply_rate 610 | jq .revision)"
check_in_force 6 2 "${VMS[@]}"
clear_link_faults
sleep 2

put "$STORE_CONTROL/snapshot"
check_equal "revision after the snapshot" 3 "$(apply_rate 611 | jq .revision)"
check_in_force 6 3 "${VMS[@]}"
put "$STORE_CONTROL/rollback"
for _ in $(seq 10); do lowest_revision; done | sort -n | head -1 > "$WORK/lowest"
check_equal "lowest revision after the rollback" 3 "$(cat "$WORK/lowest")"
await 6 "the repair of the store" stored_revision_is 3
check_equal "content after the repair" 611 "$(stored_config | jq '.teams[0].parameters.rate')"
put "$STORE/v1/kv/savory/v1/config" -d 'no document'
await 6 "the repair of a document that is not JSON" stored_revision_is 3

check_equal "revision before the outage" 4 "$(apply_rate 612 | jq .revision)"
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
  base=$(stored_config | jq .revision)
  for operator in 1 2; do
    { apply_rate $((700 + 10 * round + operator)) --expect-revision "$base" > "$WORK/operator.$operator"; echo $? > "$WORK/exit.$operator"; } &
    operators[operator]=$!
  done
  wait "${operators[@]}"
  check_equal "round $round: exit codes of two concurrent applies" "0 2" "$(sort "$WORK"/exit.? | xargs)"
  winner=$(grep -lx 0 "$WORK"/exit.? | tail -c 2)
  check_equal "round $round: revision of the successful apply" $((base + 1)) "$(jq .revision "$WORK/operator.$winner")"
  check_equal "round $round: content in the store" "$((base + 1)) $((700 + 10 * round + winner))" \
    "$(stored_config | jq -r '"\(.revision) \(.teams[0].parameters.rate)"')"
done

for n in 1 2; do
  base=$(stored_config | jq .revision)
  put "$STORE_CONTROL/lose-answers?n=$n"
  check_equal "apply with $n lost answers" "$((base + 1)) true" "$(apply_rate $((800 + n)) | jq -r '"\(.revision) \(.changed)"')"
  check_equal "content after $n lost answers" $((800 + n)) "$(stored_config | jq '.teams[0].parameters.rate')"
  put "$STORE_CONTROL/lose-answers?n=0"
done
last=$(stored_config | jq .revision)
check_in_force 6 "$last" "${VMS[@]}"

put "$STORE/v1/kv/savory/v1/config" -d "$(stored_config | jq ".revision = $((last + 1)) | .teams[0].template = \"missing\"")"
rejected() { grep -q "\"revision\":$((last + 1))" <(grep findings "$WORK/$1.log"); }
for it in "${VMS[@]}"; do await 6 "the rejection by $it" rejected "$it"; done
check_equal "configuration in force after an invalid document" "$last" "$(lowest_revision)"
check_equal "status of a request after an invalid document" 200 "$(http_status elmina-b-1)"
check_equal "apply over the invalid document" $((last + 2)) "$(apply_rate 900 | jq .revision)"
check_in_force 6 $((last + 2)) "${VMS[@]}"
finish
