#!/usr/bin/env bash
# Guards against uploads that spill over to other regions beyond the configured
# bandwidth of the links between the regions.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
LINK_BYTES_PER_SECOND=1000000 # ten uploads of 100,000 bytes
jq --argjson n "$LINK_BYTES_PER_SECOND" '.links |= map(.bytes_per_second = $n)' "$DEPLOY/config.json" > "$WORK/config.json"
DISTRIBUTION=fixed start_fleet 200 "$WORK/config.json"

# Twice the capacity of tema's upload slots, through VMs of tema only.
jq -n --arg key "$(key_of port-authority)" '{streams: [{team: "port-authority", service: "uploads", key: $key,
  rate: 120, method: "POST", path: "/uploads/item", body_bytes: 100000, deadline_ms: 3000}]}' > "$WORK/plan.json"
vms=(tema-a-1 tema-a-2 tema-b-1 tema-b-2)
jq '.streams[0].rate /= 4' "$WORK/plan.json" > "$WORK/part.json"
seconds=12
began=$(now_ms)
for it in "${vms[@]}"; do
  timeout $((seconds + 20)) "$BIN/standins/loadgen" --daemon "$(caller_address "$it")" --no-lookup --plan "$WORK/part.json" \
    --seconds $seconds --threads 30 --max-in-flight 60 --seed 7 --run-id "$it" --report "$WORK/report.$it" \
    > /dev/null 2>&1 &
  PIDS[load-$it]=$!
done
for it in "${vms[@]}"; do
  wait "${PIDS[load-$it]}"
  unset "PIDS[load-$it]"
done
took=$(($(now_ms) - began))

for it in "${vms[@]}"; do check_load "$WORK/report.$it"; done
check_targets
# Uploads that were executed in each region, from the counts that the targets keep.
jq --slurpfile list "$DEPLOY/targets.json" '.targets as $counts |
  [$list[0][] | select(.service == "uploads") | {region: (.zone | split("-")[0]), n: $counts[.name].executed}] |
  group_by(.region) | map({key: .[0].region, value: (map(.n) | add)}) | from_entries' "$WORK/targets.json" > "$WORK/regions"
jq -c . "$WORK/regions"
check "targets of the callers' region were used" '.tema > 100' "$WORK/regions"
check "uploads spilled over" '.takoradi + .elmina > 0' "$WORK/regions"
# A link allows a burst of at most 100 ms of its bandwidth.
bound=$((LINK_BYTES_PER_SECOND * (took + 100) / 1000))
for it in takoradi elmina; do
  check_at_most "bytes from tema to $it" "$bound" "$(jq ".$it * 100000" "$WORK/regions")"
done
jq -s '[.[].streams[] | .not_run_by_reason] | map(to_entries[]) | group_by(.key) | map({key: .[0].key, value: (map(.value) | add)}) | from_entries' \
  "$WORK"/report.tema-* -c
finish
