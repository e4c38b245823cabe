# Builds a traffic plan from a deployment's configuration and keys: each team
# calls each of its services at $fraction of its rate, from three addresses in each
# client block, so that lookups spread the callers over regions and VMs. A $only
# that is not empty selects one service.
# jq -n --slurpfile c config.json --slurpfile k keys.json --argjson fraction 0.5 --arg only "" -f plan.jq
def services($config; $team):
  ($team.services // $team.parameters.services //
   (($config.templates // {})[$team.template // ""].services)) | if type == "array" then . else [] end;
def rate($config; $team):
  ($team.rate // $team.parameters.rate // (($config.templates // {})[$team.template // ""].rate)) | tonumber;
# Client addresses, one in each of three subnets of every client block.
def clients($config): [$config.blocks[].cidr | select(startswith("127.") | not) | split(".") |
  "\(.[0]).\(.[1]).\(1, 2, 3).1"];
$c[0] as $config | $k[0] as $keys | clients($config) as $clients |
{streams: [
  $config.teams[] as $team
  | services($config; $team) as $names
  | rate($config; $team) as $rate
  | $names[] as $name
  | ($config.services[] | select(.name == $name)) as $service
  | ($service.execution == "at-most-once") as $once
  | $clients[] as $client
  | {team: $team.name, service: $name,
     key: ($keys[] | select(.team == $team.name) | .key),
     rate: ($rate * $fraction / ($names | length) / ($clients | length)), client: $client,
     method: (if $once or $name == "uploads" then "POST" else "GET" end),
     path: "/\($name)/item", deadline_ms: 3000,
     body_bytes: (if $name == "uploads" then 100000 elif $once then 300 else 0 end),
     at_most_once: $once, repeat_ppm: (if $once then 20000 else 0 end)}
  | select($only == "" or $only == .service)]}
