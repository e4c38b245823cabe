#!/usr/bin/env bash
# Checks the stand-ins themselves: a fault here would make the other
# whole-program tests prove nothing.
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
ask() { curl -s -m 10 "$@"; }
put() { ask -X PUT "$@"; }
code() { ask -o /dev/null -w '%{http_code}' "$@"; }
await() {
  for _ in $(seq 100); do
    [ "$(code "$1")" != 000 ] && return
    sleep 0.05
  done
  echo "FAILED: no answer from $1"
  exit 1
}

kv=http://127.0.0.1:$base/v1
store=http://127.0.0.1:$((base + 1))/control
one=http://127.0.0.1:$((base + 2))
two=http://127.0.0.1:$((base + 3))
fleet=http://127.0.0.1:$((base + 4))/control
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
await "$one/health"

# Guards against two writers that both believe that they won.
check "create" true "$(put "$kv/kv/p/a?cas=0" -d one)"
check "create again" false "$(put "$kv/kv/p/a?cas=0" -d two)"
index=$(ask "$kv/kv/p/a" | jq '.[0].ModifyIndex')
check "swap" true "$(put "$kv/kv/p/a?cas=$index" -d three)"
check "swap with an old index" false "$(put "$kv/kv/p/a?cas=$index" -d four)"
check "value" three "$(ask "$kv/kv/p/a?raw")"
check "base64" three "$(ask "$kv/kv/p/a" | jq -r '.[0].Value' | base64 -d)"
check "delete with an old index" false "$(ask -X DELETE "$kv/kv/p/a?cas=$index")"
check "missing key" 404 "$(code "$kv/kv/none")"
head -c 1048577 /dev/zero > "$dir/big"
check "value above 1 MB" 413 "$(code -X PUT "$kv/kv/big" --data-binary @"$dir/big")"
head -c 1048576 /dev/zero > "$dir/big"
check "value of 1 MB" 200 "$(code -X PUT "$kv/kv/big" --data-binary @"$dir/big")"

# Guards against watches that miss a change, wake for another prefix, or see
# an index that goes back.
header() { ask -D - -o /dev/null "$@" | tr -d '\r' | sed -n 's/^X-Consul-Index: //p'; }
index=$(header "$kv/kv/p/?recurse")
begin=$(date +%s%N)
header "$kv/kv/p/?recurse&index=$index&wait=5s" > "$dir/woken" &
watch=$!
sleep 0.3
put "$kv/kv/other/b" -d x > /dev/null
sleep 0.3
check "no wake-up by another prefix" "" "$(cat "$dir/woken")"
ask -X DELETE "$kv/kv/p/a" > /dev/null
wait $watch
took=$((($(date +%s%N) - begin) / 1000000))
check "woken by the delete" 1 "$((took >= 550 && took < 2000))"
check "index grew by the delete" 1 "$(($(cat "$dir/woken") > index))"
index=$(cat "$dir/woken")
check "index stays without a change" "$index" "$(header "$kv/kv/p/?recurse&index=$index&wait=200ms")"

# Guards against a rollback that watches do not see.
put "$kv/kv/p/c" -d old > /dev/null
put "$store/snapshot" > /dev/null
put "$kv/kv/p/c" -d new > /dev/null
index=$(header "$kv/kv/p/?recurse")
put "$store/rollback" > /dev/null
check "rolled back" old "$(ask "$kv/kv/p/c?raw")"
check "index after the rollback" 1 "$(($(header "$kv/kv/p/?recurse") > index))"

