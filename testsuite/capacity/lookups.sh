#!/usr/bin/env bash
# Measures the lookups per second of one daemon on one core, with N known VMs and B
# client blocks.
#   lookups.sh BIN [N [B]]
. "$(dirname "$0")/fleet.sh" "$1"
make_vms "${2:-10}"
start_store "${3:-1000}"
start_daemons
await_leases 60 > /dev/null
core=$(taskset -cp $$ | sed 's/.*: //; s/[-,].*//')
taskset -acp "$core" "${PIDS[vm-000]}" > /dev/null
for threads in 1 4 16; do
  "$BIN/standins/loadgen" --daemon 127.0.0.1:16000 --lookups tiles --threads "$threads" --seconds 8 \
    | jq -c --argjson n "$N" --argjson b "${3:-1000}" --argjson c "$threads" '{vms: $n, blocks: $b, connections: $c} + .'
done
