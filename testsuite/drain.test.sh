#!/usr/bin/env bash
# Guards against a planned stop that cuts, loses or refuses requests, resets
# connections, is still named by lookups, or leaves what it owned to lapse.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10
make_plan 0.2
KEY=$(key_of port-authority)
head -c 500000 /dev/zero > "$WORK/body"

# Callers that ignore lookups and stay with the VM until its port is closed.
jq -n --arg key "$KEY" '{streams: [
  {team: "public-charts", service: "tiles", rate: 100, path: "/tiles/item", deadline_ms: 3000},
  {team: "port-authority", service: "permits", key: $key, rate: 100, path: "/permits/item", method: "POST",
   body_bytes: 300, at_most_once: true, repeat_ppm: 20000, deadline_ms: 3000}]}' > "$WORK/direct.json"
start_direct() { # VM OTHER
  "$BIN/standins/loadgen" --daemon "$(caller "$1")" --daemon "$(caller "$2")" --no-lookup --plan "$WORK/direct.json" \
    --seconds 11 --threads 50 --max-in-flight 100 --seed 7 --report "$WORK/direct.$1" > /dev/null 2>&1 &
  PIDS[direct-$1]=$!
}
# An upload of 5 s; its status and outcome go to $WORK/upload.VM.NAME.
start_upload() { # VM NAME
  curl -s -m 20 --limit-rate 100K --data-binary "@$WORK/body" -D "$WORK/upload.$1.$2" -o /dev/null \
    -H "X-Tenant-Key: $KEY" -H "X-Deadline-Ms: 20000" -H "Expect:" "http://$(caller "$1")/svc/uploads/uploads/item" &
  PIDS[upload-$1-$2]=$!
}
# Reads on one connection, ten a second: time, exit code of curl, status, new
# connections.
start_reader() { # VM
  curl -s --rate 10/s -m 5 -o /dev/null -D "$WORK/reader.$1.head" -w '%{stderr}%{exitcode} %{http_code} %{num_connects}\n' \
    "http://$(caller "$1")/svc/tiles/tiles/item?n=[1-90]" 2> "$WORK/reader.$1" &
  PIDS[reader-$1]=$!
}
# A connection that is used once and then idle; all that comes is kept.
start_idle() { # VM
  (
    exec 3<> "/dev/tcp/127.0.0.1/$(vm_port "$1" caller_port)"
    printf 'GET /v1/lookup?service=tiles HTTP/1.1\r\nHost: x\r\n\r\n' >&3
    timeout 20 cat <&3 > "$WORK/idle.$1"
    echo "end $?" >> "$WORK/idle.$1"
  ) 2> "$WORK/idle.$1.err" &
  PIDS[idle-$1]=$!
}
# Time and number of lookup responses that name the VM, over all daemons.
watch_lookups() { # VM
  local urls=() it client
  for it in "${VMS[@]}"; do
    # Clients of the plan: lookups spread the blocks of a region over its VMs.
    for client in 10.{1,2,3}.{1,2,3}.1; do
      urls+=("http://$(caller "$it")/v1/lookup?service=tiles&client=$client")
    done
  done
  while :; do
    echo "$(now_ms) $(curl -s -Z -m 1 "${urls[@]}" 2> /dev/null | grep -o "\"name\":\"$1\"" | wc -l)"
    sleep 0.05
  done > "$WORK/lookups.$1" &
  PIDS[lookups-$1]=$!
}
# What the members of a zone own together.
zone_sum() { # VM...
  for it in "$@"; do status "$it"; done | jq -sc 'map(.membership) | {targets: map(.targets) | add | sort,
    partitions: map(.partitions) | add | sort, rate: map(.rate_ppm) | add}'
}
join() { # JOB
  wait "${PIDS[$1]}"
  local code=$?
  unset "PIDS[$1]"
  return $code
}

