#!/usr/bin/env bash
# Guards against requests that wait until their deadline on connections to targets
# that stop responding for good while new connections work, against idempotent
# requests that are not retried, at-most-once requests sent on such connections, and refusals that
# continue.
. "$(dirname "$0")/fleet.sh" "$1"
use_deployment marine
start_fleet 10
make_plan 0.2
start_load 20 "$WORK/plan.json" "$WORK/report"
silenced_at=()
for it in 5 7; do
  sleep "$it"
  silenced_at+=("$(now_ms)")
  put "$TARGET_CONTROL/set?silent=1"
done
finish_load
tail -3 "$WORK/report.table"
check_load "$WORK/report"
check_targets
events request_retried | jq -s 'group_by(.reason) | map({(.[0].reason): length}) | add // {}' > "$WORK/retries"
jq -n --slurpfile r "$WORK/report" --slurpfile c "$WORK/targets.json" --slurpfile retried "$WORK/retries" \
  --argjson silenced_at "$(printf '%s\n' "${silenced_at[@]}" | jq -s .)" '
  $r[0] as $r | [$silenced_at[] - $r.begin_epoch_ms] as $at |
  # Whole seconds in which no request may be refused: those that begin at least 3 s
  # after each fault or end before it.
  def unaffected: (.second * 1000) as $from | all($at[]; $from >= . + 3000 or $from + 1000 <= .);
  [$r.streams[] | select(.at_most_once | not)] as $idempotent |
  {at_ms: $at, retried: $retried[0], silent: $c[0].totals.silent, once_on_silent: $c[0].totals.once_on_silent,
   refused: $r.totals.not_run, refused_when_unaffected: ([$r.streams[].timeline[] | select(unaffected).not_run] | add // 0),
   refused_by_second: ([$r.streams[].timeline[] | select(.not_run > 0)] | group_by(.second)
     | map([.[0].second, (map(.not_run) | add)])),
   tiles: ([$idempotent[] | select(.service == "tiles")]
     | {sent: (map(.sent) | add), done: (map(.done) | add), unknown: (map(.unknown) | add),
        slowest_ms: (map(.latency_us.max) | max / 1000)}),
   uploads: ([$idempotent[] | select(.service == "uploads")]
     | {sent: (map(.sent) | add), done: (map(.done) | add), unknown: (map(.unknown) | add)})}' > "$WORK/silent"
jq -c . "$WORK/silent"
check "requests were sent on silent connections" '.silent > 20' "$WORK/silent"
check "requests were retried" '.retried | add > 0' "$WORK/silent"
# A VM can accumulate 10 retries for each of the two idempotent services, tiles and
# uploads, and gains one per ten requests.
check "retries within the budget" \
  "(.retried | add) <= 20 * ${#VMS[@]} + (.tiles.sent + .uploads.sent) * 0.1" "$WORK/silent"
check "no tiles request has an unknown outcome" '.tiles.unknown == 0' "$WORK/silent"
check "no at-most-once request on a connection older than 1 s" '.once_on_silent == 0' "$WORK/silent"
check "no refusal later than 3 s after a fault" '.refused_when_unaffected == 0' "$WORK/silent"
finish
