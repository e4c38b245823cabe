#!/usr/bin/env bash
# Measures the time from the start of a fleet until it has written nothing to the
# store for 5 s (at most 45 s), and its cost in the 10 s after that.
#   settled.sh BIN N
. "$(dirname "$0")/fleet.sh" "$1"
make_vms "$2"
start_store
reset_store_counts
start_daemons
last=-1 quiet_seconds=0
while [ "$quiet_seconds" -lt 5 ] && [ $(($(now_ms) - STARTED)) -lt 45000 ]; do
  sleep 1
  writes=$(store_counts | jq .writes)
  quiet_seconds=$([ "$writes" = "$last" ] && echo $((quiet_seconds + 1)) || echo 0)
  last=$writes
done
settled=$(($(now_ms) - STARTED))
reset_store_counts
t0=$(now_ms) ticks=$(cpu_ticks) bytes=$(metric peer_bytes_sent)
sleep 10
ticks=$(($(cpu_ticks) - ticks)) bytes=$(($(metric peer_bytes_sent) - bytes)) ms=$(($(now_ms) - t0))
store_counts | jq -c --argjson n "$N" --argjson quiet "$quiet_seconds" --argjson settled "$settled" --argjson start "$writes" \
  --argjson ticks "$ticks" --argjson hz "$(getconf CLK_TCK)" --argjson bytes "$bytes" --argjson ms "$ms" \
  --arg rss "$(resident_kb)" --arg load "$(cut -d' ' -f1 /proc/loadavg)" '
  {n: $n, quiet_seconds: $quiet, waited_ms: $settled, writes_until_then: $start,
   cpu_percent: ($ticks / $hz / ($ms / 1000) / $n * 100), peer_bytes_s: ($bytes / $n / ($ms / 1000)),
   writes, reads, seconds, max_watches, vm_list_reads, rss_kb: $rss, load_average: $load}'
