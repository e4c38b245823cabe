#!/usr/bin/env bash
# Measures a deployment on loopback: latency added by the daemons, store calls,
# CPU time and the outcomes of requests. Run it on an idle machine; it is not a
# pass/fail test. FRACTION is the part of its rate at which each team sends.
# Usage: bench.sh BIN [marine|cooperative] [FRACTION] [SERVICE_MS] [SECONDS]
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment "${2:-marine}"
fraction=${3:-0.5} service_ms=${4:-40} seconds=${5:-20}
VM_EXTRA=${VM_EXTRA:-'{log_decisions: false}'}
start_fleet "$service_ms"
make_plan "$fraction"
fetch "$STORE_CONTROL/counts" > "$WORK/store_before.json"
# CPU time in ms; a clock tick is 10 ms.
cpu_ms() { awk '{print ($14 + $15) * 10}' "/proc/${PIDS[$1]}/stat"; }
# Start minus end; negated when it is printed.
cpu_difference=0
for it in "${VMS[@]}"; do cpu_difference=$((cpu_difference + $(cpu_ms "$it"))); done
start_load "$seconds" "$WORK/plan.json" "$WORK/report"
finish_load
for it in "${VMS[@]}"; do cpu_difference=$((cpu_difference - $(cpu_ms "$it"))); done
fetch "$STORE_CONTROL/counts" > "$WORK/store_after.json"
cat "$WORK/report.table"
for it in "${VMS[@]}"; do fetch "http://$(admin_address "$it")/metrics"; done > "$WORK/metrics"

# Sums the cumulative histogram buckets of all daemons and prints the upper bounds
# of percentiles.
sed -nE 's/^savorylb_added_seconds_bucket.*le="([^"]+)"\} ([0-9.e+]+)$/\1 \2/p' "$WORK/metrics" |
  awk '{n[$1] += $2} END {for (le in n) print (le == "+Inf" ? 1e9 : le), n[le]}' | sort -g |
  awk '{le[NR] = $1; n[NR] = $2} END {
    split("0.5 0.9 0.99", ps, " ")
    for (i = 1; i <= 3; ++i) for (j = 1; j <= NR; ++j) if (n[j] >= n[NR] * ps[i]) {
      printf "added latency, %s%%: at most %.2f ms (%d requests)\n", ps[i] * 100, le[j] * 1000, n[NR]; break } }'
# The same per stage of a request.
sed -nE 's/^savorylb_stage_seconds_bucket.*stage="([a-z]+)",le="([^"]+)"\} ([0-9.e+]+)$/\1 \2 \3/p' "$WORK/metrics" |
  awk '{n[$1 " " $2] += $3} END {for (k in n) {split(k, p, " "); print p[1], (p[2] == "+Inf" ? 1e9 : p[2]), n[k]}}' |
  sort -k1,1 -k2,2g | awk '
    $1 != stage {if (stage) print_stage(); stage = $1; rows = 0}
    {le[++rows] = $2; n[rows] = $3}
    END {print_stage()}
    function at(p, j) {for (j = 1; j <= rows; ++j) if (n[j] >= n[rows] * p) return le[j] * 1000}
    function print_stage() {printf "stage %s: median %.2f ms, 99%% %.2f ms (%d)\n", stage, at(0.5), at(0.99), n[rows]}'
jq -n --slurpfile a "$WORK/store_before.json" --slurpfile b "$WORK/store_after.json" --argjson s "$seconds" \
  '($b[0].reads + $b[0].writes - $a[0].reads - $a[0].writes) / $s | "store calls per second: \(.)"' -r
echo "daemon CPU time per second: $((-cpu_difference / seconds)) ms for ${#VMS[@]} daemons"
jq -r '.totals | "sent \(.sent) done \(.done) not-run \(.not_run) unknown \(.unknown) lost \(.lost)"' "$WORK/report"
check_targets
