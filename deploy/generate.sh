#!/usr/bin/env bash
# Generates the files of both deployments from deployments.json.
set -euo pipefail
cd "$(dirname "$0")"
for deployment in marine cooperative; do
  mkdir -p "$deployment"
  files=$(jq --arg name "$deployment" '.[] | select(.name == $name)' deployments.json | jq -f generate.jq)
  jq -r 'keys[]' <<< "$files" | while read -r file; do
    jq -j --arg file "$file" '.[$file]' <<< "$files" > "$deployment/$file"
  done
done
