#!/usr/bin/env bash
# Guards against a planned stop that truncates, loses or refuses requests or resets
# connections, against lookups that still name the stopped VM, and against targets,
# partitions and rates that stay without an owner until the leases of the stopped VM
# expire.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10
make_plan 0.2
KEY=$(key_of port-authority)
head -c 500000 /dev/zero > "$WORK/body"

# Callers that use no lookups and keep sending to the VM until its port is closed.
jq -n --arg key "$KEY" '{streams: [
  {team: "public-charts", service: "tiles", rate: 100, path: "/tiles/item", deadline_ms: 3000},
  {team: "port-authority", service: "permits", key: $key, rate: 100, path: "/permits/item", method: "POST",
   body_bytes: 300, at_most_once: true, repeat_ppm: 20000, deadline_ms: 3000}]}' > "$WORK/direct.json"
start_direct() { # VM OTHER
  "$BIN/standins/loadgen" --daemon "$(caller_address "$1")" --daemon "$(caller_address "$2")" --no-lookup --plan "$WORK/direct.json" \
    --seconds 11 --threads 50 --max-in-flight 100 --seed 7 --report "$WORK/direct.$1" > /dev/null 2>&1 &
  PIDS[direct-$1]=$!
}
# start_upload VM NAME: an upload of 5 s; writes the response headers to
# $WORK/upload.VM.NAME.
start_upload() {
  curl -s -m 20 --limit-rate 100K --data-binary "@$WORK/body" -D "$WORK/upload.$1.$2" -o /dev/null \
    -H "X-Tenant-Key: $KEY" -H "X-Deadline-Ms: 20000" -H "Expect:" "http://$(caller_address "$1")/svc/uploads/uploads/item" &
  PIDS[upload-$1-$2]=$!
}
# start_reader VM: ten reads per second on one connection. Writes exit code of curl,
# HTTP status and number of connections opened to $WORK/reader.VM, the headers to
# $WORK/reader.VM.head.
start_reader() {
  curl -s --rate 10/s -m 5 -o /dev/null -D "$WORK/reader.$1.head" -w '%{stderr}%{exitcode} %{http_code} %{num_connects}\n' \
    "http://$(caller_address "$1")/svc/tiles/tiles/item?n=[1-90]" 2> "$WORK/reader.$1" &
  PIDS[reader-$1]=$!
}
# start_idle VM: sends one request on a connection and then keeps it idle. Writes all
# received data and the way in which the connection ended to $WORK/idle.VM.
start_idle() {
  (
    exec 3<> "/dev/tcp/127.0.0.1/$(vm_setting "$1" caller_port)"
    printf 'GET /v1/lookup?service=tiles HTTP/1.1\r\nHost: x\r\n\r\n' >&3
    timeout 20 cat <&3 > "$WORK/idle.$1"
    echo "end $?" >> "$WORK/idle.$1"
  ) 2> "$WORK/idle.$1.err" &
  PIDS[idle-$1]=$!
}
# watch_lookups VM: queries lookups of all daemons and writes the time and the number
# of occurrences of the VM to $WORK/lookups.VM.
watch_lookups() {
  local urls=() it client
  for it in "${VMS[@]}"; do
    # The clients of the plan, since lookups spread the blocks of a region over its VMs.
    for client in 10.{1,2,3}.{1,2,3}.1; do
      urls+=("http://$(caller_address "$it")/v1/lookup?service=tiles&client=$client")
    done
  done
  while :; do
    echo "$(now_ms) $(curl -s -Z -m 1 "${urls[@]}" 2> /dev/null | grep -o "\"name\":\"$1\"" | wc -l)"
    sleep 0.05
  done > "$WORK/lookups.$1" &
  PIDS[lookups-$1]=$!
}
# zone_ownership VM...: targets, partitions and rate that the VMs own together.
zone_ownership() {
  for it in "$@"; do status "$it"; done | jq -sc 'map(.membership) | {targets: map(.targets) | add | sort,
    partitions: map(.partitions) | add | sort, rate: map(.rate_ppm) | add}'
}
wait_for_job() { # NAME
  wait "${PIDS[$1]}"
  local code=$?
  unset "PIDS[$1]"
  return $code
}