# Guards against faults that do not happen: a lost answer whose write is also
# lost, an outage that answers, a blocked client that still gets through.
put "$store/lose-answers?n=1" > /dev/null
put "$kv/kv/p/d" -d kept > /dev/null
check "answer lost" 52 "$?"
check "write kept" kept "$(ask "$kv/kv/p/d?raw")"
put "$store/outage?on=1" > /dev/null
check "outage" 000 "$(code "$kv/kv/p/d")"
put "$store/outage?on=0" > /dev/null
put "$store/block?client=a-1" > /dev/null
check "blocked client" 000 "$(code -H 'X-Client-Id: a-1' "$kv/kv/p/d")"
check "other client" 200 "$(code -H 'X-Client-Id: a-2' "$kv/kv/p/d")"
put "$store/blackhole?on=1" > /dev/null
ask -m 0.3 "$kv/kv/p/d" > /dev/null
check "blackhole" 28 "$?"
put "$store/blackhole?on=0" > /dev/null
check "after the blackhole" 200 "$(code "$kv/kv/p/d")"

# Guards against locks that outlive or ignore their session.
session=$(put "$kv/session/create" -d '{"TTL":"10s"}' | jq -r .ID)
other=$(put "$kv/session/create" -d '{"TTL":"10s"}' | jq -r .ID)
check "acquire" true "$(put "$kv/kv/lock?acquire=$session" -d 1)"
check "acquire a held lock" false "$(put "$kv/kv/lock?acquire=$other" -d 2)"
check "renew" 200 "$(code -X PUT "$kv/session/renew/$session")"
put "$kv/session/destroy/$session" > /dev/null
check "acquire after the session's end" true "$(put "$kv/kv/lock?acquire=$other" -d 2)"
check "release by another session" 500 "$(code -X PUT "$kv/kv/lock?release=$session" -d 3)"

# Guards against a VM list without its lag.
check "listed VM" a-1 "$(ask "$kv/vms" | jq -r '.vms[0].name')"
put "$store/vms-lag?ms=1000" > /dev/null
put "$store/vms" -d '[{"name":"a-2"}]' > /dev/null
check "lagging list" a-1 "$(ask "$kv/vms" | jq -r '.vms[0].name')"
sleep 1.1
check "list after the lag" a-2 "$(ask "$kv/vms" | jq -r '.vms[0].name')"

# Guards against limits that let a daemon's excess calls pass unseen.
put "$store/reset-counts" > /dev/null
for _ in 1 2 3; do
  curl -s -o /dev/null -X PUT -d x "$kv/kv/rate/[1-400]" > /dev/null &
  writers+=($!)
done
wait "${writers[@]}"
check "most writes in a second" 300 "$(ask "$store/counts" | jq .max_writes_per_second)"
check "writes above the limit" 1 "$(ask "$store/counts" | jq '.rejected > 0' | grep -c true)"

# Guards against slots that do not limit and executions that are not counted.
count() { ask "$fleet/counts" | jq -r "$1"; }
check "echoed identity and nonce" "k-1 n-1 5 1" "$(ask "$one/x" -d hello -H 'Idempotency-Key: k-1' \
  -H 'X-Attempt-Nonce: n-1' | jq -r '"\(.idempotency_key) \(.nonce) \(.body_bytes) \(.executed)"')"
ask "$two/x" -d hello -H 'Idempotency-Key: k-1' > /dev/null
check "second execution" 1 "$(count .totals.second_executions)"
check "execution list" 2 "$(ask "$fleet/executions" | jq '[.[] | select(.key == "k-1").count] | add')"
for i in 1 2 3; do
  ask "$one/slots/$i" > /dev/null &
  readers+=($!)
done
wait "${readers[@]}"
check "over slots" 1 "$(count .targets.one.over_slots)"
check "highest concurrency" 2 "$(count .targets.one.highest_concurrency)"
# A cancelled request frees its slot before the next one is counted.
for i in 1 2 3 4; do ask -m 0.05 "$two/cancel/$i" > /dev/null; done
check "slots freed by cancelling" 0 "$(count .targets.two.over_slots)"
check "cancelled" 4 "$(count .targets.two.cancelled)"
check "deadline" unknown "$(ask -D - -o /dev/null -H 'X-Deadline-Ms: 50' "$two/d" | tr -d '\r' \
  | sed -n 's/^X-Outcome: //p')"
