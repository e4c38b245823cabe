#!/usr/bin/env bash
# Measures one fleet size: start, idle cost, store calls, a configuration change
# and a store outage of 20 s. Prints one JSON object a size.
#   fleet_size.sh BUILD_SRC [N...]       default sizes 10 40 120
. "$(dirname "$0")/fleet.sh" "$1"
shift
SIZES=("${@:-10 40 120}")
IDLE=${IDLE:-15}
TICKS=$(getconf CLK_TCK)

measure() {
  make_vms "$1"
  start_platform
  reset_counts
  start_daemons
  local started idle t0 t1 ticks bytes messages lines
  started=$(await_members 60)
  sleep 6
  counts > "$WORK/start.json"
  reset_counts
  t0=$(now_ms)
  ticks=$(processes) bytes=$(metric peer_bytes_sent) messages=$(metric peer_messages_sent) lines=$(log_lines)
  sleep "$IDLE"
  ticks=$(($(processes) - ticks))
  counts > "$WORK/idle.json"
  bytes=$(($(metric peer_bytes_sent) - bytes)) messages=$(($(metric peer_messages_sent) - messages))
  lines=$(($(log_lines) - lines))
  t1=$(now_ms)
  local rss
  rss=$(resident_kb)
  # How much of the fleet each daemon knows freshly enough for a lookup.
  statuses > "$WORK/statuses"
  local fresh own_fresh
  fresh=$(jq -s '[.[] | [.vms[] | select(.age_ms <= 3000)] | length] | add / length' "$WORK/statuses")
  own_fresh=$(jq -s '[.[] | .zone as $z | [.vms[] | select(.zone == $z and .age_ms <= 3000)] | length] | add / length' "$WORK/statuses")
  # A configuration change, in force when all daemons hold the new revision.
  local before force changed
  before=$(jq -s '[.[].revisions["savory/v1/config"]] | max' "$WORK/statuses")
  jq -c '.services[0].queue_length = 63' "$WORK/config.json" > "$WORK/next.json"
  changed=$(now_ms)
  write_config 2 "$WORK/next.json"
  force=-1
  while [ $(($(now_ms) - changed)) -lt 30000 ]; do
    if [ "$(statuses | jq -s --argjson r "$before" '[.[] | select(.revisions["savory/v1/config"] > $r)] | length')" = "$N" ]; then
      force=$(($(now_ms) - changed))
      break
    fi
  done
  # A store outage of 20 s and its return.
  local back settled
  ask -X PUT "$CONTROL/outage?on=1" > /dev/null
  sleep 20
  local kept
  kept=$(serving)
  reset_counts
  back=$(now_ms)
  ask -X PUT "$CONTROL/outage?on=0" > /dev/null
  settled=-1
  while [ $(($(now_ms) - back)) -lt 40000 ]; do
    if [ "$(statuses | jq -s '[.[] | select(.membership.member and .membership.lease_held and .keys_in_force and .store_reachable)] | length')" = "$N" ]; then
      settled=$(($(now_ms) - back))
      break
    fi
  done
  sleep 4
  counts > "$WORK/return.json"
  jq -nc --argjson n "$N" --argjson ms $((t1 - t0)) --argjson ticks "$ticks" --argjson hz "$TICKS" \
    --argjson bytes "$bytes" --argjson messages "$messages" --argjson lines "$lines" \
    --arg rss "$rss" --argjson fresh "$fresh" --argjson own "$own_fresh" --argjson force "$force" --argjson kept "$kept" \
    --argjson started "$started" --argjson settled "$settled" --arg load "$(cut -d' ' -f1 /proc/loadavg)" \
    --slurpfile s "$WORK/start.json" --slurpfile i "$WORK/idle.json" --slurpfile r "$WORK/return.json" '
    def round($k): . * $k | floor / $k;
    {n: $n,
     start_ms: $started, start_max_reads: $s[0].max_reads_per_second, start_max_writes: $s[0].max_writes_per_second,
     start_reads: $s[0].reads, start_writes: $s[0].writes, start_rejected: $s[0].rejected,
     cpu_percent: ($ticks / $hz / ($ms / 1000) / $n * 100 | round(100)),
     rss_mb: ($rss | split(" ")[0] | tonumber / 1024 | round(10)),
     peer_bytes_s: ($bytes / $n / ($ms / 1000) | round(1)), peer_messages_s: ($messages / $n / ($ms / 1000) | round(100)),
     log_lines_s: ($lines / $n / ($ms / 1000) | round(1000)),
     store_reads_s: ($i[0].reads / ($ms / 1000) | round(10)), store_writes_s: ($i[0].writes / ($ms / 1000) | round(100)),
     store_watches: $i[0].max_watches, store_max_reads: $i[0].max_reads_per_second,
     vm_list_s: ($i[0].vm_list_reads / ($ms / 1000) | round(10)),
     fresh_vms: ($fresh | round(10)), fresh_own_zone: ($own | round(10)), config_ms: $force,
     outage_serving: $kept, return_ms: $settled, return_max_reads: $r[0].max_reads_per_second,
     return_max_writes: $r[0].max_writes_per_second, return_writes: $r[0].writes, return_rejected: $r[0].rejected,
     load_average: $load}'
  stop_fleet
}

for n in ${SIZES[*]}; do measure "$n"; done