# drain_under_load VM OTHER COMMAND...: stops the VM by the command; OTHER is the only
# other VM of its zone.
drain_under_load() {
  local vm=$1 other=$2 before started began code ended
  shift 2
  before=$(zone_ownership "$vm" "$other")
  watch_lookups "$vm"
  start_direct "$vm" "$other"
  started=$(now_ms)
  start_reader "$vm"
  start_idle "$vm"
  start_upload "$vm" before
  sleep 1
  is_named() { awk '$2 > 0 {n = 1} END {exit !n}' "$WORK/lookups.$1"; }
  await 5 "lookups to name $vm before the stop" is_named "$vm"
  began=$(now_ms)
  "$@" || check_equal "exit code of the command" 0 $?
  sleep 2
  start_upload "$vm" during
  wait_for_job "$vm"
  code=$?
  ended=$(now_ms)
  check_equal "exit code of $vm" 0 "$code"
  ctl --json ownership show | jq --arg vm "$vm" --arg zone "$(vm_setting "$other" zone)" \
    '[.. | objects | select(.zone? == $zone) | .. | strings | select(. == $vm)]' > "$WORK/left"
  check "$vm owns nothing in the owner map at its exit" '. == []' "$WORK/left"
  owns_all() { [ "$(zone_ownership "$1")" = "$2" ]; }
  await 5 "$other to own everything in the zone" owns_all "$other" "$before"
  check_at_most "$other owns everything that $vm owned, ms after its exit" 1000 $(($(now_ms) - ended))
  echo "$vm: $(jq -c 'select(.name == "daemon_stopped") | {drain_ms, in_flight, accepted_all}' "$WORK/$vm.log")"
  check_at_most "drain time of $vm, ms" 30000 $((ended - began))
  for it in upload-$vm-before upload-$vm-during; do check_equal "curl's exit code of $it" 0 "$(wait_for_job "$it"; echo $?)"; done
  for it in before during; do
    check_equal "upload begun $it the stop" "200 done" \
      "$(tr -d '\r' < "$WORK/upload.$vm.$it" | awk 'NR == 1 {s = $2} tolower($1) == "x-outcome:" {o = $2} END {print s, o}')"
  done
  for it in reader-$vm idle-$vm direct-$vm; do wait_for_job "$it"; done
  kill "${PIDS[lookups-$vm]}"
  wait_for_job "lookups-$vm" 2> /dev/null
  check_at_most "last lookup that names $vm after the stop, ms" 3000 \
    $(($(awk -v OFMT=%.0f '$2 > 0 {t = $1} END {print t + 0}' "$WORK/lookups.$vm") - began))
  # Exit code 7 of curl: no connection was established, so no request was sent.
  check_equal "reads that were truncated, reset or refused by status" "" "$(awk '!($1 == 7 || ($1 == 0 && $2 == 200))' "$WORK/reader.$vm")"
  # Ten per second until the stop began; two may be in progress at that moment.
  check_at_most "reads on a reused connection" $(((began - started) / 100 + 3)) \
    "$(awk '$1 == 0 && $3 == 0' "$WORK/reader.$vm" | wc -l)"
  check_equal "responses close their connection during the stop" true "$([ "$(grep -ci '^connection: close' \
    "$WORK/reader.$vm.head")" -ge 20 ] && echo true)"
  check_equal "the idle connection ended without a reset" "end 0" "$(tail -1 "$WORK/idle.$vm")"
  check_equal "Connection: close header on the idle connection" 1 "$(grep -ci '^connection: close' "$WORK/idle.$vm")"
  jq -c '[.totals, .streams[] | select(.) | .not_run_by_reason, .unknown_by_reason, .lost_by_reason] | map(select(length > 0))' \
    "$WORK/direct.$vm"
  check_load "$WORK/direct.$vm" "callers without lookups: all requests done" '.totals | .sent > 1500 and .done == .sent'
  check "the stopped VM and the other VM of its zone served them" "[.streams[].served_by | keys[]] | contains([\"$vm\", \"$other\"])" \
    "$WORK/direct.$vm"
}

start_load 34 "$WORK/plan.json" "$WORK/report"
sleep 1
drain_under_load tema-a-1 tema-a-2 kill -TERM "${PIDS[tema-a-1]}"

address=$(admin_address takoradi-a-2)
check_equal "status of a daemon" takoradi-a-2 "$(ctl --json status --daemon "$address" | jq -r ".daemons[\"$address\"].vm")"
ctl status --daemon "$address" > /dev/null
check_equal "exit code of status" 0 $?
ctl status --daemon "$address" --daemon "$(admin_address tema-a-1)" > /dev/null 2>&1
check_equal "exit code of status with a stopped daemon" 3 $?
ctl drain vm takoradi-a-1 --admin "$address" > /dev/null 2>&1
check_equal "exit code of a drain with the name of another VM" 5 $?
check_equal "that drain has no effect" false "$(status takoradi-a-2 | jq .departing)"
drain_under_load takoradi-a-2 takoradi-a-1 ctl drain vm takoradi-a-2 --admin "$address"
ctl drain vm takoradi-a-2 --admin "$address" > /dev/null 2>&1
check_equal "exit code of a drain of a stopped daemon" 3 $?

finish_load
tail -3 "$WORK/report.table"
check_load "$WORK/report" "no request was refused or has an unknown outcome" '.totals | .sent > 3000 and .done == .sent'
check "no request skipped by the load generator" '.totals.skipped == 0' "$WORK/report"
check_targets
finish
