#!/usr/bin/env bash
# Starts each deployment, or the given one, on loopback, sends traffic of all its
# teams and services and prints the outcomes of the requests.
# Usage: demo.sh BIN [marine|cooperative]
. "$(dirname "$0")/fleet.sh" "$1"

demo() {
  use_deployment "$1"
  echo "== $1: ten VMs, $(jq length "$DEPLOY/targets.json") targets, one store, all on loopback"
  start_fleet 15
  make_plan 0.25
  start_load 10 "$WORK/plan.json" "$WORK/report"
  finish_load
  cat "$WORK/report.table"
  check "every request is accounted for" \
    '.totals | .sent == .done + .not_run + .unknown + .lost' "$WORK/report"
  check_targets
  ctl status $(for it in "${VMS[@]}"; do echo "--daemon $(admin_address "$it")"; done) | head -40
  stop_all
  WORK=$(mktemp -d)
  PIDS=()
}

for it in ${2:-marine cooperative}; do demo "$it"; done
finish
