# Shared functions of the end-to-end tests: start a deployment and the stand-ins
# for its store and targets on loopback, send traffic and check the counts.
# Sourced by the *.test.sh scripts, demo.sh and bench.sh. Optional variables:
# PORT_SHIFT (added to all ports), VM_EXTRA (jq object merged into the settings of
# each VM), SETTLE (s to wait after the start), DISTRIBUTION (of service times),
# LOAD_THREADS, MAX_IN_FLIGHT and SEED (of the load generator), KEEP_WORK (keep the
# logs).
set -uo pipefail

declare -A PIDS=()
FAILURES=0
BIN=${1:?directory of the built programs}
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
WORK=$(mktemp -d)

# shift_ports FROM TO: copies the deployment's JSON files with $PORT_SHIFT added
# to every port, so that several fleets can run on one machine.
shift_ports() {
  mkdir -p "$2"
  for it in "$1"/*.json; do
    jq --argjson shift "${PORT_SHIFT:-0}" '
      walk(if type == "string" then gsub("127.0.0.1:(?<p>[0-9]+)"; "127.0.0.1:\(.p | tonumber + $shift)")
           elif type == "object" then with_entries(
             if (.key | endswith("port")) and (.value | type) == "number" then .value += $shift else . end)
           else . end)' "$it" > "$2/$(basename "$it")"
  done
}

# use_deployment marine|cooperative: copies its files to $DEPLOY and sets the
# addresses and VM names that the other functions use.
use_deployment() {
  DEPLOYMENT=$1
  case $1 in
  marine) STORE_PORT=8500 ;;
  cooperative) STORE_PORT=8600 ;;
  esac
  STORE_PORT=$((STORE_PORT + ${PORT_SHIFT:-0}))
  DEPLOY=$WORK/deploy
  shift_ports "$ROOT/deploy/$1" "$DEPLOY"
  STORE=http://127.0.0.1:$STORE_PORT
  STORE_CONTROL=http://127.0.0.1:$((STORE_PORT + 1))/control
  TARGET_CONTROL=http://127.0.0.1:$((STORE_PORT + 2))/control
  mapfile -t VMS < <(jq -r '.vms[].name' "$DEPLOY/vms.json")
}

stop_all() {
  for it in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$it]}" 2>/dev/null
    kill -KILL "${PIDS[$it]}" 2>/dev/null
  done
  wait 2>/dev/null
  [ -n "${KEEP_WORK:-}" ] && echo "logs: $WORK" || rm -rf "$WORK"
}
trap stop_all EXIT

fetch() { curl -s -m 10 "$@"; }
put() { curl -s -m 10 -X PUT "$@" > /dev/null; }
ctl() { "$BIN/savoryctl/savoryctl" --store "$STORE" "$@"; }
vm_setting() { jq -r ".$2" "$DEPLOY/vm-$1.json"; }
admin_address() { echo "127.0.0.1:$(vm_setting "$1" admin_port)"; }
caller_address() { echo "127.0.0.1:$(vm_setting "$1" caller_port)"; }
status() { fetch "http://$(admin_address "$1")/v1/status"; }
now_ms() { date +%s%3N; }

# await SECONDS DESCRIPTION COMMAND...: repeats the command until it succeeds;
# counts a failure after the given time.
await() {
  local limit=$(($(now_ms) + $1 * 1000)) what=$2
  shift 2
  until "$@" > /dev/null 2>&1; do
    if [ "$(now_ms)" -gt "$limit" ]; then
      echo "FAILED: timed out waiting for $what"
      FAILURES=$((FAILURES + 1))
      return 1
    fi
    sleep 0.1
  done
}

start_store() {
  "$BIN/standins/kvstandin" --port "$STORE_PORT" --control-port $((STORE_PORT + 1)) \
    --vms "$DEPLOY/vms.json" > "$WORK/store.log" 2>&1 &
  PIDS[store]=$!
  await 10 "the store" fetch "$STORE_CONTROL/counts"
}

# start_targets SERVICE_MS [LIST]: SERVICE_MS is the service time of a request.
start_targets() {
  "$BIN/standins/targetstandin" --list "${2:-$DEPLOY/targets.json}" \
    --control-port $((STORE_PORT + 2)) --service-ms "$1" --seed 1 \
    --distribution "${DISTRIBUTION:-exponential}" \
    --forbidden-value demo-key-not-secret > "$WORK/targets.log" 2>&1 &
  PIDS[targets]=$!
  await 10 "the targets" fetch "$TARGET_CONTROL/counts"
}

# start_vm NAME: starts its daemon with the settings of the deployment and the
# extra fields of $VM_EXTRA.
start_vm() {
  jq ". + {log_file: \"$WORK/$1.log\"} + ${VM_EXTRA:-{\}}" "$DEPLOY/vm-$1.json" > "$WORK/$1.json"
  "$BIN/savorylbd/savorylbd" --config "$WORK/$1.json" >> "$WORK/$1.err" 2>&1 &
  PIDS[$1]=$!
}

# set_link_faults VM [PEER...] [store]: the VM drops its messages to these peers,
# and to the store, and to no others; without peers and store it drops none.
# Needs VM_EXTRA='{allow_fault_injection: true}'.
set_link_faults() {
  local vm=$1 peers="" store=0
  shift
  for it in "$@"; do
    if [ "$it" = store ]; then store=1; else peers+="127.0.0.1:$(vm_setting "$it" peer_port),"; fi
  done
  fetch -X POST "http://$(admin_address "$vm")/v1/faults?peers=$peers&store=$store" > /dev/null
}

# isolate_zone ZONE: its VMs reach each other, but no other VM and not the store.
isolate_zone() {
  local inside=() outside=()
  for it in "${VMS[@]}"; do
    if [ "$(vm_setting "$it" zone)" = "$1" ]; then inside+=("$it"); else outside+=("$it"); fi
  done
  for it in "${inside[@]}"; do set_link_faults "$it" "${outside[@]}" store; done
  for it in "${outside[@]}"; do set_link_faults "$it" "${inside[@]}"; done
}
clear_link_faults() { for it in "${VMS[@]}"; do set_link_faults "$it"; done; }

# The VM is a member, holds its lease and has a share of the rates.
is_serving() {
  status "$1" | jq -e '.membership.member and .membership.lease_held and .membership.rate_ppm > 0' > /dev/null
}

# start_fleet SERVICE_MS [CONFIG] [TARGETS]: starts the store, the targets and all
# VMs, applies configuration and keys, and waits until every VM serves.
start_fleet() {
  start_store
  start_targets "$1" "${3:-}"
  ctl apply "${2:-$DEPLOY/config.json}" > "$WORK/apply.log" 2>&1 || cat "$WORK/apply.log"
  ctl keys import "$DEPLOY/keys.json" > "$WORK/keys.log" 2>&1 || cat "$WORK/keys.log"
  for it in "${VMS[@]}"; do start_vm "$it"; done
  for it in "${VMS[@]}"; do await 30 "$it to serve" is_serving "$it"; done
  # Slots of newly owned targets become available with the first load reports,
  # and token buckets start empty.
  sleep "${SETTLE:-4}"
}

# start_load SECONDS PLAN REPORT [VM...]: sends the plan's traffic through these
# VMs, by default all, in the background as job `load`.
start_load() {
  local seconds=$1 plan=$2 report=$3
  shift 3
  local daemons=()
  for it in "${@:-${VMS[@]}}"; do daemons+=(--daemon "$(caller_address "$it")"); done
  "$BIN/standins/loadgen" "${daemons[@]}" --plan "$plan" --seconds "$seconds" \
    --threads "${LOAD_THREADS:-200}" --max-in-flight "${MAX_IN_FLIGHT:-400}" --seed "${SEED:-7}" --report "$report" \
    > "$report.out" 2> "$report.table" &
  PIDS[load]=$!
}
finish_load() {
  wait "${PIDS[load]}"
  unset 'PIDS[load]'
}

# check DESCRIPTION JQ_CONDITION FILE: fails when the condition is not true of the
# file's JSON, or when the file is empty.
check() {
  local input
  # The file may be a pipe, and jq succeeds on an empty input.
  input=$(cat "$3" 2> /dev/null)
  if [ -n "$input" ] && jq -e "$2" <<< "$input" > /dev/null 2>&1; then
    echo "ok: $1"
  else
    echo "FAILED: $1: $2"
    FAILURES=$((FAILURES + 1))
  fi
}
check_equal() { # description, expected, got
  if [ "$2" = "$3" ]; then echo "ok: $1"; else
    echo "FAILED: $1: expected '$2', got '$3'"
    FAILURES=$((FAILURES + 1))
  fi
}
check_at_most() { # description, bound, got
  if [ "${3:-}" != "" ] && [ "$3" -le "$2" ]; then echo "ok: $1: $3 (at most $2)"; else
    echo "FAILED: $1: got '${3:-}', at most $2"
    FAILURES=$((FAILURES + 1))
  fi
}

# Checks what must hold in every run, from the counts that the targets keep.
check_targets() {
  fetch "$TARGET_CONTROL/counts" > "$WORK/targets.json"
  check "no target over its slots" '.totals.over_slots == 0' "$WORK/targets.json"
  check "no second execution" '.totals.second_executions == 0' "$WORK/targets.json"
  check "no key seen by a target" '.totals.keys_seen == 0' "$WORK/targets.json"
}

# check_load REPORT [DESCRIPTION CONDITION]: every request has an outcome in the
# report; no response is lost, truncated or belongs to another request.
check_load() {
  check "every request is accounted for" '.totals | .sent == .done + .not_run + .unknown + .lost' "$1"
  check "no lost, wrong or truncated response" '.totals | .lost == 0 and .wrong == 0 and .truncated == 0' "$1"
  if [ $# -gt 1 ]; then check "$2" "$3" "$1"; fi
}

# Checks the rate of store calls since the last reset-counts. An open watch counts
# as one call per second.
check_store_calls() {
  fetch "$STORE_CONTROL/counts" > "$WORK/store.json"
  jq -c . "$WORK/store.json"
  check "store calls below 50 per second" '(.reads + .writes) / .seconds + .max_watches < 50' "$WORK/store.json"
  check "no burst above 300 store calls per second" \
    '.rejected == 0 and .max_reads_per_second + .max_writes_per_second <= 300' "$WORK/store.json"
}

# revision VM DOCUMENT: the revision of savory/v1/DOCUMENT in force on the VM, or 0.
revision() { status "$1" | jq -r ".revisions[\"savory/v1/$2\"] // 0"; }

# check_in_force SECONDS REVISION VM...: this revision of the configuration is in
# force on each VM within the given time.
check_in_force() {
  local seconds=$1 wanted=$2 began
  shift 2
  began=$(now_ms)
  in_force() { [ "$(revision "$1" config)" = "$2" ]; }
  for it in "$@"; do await "$seconds" "revision $wanted on $it" in_force "$it" "$wanted"; done
  check_at_most "revision $wanted on $# daemons, ms" $((seconds * 1000)) $(($(now_ms) - began))
}

# probe NAME VM PER_SECOND COUNT PATH [KEY]: sends sequential requests on one
# kept-alive connection. Writes a line per response to $WORK/NAME.VM: time in ms,
# HTTP status, number of connections opened.
probe() {
  curl -s --rate "$3/s" -o /dev/null -w '%{stderr}%{http_code} %{num_connects}\n' \
    -H "X-Tenant-Key: ${6:-}" "http://$(caller_address "$2")/svc/$5?n=[1-$4]" 2>&1 > /dev/null |
    while read -r line; do echo "$(now_ms) $line"; done > "$WORK/$1.$2" &
  PIDS[probe-$1-$2]=$!
}
key_of() { jq -r --arg team "$1" '.[] | select(.team == $team) | .key' "$DEPLOY/keys.json"; }
# last_status, first_status STATUS FILE...: time in ms of the last, or first,
# response with this HTTP status; 0 when there is none.
last_status() { awk -v s="$1" '$2 == s && $1 > t {t = $1} END {print t + 0}' OFMT=%.0f "${@:2}"; }
first_status() { awk -v s="$1" '$2 == s && (!t || $1 < t) {t = $1} END {print t + 0}' OFMT=%.0f "${@:2}"; }

finish() {
  if [ "$FAILURES" -gt 0 ]; then
    echo "$FAILURES checks failed"
    exit 1
  fi
  echo "all checks passed"
}

# make_plan FRACTION [SERVICE]: writes $WORK/plan.json, in which each team calls its
# services, or only SERVICE, at this fraction of its rate.
make_plan() {
  jq -n --slurpfile c "$DEPLOY/config.json" --slurpfile k "$DEPLOY/keys.json" \
    --argjson fraction "$1" --arg only "${2:-}" -f "$ROOT/testsuite/plan.jq" > "$WORK/plan.json"
}

# make_tiles_plan RATE: writes a plan of requests without a key to the service tiles,
# RATE per second in total, from one client in each region.
make_tiles_plan() {
  jq -n --argjson rate "$1" '{streams: [("10.1.0.1", "10.2.0.1", "10.3.0.1") as $client |
    {team: "public-charts", service: "tiles", rate: ($rate / 3), path: "/tiles/item",
     deadline_ms: 3000, client: $client}]}' > "$WORK/plan.json"
}

# events NAME: prints the events with this name from the logs of all VMs.
events() {
  for it in "${VMS[@]}"; do grep -h "\"$1\"" "$WORK/$it.log"; done |
    jq -c --arg name "$1" 'select(.name == $name)'
}

# start_rollout SECONDS [NAME]: starts a rollout whose deadline is SECONDS from now.
start_rollout() {
  DEADLINE=$(($(date +%s) + $1))
  STARTED_MS=$(now_ms)
  ROLLOUT=${2:-tiles-v2}
  jq --argjson now "$(date +%s)" --argjson due "$DEADLINE" --arg name "$ROLLOUT" \
    '.name = $name | .start = ($now | todate) | .deadline = ($due | todate)' \
    "$DEPLOY/rollout.json" > "$WORK/rollout.json"
  ctl rollout start "$WORK/rollout.json"
}

rollout_state() { ctl --json rollout status | jq -r '[.. | objects | select(has("share_percent"))][0].state'; }
rollout_is() { [ "$(rollout_state)" = "$1" ]; }

# Checks for each second since the start of the last rollout that v2 got no more
# than the share in force. Each daemon may exceed its share by less than one
# request, so the bound allows one request per daemon.
check_share() {
  fetch "$TARGET_CONTROL/counts" > "$WORK/targets.json"
  # Steps of a late rollout are logged as rollout_late.
  { events rollout_stepped; events rollout_late; } |
    jq -s --arg name "$ROLLOUT" 'map(select(.rollout == $name)) | sort_by(.time_ms)' > "$WORK/steps.json"
  jq -n --slurpfile c "$WORK/targets.json" --slurpfile e "$WORK/steps.json" --argjson vms "${#VMS[@]}" \
    --argjson start "$STARTED_MS" '
    $c[0].totals.versions as $v | $e[0] as $steps |
    # 1200: the second itself plus 200 ms, the longest time from the choice of a version
    # until its request reaches the target.
    [$v.v1.by_second | to_entries[] | (.key | tonumber) as $s | select($s * 1000 > $start - 1000) |
     ($v.v2.by_second[.key] // 0) as $new | [$steps[] | select(.time_ms < $s * 1000 + 1200)] as $known |
     {second: $s, new: $new, all: (.value + $new), share: ([$known[].share_ppm] | max // 0),
      proven: any($known[]; .proven)}] as $rows | [$rows[] | select(.proven | not)] as $unproven |
    {above: [$rows[] | select(.new > .all * .share / 1e6 + $vms)],
     unproven_share: ([$steps[] | select(.proven | not) | .share_ppm] | max // 0),
     unproven_new: ([$unproven[].new] | add // 0), unproven_all: ([$unproven[].all] | add // 0),
     new: ([$rows[].new] | add // 0), steps: [$steps[] | [.time_ms - $start, .share_ppm]]}' > "$WORK/share.json"
  check "v2 was used" '.new > 0' "$WORK/share.json"
  check "no second with more of v2 than the share in force" '.above == []' "$WORK/share.json"
  # The cap is 5% (cap_percent in rollout.json), i.e. 50,000 ppm.
  check "no share above the cap while unproven" '.unproven_share <= 50000' "$WORK/share.json"
  check "v2 got at most the cap while unproven" \
    ".unproven_new <= .unproven_all * 0.05 + ${#VMS[@]}" "$WORK/share.json"
  jq -c . "$WORK/share.json"
}

# Time in ms of the first rollout_stopped event since the start of the last rollout,
# or nothing.
stopped_at() {
  events rollout_stopped | jq -s --argjson start "$STARTED_MS" \
    'map(select(.time_ms >= $start)) | min_by(.time_ms) // empty | .time_ms'
}
is_stopped() { [ -n "$(stopped_at)" ]; }

# Checks that v2 gets no request later than 2 s after the first daemon stopped the
# rollout.
check_stopped() {
  local stopped
  stopped=$(stopped_at)
  sleep 3.5
  echo "stopped after $((stopped - STARTED_MS)) ms:" \
    "$(events rollout_stopped | jq -s --argjson start "$STARTED_MS" 'map(select(.time_ms >= $start))[0].reason')"
  check_share
  check_equal "requests to v2 later than 2 s after the stop" 0 "$(jq --argjson at "${stopped:-0}" \
    '[.totals.versions.v2.by_second | to_entries[] | select((.key | tonumber) * 1000 >= $at + 2000) | .value] | add // 0' \
    "$WORK/targets.json")"
}

# Checks that the rollout's recorded state becomes "taken back" and stays so, and
# that one event reports it.
check_taken_back() {
  await 5 "the rollout state 'taken back'" rollout_is "taken back"
  sleep 2
  check_equal "the rollout is recorded as taken back" "taken back" "$(rollout_state)"
  check_equal "number of rollout_taken_back events" 1 "$(events rollout_taken_back | grep -c "\"$ROLLOUT\"")"
  check_equal "number of rollout_done events" 0 "$(events rollout_done | wc -l)"
}
set_v2_fault() { put "$TARGET_CONTROL/set?service=tiles&with_version=v2&$1"; }
