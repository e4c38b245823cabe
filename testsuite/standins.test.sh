#!/usr/bin/env bash
# Tests the stand-ins for store, targets and callers, since a fault in them would
# invalidate the other end-to-end tests.
set -uo pipefail
bin=$1/standins
base=${STANDINS_BASE_PORT:-25300}
dir=$(mktemp -d)
pids=()
failures=0
stop() {
  for it in "${pids[@]}"; do kill "$it" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap stop EXIT

check() { # description, expected, got
  if [ "$2" != "$3" ]; then
    echo "FAILED: $1: expected '$2', got '$3'"
    failures=$((failures + 1))
  fi
}
fetch() { curl -s -m 10 "$@"; }
put() { fetch -X PUT "$@"; }
http_status() { fetch -o /dev/null -w '%{http_code}' "$@"; }
await() {
  for _ in $(seq 100); do
    [ "$(http_status "$1")" != 000 ] && return
    sleep 0.05
  done
  echo "FAILED: no answer from $1"
  exit 1
}

kv=http://127.0.0.1:$base/v1
store_control=http://127.0.0.1:$((base + 1))/control
target_one=http://127.0.0.1:$((base + 2))
target_two=http://127.0.0.1:$((base + 3))
targets_control=http://127.0.0.1:$((base + 4))/control
echo '{"vms":[{"name":"a-1","zone":"a","region":"r","address":"127.0.1.1:7002","state":"live"}]}' > "$dir/vms.json"
cat > "$dir/targets.json" <<EOF
[{"name":"one","port":$((base + 2)),"slots":2,"version":"v1","zone":"a","service":"s"},
 {"name":"two","port":$((base + 3)),"slots":2,"version":"v2","zone":"a","service":"s"}]
EOF
"$bin/kvstandin" --port $base --control-port $((base + 1)) --vms "$dir/vms.json" > "$dir/kv.log" 2>&1 &
pids+=($!)
"$bin/targetstandin" --list "$dir/targets.json" --control-port $((base + 4)) --service-ms 200 \
  --distribution fixed --forbidden-value secret-1 > "$dir/targets.log" 2>&1 &
pids+=($!)
await "$kv/vms"
await "$target_one/health"

# Guards against two compare-and-set writes that both succeed.
check "create" true "$(put "$kv/kv/p/a?cas=0" -d one)"
check "create again" false "$(put "$kv/kv/p/a?cas=0" -d two)"
index=$(fetch "$kv/kv/p/a" | jq '.[0].ModifyIndex')
check "swap" true "$(put "$kv/kv/p/a?cas=$index" -d three)"
check "swap with an old index" false "$(put "$kv/kv/p/a?cas=$index" -d four)"
check "value" three "$(fetch "$kv/kv/p/a?raw")"
check "base64" three "$(fetch "$kv/kv/p/a" | jq -r '.[0].Value' | base64 -d)"
check "delete with an old index" false "$(fetch -X DELETE "$kv/kv/p/a?cas=$index")"
check "missing key" 404 "$(http_status "$kv/kv/none")"
head -c 1048577 /dev/zero > "$dir/big"
check "value above 1 MiB" 413 "$(http_status -X PUT "$kv/kv/big" --data-binary @"$dir/big")"
head -c 1048576 /dev/zero > "$dir/big"
check "value of 1 MiB" 200 "$(http_status -X PUT "$kv/kv/big" --data-binary @"$dir/big")"

# Guards against watches that miss a change, return for a change of another prefix,
# or return an index that decreases.
header() { fetch -D - -o /dev/null "$@" | tr -d '\r' | sed -n 's/^X-Consul-Index: //p'; }
index=$(header "$kv/kv/p/?recurse")
begin=$(date +%s%N)
header "$kv/kv/p/?recurse&index=$index&wait=5s" > "$dir/woken" &
watch=$!
sleep 0.3
put "$kv/kv/other/b" -d x > /dev/null
sleep 0.3
check "watch does not return for another prefix" "" "$(cat "$dir/woken")"
fetch -X DELETE "$kv/kv/p/a" > /dev/null
wait $watch
took=$((($(date +%s%N) - begin) / 1000000))
check "watch returns after the delete" 1 "$((took >= 550 && took < 2000))"
check "index increased by the delete" 1 "$(($(cat "$dir/woken") > index))"
index=$(cat "$dir/woken")
check "index is unchanged without a write" "$index" "$(header "$kv/kv/p/?recurse&index=$index&wait=200ms")"

# Guards against a rollback that does not increase the index of watches.
put "$kv/kv/p/c" -d old > /dev/null
put "$store_control/snapshot" > /dev/null
put "$kv/kv/p/c" -d new > /dev/null
index=$(header "$kv/kv/p/?recurse")
put "$store_control/rollback" > /dev/null
check "rolled back" old "$(fetch "$kv/kv/p/c?raw")"
check "index after the rollback" 1 "$(($(header "$kv/kv/p/?recurse") > index))"

# Guards against injected faults without the intended effect: a lost response whose
# write is lost too, an outage with responses, a blocked client that is served.
put "$store_control/lose-answers?n=1" > /dev/null
put "$kv/kv/p/d" -d kept > /dev/null
check "response lost" 52 "$?"
check "write applied" kept "$(fetch "$kv/kv/p/d?raw")"
put "$store_control/outage?on=1" > /dev/null
check "outage" 000 "$(http_status "$kv/kv/p/d")"
put "$store_control/outage?on=0" > /dev/null
put "$store_control/block?client=a-1" > /dev/null
check "blocked client" 000 "$(http_status -H 'X-Client-Id: a-1' "$kv/kv/p/d")"
check "other client" 200 "$(http_status -H 'X-Client-Id: a-2' "$kv/kv/p/d")"
put "$store_control/blackhole?on=1" > /dev/null
fetch -m 0.3 "$kv/kv/p/d" > /dev/null
check "blackhole" 28 "$?"
put "$store_control/blackhole?on=0" > /dev/null
check "after the blackhole" 200 "$(http_status "$kv/kv/p/d")"

# Guards against locks that stay held after their session ended, or that another
# session can release.
session=$(put "$kv/session/create" -d '{"TTL":"10s"}' | jq -r .ID)
other=$(put "$kv/session/create" -d '{"TTL":"10s"}' | jq -r .ID)
check "acquire" true "$(put "$kv/kv/lock?acquire=$session" -d 1)"
check "acquire a held lock" false "$(put "$kv/kv/lock?acquire=$other" -d 2)"
check "renew" 200 "$(http_status -X PUT "$kv/session/renew/$session")"
put "$kv/session/destroy/$session" > /dev/null
check "acquire after the session's end" true "$(put "$kv/kv/lock?acquire=$other" -d 2)"
check "release by another session" 500 "$(http_status -X PUT "$kv/kv/lock?release=$session" -d 3)"

# Guards against a VM list that ignores the configured delay.
check "listed VM" a-1 "$(fetch "$kv/vms" | jq -r '.vms[0].name')"
put "$store_control/vms-lag?ms=1000" > /dev/null
put "$store_control/vms" -d '[{"name":"a-2"}]' > /dev/null
check "list before the delay has passed" a-1 "$(fetch "$kv/vms" | jq -r '.vms[0].name')"
sleep 1.1
check "list after the delay" a-2 "$(fetch "$kv/vms" | jq -r '.vms[0].name')"

# Guards against rate limits that accept, or do not count, calls above the limit.
put "$store_control/reset-counts" > /dev/null
for _ in 1 2 3; do
  curl -s -o /dev/null -X PUT -d x "$kv/kv/rate/[1-400]" > /dev/null &
  writers+=($!)
done
wait "${writers[@]}"
check "most writes in a second" 300 "$(fetch "$store_control/counts" | jq .max_writes_per_second)"
check "writes above the limit" 1 "$(fetch "$store_control/counts" | jq '.rejected > 0' | grep -c true)"

# Guards against slots that do not limit concurrency and executions that are not
# counted.
count() { fetch "$targets_control/counts" | jq -r "$1"; }
check "echoed identity and nonce" "k-1 n-1 5 1" "$(fetch "$target_one/x" -d hello -H 'Idempotency-Key: k-1' \
  -H 'X-Attempt-Nonce: n-1' | jq -r '"\(.idempotency_key) \(.nonce) \(.body_bytes) \(.executed)"')"
fetch "$target_two/x" -d hello -H 'Idempotency-Key: k-1' > /dev/null
check "second execution" 1 "$(count .totals.second_executions)"
check "execution list" 2 "$(fetch "$targets_control/executions" | jq '[.[] | select(.key == "k-1").count] | add')"
for i in 1 2 3; do
  fetch "$target_one/slots/$i" > /dev/null &
  readers+=($!)
done
wait "${readers[@]}"
check "over slots" 1 "$(count .targets.one.over_slots)"
check "highest concurrency" 2 "$(count .targets.one.highest_concurrency)"
# A cancelled request releases its slot before the next request is counted.
for i in 1 2 3 4; do fetch -m 0.05 "$target_two/cancel/$i" > /dev/null; done
check "slots freed by cancelling" 0 "$(count .targets.two.over_slots)"
check "cancelled" 4 "$(count .targets.two.cancelled)"
check "deadline" unknown "$(fetch -D - -o /dev/null -H 'X-Deadline-Ms: 50' "$target_two/d" | tr -d '\r' \
  | sed -n 's/^X-Outcome: //p')"
check "forbidden values seen before one was sent" 0 "$(count .totals.keys_seen)"
fetch "$target_one/k" -H 'X-Other: is secret-1' > /dev/null
check "forbidden values seen after one was sent" 1 "$(count .totals.keys_seen)"
put "$targets_control/set?target=one&shed=1" > /dev/null
executed=$(count .targets.one.executed)
check "shed" 503 "$(http_status "$target_one/s" -d body)"
check "shed requests do not run" "$executed" "$(count .targets.one.executed)"
put "$targets_control/set?target=one&shed=0&truncate_ppm=1000000" > /dev/null
fetch "$target_one/t" > /dev/null
check "truncated" 18 "$?"
put "$targets_control/set?truncate_ppm=0&cross_ppm=1000000" > /dev/null
fetch "$target_one/c1" -H 'X-Attempt-Nonce: c-1' > "$dir/c1" &
first=$!
fetch "$target_one/c2" -H 'X-Attempt-Nonce: c-2' > "$dir/c2"
wait $first
check "crossed responses" "c-2 c-1" "$(jq -r .nonce "$dir/c1") $(jq -r .nonce "$dir/c2")"
put "$targets_control/set?cross_ppm=0&close_ppm=1000000" > /dev/null
check "connection closed without a response, request executed" "000 1" "$(http_status "$target_one/late?n=closed-1") $(fetch "$targets_control/executions" |
  jq '.[] | select(.key == "closed-1").count')"
