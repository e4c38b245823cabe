# Generates the files of one deployment. Input: its description in
# deploy/deployments.json. Output: an object that maps file names to contents.

# One element per line keeps diffs of the generated files readable.
def array_text: if length == 0 then "[]" else "[\n    " + (map(tojson) | join(",\n    ")) + "\n  ]" end;
def object_text: "{\n" + ([.[] | "  \"\(.[0])\": \(.[1])"] | join(",\n")) + "\n}\n";
def two_digits: tostring | if length < 2 then "0" + . else . end;

. as $d
| [$d.regions[] | . as $r | ("a", "b") | {zone: "\($r)-\(.)", region: $r}] as $zones

# Assigns targets to the zones in turn; each service continues after the last zone of
# the service before it.
| [foreach ($d.services[] | . as $s | range(.target_count) | {s: $s, n: (. + 1)}) as $t
    (-1; . + 1;
     {service: $t.s.name, name: "\($t.s.name)-\($t.n | two_digits)", port: ($d.target_port + .),
      slots: $t.s.slots, zone: $zones[. % ($zones | length)].zone, n: $t.n, count: $t.s.target_count})] as $targets
# In the files of a rollout, the second half of the rollout service's targets runs v2.
| def version($rollout): if $rollout and .service == $d.rollout.service and .n > .count / 2 then "v2" else "v1" end;

[range($d.vm_count) | $zones[. % ($zones | length)] as $z
   | {i: ., name: "\($z.zone)-\((. / ($zones | length) | floor) + 1)", zone: $z.zone, region: $z.region}] as $vms

| def config($rollout):
    [["name", ($d.name | tojson)],
     ["regions", ([$d.regions[] as $r | {name: $r, zones: [$zones[] | select(.region == $r) | .zone]}] | array_text)],
     ["links", ([$d.regions as $r | range($r | length) as $i | range($i + 1; $r | length)
        | {from: $r[$i], to: $r[.], bytes_per_second: $d.link_bytes_per_second, delay_ms: $d.region_delay_ms}] | array_text)],
     ["sites", ([$d.regions[] as $r | {name: "near-\($r)", distance_ms: ([$d.regions[]
        | {key: ., value: ($d.client_delay_ms + if . == $r then 0 else $d.region_delay_ms end)}] | from_entries)}] | array_text)],
     ["blocks", ([{cidr: "127.0.0.0/8", site: "near-\($d.regions[0])"}]
        + [range($d.regions | length) | {cidr: "10.\(. + 1).0.0/16", site: "near-\($d.regions[.])"}] | array_text)],
     ["services", "[\n    " + ([$d.services[] as $s
        | ($s | del(.target_count, .slots) | tojson | .[:-1]) + ",\"targets\":[\n      "
          + ([$targets[] | select(.service == $s.name)
              | {name, zone, address: "127.0.0.1:\(.port)", slots, version: version($rollout)} | tojson] | join(",\n      "))
          + "\n    ]}"] | join(",\n    ")) + "\n  ]"],
     ["templates", "{\n    " + ([$d.templates | to_entries[] | "\(.key | tojson): \(.value | tojson)"] | join(",\n    ")) + "\n  }"],
     ["teams", ($d.teams | array_text)],
     ["rollouts", "[]"]] | object_text;
  def targetList($rollout):
    "[\n  " + ([$targets[] | {name, port, slots, version: version($rollout), zone, service} | tojson] | join(",\n  ")) + "\n]\n";

{
  "config.json": config(false),
  "config-rollout.json": config(true),
  "targets.json": targetList(false),
  "targets-rollout.json": targetList(true),
  "rollout.json": ({name: $d.rollout.name, service: $d.rollout.service, from: "v1", to: "v2", cap_percent: 5,
     start: "2026-12-04T09:00:00Z", deadline: "2027-12-04T09:00:00Z"} | tojson + "\n"),
  "vms.json": ([["version", "1"], ["age_ms", "0"],
     ["vms", ([$vms[] | {name, zone, region, address: "127.0.0.1:\($d.peer_port + .i)", state: "live"}] | array_text)]] | object_text),
  "keys.json": ("[\n  "
     + ([$d.teams[] | {team: .name, label: "demo-\(.name)", key: "demo-key-not-secret-\($d.name)-\(.name)"} | tojson]
        | join(",\n  ")) + "\n]\n")
} + ([$vms[] | . as $vm | {key: "vm-\(.name).json", value: ([
    ["vm", (.name | tojson)], ["zone", (.zone | tojson)], ["region", (.region | tojson)],
    ["address", "\"127.0.0.1\""],
    ["caller_port", ($d.caller_port + .i | tojson)],
    ["peer_port", ($d.peer_port + .i | tojson)],
    ["admin_port", ($d.admin_port + .i | tojson)],
    ["store_url", ($d.store_url | tojson)],
    ["vm_list_url", ("\($d.store_url)/v1/vms" | tojson)],
    ["seeds", ([$vms[] | select(.i < 3 and .i != $vm.i) | "127.0.0.1:\($d.peer_port + .i)"] | tojson)]] | object_text)}]
  | from_entries)
