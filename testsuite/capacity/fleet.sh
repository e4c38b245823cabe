# Shared functions of the capacity measurements: a fleet of N daemons in ten zones
# on loopback with one store. Sourced by the scripts in this directory. Ports: store
# 15000, its control 15001, targets 15010 to 15099 (nothing listens there), daemons
# from 16000 (callers), 17000 (peers) and 18000 (admin).
set -uo pipefail

BIN=${1:?directory of the built programs}
WORK=$(mktemp -d)
declare -A PIDS=()
STORE=http://127.0.0.1:15000
STORE_CONTROL=http://127.0.0.1:15001/control
ZONES=10

stop_fleet() {
  for it in "${PIDS[@]}"; do kill -KILL "$it" 2> /dev/null; done
  wait 2> /dev/null
  PIDS=()
}
trap 'stop_fleet; [ -n "${KEEP_WORK:-}" ] && echo "logs: $WORK" >&2 || rm -rf "$WORK"' EXIT

now_ms() { date +%s%3N; }
fetch() { curl -s -m 10 "$@"; }
vm_name() { printf 'vm-%03d' "$1"; }

# make_config TARGETS_PER_ZONE BLOCKS: writes $WORK/config.json.
make_config() {
  jq -n --argjson zones "$ZONES" --argjson each "$1" --argjson blocks "$2" '
    def zone($z): "zone-\($z)";
    [range($zones) as $z | range($each) as $t | ($z * $each + $t) as $n
     | {name: "target-\(100 + $n)", zone: zone($z), slots: 4, version: "v1",
        service: ["tiles", "permits", "uploads", "declarations"][$n % 4],
        port: (15010 + $n)}] as $targets
    | {
       config: {
         name: "capacity",
         regions: [range(3) as $r | {name: "region-\($r)",
           zones: [range($zones) | select(. % 3 == $r) | zone(.)]}],
         links: [], rollouts: [],
         sites: [range(200) as $s | {name: "site-\($s)", distance_ms:
           ([range(3) as $r | {key: "region-\($r)", value: (10 + ($s + $r) % 3 * 20)}] | from_entries)}],
         blocks: [range($blocks) as $b | {site: "site-\($b % 200)",
           cidr: "\(1 + ($b / 65536 | floor)).\($b / 256 % 256 | floor).\($b % 256).0/24"}],
         templates: {},
         services: [("tiles", "permits", "uploads", "declarations") as $name
           | {name: $name, execution: "idempotent", spill: true, max_time_ms: 2000,
              max_body_bytes: 65536, warm_up_ms: 0, queue_length: 64,
              targets: [$targets[] | select(.service == $name)
                | {name, zone, slots, version, address: "127.0.0.1:\(.port)"}]}],
         teams: [range(8) as $t | {name: "team-\($t)", rate: 600, burst: 600, weight: 1,
           regions: ["region-0", "region-1", "region-2"],
           services: ["tiles", "permits", "uploads", "declarations"]}]}}' > "$WORK/all.json"
  jq -c .config "$WORK/all.json" > "$WORK/config.json"
}

make_vms() { # N
  jq -n --argjson n "$1" --argjson zones "$ZONES" '{version: 1, age_ms: 0, vms: [range($n)
    | {name: "vm-\("000\(.)"[-3:])", zone: "zone-\(. % $zones)", region: "region-\(. % $zones % 3)",
       address: "127.0.0.1:\(17000 + .)", state: "live"}]}' > "$WORK/vms.json"
  jq -c '.vms | to_entries[] | .key as $i | .value | {vm: .name, zone, region, address: "127.0.0.1",
      caller_port: (16000 + $i), peer_port: (17000 + $i), admin_port: (18000 + $i),
      store_url: "http://127.0.0.1:15000", vm_list_url: "http://127.0.0.1:15000/v1/vms",
      seeds: ["127.0.0.1:17000", "127.0.0.1:17001"]}' "$WORK/vms.json" > "$WORK/settings"
  N=$1
}

# The targets do not run: their probes are refused, which is the cheapest case.
start_store() { # BLOCKS
  make_config 2 "${1:-1000}"
  "$BIN/standins/kvstandin" --port 15000 --control-port 15001 --vms "$WORK/vms.json" \
    ${STORE_LIMITS:-} > "$WORK/store.log" 2>&1 &
  PIDS[store]=$!
  until fetch "$STORE_CONTROL/counts" > /dev/null; do sleep 0.1; done
  write_config 1 "$WORK/config.json"
}

# write_config REVISION FILE: writes the configuration with a compare-and-set, like
# savoryctl.
write_config() {
  local key=$STORE/v1/kv/savory/v1/config index
  index=$(fetch "$key" | jq '.[0].ModifyIndex' 2> /dev/null)
  jq -c ". + {revision: $1}" "$2" | fetch -X PUT --data-binary @- "$key?cas=${index:-0}" > /dev/null
}

start_daemons() {
  local i=0
  while read -r line; do
    jq -c ". + {log_file: \"$WORK/$(vm_name $i).log\"}" <<< "$line" > "$WORK/$(vm_name $i).json"
    i=$((i + 1))
  done < "$WORK/settings"
  STARTED=$(now_ms)
  for ((i = 0; i < N; ++i)); do
    "$BIN/savorylbd/savorylbd" --config "$WORK/$(vm_name $i).json" > /dev/null 2>> "$WORK/err" &
    PIDS[$(vm_name $i)]=$!
  done
}

statuses() { fetch_all v1/status; }
# fetch_all PATH: prints the responses of all daemons. Uses one file per daemon, since
# parallel transfers would interleave in one stream.
fetch_all() {
  rm -rf "$WORK/fetched"
  mkdir -p "$WORK/fetched"
  curl -s -m 3 --parallel --parallel-max 30 -o "$WORK/fetched/#1" \
    "http://127.0.0.1:[18000-$((18000 + N - 1))]/$1" > /dev/null 2>&1
  cat "$WORK/fetched/"*
}
# Number of members that hold their lease, from the status of each daemon.
lease_holder_count() { statuses | jq -s '[.[] | select(.membership.member and .membership.lease_held)] | length'; }
await_leases() { # SECONDS; prints the milliseconds since the start, or -1
  local until=$(($(now_ms) + $1 * 1000))
  until [ "$(lease_holder_count)" = "$N" ]; do
    [ "$(now_ms)" -gt "$until" ] && { echo -1; return; }
    sleep 0.5
  done
  echo $(($(now_ms) - STARTED))
}
store_counts() { fetch "$STORE_CONTROL/counts"; }
reset_store_counts() { fetch -X PUT "$STORE_CONTROL/reset-counts" > /dev/null; }

# CPU time of all daemons in clock ticks.
cpu_ticks() {
  local i pids=()
  for ((i = 0; i < N; ++i)); do pids+=("${PIDS[$(vm_name $i)]}"); done
  for it in "${pids[@]}"; do
    awk '{sub(/.*\) /, ""); print $12 + $13}' "/proc/$it/stat"
  done | awk '{t += $1} END {print t}'
}
# Mean and maximum resident memory of the daemons in KB.
resident_kb() {
  local i
  for ((i = 0; i < N; ++i)); do
    awk '/VmRSS/ {print $2}' "/proc/${PIDS[$(vm_name $i)]}/status"
  done | awk '{t += $1; if ($1 > m) m = $1} END {print t / NR, m}'
}
metric() { # NAME: sum of the counter savorylb_NAME_total over all daemons
  fetch_all metrics | awk -v name="savorylb_$1_total" '$1 == name {t += $2} END {print t + 0}'
}
log_lines() { cat "$WORK"/vm-*.log | wc -l; }
