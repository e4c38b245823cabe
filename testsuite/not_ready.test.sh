#!/usr/bin/env bash
# Guards against a VM that refuses routes or keys before it has the configuration:
# callers would take that for a permanent refusal that holds for all VMs.
. "$(dirname "$0")/fleet.sh" "$1"
VM_EXTRA='{seeds: []}'
use_deployment marine
start_vm tema-a-1
await 5 "the daemon to listen" fetch "http://$(admin_address tema-a-1)/healthz"
for it in "" demo-key-not-secret; do
  check_equal "status with key '$it'" "503" "$(fetch -o "$WORK/body" -w '%{http_code}' -H "X-Tenant-Key: $it" \
    "http://$(caller_address tema-a-1)/svc/tiles/tiles/item")"
  check_equal "reason with key '$it'" "not-run not-ready" "$(jq -r '.outcome + " " + .reason' "$WORK/body")"
done
finish
