#!/usr/bin/env bash
# Guards against a list of 530,000 client blocks that exceeds the store's value
# size, is ignored by lookups, takes too much memory in the daemons, or is lost when
# a daemon restarts during a store outage.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
SETTLE=1 start_fleet 10

# write_blocks SITE: writes 530,000 blocks, the first of which belongs to SITE.
write_blocks() {
  jq -r '.sites[].name' "$DEPLOY/config.json" | awk -v site="$1" '
    {name[NR - 1] = $1}
    END {for (i = 0; i < 530000; ++i)
      printf "%d.%d.%d.0/24 %s\n", 64 + int(i / 65536), int(i / 256) % 256, i % 256,
        i ? name[i % NR] : site}' > "$WORK/blocks"
}
block_counts() { status "$1" | jq -r '"\(.blocks.revision) \(.blocks.count)"'; }
has_blocks() { status "$1" | jq -e --argjson r "$2" ".blocks.revision == \$r"; }
# region_for VM ADDRESS: the region of the first VM in a lookup for this client.
region_for() { fetch "http://$(caller_address "$1")/v1/lookup?service=tiles&client=$2" | jq -r '.vms[0].region'; }
nearest_region() { jq -r --arg s "$1" '.sites[] | select(.name == $s) | .distance_ms | to_entries | min_by(.value).key' "$DEPLOY/config.json"; }
mapfile -t SITES < <(jq -r '.sites[].name' "$DEPLOY/config.json")
configured_count=$(status tema-a-1 | jq .blocks.count)

# check_blocks REVISION VM...: the blocks are in force on each VM within 6 s, the
# limit for configurations.
check_blocks() {
  local revision=$1 began
  shift
  began=$(now_ms)
  for it in "$@"; do await 6 "blocks $revision on $it" has_blocks "$it" "$revision"; done
  check_at_most "blocks $revision in force on $# daemons, ms" 6000 $(($(now_ms) - began))
}
# check_lookups FIRST_SITE VM...: lookups on each daemon use the blocks; the addresses
# are in the first, the second and the last block.
check_lookups() {
  local first_site=$1 it
  shift
  for it in "$@"; do
    check_equal "$it: region of 64.0.0.9, 64.0.1.9, 72.22.79.9" \
      "$(nearest_region "$first_site") $(nearest_region "${SITES[1]}") $(nearest_region "${SITES[529999 % ${#SITES[@]}]}")" \
      "$(region_for "$it" 64.0.0.9) $(region_for "$it" 64.0.1.9) $(region_for "$it" 72.22.79.9)"
  done
}

write_blocks "${SITES[0]}"
ctl --json blocks apply "$WORK/blocks" > "$WORK/applied"
check_equal "exit code of the apply" 0 $?
jq -c . "$WORK/applied"
check_blocks 1 "${VMS[@]}"
for it in "${VMS[@]}"; do check_equal "blocks on $it" "1 $((530000 + configured_count))" "$(block_counts "$it")"; done
check_lookups "${SITES[0]}" "${VMS[@]}"
largest_part=$(fetch "$STORE/v1/kv/savory/blocks/v1/?recurse" | jq '[.[].Value | length * 3 / 4 | floor] | max')
check_at_most "bytes of the largest part" 1000000 "$largest_part"

put "$STORE_CONTROL/reset-counts"
sleep 5
check_store_calls

write_blocks "${SITES[1]}"
check_equal "parts written for one changed block" 1 "$(ctl --json blocks apply "$WORK/blocks" | jq .parts_written)"
check_blocks 2 "${VMS[@]}"
check_lookups "${SITES[1]}" "${VMS[@]}"

put "$STORE_CONTROL/outage?on=1"
kill -KILL "${PIDS[tema-b-1]}"; wait "${PIDS[tema-b-1]}" 2>/dev/null
start_vm tema-b-1
await 5 "the restarted daemon" status tema-b-1
check_blocks 2 tema-b-1
check_equal "store reachable for the restarted daemon" false "$(status tema-b-1 | jq .store_reachable)"
check_lookups "${SITES[1]}" tema-b-1
put "$STORE_CONTROL/outage?on=0"
for it in "${VMS[@]}"; do
  check_at_most "resident memory of $it, KB" $((128 * 1024)) "$(awk '/VmRSS/ {print $2}' "/proc/${PIDS[$it]}/status")"
done
finish