# drain_under_load VM OTHER COMMAND...: OTHER is the one other VM of its zone.
drain_under_load() {
  local vm=$1 other=$2 before started began code ended
  shift 2
  before=$(zone_sum "$vm" "$other")
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
  join "$vm"
  code=$?
  ended=$(now_ms)
  check_equal "exit code of $vm" 0 "$code"
  ctl --json ownership show | jq --arg vm "$vm" --arg zone "$(vm_port "$other" zone)" \
    '[.. | objects | select(.zone? == $zone) | .. | strings | select(. == $vm)]' > "$WORK/left"
  check "nothing is left to $vm in the owner map at its exit" '. == []' "$WORK/left"
  owns_all() { [ "$(zone_sum "$1")" = "$2" ]; }
  await 5 "$other to own all" owns_all "$other" "$before"
  check_at_most "all of $vm is owned by others after its exit, ms" 1000 $(($(now_ms) - ended))
  echo "$vm: $(jq -c 'select(.name == "daemon_stopped") | {drain_ms, in_flight, accepted_all}' "$WORK/$vm.log")"
  check_at_most "drain time of $vm, ms" 30000 $((ended - began))
  for it in upload-$vm-before upload-$vm-during; do check_equal "curl's exit code of $it" 0 "$(join "$it"; echo $?)"; done
  for it in before during; do
    check_equal "upload begun $it the stop" "200 done" \
      "$(tr -d '\r' < "$WORK/upload.$vm.$it" | awk 'NR == 1 {s = $2} tolower($1) == "x-outcome:" {o = $2} END {print s, o}')"
  done
  for it in reader-$vm idle-$vm direct-$vm; do join "$it"; done
  kill "${PIDS[lookups-$vm]}"
  join "lookups-$vm" 2> /dev/null
  check_at_most "last lookup that names $vm after the stop, ms" 3000 \
    $(($(awk -v OFMT=%.0f '$2 > 0 {t = $1} END {print t + 0}' "$WORK/lookups.$vm") - began))
  # Exit code 7: no connection, so nothing was sent.
  check_equal "reads that were cut, reset or refused by status" "" "$(awk '!($1 == 7 || ($1 == 0 && $2 == 200))' "$WORK/reader.$vm")"
  # Ten a second until the stop began; two may be under way then.
  check_at_most "reads on a kept connection" $(((began - started) / 100 + 3)) \
    "$(awk '$1 == 0 && $3 == 0' "$WORK/reader.$vm" | wc -l)"
  check_equal "responses end their connection during the stop" true "$([ "$(grep -ci '^connection: close' \
    "$WORK/reader.$vm.head")" -ge 20 ] && echo true)"
  check_equal "the idle connection ended without a reset" "end 0" "$(tail -1 "$WORK/idle.$vm")"
  check_equal "last words on the idle connection" 1 "$(grep -ci '^connection: close' "$WORK/idle.$vm")"
  jq -c '[.totals, .streams[] | select(.) | .not_run_by_reason, .unknown_by_reason, .lost_by_reason] | map(select(length > 0))' \
    "$WORK/direct.$vm"
  check_load "$WORK/direct.$vm" "callers that stay: all done" '.totals | .sent > 1500 and .done == .sent'
  check "the stopped VM and the other one served them" "[.streams[].served_by | keys[]] | contains([\"$vm\", \"$other\"])" \
    "$WORK/direct.$vm"
}

start_load 34 "$WORK/plan.json" "$WORK/report"
sleep 1
drain_under_load tema-a-1 tema-a-2 kill -TERM "${PIDS[tema-a-1]}"

at=$(admin takoradi-a-2)
check_equal "status of a daemon" takoradi-a-2 "$(ctl --json status --daemon "$at" | jq -r ".daemons[\"$at\"].vm")"
ctl status --daemon "$at" > /dev/null
check_equal "exit code of status" 0 $?
ctl status --daemon "$at" --daemon "$(admin tema-a-1)" > /dev/null 2>&1
check_equal "exit code of status with a stopped daemon" 3 $?
ctl drain vm takoradi-a-1 --admin "$at" > /dev/null 2>&1
check_equal "exit code of a drain by another name" 5 $?
check_equal "that drain has no effect" false "$(status takoradi-a-2 | jq .departing)"
drain_under_load takoradi-a-2 takoradi-a-1 ctl drain vm takoradi-a-2 --admin "$at"
ctl drain vm takoradi-a-2 --admin "$at" > /dev/null 2>&1
check_equal "exit code of a drain of a stopped daemon" 3 $?

finish_load
tail -3 "$WORK/report.table"
check_load "$WORK/report" "no request was refused or uncertain" '.totals | .sent > 3000 and .done == .sent'
check "no request skipped by the load generator" '.totals.skipped == 0' "$WORK/report"
check_targets
finish
