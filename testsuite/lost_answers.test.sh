#!/usr/bin/env bash
# Guards against targets, ledger partitions or rates with two owners when the store
# applies writes whose responses are lost while VMs join and leave.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10
make_plan 0.2

# Reads the status of all VMs twice and appends what the VMs own to $WORK/samples.
# What a VM owns in both readings it owns between them, so no two VMs may have the
# same target or partition.
sample_ownership() {
  local urls=() round it
  for round in 1 2; do
    rm -f "$WORK"/page.$round.*
    urls=()
    for it in "${VMS[@]}"; do urls+=(-o "$WORK/page.$round.$it" "http://$(cat "$WORK/admin.$it")/v1/status"); done
    curl -s -Z --no-progress-meter -m 2 "${urls[@]}" 2> /dev/null
  done
  jq -nc --slurpfile a <(cat "$WORK"/page.1.*) --slurpfile b <(cat "$WORK"/page.2.*) '
    def duplicates(field): [.[] | field[]] | group_by(.) | map(select(length > 1)[0]);
    [$a[] as $x | $b[] | select(.vm == $x.vm and .incarnation == $x.incarnation)
     | select(.membership.member and $x.membership.member)
     | {zone, rate: ([.membership.rate_ppm, $x.membership.rate_ppm] | min),
        targets: (.membership.targets - (.membership.targets - $x.membership.targets)),
        partitions: [.zone + "/" + (.membership.partitions - (.membership.partitions - $x.membership.partitions) | .[] | tostring)]}]
    | {rate: (map(.rate) | add // 0), vms: length, targets: ([.[].targets[]] | length),
       partitions: ([.[].partitions[]] | length), duplicates: (duplicates(.targets) + duplicates(.partitions))}' >> "$WORK/samples"
}
for it in "${VMS[@]}"; do admin_address "$it" > "$WORK/admin.$it"; done
sample_ownership
cat "$WORK/samples"
# 52 targets; 16 partitions in each of 6 zones; the rates add up to almost 1,000,000 ppm.
check "samples contain all targets, partitions and rates" '.targets == 52 and .partitions == 96 and .rate > 990000' "$WORK/samples"

start_load 25 "$WORK/plan.json" "$WORK/report"
put "$STORE_CONTROL/lose-answers?n=20"
kill -TERM "${PIDS[tema-a-1]}"
kill -KILL "${PIDS[takoradi-b-2]}"
began=$(now_ms)
wait "${PIDS[takoradi-b-2]}" 2>/dev/null
start_vm takoradi-b-2
while kill -0 "${PIDS[tema-a-1]}" 2>/dev/null && [ $(($(now_ms) - began)) -lt 30000 ]; do sample_ownership; sleep 0.1; done
wait "${PIDS[tema-a-1]}"
check_equal "exit of the VM that left" 0 $?
start_vm tema-a-1
began=$(now_ms)
settled() {
  sample_ownership
  tail -1 "$WORK/samples" | jq -e '.vms == 10 and .targets == 52 and .partitions == 96 and .rate > 990000'
}
await 15 "the ownership to settle" settled
check_at_most "settled after the last join, ms" 15000 $(($(now_ms) - began))
for it in "${VMS[@]}"; do await 5 "$it to serve" is_serving "$it"; done
finish_load
sample_ownership
tail -3 "$WORK/report.table"
echo "$(wc -l < "$WORK/samples") samples, highest sum $(jq -s 'map(.rate) | max' "$WORK/samples") ppm"
jq -s '{duplicates: map(.duplicates[]), rate: map(.rate) | max}' "$WORK/samples" > "$WORK/worst.json"
check "no target or partition with two owners" '.duplicates == []' "$WORK/worst.json"
check "sum of the rates at most 1000000 ppm" '.rate <= 1000000' "$WORK/worst.json"
check_load "$WORK/report" "refusals of teams within their rate below 0.5%" '.totals | .not_run < .sent * 0.005'
check_targets
finish