put "$targets_control/set?close_ppm=0" > /dev/null
put "$targets_control/set?cross_ppm=0&drain=1&load_lie=idle" > /dev/null
check "draining" draining "$(fetch "$target_one/health" | jq -r .status)"
check "false load report" 4 "$(fetch "$target_one/load" | jq .slots)"
put "$targets_control/set?drain=0&load_lie=0" > /dev/null

cat > "$dir/plan.json" <<'EOF'
{"streams":[{"team":"t","service":"s","rate":20,"path":"/r","deadline_ms":1000},
 {"team":"u","service":"s","rate":5,"method":"POST","path":"/w","body_bytes":3000,"deadline_ms":1000,
  "at_most_once":true}]}
EOF
run_load() { "$bin/loadgen" --daemon "127.0.0.1:$((base + $1))" --plan "$dir/plan.json" --seconds 2 --no-lookup \
  --report "$dir/report.json" 2> /dev/null; }
put "$targets_control/set?service_us=1000" > /dev/null
# Guards against requests that are missing from the report.
run_load 2 > "$dir/calm.json"
check "all done" true "$(jq '.totals | .sent > 20 and .done == .sent and .wrong == 0' "$dir/calm.json")"
check "one identity each" true "$(jq '[.streams[1].identities[].key] | length > 0 and length == (unique | length)' \
  "$dir/report.json")"
