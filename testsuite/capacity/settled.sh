#!/usr/bin/env bash
# Time until a started fleet writes nothing for 5 s (at most 45 s), and its cost
# in the 10 s after that.
#   settled.sh BUILD_SRC N
. "$(dirname "$0")/fleet.sh" "$1"
make_vms "$2"
start_platform
reset_counts
start_daemons
last=-1 same=0
while [ "$same" -lt 5 ] && [ $(($(now_ms) - STARTED)) -lt 45000 ]; do
  sleep 1
  writes=$(counts | jq .writes)
  same=$([ "$writes" = "$last" ] && echo $((same + 1)) || echo 0)
  last=$writes
done
settled=$(($(now_ms) - STARTED))
reset_counts
t0=$(now_ms) ticks=$(processes) bytes=$(metric peer_bytes_sent)
sleep 10
ticks=$(($(processes) - ticks)) bytes=$(($(metric peer_bytes_sent) - bytes)) ms=$(($(now_ms) - t0))
counts | jq -c --argjson n "$N" --argjson quiet "$same" --argjson settled "$settled" --argjson start "$writes" \
  --argjson ticks "$ticks" --argjson hz "$(getconf CLK_TCK)" --argjson bytes "$bytes" --argjson ms "$ms" \
  --arg rss "$(resident_kb)" --arg load "$(cut -d' ' -f1 /proc/loadavg)" '
  {n: $n, quiet_seconds: $quiet, waited_ms: $settled, writes_until_then: $start,
   cpu_percent: ($ticks / $hz / ($ms / 1000) / $n * 100), peer_bytes_s: ($bytes / $n / ($ms / 1000)),
   writes, reads, seconds, max_watches, vm_list_reads, rss_kb: $rss, load_average: $load}'