check "keys before" 0 "$(count .totals.keys_seen)"
ask "$one/k" -H 'X-Other: is secret-1' > /dev/null
check "keys after" 1 "$(count .totals.keys_seen)"
put "$fleet/set?target=one&shed=1" > /dev/null
executed=$(count .targets.one.executed)
check "shed" 503 "$(code "$one/s" -d body)"
check "shed requests do not run" "$executed" "$(count .targets.one.executed)"
put "$fleet/set?target=one&shed=0&truncate_ppm=1000000" > /dev/null
ask "$one/t" > /dev/null
check "truncated" 18 "$?"
put "$fleet/set?truncate_ppm=0&cross_ppm=1000000" > /dev/null
ask "$one/c1" -H 'X-Attempt-Nonce: c-1' > "$dir/c1" &
first=$!
ask "$one/c2" -H 'X-Attempt-Nonce: c-2' > "$dir/c2"
wait $first
check "crossed" "c-2 c-1" "$(jq -r .nonce "$dir/c1") $(jq -r .nonce "$dir/c2")"
put "$fleet/set?cross_ppm=0&close_ppm=1000000" > /dev/null
check "closed instead of an answer" "000 1" "$(code "$one/late?n=closed-1") $(ask "$fleet/executions" |
  jq '.[] | select(.key == "closed-1").count')"
put "$fleet/set?close_ppm=0" > /dev/null
put "$fleet/set?cross_ppm=0&drain=1&load_lie=idle" > /dev/null
check "draining" draining "$(ask "$one/health" | jq -r .status)"
check "lying load" 4 "$(ask "$one/load" | jq .slots)"
put "$fleet/set?drain=0&load_lie=0" > /dev/null

# Guards against a silent fault that also hits new connections, or that spares
# the old ones. The load generator keeps its connections open.
cat > "$dir/plan.json" <<'EOF'
{"streams":[{"team":"t","service":"s","rate":20,"path":"/r","deadline_ms":1000},
 {"team":"u","service":"s","rate":5,"method":"POST","path":"/w","body_bytes":3000,"deadline_ms":1000,
  "at_most_once":true}]}
EOF
load() { "$bin/loadgen" --daemon "127.0.0.1:$((base + $1))" --plan "$dir/plan.json" --seconds 2 --no-lookup \
  --report "$dir/report.json" 2> /dev/null; }
put "$fleet/set?service_us=1000" > /dev/null
# Guards against requests that are missing from the account.
load 2 > "$dir/calm.json"
check "all done" true "$(jq '.totals | .sent > 20 and .done == .sent and .wrong == 0' "$dir/calm.json")"
check "one identity each" true "$(jq '[.streams[1].identities[].key] | length > 0 and length == (unique | length)' \
  "$dir/report.json")"
(sleep 1; put "$fleet/set?target=one&silent=1" > /dev/null) &
load 2 > "$dir/silent.json"
check "silent connections" true "$(jq '.totals | .lost > 0 and .lost < .sent / 2
  and .sent == .done + .not_run + .unknown + .lost' "$dir/silent.json")"
check "new connections work" 200 "$(code "$one/health")"
put "$fleet/set?cross_ppm=300000&truncate_ppm=100000" > /dev/null
load 2 > "$dir/faults.json"
check "wrong and cut answers are seen" true "$(jq '.totals | .wrong > 0 and .truncated > 0
  and .sent == .done + .not_run + .unknown + .lost' "$dir/faults.json")"
load 9 > "$dir/down.json"
check "nothing listens" true "$(jq '.totals | .sent > 0 and .not_run == .sent' "$dir/down.json")"
"$bin/loadgen" --daemon 127.0.0.1:1 --plan "$dir/none.json" --seconds 1 > /dev/null 2>&1
check "bad plan" 1 "$?"

[ "$failures" -eq 0 ] && echo "standins: all checks passed"
exit "$((failures > 0))"