# Guards against a silent fault that affects new connections too, or that does not
# affect existing ones. The load generator keeps its connections open.
(sleep 1; put "$targets_control/set?target=one&silent=1" > /dev/null) &
run_load 2 > "$dir/silent.json"
check "silent connections" true "$(jq '.totals | .lost > 0 and .lost < .sent / 2
  and .sent == .done + .not_run + .unknown + .lost' "$dir/silent.json")"
check "new connections work" 200 "$(http_status "$target_one/health")"
# Guards against a load generator that does not detect wrong and truncated responses,
# or that counts requests without a listener as lost.
put "$targets_control/set?cross_ppm=300000&truncate_ppm=100000" > /dev/null
run_load 2 > "$dir/faults.json"
check "wrong and truncated responses are detected" true "$(jq '.totals | .wrong > 0 and .truncated > 0
  and .sent == .done + .not_run + .unknown + .lost' "$dir/faults.json")"
run_load 9 > "$dir/down.json"
check "nothing listens" true "$(jq '.totals | .sent > 0 and .not_run == .sent' "$dir/down.json")"
"$bin/loadgen" --daemon 127.0.0.1:1 --plan "$dir/none.json" --seconds 1 > /dev/null 2>&1
check "bad plan" 1 "$?"

[ "$failures" -eq 0 ] && echo "standins: all checks passed"
exit "$((failures > 0))"
