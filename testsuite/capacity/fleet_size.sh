#!/usr/bin/env bash
# Measures each given fleet size: start, idle cost, store calls, a configuration
# change and a store outage of 20 s. Prints one JSON object per size.
#   fleet_size.sh BIN [N...]       default sizes 10 40 120
. "$(dirname "$0")/fleet.sh" "$1"
shift
SIZES=("${@:-10 40 120}")
IDLE=${IDLE:-15}
TICKS=$(getconf CLK_TCK)

measure() {
  make_vms "$1"
  start_store
  reset_store_counts
  start_daemons
  local started idle t0 t1 ticks bytes messages lines
  started=$(await_leases 60)
  sleep 6
  store_counts > "$WORK/start.json"
  reset_store_counts
  t0=$(now_ms)
  ticks=$(cpu_ticks) bytes=$(metric peer_bytes_sent) messages=$(metric peer_messages_sent) lines=$(log_lines)
  sleep "$IDLE"
  ticks=$(($(cpu_ticks) - ticks))
  store_counts > "$WORK/idle.json"
  bytes=$(($(metric peer_bytes_sent) - bytes)) messages=$(($(metric peer_messages_sent) - messages))
  lines=$(($(log_lines) - lines))
  t1=$(now_ms)
  local rss
  rss=$(resident_kb)
  # Mean number of VMs, in all zones and in its own, that a daemon knows by a state no
  # older than 3 s, which lookups require.
  statuses > "$WORK/statuses"
  local fresh own_fresh
  fresh=$(jq -s '[.[] | [.vms[] | select(.age_ms <= 3000)] | length] | add / length' "$WORK/statuses")
  own_fresh=$(jq -s '[.[] | .zone as $z | [.vms[] | select(.zone == $z and .age_ms <= 3000)] | length] | add / length' "$WORK/statuses")
  # A configuration change; it is in force when every daemon has a newer revision.
  local before config_ms changed
  before=$(jq -s '[.[].revisions["savory/v1/config"]] | max' "$WORK/statuses")
  jq -c '.services[0].queue_length = 63' "$WORK/config.json" > "$WORK/next.json"
  changed=$(now_ms)
  write_config 2 "$WORK/next.json"
  config_ms=-1
  while [ $(($(now_ms) - changed)) -lt 30000 ]; do
    if [ "$(statuses | jq -s --argjson r "$before" '[.[] | select(.revisions["savory/v1/config"] > $r)] | length')" = "$N" ]; then
      config_ms=$(($(now_ms) - changed))
      break
    fi
  done
  # A store outage of 20 s and the recovery after it.
  local restored recovery_ms
  fetch -X PUT "$STORE_CONTROL/outage?on=1" > /dev/null
  sleep 20
  local serving_in_outage
  serving_in_outage=$(lease_holder_count)
  reset_store_counts
  restored=$(now_ms)
  fetch -X PUT "$STORE_CONTROL/outage?on=0" > /dev/null
  recovery_ms=-1
  while [ $(($(now_ms) - restored)) -lt 40000 ]; do
    if [ "$(statuses | jq -s '[.[] | select(.membership.member and .membership.lease_held and .keys_in_force and .store_reachable)] | length')" = "$N" ]; then
      recovery_ms=$(($(now_ms) - restored))
      break
    fi
  done
  sleep 4
  store_counts > "$WORK/return.json"
  jq -nc --argjson n "$N" --argjson ms $((t1 - t0)) --argjson ticks "$ticks" --argjson hz "$TICKS" \
    --argjson bytes "$bytes" --argjson messages "$messages" --argjson lines "$lines" \
    --arg rss "$rss" --argjson fresh "$fresh" --argjson own "$own_fresh" --argjson config_ms "$config_ms" --argjson serving "$serving_in_outage" \
    --argjson started "$started" --argjson recovery_ms "$recovery_ms" --arg load "$(cut -d' ' -f1 /proc/loadavg)" \
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
     fresh_vms: ($fresh | round(10)), fresh_own_zone: ($own | round(10)), config_ms: $config_ms,
     outage_serving: $serving, return_ms: $recovery_ms, return_max_reads: $r[0].max_reads_per_second,
     return_max_writes: $r[0].max_writes_per_second, return_writes: $r[0].writes, return_rejected: $r[0].rejected,
     load_average: $load}'
  stop_fleet
}

for n in ${SIZES[*]}; do measure "$n"; done
